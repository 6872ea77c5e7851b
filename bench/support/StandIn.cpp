#include "support/StandIn.h"

#include "dragonfly/base/Random.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/HttpServer.h"
#include "support/WorkerTasks.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <deque>
#include <functional>
#include <map>
#include <utility>

namespace dragonfly::standin {
namespace {

namespace json = boost::json;

constexpr Duration TickPeriod = std::chrono::milliseconds(20);
constexpr std::int64_t Permille = 1000;
constexpr std::size_t MaxConnections = 1024;
constexpr std::uint16_t Ok = 200;
constexpr std::uint16_t BadRequest = 400;
constexpr std::uint16_t NotFound = 404;
constexpr std::uint16_t Conflict = 409;
constexpr std::uint16_t Failed = 500;
constexpr std::uint16_t Unavailable = 503;

/// One request, by the names in its headers.
struct RunKey {
  std::string Customer_;
  std::string RequestId_;
  std::string Kind_;

  auto operator<=>(const RunKey &) const = default;
};

/// One request that is being served.
struct Run {
  net::HttpReplier Replier_;
  RunKey Key_;
  std::string Body_;
  Duration ServiceTime_{};
  std::uint32_t PartsLeft_ = 0;
};

struct UsageSample {
  TimePoint At_;
  Resources Used_;
};

net::HttpResponse respond(std::uint16_t Status, const json::value &Body) {
  return {.Status_ = Status,
          .ContentType_ = "application/json",
          .Headers_ = {},
          .Body_ = json::serialize(Body)};
}

std::string textOf(const json::object &Object, std::string_view Key) {
  const auto *Value = Object.if_contains({Key.data(), Key.size()});
  const auto *Text = Value == nullptr ? nullptr : Value->if_string();
  return Text == nullptr ? std::string()
                         : std::string(Text->c_str(), Text->size());
}

std::int64_t numberOf(const json::object &Object, std::string_view Key,
                      std::int64_t Default) {
  const auto *Value = Object.if_contains({Key.data(), Key.size()});
  const bool Number = Value != nullptr && Value->is_number();
  return Number ? Value->to_number<std::int64_t>() : Default;
}

bool flagOf(const json::object &Object, std::string_view Key, bool Default) {
  const auto *Value = Object.if_contains({Key.data(), Key.size()});
  return Value != nullptr && Value->is_bool() ? Value->get_bool() : Default;
}

json::object toJson(const Resources &Value) {
  return {{"milli_processors", Value.MilliProcessors_},
          {"memory_mib", Value.MemoryMib_},
          {"accelerators", Value.Accelerators_}};
}

json::object toJson(const WorkerTask &Row) {
  return {{"task", Row.Task_.Value_},
          {"epoch", Row.Epoch_.Value_},
          {"state", json::string_view(enumName(Row.State_).data(),
                                      enumName(Row.State_).size())},
          {"kind", Row.Kind_},
          {"milli_processors", Row.Need_.MilliProcessors_},
          {"memory_mib", Row.Need_.MemoryMib_},
          {"accelerators", Row.Need_.Accelerators_},
          {"checkpoint", Row.Checkpoint_},
          {"status", Row.State_ == WorkerTaskState::Finished ? Ok : 0},
          {"body", Row.Body_}};
}

json::object parseBody(const std::string &Body) {
  json::error_code Failure;
  const json::value Value = json::parse(Body, Failure);
  return Failure || !Value.is_object() ? json::object() : Value.get_object();
}

} // namespace

struct StandIn::Impl : std::enable_shared_from_this<StandIn::Impl> {
  Impl(net::EventLoop &Loop, StandInOptions Options)
      : Loop_(Loop), Options_(std::move(Options)),
        Behaviour_(Options_.Behaviour_), Tasks_(Options_.TaskTime_) {}

  void listen();
  void tick(TimePoint Now);
  void serve(net::HttpRequest Request, const net::HttpReplier &Replier);
  void run(net::HttpRequest Request, const net::HttpReplier &Replier);
  void goOn(const std::shared_ptr<Run> &Served);
  void finish(const std::shared_ptr<Run> &Served);
  void steer(const json::object &Body);
  void serveTask(const net::HttpRequest &Request,
                 const net::HttpReplier &Replier);
  json::array runs() const;
  json::array tasks() const;
  Resources lateUsage(TimePoint Now) const;
  Duration drawServiceTime(const RunKey &Key) const;
  bool isWatch(const std::string &Kind) const;
  void callWhenDrained();

  net::EventLoop &Loop_;
  StandInOptions Options_;
  Behaviour Behaviour_;
  WorkerTasks Tasks_;
  std::deque<UsageSample> Usage_;
  std::map<RunKey, std::uint64_t> Runs_;
  std::size_t InProgress_ = 0;
  std::map<std::uint64_t, net::Timer> Timers_;
  std::uint64_t NextTimer_ = 0;
  net::Timer Tick_;
  std::function<void()> OnDrained_;
  std::unique_ptr<net::HttpServer> Server_;
};

void StandIn::Impl::listen() {
  Server_ = std::make_unique<net::HttpServer>(
      Loop_, net::HttpServerOptions{
                 .Listen_ = Options_.Listen_,
                 .MaxConnections_ = MaxConnections,
                 .OnRequest_ = [this](net::HttpRequest Request,
                                      const net::HttpReplier &Replier) {
                   serve(std::move(Request), Replier);
                 }});
  Tick_ = Loop_.every(TickPeriod, [this] { tick(Clock::now()); });
}

void StandIn::Impl::tick(TimePoint Now) {
  for (const WorkerTask &Ended : Tasks_.tick(Now))
    ++Runs_[{.Customer_ = {},
             .RequestId_ = "task-" + std::to_string(Ended.Task_.Value_),
             .Kind_ = Ended.Kind_}];
  Usage_.push_back({.At_ = Now, .Used_ = Tasks_.usage()});
  while (Usage_.size() > 1 && Usage_[1].At_ <= Now - Options_.UsageDelay_)
    Usage_.pop_front();
}

Resources StandIn::Impl::lateUsage(TimePoint Now) const {
  if (Usage_.empty() || Usage_.front().At_ > Now - Options_.UsageDelay_)
    return {};
  return Usage_.front().Used_;
}

bool StandIn::Impl::isWatch(const std::string &Kind) const {
  return std::ranges::find(Options_.WatchKinds_, Kind) !=
         Options_.WatchKinds_.end();
}

Duration StandIn::Impl::drawServiceTime(const RunKey &Key) const {
  const std::hash<std::string> Hash;
  RandomEngine Engine(Options_.Seed_ ^
                      Hash(Key.Customer_ + '\n' + Key.RequestId_));
  const auto Spread = static_cast<std::int64_t>(Behaviour_.SpreadPermille_);
  std::uniform_int_distribution<std::int64_t> Share(Permille - Spread,
                                                    Permille + Spread);
  return Behaviour_.ServiceTime_ * Share(Engine) / Permille;
}

void StandIn::Impl::serve(net::HttpRequest Request,
                          const net::HttpReplier &Replier) {
  const std::string Call = Request.Method_ + " " + Request.Target_;
  if (Call == "POST /run")
    run(std::move(Request), Replier);
  else if (Call == "GET /healthz")
    Replier.reply(respond(Behaviour_.Healthy_ && !OnDrained_ ? Ok : Unavailable,
                          json::object{{"healthy", Behaviour_.Healthy_}}));
  else if (Call == "GET /worker/tasks")
    Replier.reply(respond(Ok, json::object{{"tasks", tasks()}}));
  else if (Call == "GET /worker/usage")
    Replier.reply(respond(Ok, toJson(lateUsage(Clock::now()))));
  else if (Call == "GET /stand-in/runs")
    Replier.reply(respond(Ok, json::object{{"runs", runs()}}));
  else if (Call == "PUT /worker/lease") {
    Tasks_.setLease(
        TimePoint(Duration(numberOf(parseBody(Request.Body_), "until_ns", 0))));
    Replier.reply(respond(Ok, json::object()));
  } else if (Call == "PUT /stand-in") {
    steer(parseBody(Request.Body_));
    Replier.reply(respond(Ok, json::object()));
  } else if (Call.starts_with("POST /worker/tasks/"))
    serveTask(Request, Replier);
  else
    Replier.reply(respond(NotFound, json::object{{"type", "not-found"}}));
}

void StandIn::Impl::run(net::HttpRequest Request,
                        const net::HttpReplier &Replier) {
  if (OnDrained_) {
    Replier.reply(respond(Unavailable, json::object{{"type", "draining"}}));
    return;
  }
  RunKey Key{.Customer_ = std::string(Request.header("Dragonfly-Customer")),
             .RequestId_ = std::string(Request.header("Dragonfly-Request-Id")),
             .Kind_ = std::string(Request.header("Dragonfly-Kind"))};
  ++Runs_[Key];
  if (Behaviour_.Fail_) {
    Replier.reply(respond(Failed, json::object{{"type", "failed"}}));
    return;
  }
  if (Behaviour_.Hang_)
    return;
  const auto Served = std::make_shared<Run>(
      Run{.Replier_ = Replier,
          .Key_ = Key,
          .Body_ = std::move(Request.Body_),
          .ServiceTime_ = drawServiceTime(Key),
          .PartsLeft_ = isWatch(Key.Kind_) ? Options_.WatchParts_ : 0});
  ++InProgress_;
  if (Served->PartsLeft_ > 0)
    Replier.beginChunks({.Status_ = Ok,
                         .ContentType_ = "application/x-ndjson",
                         .Headers_ = {},
                         .Body_ = {}});
  goOn(Served);
}

/// Serves for one service time, then answers or sends a part.
void StandIn::Impl::goOn(const std::shared_ptr<Run> &Served) {
  const std::uint64_t Number = NextTimer_++;
  Timers_[Number] = Loop_.after(
      Served->ServiceTime_, [Self = shared_from_this(), Served, Number] {
        const auto Own = Self->Timers_.extract(Number);
        if (Served->PartsLeft_ == 0) {
          Self->finish(Served);
          return;
        }
        const json::object Part{{"request_id", Served->Key_.RequestId_},
                                {"parts_left", --Served->PartsLeft_}};
        Served->Replier_.chunk(json::serialize(Part) + "\n");
        if (Served->PartsLeft_ > 0) {
          Self->goOn(Served);
          return;
        }
        Served->Replier_.endChunks();
        --Self->InProgress_;
        Self->callWhenDrained();
      });
}

void StandIn::Impl::finish(const std::shared_ptr<Run> &Served) {
  Served->Replier_.reply(
      respond(Ok, json::object{{"customer", Served->Key_.Customer_},
                               {"kind", Served->Key_.Kind_},
                               {"request_id", Served->Key_.RequestId_},
                               {"echo", Served->Body_}}));
  --InProgress_;
  callWhenDrained();
}

void StandIn::Impl::steer(const json::object &Body) {
  const auto Present = std::chrono::duration_cast<std::chrono::milliseconds>(
      Behaviour_.ServiceTime_);
  Behaviour_ = {
      .ServiceTime_ = std::chrono::milliseconds(
          numberOf(Body, "service_ms", Present.count())),
      .SpreadPermille_ = static_cast<std::uint32_t>(std::clamp<std::int64_t>(
          numberOf(Body, "spread_permille", Behaviour_.SpreadPermille_), 0,
          Permille)),
      .Fail_ = flagOf(Body, "fail", Behaviour_.Fail_),
      .Hang_ = flagOf(Body, "hang", Behaviour_.Hang_),
      .Healthy_ = flagOf(Body, "healthy", Behaviour_.Healthy_)};
}

void StandIn::Impl::serveTask(const net::HttpRequest &Request,
                              const net::HttpReplier &Replier) {
  const std::string Rest =
      Request.Target_.substr(std::string_view("/worker/tasks/").size());
  const auto Slash = Rest.find('/');
  TaskId Task;
  std::from_chars(Rest.data(), Rest.data() + Rest.size(), Task.Value_);
  if (Slash == std::string::npos || !Task) {
    Replier.reply(respond(BadRequest, json::object{{"type", "bad-task"}}));
    return;
  }
  const std::string Action = Rest.substr(Slash + 1);
  const json::object Body = parseBody(Request.Body_);
  const Epoch At{static_cast<std::uint64_t>(numberOf(Body, "epoch", 0))};
  json::object Answer;
  bool Done = false;
  if (Action == "start")
    Done = Tasks_.start(
        Clock::now(),
        {.Task_ = Task,
         .Epoch_ = At,
         .Kind_ = textOf(Body, "kind"),
         .Need_ = {.MilliProcessors_ = numberOf(Body, "milli_processors", 0),
                   .MemoryMib_ = numberOf(Body, "memory_mib", 0),
                   .Accelerators_ = numberOf(Body, "accelerators", 0)},
         .Checkpoint_ = textOf(Body, "checkpoint"),
         .Body_ = textOf(Body, "body")});
  else if (Action == "throttle")
    Done = Tasks_.throttle(
        Task, At,
        static_cast<std::uint32_t>(numberOf(Body, "permille", Permille)));
  else if (Action == "checkpoint") {
    const auto Checkpoint = Tasks_.checkpoint(Task, At);
    Done = Checkpoint.has_value();
    Answer["checkpoint"] = Checkpoint.value_or("");
  } else if (Action == "stop")
    Done = Tasks_.stop(Task, At);
  Replier.reply(Done ? respond(Ok, Answer)
                     : respond(Conflict, json::object{{"type", "conflict"}}));
}

json::array StandIn::Impl::runs() const {
  json::array Rows;
  for (const auto &[Key, Count] : Runs_)
    Rows.push_back(json::object{{"customer", Key.Customer_},
                                {"request_id", Key.RequestId_},
                                {"kind", Key.Kind_},
                                {"count", Count}});
  return Rows;
}

json::array StandIn::Impl::tasks() const {
  json::array Rows;
  std::ranges::transform(Tasks_.rows(), std::back_inserter(Rows),
                         [](const WorkerTask &Row) { return toJson(Row); });
  return Rows;
}

void StandIn::Impl::callWhenDrained() {
  if (OnDrained_ && InProgress_ == 0)
    Loop_.post(OnDrained_);
}

StandIn::StandIn(net::EventLoop &Loop, StandInOptions Options)
    : Impl_(std::make_shared<Impl>(Loop, std::move(Options))) {
  Impl_->listen();
}

StandIn::~StandIn() {
  Impl_->Timers_.clear();
  Impl_->Tick_.cancel();
  Impl_->Server_.reset();
}

void StandIn::drain(std::function<void()> OnDrained) {
  Impl_->OnDrained_ = std::move(OnDrained);
  Impl_->callWhenDrained();
}

net::Endpoint StandIn::endpoint() const { return Impl_->Server_->endpoint(); }

} // namespace dragonfly::standin
