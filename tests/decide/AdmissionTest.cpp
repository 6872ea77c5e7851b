#include "dragonfly/decide/Admission.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace dragonfly;
using namespace dragonfly::decide;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{100s};

AdmissionOptions twoKinds() {
  return {.Kinds_ = {{.Name_ = "check",
                      .FloorPermille_ = 400,
                      .Rank_ = 0,
                      .QueueLimit_ = 20,
                      .ExpectedService_ = 5ms},
                     {.Name_ = "review",
                      .FloorPermille_ = 400,
                      .Rank_ = 1,
                      .QueueLimit_ = 20,
                      .ExpectedService_ = 50ms}}};
}

Admission makeAdmission(std::uint32_t Slots = 10) {
  Admission Value(twoKinds());
  Value.setCapacity(Slots);
  Value.setCustomers({{"a", 100, 100}, {"b", 100, 100}, {"small", 2, 3}});
  return Value;
}

RequestHandle offer(Admission &Value, std::string_view Customer,
                    std::string_view Kind, Duration Left = 10s,
                    TimePoint Now = Start) {
  return Value.offer(Now, {Customer, Kind, Now + Left});
}

std::size_t count(const std::vector<AdmissionCommand> &Commands,
                  AdmissionVerdict Verdict) {
  return static_cast<std::size_t>(
      std::ranges::count(Commands, Verdict, &AdmissionCommand::Verdict_));
}

bool dispatched(const std::vector<AdmissionCommand> &Commands,
                RequestHandle Request) {
  return std::ranges::any_of(Commands, [&](const AdmissionCommand &Command) {
    return Command.Request_ == Request &&
           Command.Verdict_ == AdmissionVerdict::Dispatch;
  });
}

} // namespace

TEST_CASE("a request is refused with its reason", "[decide][admission]") {
  struct Row {
    std::string_view Customer_;
    std::string_view Kind_;
    Duration Left_;
    Reason Reason_;
  };
  const auto Case =
      GENERATE(Row{"nobody", "check", 1s, Reason::UnknownCustomer},
               Row{"a", "nothing", 1s, Reason::UnknownKind},
               Row{"a", "check", 0s, Reason::DeadlinePassed},
               Row{"a", "review", 10s, Reason::QueueFull},
               Row{"b", "check", 20ms, Reason::DeadlineUnreachable},
               Row{"small", "review", 10s, Reason::None});
  Admission Value = makeAdmission();
  for (int Step = 0; Step < 30; ++Step) {
    offer(Value, "a", "review", 60s);
    Value.tick(Start);
  }
  for (int Step = 0; Step < 16; ++Step)
    offer(Value, Step % 2 == 0 ? "a" : "b", "check");
  Value.tick(Start);
  const RequestHandle Request =
      offer(Value, Case.Customer_, Case.Kind_, Case.Left_);
  const auto &Commands = Value.tick(Start);
  const auto Found =
      std::ranges::find(Commands, Request, &AdmissionCommand::Request_);
  INFO(enumName(Case.Reason_));
  if (Case.Reason_ == Reason::None) {
    REQUIRE(Found == Commands.end());
    return;
  }
  REQUIRE(Found != Commands.end());
  REQUIRE(enumName(Found->Reason_) == enumName(Case.Reason_));
  REQUIRE(Found->RetryAfter_ > 0s);
}

TEST_CASE("a kind uses idle capacity beyond its floor", "[decide][admission]") {
  Admission Value = makeAdmission();
  for (int Step = 0; Step < 20; ++Step)
    offer(Value, "a", "review");
  REQUIRE(count(Value.tick(Start), AdmissionVerdict::Dispatch) == 9);
}

TEST_CASE("slots that an urgent kind wanted lately stay free for it",
          "[decide][admission]") {
  Admission Value = makeAdmission();
  std::vector<RequestHandle> Checks(3);
  for (RequestHandle &Check : Checks)
    Check = offer(Value, "a", "check");
  Value.tick(Start);
  for (RequestHandle Check : Checks)
    Value.finish(Start, Check, 5ms);
  for (int Step = 0; Step < 20; ++Step)
    offer(Value, "a", "review");
  REQUIRE(count(Value.tick(Start), AdmissionVerdict::Dispatch) == 6);
  offer(Value, "b", "check");
  REQUIRE(count(Value.tick(Start), AdmissionVerdict::Dispatch) == 1);
}

TEST_CASE("a flood of the urgent kind leaves the other its floor",
          "[decide][admission]") {
  Admission Value = makeAdmission();
  std::vector<RequestHandle> Running;
  for (int Step = 0; Step < 30; ++Step)
    offer(Value, "a", "check", 60s);
  for (const auto &Command : Value.tick(Start))
    if (Command.Verdict_ == AdmissionVerdict::Dispatch)
      Running.push_back(Command.Request_);
  REQUIRE(Running.size() == 10);
  for (int Step = 0; Step < 6; ++Step)
    offer(Value, "b", "review");
  std::size_t Reviews = 0;
  for (int Step = 0; Step < 4; ++Step) {
    Value.finish(Start, Running[static_cast<std::size_t>(Step)], 5ms);
    Reviews += count(Value.tick(Start), AdmissionVerdict::Dispatch);
  }
  REQUIRE(Reviews == 4);
  REQUIRE(Value.inProgress() == 10);
}

TEST_CASE("the earliest deadline goes first inside a kind",
          "[decide][admission]") {
  Admission Value = makeAdmission(1);
  const RequestHandle First = offer(Value, "a", "check");
  Value.tick(Start);
  const RequestHandle Late = offer(Value, "a", "check", 9s);
  const RequestHandle Soon = offer(Value, "a", "check", 3s);
  Value.finish(Start, First, 5ms);
  const auto &Commands = Value.tick(Start);
  REQUIRE(dispatched(Commands, Soon));
  REQUIRE_FALSE(dispatched(Commands, Late));
}

TEST_CASE("a customer with few requests is not held up by one with many",
          "[decide][admission]") {
  Admission Value = makeAdmission(4);
  std::vector<RequestHandle> Running;
  for (int Step = 0; Step < 20; ++Step)
    offer(Value, "a", "check", 5s);
  for (const auto &Command : Value.tick(Start))
    Running.push_back(Command.Request_);
  const RequestHandle Own = offer(Value, "b", "check", 9s);
  Value.finish(Start, Running.front(), 5ms);
  REQUIRE(dispatched(Value.tick(Start), Own));
}

TEST_CASE("a plan bounds what runs and what waits", "[decide][admission]") {
  Admission Value = makeAdmission();
  for (int Step = 0; Step < 10; ++Step)
    offer(Value, "small", "check");
  const auto &Commands = Value.tick(Start);
  REQUIRE(count(Commands, AdmissionVerdict::Dispatch) == 2);
  REQUIRE(count(Commands, AdmissionVerdict::Refuse) == 7);
  REQUIRE(Value.waiting() == 1);
}

TEST_CASE("a full queue makes room for the customer with fewer requests",
          "[decide][admission]") {
  Admission Value = makeAdmission(1);
  for (int Step = 0; Step < 21; ++Step) {
    offer(Value, "a", "check", 60s);
    Value.tick(Start);
  }
  const RequestHandle Own = offer(Value, "b", "check", 60s);
  const auto &Commands = Value.tick(Start);
  REQUIRE(count(Commands, AdmissionVerdict::Refuse) == 1);
  REQUIRE(Commands.front().Request_ != Own);
}

TEST_CASE("what waits past its deadline is refused as not run",
          "[decide][admission]") {
  Admission Value = makeAdmission(1);
  offer(Value, "a", "check");
  Value.tick(Start);
  const RequestHandle Second = offer(Value, "a", "check", 30ms);
  REQUIRE(Value.tick(Start + 29ms).empty());
  const auto &Commands = Value.tick(Start + 30ms);
  REQUIRE(Commands.size() == 1);
  REQUIRE(Commands.front().Request_ == Second);
  REQUIRE(Commands.front().Reason_ == Reason::DeadlinePassed);
}

TEST_CASE("no command follows a cancellation", "[decide][admission]") {
  Admission Value = makeAdmission();
  Value.cancel(offer(Value, "a", "check"));
  Value.cancel(offer(Value, "nobody", "check"));
  REQUIRE(Value.tick(Start).empty());
  REQUIRE(Value.waiting() == 0);
}

TEST_CASE("a request that found no room waits again for a moment",
          "[decide][admission]") {
  Admission Value = makeAdmission(1);
  const RequestHandle First = offer(Value, "a", "check");
  const RequestHandle Second = offer(Value, "b", "check");
  REQUIRE(dispatched(Value.tick(Start), First));
  Value.requeue(Start, First);
  REQUIRE(Value.waiting() == 2);
  REQUIRE(Value.tick(Start + 4ms).empty());
  REQUIRE(dispatched(Value.tick(Start + 5ms), First));
  Value.finish(Start + 6ms, First, 1ms);
  REQUIRE(dispatched(Value.tick(Start + 6ms), Second));
}

TEST_CASE("a customer that left the lists waits no longer",
          "[decide][admission]") {
  Admission Value = makeAdmission(1);
  offer(Value, "a", "check");
  Value.tick(Start);
  offer(Value, "b", "check");
  Value.setCustomers({{"a", 10, 10}});
  const auto &Commands = Value.tick(Start);
  REQUIRE(Commands.size() == 1);
  REQUIRE(Commands.front().Reason_ == Reason::UnknownCustomer);
  REQUIRE(Value.inProgress() == 1);
}

TEST_CASE("less urgent work leaves part of a plan to urgent work",
          "[decide][admission]") {
  Admission Value(twoKinds());
  Value.setCapacity(100);
  Value.setCustomers({{"plan", 8, 100}, {"single", 1, 100}});
  for (int Step = 0; Step < 15; ++Step)
    offer(Value, "plan", "review", 60s);
  offer(Value, "single", "review", 60s);
  CHECK(count(Value.tick(Start), AdmissionVerdict::Dispatch) == 7 + 1);
  const RequestHandle Urgent = offer(Value, "plan", "check");
  CHECK(dispatched(Value.tick(Start), Urgent));
}
