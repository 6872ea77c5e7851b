/// The platform's bodies in tables: good, malformed, hostile.
#include "platform/CallerMessages.h"
#include "platform/ConfigurationMessages.h"
#include "platform/FieldReader.h"
#include "platform/Settings.h"
#include "platform/WorkerMessages.h"

#include "dragonfly/base/Log.h"
#include "dragonfly/settings/ReadSettings.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace dragonfly::platform {
namespace {

const std::string Routes =
    R"([{"Name":"r","Host":"a.example","PathPrefix":"/p/","Kind":"unsafe",)"
    R"("TimeoutMs":3000,"TargetLatencyMs":250,"Priority":2,"Service":"s",)"
    R"("MaxAttempts":3,"SlackFactor":1.5}])";

std::string configuration(const std::string &Version,
                          const std::string &AllRoutes,
                          const std::string &Services = R"([{"Name":"s"}])") {
  return R"({"Version":)" + Version + R"(,"Routes":)" + AllRoutes +
         R"(,"Services":)" + Services + R"(,"Limits":{}})";
}

const std::string GoodBeat =
    R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Version":"v1",)"
    R"("Slots":8,"State":"ready","ColdRemainingMs":0,)"
    R"("Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":0},"Labels":["a","r1-3"],)"
    R"("Sequence":4,"born":1780554763125})";

} // namespace

TEST_CASE("a job's body becomes its steps", "[platform]") {
  const jobs::JobSpec Job = parseJob(
      R"({"Spec":"text","Steps":[{"Count":4,"Cpu":500,"MemMb":256,)"
      R"("EstimateMs":900,"DataRack":"r1-3"},{"Count":20,"Cpu":2000,)"
      R"("DependsOn":[0],"Checkpointing":true,"Fills":true,"Image":"i",)"
      R"("TargetMs":150,"LongRunning":true,"AntiAffinity":2,"MayMiss":1}]})");
  CHECK(Job.Payload_ == "text");
  REQUIRE(Job.Steps_.size() == 2);
  CHECK(Job.Steps_[0].Count_ == 4);
  CHECK(Job.Steps_[0].Need_ ==
        Resources{.MilliProcessors_ = 500, .MemoryMib_ = 256});
  CHECK(Job.Steps_[0].Estimate_ == Milliseconds(900));
  CHECK(Job.Steps_[0].DataRack_ == "r1-3");
  CHECK(Job.Steps_[1].DependsOn_ == std::vector<std::uint32_t>{0});
  CHECK(Job.Steps_[1].Checkpointing_);
  CHECK(Job.Steps_[1].UsesSpareProcessors_);
  CHECK(Job.Steps_[1].TailTarget_ == Milliseconds(150));
  CHECK(Job.Steps_[1].MaxPerWorker_ == 2);
}

TEST_CASE("a job that cannot be read or run is refused with its fault",
          "[platform]") {
  struct Case {
    std::string Body_;
    BodyFault Fault_;
  };
  const std::vector<Case> Cases{
      {"", BodyFault::NotJson},
      {"[]", BodyFault::NotJson},
      {R"({"Spec":"a","Steps":[{"Count":1})", BodyFault::NotJson},
      {R"({"Spec":"a"})", BodyFault::OutOfRange},
      {R"({"Spec":"a","Steps":[]})", BodyFault::OutOfRange},
      {R"({"Spec":"a","Steps":{}})", BodyFault::WrongType},
      {R"({"Spec":7,"Steps":[{"Count":1}]})", BodyFault::WrongType},
      {R"({"Spec":"a","Steps":[{"Count":0}]})", BodyFault::OutOfRange},
      {R"({"Spec":"a","Steps":[{"Count":-1}]})", BodyFault::OutOfRange},
      {R"({"Spec":"a","Steps":[{"Count":99999999}]})", BodyFault::OutOfRange},
      {R"({"Spec":"a","Steps":[{"Count":"1"}]})", BodyFault::WrongType},
      {R"({"Spec":"a","Steps":[{"Count":1,"DependsOn":[0]}]})",
       BodyFault::OutOfRange},
      {R"({"Spec":"a","Steps":[{"Count":1,"DependsOn":["0"]}]})",
       BodyFault::OutOfRange},
      {R"({"Spec":"a","Steps":[7]})", BodyFault::WrongType},
      {R"({"Spec":"a","Steps":[{"Count":1,"Gang":true}]})",
       BodyFault::Unsupported},
      {R"({"Spec":"a","Steps":[{"Count":1}],"RepeatCount":3})",
       BodyFault::Unsupported},
      {R"({"Spec":")" + std::string(4001, 'x') + R"(","Steps":[{"Count":1}]})",
       BodyFault::OutOfRange},
  };
  for (const Case &Each : Cases) {
    INFO(Each.Body_.substr(0, 80));
    try {
      parseJob(Each.Body_);
      FAIL("was taken");
    } catch (const BodyError &Fault) {
      CHECK(Fault.code() == Each.Fault_);
    }
  }
}

// Guards against a queue that is in force and takes no jobs: where its prefix
// does not end in a slash, each job was refused with 404.
TEST_CASE("a caller's path names the queue and the job", "[platform]") {
  struct Case {
    std::string Target_;
    std::string Path_;
    std::string Job_;
  };
  const std::vector<Case> Cases{
      {"/p/5c0e7a21d94b36f8", "/p/5c0e7a21d94b36f8", "5c0e7a21d94b36f8"},
      {"/p/5c0e7a21d94b36f8?x=1", "/p/5c0e7a21d94b36f8", "5c0e7a21d94b36f8"},
      {"/p5c0e7a21d94b36f8", "/p5c0e7a21d94b36f8", "5c0e7a21d94b36f8"},
      {"/p/a5c0e7a21d94b36f8", "/p/a5c0e7a21d94b36f8", "5c0e7a21d94b36f8"},
      {"/p/", "/p/", ""},
      {"/p", "/p", ""},
      {"", "", ""},
      {"/p/5c0e7a21d94b36f", "/p/5c0e7a21d94b36f", ""},
      {"/p/5c0e7a21d94b36fz", "/p/5c0e7a21d94b36fz", ""},
  };
  for (const Case &Each : Cases) {
    INFO(Each.Target_);
    const CallerTarget Target = parseTarget(
        {.Target_ = Each.Target_, .Headers_ = {{"Host", "a.example:8161"}}});
    CHECK(Target.Host_ == "a.example");
    CHECK(Target.Path_ == Each.Path_);
    CHECK(Target.Job_ == Each.Job_);
  }
}

TEST_CASE("a refusal says that nothing ran and when to return", "[platform]") {
  const auto Refused =
      describeJob({.Answer_ = entry::JobAnswer::RefusedNotRun,
                   .RetryAfter_ = std::chrono::milliseconds(1200)});
  CHECK(Refused.Status_ == 503);
  CHECK(Refused.header("Retry-After") == "2");
  // It may have been accepted: not a refusal.
  CHECK(describeJob({.Answer_ = entry::JobAnswer::Unknown}).Status_ == 504);
  CHECK(describeJob({.Answer_ = entry::JobAnswer::UnknownJob}).Status_ == 410);
  CHECK(describeJob({.Answer_ = entry::JobAnswer::UnknownQueue}).Status_ ==
        404);
  CHECK(describeJob({.Answer_ = entry::JobAnswer::Known,
                     .State_ = jobs::JobState::Completed})
            .Body_ == R"({"State":"completed"})");
  CHECK(describeQueue({.Answer_ = entry::JobAnswer::Known, .Queued_ = 12})
            .Body_ == R"({"Pending":12})");
}

TEST_CASE("a configuration is kept as it was sent", "[platform]") {
  const std::string Text = configuration("7", Routes);
  const jobs::Configuration Value = parseConfiguration(Text);
  CHECK(Value.Version_ == 7);
  CHECK(Value.Document_ == Text);
  REQUIRE(Value.Queues_.size() == 1);
  CHECK(Value.Queues_[0].Priority_ == 2);
  CHECK(Value.Queues_[0].SlackFactor_ == 1.5);
  CHECK(Value.Queues_[0].MaxAttempts_ == 3);
}

TEST_CASE("an invalid configuration is refused", "[platform]") {
  std::string NoTimeout = Routes;
  NoTimeout.replace(NoTimeout.find("3000"), 4, "0");
  const std::string Twice = "[" + Routes.substr(1, Routes.size() - 2) + "," +
                            Routes.substr(1, Routes.size() - 2) + "]";
  const std::string Whole = configuration("7", Routes);
  for (const std::string &Text :
       {std::string(), Whole.substr(0, Whole.size() / 2),
        configuration("7", Routes, "[]"), configuration("7", NoTimeout),
        configuration("7", Twice), configuration("0", Routes),
        configuration("\"7\"", Routes), configuration("7", "{}"),
        std::string(R"({"Version":7,"Routes":[],"Limits":{}})"),
        configuration("7", R"([{"Name":"r"}])")}) {
    INFO(Text.substr(0, 100));
    CHECK_THROWS_AS(parseConfiguration(Text), Error);
  }
}

TEST_CASE("a heartbeat names a worker and its life", "[platform]") {
  const auto Value = parseHeartbeat("i-1", GoodBeat, "10.0.0.9:80");
  CHECK(Value.Worker_ == "i-1");
  CHECK(Value.Born_ == 1780554763125ULL);
  CHECK(Value.Sequence_ == 4);
  CHECK(Value.Capacity_.MilliProcessors_ == 16000);
  CHECK(Value.Labels_ == std::vector<std::string>{"a", "r1-3"});
  CHECK_FALSE(Value.Draining_);
}

TEST_CASE("a heartbeat of another writer names no worker", "[platform]") {
  const auto With = [](const std::string &From, const std::string &To) {
    std::string Text = GoodBeat;
    Text.replace(Text.find(From), From.size(), To);
    return Text;
  };
  for (const std::string &Body :
       {std::string("\xff\xfe"), std::string("{}"), With("ready", "asleep"),
        With("\"ready\"", "7"), With("16000", "\"many\""), With("16000", "-1"),
        With(R"("Service":"s",)", ""), With(R"(["a","r1-3"])", "[1]"),
        With("4,", "{},")})
    CHECK_THROWS_AS(parseHeartbeat("i-1", Body, ""), BodyError);
}

TEST_CASE("a task's name survives the way to a worker and back", "[platform]") {
  const jobs::TaskName Task{
      .Job_ = "5c0e7a21d94b36f8", .Step_ = 1, .Index_ = 17};
  CHECK(printTask(Task) == "5c0e7a21d94b36f8.0.1.17");
  CHECK(parseTask("5c0e7a21d94b36f8.0.1.17") == Task);
  for (const char *Text : {"", "a", "a.0.1", "a.0.1.x", "a.0.1.2.3", "a.0.1.",
                           "a.0.1.99999999999", "a..1.2"})
    CHECK_FALSE(parseTask(Text));
}

TEST_CASE("rows that cannot be read are left out of a worker's lists",
          "[platform]") {
  configureLog({.Sink_ = [](std::string_view) {}});
  const auto Answer = parseHoldAnswer(
      R"({"ClockMs":482113,"born":9,"Running":[)"
      R"(["5c0e7a21d94b36f8.0.1.17",2,"cp",41,37],["x",1,"",0],7,)"
      R"(["5c0e7a21d94b36f8.0.1.18",1,"",5]],"Finished":[)"
      R"([58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],)"
      R"([59,"5c0e7a21d94b36f8.0.1.9",1,"vanished",""],)"
      R"([60,"5c0e7a21d94b36f8.0.1.8",3,"lapsed","c"]]})");
  CHECK(Answer.Born_ == 9);
  CHECK(Answer.Clock_ == agent::WorkerTime(482113));
  REQUIRE(Answer.Runs_.size() == 2);
  CHECK(Answer.Runs_[0].Run_.Run_ == 2);
  CHECK(Answer.Runs_[0].Checkpoint_ == "cp");
  CHECK(Answer.Runs_[0].Load_ == 37);
  REQUIRE(Answer.Ends_.size() == 2);
  CHECK(Answer.Ends_[0].How_ == jobs::RunEnd::Finished);
  CHECK(Answer.Ends_[1].How_ == jobs::RunEnd::LeaseExpired);
  CHECK_THROWS_AS(parseHoldAnswer("{}"), BodyError);
}

TEST_CASE("answers to a start say whether it was carried out", "[platform]") {
  configureLog({.Sink_ = [](std::string_view) {}});
  using agent::StartStatus;
  CHECK(parseStartAnswer(200, "{}") == StartStatus::Started);
  CHECK(parseStartAnswer(409, R"({"Reason":"room"})") == StartStatus::NoRoom);
  CHECK(parseStartAnswer(409, R"({"Reason":"old"})") == StartStatus::Ended);
  CHECK(parseStartAnswer(409, R"({"Reason":"late"})") ==
        StartStatus::LeaseOver);
  CHECK(parseStartAnswer(409, R"({"Reason":"fence"})") == StartStatus::Fenced);
  CHECK(parseStartAnswer(409, "rubbish") == StartStatus::Rejected);
  CHECK(parseStartAnswer(421, "") == StartStatus::OtherLife);
  CHECK(parseStartAnswer(503, "") == StartStatus::Unhealthy);
  CHECK(parseStartAnswer(400, "") == StartStatus::Rejected);
}

// Guards against two runs of one task: a start that was answered with a status
// of which the protocol does not say that nothing was done was taken for
// refused.
TEST_CASE("an unknown answer to a start leaves open whether it was carried out",
          "[platform]") {
  using agent::StartStatus;
  for (const std::uint16_t Status :
       {201, 204, 302, 404, 408, 410, 413, 500, 501, 502, 504, 599}) {
    CAPTURE(Status);
    CHECK(parseStartAnswer(Status, "") == StartStatus::NoAnswer);
  }
  CHECK(parseStartAnswer(429, "") == StartStatus::Unhealthy);
  CHECK(parseStartAnswer(409, R"({"Reason":"ticket"})") ==
        StartStatus::Rejected);
}

TEST_CASE("settings lines name addresses, seeds and the first start",
          "[platform]") {
  const std::string Text = "Node=edge-a-1\nIp=10.1.0.13\nZone=a\n"
                           "Bind.Frontend=10.1.0.13:8161\n"
                           "InternalPorts=7720,7735\nNewThing=1\n"
                           "Seeds=10.1.0.13:8166,10.2.0.30:8166\n"
                           "Bootstrap=true\nDataDir=/data/x\n"
                           "FaultTolerance.Machines=2\nBounds.GraceS=6\n"
                           "HeartbeatMs=1500\n";
  const SiteSettings Site = parseSettings(Text);
  CHECK(Site.Vm_ == "edge-a-1");
  CHECK(Site.CallerListen_ == "10.1.0.13:8161");
  CHECK(Site.seedAddresses() ==
        std::vector<std::string>{"10.1.0.13:7720", "10.2.0.30:7720"});
  CHECK(Site.FirstStart_);
  CHECK(Site.hasDisk());
  CHECK(Site.LossesToBear_ == 2);
  CHECK(Site.HeartbeatPeriod_ == std::chrono::milliseconds(1500));
  const auto Control = toControlSettings(Site, {toGroupRow(Site)});
  CHECK(Control.FirstMember_);
  CHECK(Control.Voters_ == 5);
  CHECK(Control.Replica_ == ReplicaId{(10U << 24U) + (1U << 16U) + 13U});
  CHECK_FALSE(toControlSettings(Site, {}).FirstMember_);
}

TEST_CASE("settings with faults name each of them", "[platform]") {
  try {
    parseSettings("Ip=10.1.0.13\nBind.Control=nowhere\nInternalPorts=x\n");
    FAIL("was taken");
  } catch (const settings::SettingsError &Fault) {
    CHECK(Fault.faults().size() == 3);
  }
}

} // namespace dragonfly::platform
