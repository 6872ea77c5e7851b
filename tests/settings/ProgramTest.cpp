#include "dragonfly/settings/Program.h"

#include "dragonfly/base/Log.h"
#include "dragonfly/settings/ReadSettings.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

using namespace dragonfly;
using namespace dragonfly::settings;

namespace {

enum class TestFault : std::uint8_t { CannotListen, DiskFull };

using TestError = TypedError<TestFault>;

} // namespace

template <> struct dragonfly::EnumTable<TestFault> {
  static constexpr std::array<EnumName<TestFault>, 2> Rows{{
      {TestFault::CannotListen, "cannot-listen"},
      {TestFault::DiskFull, "disk-full"},
  }};
};

namespace {

const std::string Example =
    std::string(DRAGONFLY_SOURCE_DIR) + "/examples/notbandet/agent-1.json";

/// Captures a stream for as long as it lives.
class Capture {
public:
  explicit Capture(std::ostream &Stream)
      : Stream_(Stream), Before_(Stream.rdbuf(Text_.rdbuf())) {}
  ~Capture() { Stream_.rdbuf(Before_); }
  std::string text() const { return Text_.str(); }

private:
  std::ostringstream Text_;
  std::ostream &Stream_;
  std::streambuf *Before_;
};

using Run = std::function<ExitCode(const AgentSettings &)>;

int runWith(const std::string &File, const std::string &Check, const Run &Do) {
  std::vector<std::string> Arguments{"program", "--settings=" + File,
                                     "--check-settings=" + Check};
  std::array<char *, 3> Pointers{};
  std::ranges::transform(Arguments, Pointers.begin(),
                         [](std::string &Argument) { return Argument.data(); });
  return runAgentProgram(static_cast<int>(Pointers.size()), Pointers.data(),
                         Do);
}

int codeOf(ExitCode Code) { return static_cast<int>(Code); }

struct EndCase {
  Run Run_;
  ExitCode Code_;
};

} // namespace

TEST_CASE("settings are printed without starting", "[settings][program]") {
  const Capture Out(std::cout);
  bool Started = false;
  const int Code = runWith(Example, "true", [&](const AgentSettings &) {
    Started = true;
    return ExitCode::Ok;
  });
  CHECK(Code == codeOf(ExitCode::Ok));
  CHECK_FALSE(Started);
  CHECK_NOTHROW(readAgentSettings(Out.text(), "."));
}

TEST_CASE("what cannot be read does not start", "[settings][program]") {
  const Capture Err(std::cerr);
  const Run Never = [](const AgentSettings &) -> ExitCode {
    throw std::logic_error("started");
  };
  CHECK(runWith("", "false", Never) == codeOf(ExitCode::BadUsage));
  CHECK(runWith("no-such-file", "false", Never) == codeOf(ExitCode::BadUsage));
  const std::string Other =
      std::string(DRAGONFLY_SOURCE_DIR) + "/examples/notbandet/entry-1.json";
  CHECK(runWith(Other, "false", Never) == codeOf(ExitCode::BadSettings));
  CHECK(Err.text().find("/upstream: expected") != std::string::npos);
}

TEST_CASE("the end of a program becomes its exit code", "[settings][program]") {
  const auto Case = GENERATE(values<EndCase>({
      {[](const AgentSettings &) { return ExitCode::Ok; }, ExitCode::Ok},
      {[](const AgentSettings &) { return ExitCode::StopBoundReached; },
       ExitCode::StopBoundReached},
      {[](const AgentSettings &) -> ExitCode {
         throw TestError(TestFault::CannotListen, "in use");
       },
       ExitCode::CannotStart},
      {[](const AgentSettings &) -> ExitCode {
         throw TestError(TestFault::DiskFull, "no space");
       },
       ExitCode::StorageFailed},
      {[](const AgentSettings &) -> ExitCode {
         throw std::runtime_error("other");
       },
       ExitCode::CannotStart},
  }));
  CHECK(runWith(Example, "false", Case.Run_) == codeOf(Case.Code_));
  configureLog({});
}
