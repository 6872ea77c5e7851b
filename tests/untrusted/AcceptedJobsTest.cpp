/// Load: callers hand in whole jobs which hold more than their bytes. Guards
/// against a core that outgrows its machines, and does so again at each start.
#include "untrusted/Group.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace dragonfly::untrusted;
using dragonfly::platform::Peer;

namespace {

/// Requests of one connection that are sent before the first answer is read.
constexpr std::size_t Window = 16;
/// Numbers of jobs that no crowd uses.
constexpr std::size_t OrdinaryJob = std::size_t(1) << 32U;

/// Submits jobs with the numbers from 1 to \p Count, and returns the answers in
/// this order.
std::vector<Answer> submitAll(const Group &To, std::size_t Count,
                              const std::string &Body) {
  std::vector<Answer> Answers;
  const Peer Caller(To.entryIp(), 8161);
  while (Answers.size() < Count) {
    const std::size_t Sent = std::min(Window, Count - Answers.size());
    std::string Requests;
    for (std::size_t I = 1; I <= Sent; ++I)
      Requests += jobRequest("POST", jobId(Answers.size() + I), Body);
    Caller.send(Requests);
    for (std::size_t I = 0; I < Sent; ++I)
      Answers.push_back(parseAnswer(Caller.readAnswer()));
  }
  return Answers;
}

constexpr std::size_t LargeJobSteps = 256;

/// Returns how many jobs of `LargeJobSteps` steps hold twice the memory of the
/// machine.
std::size_t largeJobs(const Machine &Limits) {
  constexpr std::size_t LeastBytesPerStep = 128;
  return 2 * Limits.MemoryMb_ * BytesPerMb /
         (LargeJobSteps * LeastBytesPerStep);
}

} // namespace

// Guards against a row for each task that a caller only names.
TEST_CASE("tasks that have not begun cost control no memory",
          "[untrusted][jobs]") {
  constexpr std::size_t TasksPerStep = 10'000;
  constexpr std::size_t Steps = 2;
  constexpr std::size_t LeastBytesPerTask = 64;
  const Machine Limits;
  const std::size_t Jobs = 2 * Limits.MemoryMb_ * BytesPerMb /
                           (Steps * TasksPerStep * LeastBytesPerTask);
  Group On(Limits);
  for (const Answer &Each : submitAll(On, Jobs, jobBody(Steps, TasksPerStep)))
    REQUIRE(Each.Status_ == 200);
  On.check();
  const std::string Ordinary = jobId(OrdinaryJob);
  CHECK(On.call(jobRequest("POST", Ordinary, jobBody(1, 1))).Status_ == 200);
  const Answer State = On.call(jobRequest("GET", Ordinary));
  CHECK(State.Status_ == 200);
  CHECK(State.Body_ == R"({"State":"queued"})");
  On.restartControl();
  CHECK(On.callUntil(jobRequest("GET", Ordinary), 200).Body_ == State.Body_);
  On.check();
}

// Guards against accepted jobs that are bounded by their number of tasks only.
TEST_CASE("jobs that wait do not use up control's memory",
          "[untrusted][jobs]") {
  const Machine Limits;
  const std::size_t Jobs = largeJobs(Limits);
  Group On(Limits);
  const Answer Unknown = On.call(jobRequest("GET", jobId(OrdinaryJob)));
  REQUIRE(Unknown.Status_ == 410);
  const std::vector<Answer> Answers =
      submitAll(On, Jobs, jobBody(LargeJobSteps, 1));
  On.check();
  std::map<int, std::size_t> Counts;
  for (const Answer &Each : Answers) {
    ++Counts[Each.Status_];
    REQUIRE((Each.Status_ == 200 || Each.Status_ == 503));
    if (Each.Status_ == 503)
      CHECK(Each.Head_.find("Retry-After: ") != std::string::npos);
  }
  CHECK(Counts[200] > 0);
  const auto CheckKept = [&] {
    const std::size_t Step = std::max<std::size_t>(Answers.size() / Window, 1);
    for (std::size_t I = 0; I < Answers.size(); I += Step)
      CHECK(On.callUntil(jobRequest("GET", jobId(I + 1)),
                         Answers[I].Status_ == 200 ? 200 : 410)
                .Status_ == (Answers[I].Status_ == 200 ? 200 : 410));
    CHECK(On.call(jobRequest("GET", jobId(OrdinaryJob))).Body_ ==
          Unknown.Body_);
  };
  CheckKept();
  On.restartControl();
  CHECK(On.callUntil(jobRequest("GET", jobId(1)), 200).Status_ == 200);
  CheckKept();
  On.check();
}

// Guards against the parsed form of a job, which an entry keeps until control
// has answered.
TEST_CASE("jobs without an answer do not use up an entry's memory",
          "[untrusted][jobs]") {
  const Machine Limits;
  const std::size_t Jobs = largeJobs(Limits);
  Group On(Limits);
  const std::string Ordinary = jobRequest("GET", jobId(OrdinaryJob));
  const Answer Calm = On.call(Ordinary);
  REQUIRE(Calm.Status_ == 410);
  On.freezeControl();
  const std::string Body = jobBody(LargeJobSteps, 1);
  std::vector<std::unique_ptr<Peer>> Open;
  for (std::size_t Sent = 0; Sent < Jobs; Sent += Window) {
    std::string Requests;
    for (std::size_t I = 0; I < Window; ++I)
      Requests += jobRequest("POST", jobId(Sent + I), Body);
    Open.push_back(std::make_unique<Peer>(On.entryIp(), 8161));
    Open.back()->send(Requests);
  }
  const int Silent = On.call(Ordinary).Status_;
  CHECK((Silent == 503 || Silent == 504));
  On.thawControl();
  CHECK(On.callUntil(Ordinary, Calm.Status_).Body_ == Calm.Body_);
  On.check(Open.size());
}
