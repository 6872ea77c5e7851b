#include "agent/HttpUpstream.h"

#include "dragonfly/base/JsonRecovery.h"
#include "dragonfly/base/Log.h"

#include <boost/json.hpp>

#include <array>
#include <utility>

namespace dragonfly {

template <> struct EnumTable<agent::WorkerTaskState> {
  using State = agent::WorkerTaskState;
  static constexpr std::array<EnumName<State>, 4> Rows{{
      {State::Running, "running"},
      {State::Finished, "finished"},
      {State::Failed, "failed"},
      {State::Checkpointed, "checkpointed"},
  }};
};

} // namespace dragonfly

namespace dragonfly::agent {
namespace {

namespace json = boost::json;

constexpr Duration WorkerTimeout = std::chrono::seconds(2);
constexpr std::size_t WorkerConnections = 4;
constexpr std::uint16_t Ok = 200;
constexpr std::uint16_t FirstServerError = 500;

/// Throws where an amount is missing, negative or no whole number.
Resources readResources(const json::object &Row) {
  const auto Read = [&Row](std::string_view Key) -> std::int64_t {
    return Row.at(Key).to_number<std::uint32_t>();
  };
  return {.MilliProcessors_ = Read("milli_processors"),
          .MemoryMib_ = Read("memory_mib"),
          .Accelerators_ = Read("accelerators")};
}

std::string text(const json::object &Row, std::string_view Key) {
  const json::value *Value = Row.if_contains(Key);
  return Value && Value->is_string() ? std::string(Value->get_string())
                                     : std::string();
}

WorkerTask readTask(const json::object &Row) {
  const auto State = enumFromName<WorkerTaskState>(text(Row, "state"));
  return {.Task_ = {Row.at("task").to_number<std::uint64_t>()},
          .Epoch_ = {Row.at("epoch").to_number<std::uint64_t>()},
          .State_ = State.value_or(WorkerTaskState::Failed),
          .Need_ = Row.contains("milli_processors") ? readResources(Row)
                                                    : Resources{},
          .CheckpointId_ = text(Row, "checkpoint"),
          .Status_ = Row.contains("status")
                         ? Row.at("status").to_number<std::uint16_t>()
                         : std::uint16_t{0},
          .Body_ = text(Row, "body")};
}

/// Reads a body by \p Read; nothing where it is not what was expected.
template <typename Reader>
auto readBody(const net::HttpResult &Result, Reader Read)
    -> std::optional<decltype(Read(json::object()))> {
  if (Result.Status_ != net::CallStatus::Answered ||
      Result.Response_.Status_ != Ok)
    return std::nullopt;
  try {
    const auto Found = parseRecoverable(Result.Response_.Body_);
    return Found ? std::optional(Read(Found->Object_)) : std::nullopt;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

/// A row that cannot be read names no task; the others hold.
std::vector<WorkerTask> readTasks(const json::object &Body) {
  std::vector<WorkerTask> Tasks;
  for (const json::value &Row : Body.at("tasks").as_array())
    try {
      Tasks.push_back(readTask(Row.as_object()));
    } catch (const std::exception &Fault) {
      logEvent(Event::MessageRejected,
               {{"what", "tasks"}, {"fault", Fault.what()}});
    }
  return Tasks;
}

std::string_view verb(wire::TaskAction Action) {
  constexpr std::array<std::string_view, 5> Verbs{"start", "start", "throttle",
                                                  "checkpoint", "stop"};
  return Verbs.at(static_cast<std::size_t>(Action));
}

json::object orderBody(const wire::TaskDirective &Order) {
  json::object Body{{"epoch", Order.Epoch_.Value_}};
  if (Order.Action_ == wire::TaskAction::Throttle)
    Body["permille"] = Order.ThrottlePermille_;
  if (Order.Action_ != wire::TaskAction::Start &&
      Order.Action_ != wire::TaskAction::Resume)
    return Body;
  Body["kind"] = Order.Kind_;
  Body["milli_processors"] = Order.Need_.MilliProcessors_;
  Body["memory_mib"] = Order.Need_.MemoryMib_;
  Body["accelerators"] = Order.Need_.Accelerators_;
  Body["checkpoint"] = Order.CheckpointId_;
  Body["body"] = Order.Body_;
  return Body;
}

OrderResult readOrder(const net::HttpResult &Result) {
  if (Result.Status_ == net::CallStatus::NeverSent)
    return {.Status_ = OrderStatus::Unknown};
  if (Result.Status_ != net::CallStatus::Answered ||
      Result.Response_.Status_ >= FirstServerError)
    return {.Status_ = OrderStatus::Unknown};
  if (Result.Response_.Status_ != Ok)
    return {.Status_ = OrderStatus::Rejected};
  const auto Checkpoint = readBody(Result, [](const json::object &Body) {
    return text(Body, "checkpoint");
  });
  return {.Status_ = OrderStatus::Done,
          .CheckpointId_ = Checkpoint.value_or("")};
}

} // namespace

HttpUpstream::HttpUpstream(net::EventLoop &Loop, const net::Endpoint &Peer,
                           std::size_t Connections)
    : Requests_(Loop, {.Peer_ = Peer, .MaxConnections_ = Connections}),
      Worker_(Loop, {.Peer_ = Peer, .MaxConnections_ = WorkerConnections}) {}

UpstreamHooks HttpUpstream::hooks() {
  return {.Run_ =
              [this](const wire::Execute &Request, Duration Timeout, auto OnEnd,
                     auto OnPart) {
                return run(Request, Timeout, std::move(OnEnd),
                           std::move(OnPart));
              },
          .Cancel_ = [this](std::uint64_t Number) { Requests_.cancel(Number); },
          .Order_ = [this](const wire::TaskDirective &Order,
                           auto OnEnd) { order(Order, std::move(OnEnd)); },
          .Lease_ = [this](TimePoint Until) { lease(Until); },
          .List_ = [this](auto OnEnd) { list(std::move(OnEnd)); },
          .Usage_ = [this](auto OnEnd) { usage(std::move(OnEnd)); },
          .Health_ = [this](auto OnEnd) { health(std::move(OnEnd)); }};
}

std::uint64_t HttpUpstream::run(const wire::Execute &Request, Duration Timeout,
                                std::function<void(RunResult)> OnEnd,
                                std::function<void(std::string)> OnPart) {
  net::HttpRequest Call{
      .Method_ = "POST",
      .Target_ = "/run",
      .Headers_ = {{"Dragonfly-Customer", Request.Key_.Customer_},
                   {"Dragonfly-Kind", Request.Kind_},
                   {"Dragonfly-Request-Id", Request.Key_.RequestId_}},
      .Body_ = Request.Body_};
  return Requests_.request(
      std::move(Call), Timeout,
      [OnEnd = std::move(OnEnd)](net::HttpResult Result) {
        OnEnd({.Status_ = Result.Status_,
               .HttpStatus_ = Result.Response_.Status_,
               .Body_ = std::move(Result.Response_.Body_)});
      },
      std::move(OnPart));
}

void HttpUpstream::order(const wire::TaskDirective &Order,
                         std::function<void(OrderResult)> OnEnd) {
  net::HttpRequest Call{.Method_ = "POST",
                        .Target_ = "/worker/tasks/" +
                                   std::to_string(Order.Task_.Value_) + "/" +
                                   std::string(verb(Order.Action_)),
                        .Body_ = json::serialize(orderBody(Order))};
  Worker_.request(std::move(Call), WorkerTimeout,
                  [OnEnd = std::move(OnEnd)](const net::HttpResult &Result) {
                    OnEnd(readOrder(Result));
                  });
}

void HttpUpstream::list(
    std::function<void(std::optional<std::vector<WorkerTask>>)> OnEnd) {
  Worker_.request({.Target_ = "/worker/tasks"}, WorkerTimeout,
                  [OnEnd = std::move(OnEnd)](const net::HttpResult &Result) {
                    OnEnd(readBody(Result, readTasks));
                  });
}

void HttpUpstream::lease(TimePoint Until) {
  const json::object Body{{"until_ns", Until.time_since_epoch().count()}};
  Worker_.request({.Method_ = "PUT",
                   .Target_ = "/worker/lease",
                   .Body_ = json::serialize(Body)},
                  WorkerTimeout, [](const net::HttpResult &) {});
}

void HttpUpstream::usage(std::function<void(std::optional<Resources>)> OnEnd) {
  Worker_.request({.Target_ = "/worker/usage"}, WorkerTimeout,
                  [OnEnd = std::move(OnEnd)](const net::HttpResult &Result) {
                    OnEnd(readBody(Result, readResources));
                  });
}

void HttpUpstream::health(std::function<void(bool)> OnEnd) {
  Worker_.request({.Target_ = "/healthz"}, WorkerTimeout,
                  [OnEnd = std::move(OnEnd)](const net::HttpResult &Result) {
                    OnEnd(Result.Status_ == net::CallStatus::Answered &&
                          Result.Response_.Status_ == Ok);
                  });
}

} // namespace dragonfly::agent
