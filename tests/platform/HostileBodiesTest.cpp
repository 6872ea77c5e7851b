/// Bodies that other writers might send: whatever they hold, they are read or
/// refused with a typed fault, and end no process.
#include "dragonfly/base/Log.h"
#include "dragonfly/base/Random.h"
#include "dragonfly/jobs/Configuration.h"
#include "platform/CallerMessages.h"
#include "platform/ConfigurationMessages.h"
#include "platform/FieldReader.h"
#include "platform/Settings.h"
#include "platform/WorkerMessages.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <vector>

namespace dragonfly::platform {
namespace {

struct Reader {
  std::string Name_;
  std::function<void(const std::string &Body)> Read_;
  std::string Whole_;
};

std::vector<Reader> readers() {
  return {
      {"job", [](const std::string &Body) { parseJob(Body); },
       R"({"Spec":"text","Steps":[{"Count":4,"Cpu":500,"MemMb":256,)"
       R"("EstimateMs":900,"DataRack":"r1-3","Image":"a","TargetMs":20},)"
       R"({"Count":20,"Cpu":2000,"MemMb":1024,"DependsOn":[0],)"
       R"("Checkpointing":true,"Fills":true,"AntiAffinity":2}]})"},
      {"configuration",
       [](const std::string &Body) { parseConfiguration(Body); },
       R"({"Version":7,"Routes":[{"Name":"r","Host":"a.example",)"
       R"("PathPrefix":"/p/","Kind":"unsafe","TimeoutMs":3000,"Priority":2,)"
       R"("Service":"s","MaxAttempts":4,"SlackFactor":2.2}],)"
       R"("Services":[{"Name":"s","HealthPath":"/healthz"}],"Limits":{}})"},
      {"heartbeat",
       [](const std::string &Body) {
         parseHeartbeat("i-1", Body, "127.0.0.1:80");
       },
       R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Version":"v1",)"
       R"("Slots":8,"State":"ready","Capacity":{"Cpu":16000,"MemMb":32768,)"
       R"("Gpu":0},"Labels":["a"],"ClockMs":482113,"Sequence":4,"born":17,)"
       R"("ColdRemainingMs":0})"},
      {"lists", [](const std::string &Body) { parseHoldAnswer(Body); },
       R"({"ClockMs":4,"born":17,"Running":[["5c0e7a21d94b36f8.0.1.17",2,)"
       R"("00ab",41,120]],"Finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,)"
       R"("done",""]]})"},
      {"answer to a start",
       [](const std::string &Body) { parseStartAnswer(409, Body); },
       R"({"ClockMs":482113,"Reason":"fence"})"},
  };
}

/// Changes some bytes or numbers of \p Body.
std::string damage(std::string Body, RandomEngine &Random) {
  static const std::vector<std::string> Pieces{
      "-1",   "1e400",   "18446744073709551616",
      "null", "[]",      "{}",
      "\"",   "[[[",     "true",
      "0.5",  "\\u0000", "\xff",
      ",",    ":"};
  const std::uint64_t Changes = 1 + Random() % 3;
  for (std::uint64_t I = 0; I < Changes && !Body.empty(); ++I) {
    const std::size_t At = Random() % Body.size();
    switch (Random() % 4) {
    case 0:
      Body[At] = static_cast<char>(Random());
      break;
    case 1:
      Body.erase(At, 1 + Random() % 8);
      break;
    case 2:
      Body.insert(At, Pieces[Random() % Pieces.size()]);
      break;
    default:
      Body.resize(At);
    }
  }
  return Body;
}

} // namespace

TEST_CASE("a damaged body is read or refused with a typed fault",
          "[platform][hostile]") {
  configureLog({.Sink_ = [](std::string_view) {}});
  constexpr int Bodies = 4000;
  for (const Reader &Each : readers()) {
    RandomEngine Random(11);
    Each.Read_(Each.Whole_);
    for (int I = 0; I < Bodies; ++I) {
      const std::string Body = damage(Each.Whole_, Random);
      INFO(Each.Name_ << ": " << Body);
      try {
        Each.Read_(Body);
      } catch (const Error &Fault) {
        CHECK_FALSE(Fault.type().empty());
      } catch (const std::exception &Fault) {
        FAIL_CHECK("untyped: " << Fault.what());
      }
    }
  }
}

// A job of 256 steps of 10,000 tasks is 300 bytes of JSON a step, and would
// have taken more memory than a process of control has.
TEST_CASE("a small body cannot ask for more tasks than control can hold",
          "[platform][hostile]") {
  std::string Body = R"({"Steps":[)";
  for (int Step = 0; Step < 3; ++Step)
    Body += std::string(Step == 0 ? "" : ",") + R"({"Count":10000,"Cpu":1})";
  Body += "]}";
  try {
    parseJob(Body);
    FAIL_CHECK("accepted");
  } catch (const BodyError &Fault) {
    CHECK(Fault.code() == BodyFault::OutOfRange);
  }
}

TEST_CASE("a body whose values take too much memory is refused",
          "[platform][hostile]") {
  std::string Text =
      R"({"Version":1,"Routes":[],"Services":[],"Limits":{},"Extra":[0)";
  for (int I = 0; I < 10'000; ++I)
    Text += ",0";
  Text += "]}";
  CHECK(parseConfiguration(Text).Version_ == 1);
  try {
    parseConfiguration(Text, Text.size());
    FAIL_CHECK("accepted");
  } catch (const BodyError &Fault) {
    CHECK(Fault.code() == BodyFault::TooLarge);
  }
}

namespace {

std::string deep(std::size_t Levels) {
  return std::string(Levels, '[') + std::string(Levels, ']');
}

/// Values that fit no field, as another writer might leave them.
const std::vector<std::string> OddValues{deep(10000),
                                         R"({"a":)" + deep(10000) + "}",
                                         "1e308",
                                         "-1e308",
                                         "1e400",
                                         "1e9999999999",
                                         "-1",
                                         "4294967297",
                                         "9007199254740993",
                                         "18446744073709551615",
                                         "18446744073709551616",
                                         "0.5",
                                         "70000",
                                         "\"10.0.0.9:70000\"",
                                         "\"\xff\"",
                                         "\"\"",
                                         "true",
                                         "null",
                                         "{}",
                                         "[]",
                                         "nonsense"};

/// Both lists of a worker, each of which begins with \p Odd.
std::string listsWith(const std::string &Odd, const std::string &Run,
                      const std::string &End) {
  return R"({"ClockMs":482113,"born":9,"Running":[)" + Odd + "," + Run +
         R"(],"Finished":[)" + Odd + "," + End + "]}";
}

/// A run of which all that describes it is \p Odd.
std::string describedRun(const std::string &Odd) {
  return R"({"ClockMs":1,"Running":[["5c0e7a21d94b36f8.0.1.17",2,)" + Odd +
         "," + Odd + "," + Odd + "]],\"Finished\":[]}";
}

std::string settingsWithSeeds(const std::vector<std::string> &Seeds) {
  std::string Text = "Node=a\nIp=10.1.0.13\nInternalPorts=7720\nSeeds=";
  for (const std::string &Seed : Seeds)
    Text.append(Seed).append(",");
  return Text + "\n";
}

std::string replaceValue(std::string Body, const std::string &From,
                         const std::string &To) {
  return Body.replace(Body.find(From), From.size(), To);
}

} // namespace

// Guards against LOST: one odd row in a worker's lists hid the other rows, so
// that the worker counted as silent; one with a number too large ended all
// later ends, or stood for another run.
TEST_CASE("an odd row in a worker's lists harms no other row",
          "[platform][hostile]") {
  configureLog({.Sink_ = [](std::string_view) {}});
  const std::string Run = R"(["5c0e7a21d94b36f8.0.1.17",2,"cp",41,37])";
  const std::string End = R"([58,"5c0e7a21d94b36f8.0.1.9",1,"done","c"])";
  std::vector<std::string> Odd = OddValues;
  for (const std::string &Value : OddValues) {
    Odd.push_back("[" + Value + R"(,"5c0e7a21d94b36f8.0.1.8",1,"done",""])");
    Odd.push_back(R"([57,"5c0e7a21d94b36f8.0.1.8",)" + Value +
                  R"(,"done",""])");
    Odd.push_back(R"([57,"5c0e7a21d94b36f8.0.1.8",1,)" + Value + R"(,""])");
    Odd.push_back("[" + Value + R"(,2,"",0,0])");
    Odd.push_back(R"(["5c0e7a21d94b36f8.0.1.8",)" + Value + R"(,"",0,0])");
  }
  for (const std::string &Row : Odd) {
    INFO(Row.substr(0, 100));
    const auto Answer = parseHoldAnswer(listsWith(Row, Run, End));
    // A row that fits one of the lists stands in that one only.
    REQUIRE_FALSE(Answer.Runs_.empty());
    CHECK(Answer.Runs_.back().Run_.Task_.Index_ == 17);
    CHECK(Answer.Runs_.back().Checkpoint_ == "cp");
    REQUIRE_FALSE(Answer.Ends_.empty());
    CHECK(Answer.Ends_.back().Number_ == 58);
    CHECK(Answer.Ends_.back().Checkpoint_ == "c");
    for (const agent::ListedEnd &Each : Answer.Ends_)
      CHECK(Each.Number_ <= 1ULL << 53U);
    for (const agent::ListedRun &Each : Answer.Runs_)
      CHECK((Each.Run_.Run_ == 2 || Each.Run_.Run_ == 70000));
  }
}

// Guards against AVAIL and LOST: a run whose row had an odd load or checkpoint
// counted as gone, and was stopped.
TEST_CASE("what only describes a run does not hide it", "[platform][hostile]") {
  configureLog({.Sink_ = [](std::string_view) {}});
  for (const std::string &Value : OddValues) {
    // What cannot be parsed at all takes its row with it.
    if (Value.size() > 1000 || Value == "nonsense" || Value[1] == '\xff' ||
        Value == "1e9999999999")
      continue;
    INFO(Value);
    const auto Answer = parseHoldAnswer(describedRun(Value));
    REQUIRE(Answer.Runs_.size() == 1);
    CHECK(Answer.Runs_[0].ProgressPercent_ <= 100);
    CHECK(Answer.Runs_[0].Load_ <= 1000000000000);
  }
}

// Guards against a process that ends by itself, and against numbers that leave
// their range in sums: each odd value in each field is read or refused.
TEST_CASE("an odd value in any field is read or refused with a typed fault",
          "[platform][hostile]") {
  configureLog({.Sink_ = [](std::string_view) {}});
  for (const Reader &Each : readers()) {
    // Each value of the body stands behind a colon, a comma or a bracket.
    for (std::size_t At = 0; At < Each.Whole_.size(); ++At) {
      if (std::string_view(":,[").find(Each.Whole_[At]) ==
          std::string_view::npos)
        continue;
      const std::size_t End = Each.Whole_.find_first_of(",]}", At + 1);
      for (const std::string &Value : OddValues) {
        std::string Body = Each.Whole_;
        Body.replace(At + 1, End - At - 1, Value);
        try {
          Each.Read_(Body);
        } catch (const Error &Fault) {
          if (Fault.type().empty())
            FAIL_CHECK(Each.Name_ << ": " << Body.substr(0, 300));
        } catch (const std::exception &Fault) {
          FAIL_CHECK(Each.Name_ << ", untyped: " << Fault.what());
        }
      }
    }
  }
}

TEST_CASE("a time of any length stays in range", "[platform][hostile]") {
  const std::string Beat =
      R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Version":"v1",)"
      R"("Slots":8,"State":"draining","ColdRemainingMs":0,"Labels":[],)"
      R"("Sequence":4,"Capacity":{"Cpu":16000,"MemMb":1,"Gpu":0},)"
      R"("DrainRemainingMs":9007199254740992})";
  const Duration Left = parseHeartbeat("i-1", Beat, "").DrainTimeLeft_;
  CHECK(Left == Duration(MaxSpan));
  const jobs::JobSpec Job =
      parseJob(R"({"Steps":[{"Count":1,"EstimateMs":9007199254740992,)"
               R"("TargetMs":9007199254740992}]})");
  CHECK(Job.Steps_[0].Estimate_ == Duration(MaxSpan));
  CHECK(Job.Steps_[0].TailTarget_ == Duration(MaxSpan));
  // More than any machine has: the sum of two would leave its range.
  CHECK_THROWS_AS(
      parseHeartbeat("i-1", replaceValue(Beat, "16000", "9007199254740992"),
                     ""),
      BodyError);
}

// Guards against a process that ends by itself when its settings name a seed
// that is no address, and against following none of the others.
TEST_CASE("an odd seed is left out of the settings", "[platform][hostile]") {
  configureLog({.Sink_ = [](std::string_view) {}});
  for (const std::string &Odd :
       {std::string("10.2.0:8166"), std::string("10.2.0.300:8166"),
        std::string(":"), std::string("x:70000"), std::string("\xff:1"),
        std::string(100000, '9'), deep(10000)}) {
    INFO(Odd.substr(0, 100));
    CHECK(parseSettings(
              settingsWithSeeds({"10.1.0.14:8166", Odd, "10.1.0.15:70000"}))
              .seedAddresses() ==
          std::vector<std::string>{"10.1.0.14:7720", "10.1.0.15:7720"});
  }
  CHECK(parseSettings(settingsWithSeeds({"10.2"})).seedAddresses().empty());
}

} // namespace dragonfly::platform
