#include "soak/StandInWorker.h"

#include "platform/WorkerMessages.h"
#include "soak/OddBodies.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <utility>

namespace dragonfly::soak {
namespace {

using std::chrono::milliseconds;

constexpr Duration HeartbeatPeriod = milliseconds(500);
constexpr Duration CallTimeout = milliseconds(1000);
/// Runs advance and leases are looked at this often.
constexpr Duration TickPeriod = milliseconds(10);
/// A stop takes this long; the platform allows 900 ms.
constexpr Duration StopTime = milliseconds(150);
/// Work between two checkpoints, and the time that resuming takes.
constexpr Duration CheckpointWork = milliseconds(500);
constexpr Duration RestoreTime = milliseconds(100);
/// The platform shortens longer leases.
constexpr std::int64_t MaxLeaseMs = 10000;
/// Ends that one answer lists; the others come once some are forgotten.
constexpr std::size_t MaxListedEnds = 500;
/// A call without an answer may be carried out so much later.
constexpr Duration LateTime = milliseconds(2000);
constexpr std::uint64_t LateSpreadMs = 10000;
/// A deadly task crashes its worker within so many milliseconds.
constexpr std::uint64_t DeadlyMs = 10;
/// A capacity that has shrunk counts 3 s and one heartbeat later.
constexpr Duration ShrinkGrace = milliseconds(3000) + HeartbeatPeriod;
constexpr std::uint16_t Conflict = 409;
constexpr std::uint16_t Misdirected = 421;

/// The Unix time at which lives begin, as far as agents can tell: it rises, in
/// milliseconds, with the runtime's clock.
std::uint64_t unixMilliseconds() {
  constexpr std::uint64_t Base = 1'780'000'000'000;
  return Base + static_cast<std::uint64_t>(
                    toMilliseconds(Clock::now().time_since_epoch()));
}

std::uint64_t numberOf(const boost::json::object &Body, const char *Name) {
  const boost::json::value *Value = Body.if_contains(Name);
  return Value != nullptr && Value->is_number()
             ? Value->to_number<std::uint64_t>()
             : 0;
}

} // namespace

struct StandInWorker::Impl : std::enable_shared_from_this<Impl> {
  struct Run {
    TaskId Task_;
    std::uint32_t Number_ = 0;
    std::int64_t MilliProcessors_ = 0;
    TimePoint EndsAt_;
    TimePoint BeganAt_;
    bool Fails_ = false;
    std::optional<TimePoint> StopAt_;
    bool Checkpointing_ = false;
    /// The newest checkpoint, and the work that it holds.
    std::string Saved_;
    Duration SavedWork_{};
    /// When it would have begun without a checkpoint to resume from.
    TimePoint WorksFrom_;
  };
  struct End {
    std::uint64_t Number_ = 0;
    Run Run_;
    const char *How_ = "done";
    /// The lease ran out before it was taken note of, which leaves it open.
    bool Lapsed_ = false;
  };
  struct Waiting {
    net::HttpReplier To_;
    TimePoint Until_;
  };

  Impl(net::EventLoop &Loop, Promises &Seen, StandInWorkerOptions Options)
      : Loop_(Loop), Seen_(Seen), Options_(std::move(Options)),
        Random_(Options_.Seed_), Agent_(Loop, {.Peer_ = Options_.Agent_}) {
    beginLife();
  }

  void start() {
    listen();
    Ticks_ = Loop_.every(TickPeriod, [this] { tick(); });
    Beats_ = Loop_.every(HeartbeatPeriod, [this] { beat(); });
  }

  void crash() {
    Waiting_.clear();
    for (const auto &[Name, Each] : Runs_)
      Seen_.crashesUnder(Each.Task_);
    beginLife();
    IsDown_ = true;
  }

  void restart(const std::string &Name) {
    Options_.Name_ = Name;
    beginLife();
    IsDown_ = false;
    beat();
  }

  void listen() {
    Server_ = std::make_unique<net::HttpServer>(
        Loop_, net::HttpServerOptions{
                   .Listen_ = Options_.Listen_,
                   .OnRequest_ = [this](const net::HttpRequest &Request,
                                        const net::HttpReplier &To) {
                     take(Request, To);
                   }});
  }

  void beginLife() {
    for (const auto &[Name, Each] : Runs_)
      Seen_.ends(Each.Task_, Options_.Place_, false);
    Runs_.clear();
    Ends_.clear();
    NextEnd_ = 1;
    Fence_ = 0;
    LeaseUntilMs_ = 0;
    Sequence_ = 0;
    Newest_.clear();
    StartedAt_ = Clock::now();
    // Two lives may not begin within one millisecond.
    Born_ = std::max(Born_ + 1, unixMilliseconds());
  }

  std::int64_t clockMs() const {
    return static_cast<std::int64_t>(toMilliseconds(Clock::now() - StartedAt_));
  }

  void setCapacity(std::int64_t MilliProcessors) {
    Capacities_.emplace_back(Clock::now() + ShrinkGrace,
                             Options_.MilliProcessors_);
    Options_.MilliProcessors_ = MilliProcessors;
  }

  std::int64_t room() {
    std::int64_t Left = Options_.MilliProcessors_;
    std::erase_if(Capacities_,
                  [](const auto &Each) { return Clock::now() >= Each.first; });
    for (const auto &[Until, MilliProcessors] : Capacities_)
      Left = std::max(Left, MilliProcessors);
    for (const auto &[Name, Each] : Runs_)
      Left -= Each.MilliProcessors_;
    return Left;
  }

  std::string heartbeat(std::uint64_t Sequence) const {
    return boost::json::serialize(boost::json::object{
        {"Service", Options_.Service_},
        {"Address", Options_.Listen_.text()},
        {"Zone", Options_.Zone_},
        {"Version", "v1"},
        {"Slots", 8},
        {"State", "ready"},
        {"ColdRemainingMs", 0},
        {"Capacity", boost::json::object{{"Cpu", Options_.MilliProcessors_},
                                         {"MemMb", 16000},
                                         {"Gpu", 0}}},
        {"Labels", boost::json::array{"a", "r1"}},
        {"ClockMs", clockMs()},
        {"born", Born_},
        {"Sequence", Sequence}});
  }

  void beat() {
    if (IsDown_)
      return;
    Agent_.request({.Method_ = "PUT",
                    .Target_ = "/v1/instances/" + Options_.Name_,
                    .Headers_ = {{"Content-Type", "application/json"}},
                    .Body_ = heartbeat(++Sequence_)},
                   CallTimeout, [](const net::HttpResult &) {});
  }

  void take(const net::HttpRequest &Request, const net::HttpReplier &To) {
    if (IsDown_)
      return;
    if (Clock::now() >= UnansweredUntil_ || Random_() % 2 == 0) {
      carryOut(Request, To);
      return;
    }
    // By then the caller has given the call up.
    Late_.push_back(
        Loop_.after(LateTime + milliseconds(Random_() % (LateSpreadMs + 1)),
                    [this, Request, To, Name = Options_.Name_, Born = Born_] {
                      // Another instance would refuse it.
                      if (IsDown_ || Name != Options_.Name_)
                        return;
                      if (Born != Born_)
                        Options_.OnEarlierCall_(Request.Target_);
                      carryOut(Request, To, true);
                    }));
  }

  void carryOut(const net::HttpRequest &Request, const net::HttpReplier &To,
                bool IsLate = false) {
    const std::string_view Expected =
        Request.header("X-Dragonflyproxy-Expect-Instance");
    boost::system::error_code Fault;
    const boost::json::value Body = boost::json::parse(Request.Body_, Fault);
    if ((!Expected.empty() && Expected != Options_.Name_) || Fault ||
        !Body.is_object()) {
      To.reply({.Status_ = Misdirected, .Body_ = "{}"});
      return;
    }
    const boost::json::object &Call = Body.get_object();
    if (numberOf(Call, "FencingToken") < Fence_) {
      refuse(To, "fence");
      return;
    }
    Fence_ = numberOf(Call, "FencingToken");
    if (const auto Lease =
            static_cast<std::int64_t>(numberOf(Call, "DeadlineMs"));
        Lease > 0)
      LeaseUntilMs_ =
          std::max(LeaseUntilMs_, std::min(Lease, clockMs() + MaxLeaseMs));
    if (Request.Target_ == "/v1/run-start")
      startRun(Call, To, IsLate);
    else if (Request.Target_ == "/v1/run-stop")
      stopRun(Call, To);
    else if (Request.Target_ == "/v1/hold")
      hold(Call, To);
    else
      reply(To, {});
  }

  void reply(const net::HttpReplier &To, boost::json::object Body,
             std::uint16_t Status = 200) {
    Body["ClockMs"] = clockMs();
    std::string Text = boost::json::serialize(Body);
    if (HasOddRows_)
      for (const std::string List : {"\"Running\":[", "\"Finished\":["})
        if (const std::size_t At = Text.find(List); At != std::string::npos)
          Text.insert(At + List.size(),
                      oddValue(Random_) +
                          (Text[At + List.size()] == ']' ? "" : ","));
    To.reply({.Status_ = Status, .Body_ = std::move(Text)});
  }
  void refuse(const net::HttpReplier &To, const char *Why) {
    reply(To, {{"Reason", Why}}, Conflict);
  }

  void startRun(const boost::json::object &Call, const net::HttpReplier &To,
                bool IsLate) {
    const auto Name = platform::parseTask(Call.at("Task").get_string());
    const auto Number = static_cast<std::uint32_t>(numberOf(Call, "Run"));
    const TaskId Task{Name->Job_, Name->Step_, Name->Index_};
    if (const auto It = Runs_.find(Task);
        It != Runs_.end() && It->second.Number_ == Number)
      return reply(To, {});
    if (Number <= Newest_[Task])
      return refuse(To, "old");
    if (clockMs() >= LeaseUntilMs_)
      return refuse(To, "late");
    const StartOrder Order{.Task_ = Task,
                           .Worker_ = Options_.Name_,
                           .Place_ = Options_.Place_,
                           .Spec_ = std::string(Call.at("Spec").get_string()),
                           .Checkpoint_ = checkpointOf(Call),
                           .Room_ = room(),
                           .IsLate_ = IsLate};
    Seen_.starts(Order);
    const PlannedJob *Plan = Seen_.plan(Task.Job_);
    if (Plan == nullptr)
      return refuse(To, "room");
    const TimePoint Now = Clock::now();
    const bool IsDeadly = Plan->Deadly_ == Task;
    const Duration Work = Seen_.savedWork(Task, Order.Checkpoint_);
    const TimePoint WorksFrom =
        Now - Work +
        (Order.Checkpoint_.empty() ? Duration::zero() : RestoreTime);
    Runs_[Task] = {
        .Task_ = Task,
        .Number_ = Number,
        .MilliProcessors_ = Plan->MilliProcessors_,
        .EndsAt_ = IsDeadly || Plan->Lasts_ ? TimePoint::max()
                                            : WorksFrom + Plan->TaskTime_,
        .BeganAt_ = Now,
        .Fails_ = Plan->MayFail_ && Random_() % 1000 < Options_.FailPermille_,
        .StopAt_ = {},
        .Checkpointing_ = Plan->Checkpointing_,
        .Saved_ = Order.Checkpoint_,
        .SavedWork_ = Work,
        .WorksFrom_ = WorksFrom};
    Newest_[Task] = Number;
    reply(To, {});
    if (IsDeadly)
      Late_.push_back(Loop_.after(milliseconds(1 + Random_() % DeadlyMs),
                                  [this, Born = Born_] {
                                    if (Born == Born_)
                                      Options_.OnDeadly_();
                                  }));
  }

  static std::string checkpointOf(const boost::json::object &Call) {
    const boost::json::value *Value = Call.if_contains("Checkpoint");
    return Value == nullptr ? "" : std::string(Value->get_string());
  }

  /// Makes a checkpoint, if any are made and the run has worked since the last.
  void save(Run &Each) {
    const Duration Work = Clock::now() - Each.WorksFrom_;
    if (!Each.Checkpointing_ || Work <= Each.SavedWork_)
      return;
    Each.SavedWork_ = Work;
    Each.Saved_ = std::to_string(Random_());
    Seen_.saves(Each.Task_, Each.Saved_, Work);
  }

  void stopRun(const boost::json::object &Call, const net::HttpReplier &To) {
    const auto Name = platform::parseTask(Call.at("Task").get_string());
    const TaskId Task{Name->Job_, Name->Step_, Name->Index_};
    const auto Number = static_cast<std::uint32_t>(numberOf(Call, "Run"));
    Newest_[Task] = std::max(Newest_[Task], Number);
    if (const auto It = Runs_.find(Task); It != Runs_.end() &&
                                          It->second.Number_ <= Number &&
                                          !It->second.StopAt_)
      It->second.StopAt_ = Clock::now() + StopTime;
    reply(To, {});
  }

  void hold(const boost::json::object &Call, const net::HttpReplier &To) {
    const std::uint64_t LastSeen = numberOf(Call, "LastSeen");
    std::erase_if(Ends_, [this, LastSeen](const End &Row) {
      const bool Noted = Row.Number_ <= LastSeen;
      if (Noted && !Row.Lapsed_ && std::string_view(Row.How_) == "done")
        Seen_.endNoted(Row.Run_.Task_);
      return Noted;
    });
    const Duration Wait = milliseconds(numberOf(Call, "WaitMs"));
    if (Wait > Duration::zero() && Ends_.empty())
      Waiting_.push_back({To, Clock::now() + Wait});
    else
      reply(To, lists());
  }

  boost::json::object lists() const {
    const TimePoint Now = Clock::now();
    boost::json::array Running;
    for (const auto &[Task, Each] : Runs_) {
      const double Share =
          toMilliseconds(Now - Each.BeganAt_) /
          std::max(1.0, toMilliseconds(Each.EndsAt_ - Each.BeganAt_));
      const bool Lasts = Each.EndsAt_ == TimePoint::max();
      Running.push_back(boost::json::array{
          Task.text(), Each.Number_, Each.Saved_,
          Lasts ? 100
                : static_cast<std::int64_t>(std::clamp(Share, 0.0, 1.0) * 100),
          Each.MilliProcessors_});
    }
    boost::json::array Finished;
    for (const End &Row : Ends_)
      if (Finished.size() < MaxListedEnds)
        Finished.push_back(
            boost::json::array{Row.Number_, Row.Run_.Task_.text(),
                               Row.Run_.Number_, Row.How_, Row.Run_.Saved_});
    return {{"born", Born_}, {"Running", Running}, {"Finished", Finished}};
  }

  void tick() {
    const TimePoint Now = Clock::now();
    const bool Lapsed = clockMs() >= LeaseUntilMs_;
    for (End &Row : Ends_)
      Row.Lapsed_ = Row.Lapsed_ || Lapsed;
    for (auto &[Task, Each] : Runs_)
      if (Now - Each.WorksFrom_ >= Each.SavedWork_ + CheckpointWork ||
          (Each.StopAt_ && Now >= *Each.StopAt_))
        save(Each);
    std::erase_if(Runs_, [&](const auto &Row) {
      const Run &Each = Row.second;
      const char *How = Lapsed                                 ? "lapsed"
                        : Each.StopAt_ && Now >= *Each.StopAt_ ? "stopped"
                        : Now >= Each.EndsAt_
                            ? (Each.Fails_ ? "failed" : "done")
                            : nullptr;
      if (How == nullptr)
        return false;
      Ends_.push_back({NextEnd_++, Each, How, Lapsed});
      Seen_.ends(Each.Task_, Options_.Place_, std::string_view(How) == "done");
      if (std::string_view(How) == "failed")
        Seen_.failsByItself(Each.Task_);
      return true;
    });
    std::erase_if(Waiting_, [&](const Waiting &Row) {
      if (Ends_.empty() && Now < Row.Until_)
        return false;
      reply(Row.To_, lists());
      return true;
    });
  }

  net::EventLoop &Loop_;
  Promises &Seen_;
  StandInWorkerOptions Options_;
  RandomEngine Random_;
  net::HttpClient Agent_;
  std::unique_ptr<net::HttpServer> Server_;
  net::Timer Ticks_;
  net::Timer Beats_;
  bool IsDown_ = false;
  bool HasOddRows_ = false;
  TimePoint UnansweredUntil_;
  /// Larger capacities that still count, and until when.
  std::vector<std::pair<TimePoint, std::int64_t>> Capacities_;
  std::vector<net::Timer> Late_;
  std::map<TaskId, Run> Runs_;
  /// The highest run that was started or stopped, by task.
  std::map<TaskId, std::uint32_t> Newest_;
  std::vector<End> Ends_;
  std::vector<Waiting> Waiting_;
  std::uint64_t NextEnd_ = 1;
  std::uint64_t Fence_ = 0;
  std::int64_t LeaseUntilMs_ = 0;
  std::uint64_t Sequence_ = 0;
  std::uint64_t Born_ = 0;
  TimePoint StartedAt_;
};

StandInWorker::StandInWorker(net::EventLoop &Loop, Promises &Seen,
                             StandInWorkerOptions Options)
    : Impl_(std::make_shared<Impl>(Loop, Seen, std::move(Options))) {
  Impl_->start();
}

StandInWorker::~StandInWorker() {
  Impl_->Ticks_.cancel();
  Impl_->Beats_.cancel();
}

void StandInWorker::crash() { Impl_->crash(); }
bool StandInWorker::isDown() const { return Impl_->IsDown_; }
void StandInWorker::restart(const std::string &Name) { Impl_->restart(Name); }
std::int64_t StandInWorker::freeMilliProcessors() const {
  return Impl_->IsDown_ ? 0 : std::max<std::int64_t>(0, Impl_->room());
}

const std::string &StandInWorker::name() const { return Impl_->Options_.Name_; }
void StandInWorker::setCapacity(std::int64_t MilliProcessors) {
  Impl_->setCapacity(MilliProcessors);
}
void StandInWorker::leaveUnanswered(Duration Time) {
  Impl_->UnansweredUntil_ = Clock::now() + Time;
}
void StandInWorker::setOddRows(bool Odd) { Impl_->HasOddRows_ = Odd; }
std::string StandInWorker::heartbeat() const {
  return Impl_->heartbeat(Impl_->Sequence_ + 1);
}

} // namespace dragonfly::soak
