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
                      .ExpectedServiceTime_ = 5ms},
                     {.Name_ = "review",
                      .FloorPermille_ = 400,
                      .Rank_ = 1,
                      .QueueLimit_ = 20,
                      .ExpectedServiceTime_ = 50ms}}};
}

Admission makeAdmission(std::uint32_t Slots = 10) {
  Admission AdmissionControl(twoKinds());
  AdmissionControl.setCapacity(Slots);
  AdmissionControl.setCustomers(
      {{"a", 100, 100}, {"b", 100, 100}, {"small", 2, 3}});
  return AdmissionControl;
}

RequestHandle offer(Admission &AdmissionControl, std::string_view Customer,
                    std::string_view Kind, Duration TimeLeft = 10s,
                    TimePoint Now = Start) {
  return AdmissionControl.offer(Now, {Customer, Kind, Now + TimeLeft});
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

TEST_CASE(
    "a request that cannot be admitted is refused with the matching reason",
    "[decide][admission]") {
  struct Row {
    std::string_view Customer_;
    std::string_view Kind_;
    Duration TimeLeft_;
    Reason Reason_;
  };
  const auto Case =
      GENERATE(Row{"nobody", "check", 1s, Reason::UnknownCustomer},
               Row{"a", "nothing", 1s, Reason::UnknownKind},
               Row{"a", "check", 0s, Reason::DeadlinePassed},
               Row{"a", "review", 10s, Reason::QueueFull},
               Row{"b", "check", 20ms, Reason::DeadlineUnreachable},
               Row{"small", "review", 10s, Reason::None});
  Admission AdmissionControl = makeAdmission();
  for (int Step = 0; Step < 30; ++Step) {
    offer(AdmissionControl, "a", "review", 60s);
    AdmissionControl.tick(Start);
  }
  for (int Step = 0; Step < 16; ++Step)
    offer(AdmissionControl, Step % 2 == 0 ? "a" : "b", "check");
  AdmissionControl.tick(Start);
  const RequestHandle Request =
      offer(AdmissionControl, Case.Customer_, Case.Kind_, Case.TimeLeft_);
  const auto &Commands = AdmissionControl.tick(Start);
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
  Admission AdmissionControl = makeAdmission();
  for (int Step = 0; Step < 20; ++Step)
    offer(AdmissionControl, "a", "review");
  // One slot stays reserved for the more urgent kind.
  REQUIRE(count(AdmissionControl.tick(Start), AdmissionVerdict::Dispatch) == 9);
}

TEST_CASE("the recent peak demand of a more urgent kind stays free for it",
          "[decide][admission]") {
  Admission AdmissionControl = makeAdmission();
  std::vector<RequestHandle> Checks(3);
  for (RequestHandle &Check : Checks)
    Check = offer(AdmissionControl, "a", "check");
  AdmissionControl.tick(Start);
  for (RequestHandle Check : Checks)
    AdmissionControl.finish(Start, Check, 5ms);
  for (int Step = 0; Step < 20; ++Step)
    offer(AdmissionControl, "a", "review");
  REQUIRE(count(AdmissionControl.tick(Start), AdmissionVerdict::Dispatch) == 6);
  offer(AdmissionControl, "b", "check");
  REQUIRE(count(AdmissionControl.tick(Start), AdmissionVerdict::Dispatch) == 1);
}

TEST_CASE("a flood of the most urgent kind leaves a less urgent kind its floor",
          "[decide][admission]") {
  Admission AdmissionControl = makeAdmission();
  std::vector<RequestHandle> Running;
  for (int Step = 0; Step < 30; ++Step)
    offer(AdmissionControl, "a", "check", 60s);
  for (const auto &Command : AdmissionControl.tick(Start))
    if (Command.Verdict_ == AdmissionVerdict::Dispatch)
      Running.push_back(Command.Request_);
  REQUIRE(Running.size() == 10);
  for (int Step = 0; Step < 6; ++Step)
    offer(AdmissionControl, "b", "review");
  std::size_t Reviews = 0;
  for (int Step = 0; Step < 4; ++Step) {
    AdmissionControl.finish(Start, Running[static_cast<std::size_t>(Step)],
                            5ms);
    Reviews += count(AdmissionControl.tick(Start), AdmissionVerdict::Dispatch);
  }
  REQUIRE(Reviews == 4);
  REQUIRE(AdmissionControl.inProgress() == 10);
}

TEST_CASE("requests of one kind are dispatched earliest deadline first",
          "[decide][admission]") {
  Admission AdmissionControl = makeAdmission(1);
  const RequestHandle First = offer(AdmissionControl, "a", "check");
  AdmissionControl.tick(Start);
  const RequestHandle LaterDeadline = offer(AdmissionControl, "a", "check", 9s);
  const RequestHandle EarlierDeadline =
      offer(AdmissionControl, "a", "check", 3s);
  AdmissionControl.finish(Start, First, 5ms);
  const auto &Commands = AdmissionControl.tick(Start);
  REQUIRE(dispatched(Commands, EarlierDeadline));
  REQUIRE_FALSE(dispatched(Commands, LaterDeadline));
}

TEST_CASE("a customer with few requests is not delayed by one with many",
          "[decide][admission]") {
  Admission AdmissionControl = makeAdmission(4);
  std::vector<RequestHandle> Running;
  for (int Step = 0; Step < 20; ++Step)
    offer(AdmissionControl, "a", "check", 5s);
  for (const auto &Command : AdmissionControl.tick(Start))
    Running.push_back(Command.Request_);
  const RequestHandle OnlyRequest = offer(AdmissionControl, "b", "check", 9s);
  AdmissionControl.finish(Start, Running.front(), 5ms);
  REQUIRE(dispatched(AdmissionControl.tick(Start), OnlyRequest));
}

TEST_CASE("a plan limits a customer's concurrent and waiting requests",
          "[decide][admission]") {
  Admission AdmissionControl = makeAdmission();
  for (int Step = 0; Step < 10; ++Step)
    offer(AdmissionControl, "small", "check");
  const auto &Commands = AdmissionControl.tick(Start);
  REQUIRE(count(Commands, AdmissionVerdict::Dispatch) == 2);
  REQUIRE(count(Commands, AdmissionVerdict::Refuse) == 7);
  REQUIRE(AdmissionControl.waiting() == 1);
}

TEST_CASE("a full queue drops a request of the customer with more requests",
          "[decide][admission]") {
  Admission AdmissionControl = makeAdmission(1);
  for (int Step = 0; Step < 21; ++Step) {
    offer(AdmissionControl, "a", "check", 60s);
    AdmissionControl.tick(Start);
  }
  const RequestHandle OnlyRequest = offer(AdmissionControl, "b", "check", 60s);
  const auto &Commands = AdmissionControl.tick(Start);
  REQUIRE(count(Commands, AdmissionVerdict::Refuse) == 1);
  REQUIRE(Commands.front().Request_ != OnlyRequest);
}

TEST_CASE("a request that waits past its deadline is refused",
          "[decide][admission]") {
  Admission AdmissionControl = makeAdmission(1);
  offer(AdmissionControl, "a", "check");
  AdmissionControl.tick(Start);
  const RequestHandle Second = offer(AdmissionControl, "a", "check", 30ms);
  REQUIRE(AdmissionControl.tick(Start + 29ms).empty());
  const auto &Commands = AdmissionControl.tick(Start + 30ms);
  REQUIRE(Commands.size() == 1);
  REQUIRE(Commands.front().Request_ == Second);
  REQUIRE(Commands.front().Reason_ == Reason::DeadlinePassed);
}

TEST_CASE("a cancelled request gets no command", "[decide][admission]") {
  Admission AdmissionControl = makeAdmission();
  AdmissionControl.cancel(offer(AdmissionControl, "a", "check"));
  AdmissionControl.cancel(offer(AdmissionControl, "nobody", "check"));
  REQUIRE(AdmissionControl.tick(Start).empty());
  REQUIRE(AdmissionControl.waiting() == 0);
}

TEST_CASE("a requeued request is dispatched again after the slot's backoff",
          "[decide][admission]") {
  Admission AdmissionControl = makeAdmission(1);
  const RequestHandle First = offer(AdmissionControl, "a", "check");
  const RequestHandle Second = offer(AdmissionControl, "b", "check");
  REQUIRE(dispatched(AdmissionControl.tick(Start), First));
  AdmissionControl.requeue(Start, First);
  REQUIRE(AdmissionControl.waiting() == 2);
  REQUIRE(AdmissionControl.tick(Start + 4ms).empty());
  REQUIRE(dispatched(AdmissionControl.tick(Start + 5ms), First));
  AdmissionControl.finish(Start + 6ms, First, 1ms);
  REQUIRE(dispatched(AdmissionControl.tick(Start + 6ms), Second));
}

TEST_CASE("waiting requests of a customer that is no longer listed are refused",
          "[decide][admission]") {
  Admission AdmissionControl = makeAdmission(1);
  offer(AdmissionControl, "a", "check");
  AdmissionControl.tick(Start);
  offer(AdmissionControl, "b", "check");
  AdmissionControl.setCustomers({{"a", 10, 10}});
  const auto &Commands = AdmissionControl.tick(Start);
  REQUIRE(Commands.size() == 1);
  REQUIRE(Commands.front().Reason_ == Reason::UnknownCustomer);
  REQUIRE(AdmissionControl.inProgress() == 1);
}

TEST_CASE("less urgent kinds leave part of a plan to the most urgent kind",
          "[decide][admission]") {
  Admission AdmissionControl(twoKinds());
  AdmissionControl.setCapacity(100);
  AdmissionControl.setCustomers({{"plan", 8, 100}, {"single", 1, 100}});
  for (int Step = 0; Step < 15; ++Step)
    offer(AdmissionControl, "plan", "review", 60s);
  offer(AdmissionControl, "single", "review", 60s);
  CHECK(count(AdmissionControl.tick(Start), AdmissionVerdict::Dispatch) ==
        7 + 1);
  const RequestHandle Urgent = offer(AdmissionControl, "plan", "check");
  CHECK(dispatched(AdmissionControl.tick(Start), Urgent));
}
