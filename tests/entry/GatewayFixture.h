/// A gateway with fake agents and a fake control, on the paused clock.
#ifndef DRAGONFLY_TESTS_ENTRY_GATEWAYFIXTURE_H
#define DRAGONFLY_TESTS_ENTRY_GATEWAYFIXTURE_H

#include "dragonfly/entry/Gateway.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::entry {

struct ControlCall {
  wire::Message Request_;
  Duration Timeout_{};
  net::FrameClient::Handler OnEnd_;
};

inline net::CallResult answered(wire::Message Value) {
  return {net::CallStatus::Answered, std::move(Value)};
}

inline net::CallResult executed(Outcome End, Reason Why = Reason::None,
                                std::uint16_t Status = 200) {
  return answered(wire::ExecuteResult{
      .Outcome_ = End,
      .Reason_ = Why,
      .Status_ = End == Outcome::Completed ? Status : std::uint16_t{0},
      .Body_ = "body"});
}

inline net::CallResult claimReply(wire::ClaimStatus Status) {
  return answered(wire::ClaimReply{.Status_ = Status,
                                   .First_ = {.Outcome_ = Outcome::Completed,
                                              .Status_ = 201,
                                              .Body_ = "first"}});
}

inline const net::CallResult NeverSent{net::CallStatus::NeverSent, {}};
inline const net::CallResult Lost{net::CallStatus::Lost, {}};
inline const net::CallResult TimedOut{net::CallStatus::TimedOut, {}};
inline const net::CallResult Done = executed(Outcome::Completed);
inline const net::CallResult NoSlot =
    executed(Outcome::RefusedNotRun, Reason::NoFreeSlot);
inline const net::CallResult Broken =
    executed(Outcome::Unknown, Reason::UpstreamFailed);

/// Kinds: "check" idempotent, "review" non-idempotent, "watch" streamed,
/// "batch" a non-idempotent task.
class GatewayFixture {
public:
  explicit GatewayFixture(std::uint32_t RetryPermille = 1000) {
    Clock::pause(TimePoint(std::chrono::hours(1)));
    Gateway_.emplace(GatewayOptions{.Self_ = {77},
                                    .AvailabilityZone_ = "az-a",
                                    .Kinds_ = kinds(),
                                    .RetryPermille_ = RetryPermille,
                                    .Window_ = {.MaxAnswers_ = 100},
                                    .Hooks_ = hooks()});
    Gateway_->setCustomers({{"acme", 100, 100}});
    setUpstreams(3);
  }
  ~GatewayFixture() { Clock::resume(); }
  GatewayFixture(const GatewayFixture &) = delete;
  GatewayFixture &operator=(const GatewayFixture &) = delete;

  void setUpstreams(std::uint64_t Count) {
    std::vector<wire::Upstream> Rows;
    for (std::uint64_t Number = 1; Number <= Count; ++Number)
      Rows.push_back({.Name_ = "vm-" + std::to_string(Number),
                      .Incarnation_ = {Number},
                      .AvailabilityZone_ = "az-a",
                      .Vm_ = {.Slots_ = 8, .FreeSlots_ = 8}});
    Gateway_->setUpstreams(Rows, static_cast<std::uint32_t>(Count) * 8);
  }

  /// Submits; the answer goes to `Answers_`.
  WaiterId submit(const std::string &Kind, const std::string &RequestId,
                  std::string Body = "b", bool Detached = false) {
    return Gateway_->submit(
        Clock::now(),
        {.Key_ = {"acme", RequestId},
         .Kind_ = Kind,
         .Body_ = std::move(Body),
         .Detached_ = Detached},
        {.OnAnswer_ = [this](const AnswerPtr &End) { Answers_.push_back(End); },
         .OnPart_ =
             [this](std::string_view Part) {
               Parts_ += Part;
               return KeepsUp_;
             },
         .OnAccepted_ = [this] { ++Accepted_; }});
  }

  void advance(Duration By) {
    Clock::advance(By);
    Gateway_->tick(Clock::now());
  }

  /// Ends the newest call to an agent.
  void endAgentCall(net::CallResult Result) {
    const auto OnEnd = std::exchange(AgentCalls_.back().OnEnd_, nullptr);
    OnEnd(std::move(Result));
  }

  void endControlCall(net::CallResult Result) {
    const auto OnEnd = std::exchange(ControlCalls_.back().OnEnd_, nullptr);
    OnEnd(std::move(Result));
  }

  bool agentPending() const {
    return !AgentCalls_.empty() && AgentCalls_.back().OnEnd_ != nullptr;
  }
  bool controlPending() const {
    return !ControlCalls_.empty() && ControlCalls_.back().OnEnd_ != nullptr;
  }

  std::optional<Gateway> Gateway_;
  std::vector<AgentCall> AgentCalls_;
  std::vector<ControlCall> ControlCalls_;
  std::vector<std::pair<std::string, wire::Message>> Told_;
  std::vector<wire::Receipt> Receipts_;
  std::vector<AnswerPtr> Answers_;
  std::string Parts_;
  int Accepted_ = 0;
  int Completions_ = 0;
  bool KeepsUp_ = true;
  bool MayTakeWork_ = true;

private:
  static std::vector<settings::KindSettings> kinds() {
    using settings::Carrier;
    using settings::Urgency;
    const Duration Minute = std::chrono::minutes(1);
    return {{.Name_ = "check", .Deadline_ = std::chrono::seconds(1)},
            {.Name_ = "review",
             .Urgency_ = Urgency::Deadline,
             .NonIdempotent_ = true,
             .Deadline_ = std::chrono::seconds(10)},
            {.Name_ = "watch", .Urgency_ = Urgency::Watch, .Deadline_ = Minute},
            {.Name_ = "batch",
             .Urgency_ = Urgency::Deadline,
             .Carrier_ = Carrier::Task,
             .NonIdempotent_ = true,
             .Deadline_ = Minute}};
  }

  GatewayHooks hooks() {
    return {
        .CallAgent_ =
            [this](AgentCall Call) { AgentCalls_.push_back(std::move(Call)); },
        .TellAgent_ =
            [this](const std::string &Worker, const wire::Message &Value) {
              Told_.emplace_back(Worker, Value);
            },
        .CallControl_ =
            [this](wire::Message Value, Duration Timeout,
                   net::FrameClient::Handler OnEnd) {
              ControlCalls_.push_back(
                  {std::move(Value), Timeout, std::move(OnEnd)});
            },
        .KeepReceipt_ =
            [this](wire::Receipt Row) { Receipts_.push_back(std::move(Row)); },
        .MayTakeWork_ = [this](TimePoint) { return MayTakeWork_; },
        .OnCompleted_ = [this](const std::string &, const std::string &,
                               Duration) { ++Completions_; }};
  }
};

} // namespace dragonfly::entry

#endif // DRAGONFLY_TESTS_ENTRY_GATEWAYFIXTURE_H
