#include "Worker.h"

#include "dragonfly/base/Random.h"
#include "dragonfly/net/HttpClient.h"
#include "dragonfly/net/HttpServer.h"

#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace dragonfly::review {

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

/// An acknowledgement counts if it arrives within a second.
constexpr Duration HeartbeatTimeout = milliseconds(1000);
/// Runs advance and the lease is looked at this often.
constexpr Duration TickPeriod = milliseconds(10);
/// A stop takes at most 900 ms.
constexpr Duration StopTime = milliseconds(100);
/// Bounds.HoldMaxMs.
constexpr std::int64_t MaxLeaseMs = 10000;
/// Ends that one answer lists.
constexpr std::size_t MaxListedEnds = 500;
/// A call that gets no answer is carried out 2 to 12 s later.
constexpr Duration LateTime = milliseconds(2000);
constexpr std::size_t LateSpreadMs = 3000;
constexpr std::size_t FullPermille = 1000;
constexpr std::uint16_t Conflict = 409;
constexpr std::uint16_t Misdirected = 421;
constexpr double FullPercent = 100;
/// Tail latency of tasks that last, in milliseconds.
constexpr std::int64_t TailMs = 5;

std::uint64_t unixMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

std::uint64_t numberOf(const json::object &Body, std::string_view Name) {
  const json::value *Value = Body.if_contains(Name);
  return Value != nullptr && Value->is_number()
             ? Value->to_number<std::uint64_t>()
             : 0;
}

std::string textOf(const json::object &Body, std::string_view Name) {
  const json::value *Value = Body.if_contains(Name);
  return Value != nullptr && Value->is_string()
             ? std::string(Value->get_string())
             : std::string();
}

} // namespace

struct Worker::Impl : std::enable_shared_from_this<Impl> {
  using RunKey = std::pair<std::string, std::uint64_t>;
  struct Run {
    TimePoint BeganAt_;
    TimePoint EndsAt_;
    std::optional<TimePoint> StopAt_;
    bool Lasts_ = false;
    bool Fails_ = false;
  };
  struct End {
    std::uint64_t Number_ = 0;
    std::string Task_;
    std::uint64_t Run_ = 0;
    std::string How_;
    /// The lease ran out before the end was taken note of.
    bool Lapsed_ = false;
  };
  struct Waiting {
    net::HttpReplier To_;
    TimePoint Until_;
  };

  Impl(net::EventLoop &Loop, Record &Lines, RunJudge &Judge,
       WorkerOptions Options)
      : Loop_(Loop), Lines_(Lines), Judge_(Judge), Options_(std::move(Options)),
        Agent_(Loop, {.Peer_ = Options_.Agent_}), StartedAt_(Clock::now()),
        Born_(unixMilliseconds()) {
    listen();
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

  void crash() {
    Lines_.write(Options_.Name_ + " crashes");
    Server_.reset();
    LateCalls_.clear();
    for (const auto &[Key, Each] : Runs_)
      Judge_.ended(Key.first, {.Worker_ = Options_.Name_, .Run_ = Key.second},
                   "crashed");
    Runs_.clear();
    Ends_.clear();
    Waiting_.clear();
    Newest_.clear();
    NextEnd_ = 1;
    Fence_ = 0;
    LeaseUntilMs_ = 0;
    Sequence_ = 0;
  }

  bool failOne(const std::string &Job) {
    for (auto &[Key, Each] : Runs_)
      if (Key.first.starts_with(Job)) {
        Each.Fails_ = true;
        return true;
      }
    return false;
  }

  void restart() {
    StartedAt_ = Clock::now();
    Born_ = std::max(Born_ + 1, unixMilliseconds());
    Lines_.write(Options_.Name_ + " is back");
    listen();
    beat();
  }

  void start() {
    Ticks_ = Loop_.every(TickPeriod, [this] { tick(); });
    Beats_ = Loop_.every(Options_.HeartbeatPeriod_, [this] { beat(); });
    beat();
  }

  std::int64_t clockMs() const {
    return static_cast<std::int64_t>(toMilliseconds(Clock::now() - StartedAt_));
  }

  void beat() {
    if (!Server_)
      return;
    LastHeartbeat_ = Clock::now();
    const json::object Body{
        {"Service", Options_.Service_},
        {"Address", Options_.Listen_.text()},
        {"Zone", "zone-a"},
        {"Version", "v1"},
        {"Slots", 8},
        {"State", "ready"},
        {"ColdRemainingMs", 0},
        {"Capacity", json::object{{"Cpu", Options_.MilliProcessors_},
                                  {"MemMb", Options_.MemoryMb_},
                                  {"Gpu", 0}}},
        {"Labels", json::array{"a", "r1-1"}},
        {"ClockMs", clockMs()},
        {"born", Born_},
        {"Sequence", ++Sequence_}};
    Agent_.request({.Method_ = "PUT",
                    .Target_ = "/v1/instances/" + Options_.Name_,
                    .Headers_ = {{"Content-Type", "application/json"}},
                    .Body_ = json::serialize(Body)},
                   HeartbeatTimeout, [](const net::HttpResult &) {});
  }

  void take(const net::HttpRequest &Request, const net::HttpReplier &To) {
    const std::string_view Expected =
        Request.header("X-Dragonflyproxy-Expect-Instance");
    boost::system::error_code Fault;
    const json::value Body = json::parse(Request.Body_, Fault);
    if (Fault || !Body.is_object()) {
      To.reply({.Status_ = 400, .Body_ = "{}"});
      return;
    }
    if (!Expected.empty() && Expected != Options_.Name_) {
      reply(To, {}, Misdirected);
      return;
    }
    const json::object &Call = Body.get_object();
    const std::uint64_t Fence = numberOf(Call, "FencingToken");
    if (Fence < Fence_) {
      refuse(To, "fence");
      return;
    }
    const bool IsNewFence = Fence > Fence_;
    if (IsNewFence)
      Lines_.write(Options_.Name_ + " sees fencing token " +
                   std::to_string(Fence));
    Fence_ = Fence;
    if (Request.Target_ == "/v1/hold" && std::exchange(HoldIsDropped_, false)) {
      Lines_.write(Options_.Name_ + " leaves a call of hold unanswered");
      HasDroppedHold_ = true;
      Dropped_.push_back(To);
      LateCalls_.push_back(
          Loop_.after(LateTime, [this, Call] { takeLate(Call); }));
      return;
    }
    if (Random_() % FullPermille < UnansweredPermille_) {
      Dropped_.push_back(To);
      LateCalls_.push_back(
          Loop_.after(LateTime + milliseconds(Random_() % LateSpreadMs),
                      [this, Call, Target = Request.Target_] {
                        takeLateOrder(Target, Call);
                      }));
      return;
    }
    if (Request.Target_ == "/v1/run-start")
      startRun(Call, To);
    else if (Request.Target_ == "/v1/run-stop")
      stopRun(Call, To);
    else if (Request.Target_ == "/v1/hold")
      hold(Call, To);
    else
      reply(To, {});
    if (IsNewFence && std::exchange(DropsAfterFence_, false))
      HoldIsDropped_ = true;
  }

  /// Carries out a call of `hold` that got no answer.
  void takeLate(const json::object &Call) {
    Lines_.write(Options_.Name_ + " carries out the call now");
    if (numberOf(Call, "FencingToken") >= Fence_)
      takeHold(Call);
  }

  /// Carries out any call that got no answer.
  void takeLateOrder(const std::string &Target, const json::object &Call) {
    if (numberOf(Call, "FencingToken") < Fence_)
      return;
    const auto Deadline =
        static_cast<std::int64_t>(numberOf(Call, "DeadlineMs"));
    const net::HttpReplier Nobody = Dropped_.front();
    if (Target == "/v1/hold")
      takeHold(Call);
    else if (Target == "/v1/run-stop")
      stopRun(Call, Nobody);
    else if (Target == "/v1/run-start" && clockMs() < Deadline)
      startRun(Call, Nobody);
  }

  void takeHold(const json::object &Call) {
    extendLease(static_cast<std::int64_t>(numberOf(Call, "DeadlineMs")));
    const std::uint64_t LastSeen = numberOf(Call, "LastSeen");
    std::erase_if(Ends_, [this, LastSeen](const End &Row) {
      if (Row.Number_ > LastSeen)
        return false;
      if (Row.How_ == "done" && !Row.Lapsed_)
        Judge_.noted(Row.Task_);
      return true;
    });
  }

  void extendLease(std::int64_t DeadlineMs) {
    if (DeadlineMs > 0)
      LeaseUntilMs_ =
          std::max(LeaseUntilMs_, std::min(DeadlineMs, clockMs() + MaxLeaseMs));
  }

  void reply(const net::HttpReplier &To, json::object Body,
             std::uint16_t Status = 200) const {
    Body["ClockMs"] = clockMs();
    To.reply({.Status_ = Status, .Body_ = json::serialize(Body)});
  }

  void refuse(const net::HttpReplier &To, const char *Why) const {
    reply(To, {{"Reason", Why}}, Conflict);
  }

  void startRun(const json::object &Call, const net::HttpReplier &To) {
    extendLease(static_cast<std::int64_t>(numberOf(Call, "DeadlineMs")));
    const std::string Task = textOf(Call, "Task");
    const std::uint64_t Number = numberOf(Call, "Run");
    if (Runs_.contains({Task, Number}))
      return reply(To, {});
    if (Number <= Newest_[Task])
      return refuse(To, "old");
    if (clockMs() >= LeaseUntilMs_)
      return refuse(To, "late");
    const std::string Spec = textOf(Call, "Spec");
    const bool Lasts = Spec == "lasts";
    const std::int64_t Length =
        Spec.starts_with("ms=") ? std::stoll(Spec.substr(3)) : 1000;
    const TimePoint Now = Clock::now();
    Runs_[{Task, Number}] = {.BeganAt_ = Now,
                             .EndsAt_ = Lasts ? TimePoint::max()
                                              : Now + milliseconds(Length),
                             .StopAt_ = {},
                             .Lasts_ = Lasts};
    Newest_[Task] = Number;
    Judge_.began(Task, {.Worker_ = Options_.Name_, .Run_ = Number});
    reply(To, {});
  }

  void stopRun(const json::object &Call, const net::HttpReplier &To) {
    const std::string Task = textOf(Call, "Task");
    const std::uint64_t Number = numberOf(Call, "Run");
    Newest_[Task] = std::max(Newest_[Task], Number);
    for (auto &[Key, Each] : Runs_)
      if (Key.first == Task && Key.second <= Number && !Each.StopAt_)
        Each.StopAt_ = Clock::now() + StopTime;
    reply(To, {});
  }

  void hold(const json::object &Call, const net::HttpReplier &To) {
    takeHold(Call);
    const Duration Wait = milliseconds(numberOf(Call, "WaitMs"));
    if (Wait > Duration::zero() && Ends_.empty())
      Waiting_.push_back({To, Clock::now() + Wait});
    else
      reply(To, lists());
  }

  json::object lists() const {
    const TimePoint Now = Clock::now();
    json::array Running;
    for (const auto &[Key, Each] : Runs_) {
      // Tasks that last are at work at once.
      const double Share =
          Each.Lasts_ ? 1
                      : toMilliseconds(Now - Each.BeganAt_) /
                            toMilliseconds(Each.EndsAt_ - Each.BeganAt_);
      Running.push_back(json::array{
          Key.first, Key.second, "",
          static_cast<std::int64_t>(std::clamp(Share, 0.0, 1.0) * FullPercent),
          Each.Lasts_ ? TailMs : 1000});
    }
    json::array Finished;
    for (const End &Row : Ends_)
      if (Finished.size() < MaxListedEnds)
        Finished.push_back(
            json::array{Row.Number_, Row.Task_, Row.Run_, Row.How_, ""});
    return {{"born", Born_}, {"Running", Running}, {"Finished", Finished}};
  }

  void tick() {
    const TimePoint Now = Clock::now();
    const bool Lapsed = clockMs() >= LeaseUntilMs_;
    for (End &Row : Ends_)
      Row.Lapsed_ = Row.Lapsed_ || Lapsed;
    std::erase_if(Runs_, [&](const auto &Row) {
      const auto &[Key, Each] = Row;
      const char *How = Lapsed                                 ? "lapsed"
                        : Each.StopAt_ && Now >= *Each.StopAt_ ? "stopped"
                        : Each.Fails_                          ? "failed"
                        : Now >= Each.EndsAt_                  ? "done"
                                                               : nullptr;
      if (How == nullptr)
        return false;
      Ends_.push_back({.Number_ = NextEnd_++,
                       .Task_ = Key.first,
                       .Run_ = Key.second,
                       .How_ = How,
                       .Lapsed_ = Lapsed});
      Judge_.ended(Key.first, {.Worker_ = Options_.Name_, .Run_ = Key.second},
                   How);
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
  Record &Lines_;
  RunJudge &Judge_;
  WorkerOptions Options_;
  net::HttpClient Agent_;
  TimePoint StartedAt_;
  std::uint64_t Born_;
  std::unique_ptr<net::HttpServer> Server_;
  net::Timer Ticks_;
  net::Timer Beats_;
  TimePoint LastHeartbeat_;
  std::map<RunKey, Run> Runs_;
  /// The highest run that was started or stopped, by task.
  std::map<std::string, std::uint64_t> Newest_;
  std::vector<End> Ends_;
  std::vector<Waiting> Waiting_;
  std::vector<net::HttpReplier> Dropped_;
  std::vector<net::Timer> LateCalls_;
  std::uint64_t NextEnd_ = 1;
  std::uint64_t Fence_ = 0;
  std::int64_t LeaseUntilMs_ = 0;
  std::uint64_t Sequence_ = 0;
  RandomEngine Random_{std::hash<std::string>()(Options_.Name_)};
  std::uint32_t UnansweredPermille_ = 0;
  bool DropsAfterFence_ = false;
  bool HoldIsDropped_ = false;
  bool HasDroppedHold_ = false;
};

Worker::Worker(net::EventLoop &Loop, Record &Lines, RunJudge &Judge,
               WorkerOptions Options)
    : Impl_(std::make_shared<Impl>(Loop, Lines, Judge, std::move(Options))) {
  Impl_->start();
}

Worker::~Worker() {
  Impl_->Ticks_.cancel();
  Impl_->Beats_.cancel();
}

const std::string &Worker::name() const { return Impl_->Options_.Name_; }
std::size_t Worker::running() const { return Impl_->Runs_.size(); }
std::size_t Worker::openEnds() const { return Impl_->Ends_.size(); }
TimePoint Worker::lastHeartbeat() const { return Impl_->LastHeartbeat_; }
void Worker::leaveNextHoldUnanswered() { Impl_->DropsAfterFence_ = true; }
void Worker::leaveUnanswered(std::uint32_t Permille) {
  Impl_->UnansweredPermille_ = Permille;
}
bool Worker::failOne(const std::string &Job) { return Impl_->failOne(Job); }
void Worker::crash() { Impl_->crash(); }
void Worker::restart() { Impl_->restart(); }
bool Worker::hasLeftHoldUnanswered() const { return Impl_->HasDroppedHold_; }

} // namespace dragonfly::review
