#include "dragonfly/ctl/ControlClient.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/NetError.h"
#include "dragonfly/settings/CommandLine.h"
#include "dragonfly/settings/ReadSettings.h"
#include "support/CountCheck.h"

#include <absl/flags/flag.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

ABSL_FLAG(std::vector<std::string>, reports, {},
          "files that dragonfly-load --report wrote");
ABSL_FLAG(std::string, entry, "", "settings of an entry, for the kinds");
ABSL_FLAG(std::vector<std::string>, upstreams, {},
          "addresses of the stand-ins");
ABSL_FLAG(bool, nothing_failed, false, "every request must have completed");
ABSL_FLAG(std::uint32_t, polls, 50,
          "times that control is asked until the counts agree");

namespace {

using namespace dragonfly;

constexpr Duration PollPeriod = std::chrono::milliseconds(200);
constexpr std::uint16_t Ok = 200;

std::string readFile(const std::string &Name) {
  std::ifstream In(Name);
  return {std::istreambuf_iterator<char>(In), {}};
}

/// Returns the body at \p Target, or empty text where nothing answers.
std::string get(net::EventLoop &Loop, std::vector<net::Endpoint> Servers,
                const std::string &Target) {
  ctl::ControlClient Client(Loop, {.Control_ = std::move(Servers)});
  ctl::ControlAnswer Answer = Client.call({.Target_ = Target});
  const bool Good =
      Answer.End_ == ctl::CallEnd::Answered && Answer.Response_.Status_ == Ok;
  return Good ? std::move(Answer.Response_.Body_) : std::string();
}

std::vector<net::Endpoint>
operatorsOf(const settings::ProcessSettings &Process) {
  std::vector<net::Endpoint> Endpoints;
  std::ranges::transform(Process.Control_, std::back_inserter(Endpoints),
                         [](const settings::ReplicaSettings &Replica) {
                           return net::Endpoint::make(Replica.OperatorAddress_);
                         });
  return Endpoints;
}

void wait(net::EventLoop &Loop) {
  const net::Timer Pending = Loop.after(PollPeriod, [&Loop] { Loop.stop(); });
  Loop.poll();
  Loop.run();
}

check::Evidence gather(net::EventLoop &Loop,
                       const settings::ProcessSettings &Process) {
  check::Evidence Found{.NothingFailed_ = absl::GetFlag(FLAGS_nothing_failed)};
  for (const settings::KindSettings &Kind : Process.Deployment_.Kinds_) {
    if (Kind.NonIdempotent_)
      Found.NonIdempotent_.push_back(Kind.Name_);
    if (Kind.Carrier_ == settings::Carrier::Task)
      Found.Tasks_.push_back(Kind.Name_);
  }
  for (const std::string &Name : absl::GetFlag(FLAGS_reports))
    std::ranges::move(check::readReport(readFile(Name)),
                      std::back_inserter(Found.Reports_));
  for (const std::string &Address : absl::GetFlag(FLAGS_upstreams))
    std::ranges::move(check::readRuns(get(Loop, {net::Endpoint::make(Address)},
                                          "/stand-in/runs")),
                      std::back_inserter(Found.Runs_));
  return Found;
}

int run() {
  const std::string Name = absl::GetFlag(FLAGS_entry);
  const auto Settings = settings::readEntrySettings(
      readFile(Name), std::filesystem::path(Name).parent_path());
  net::EventLoop Loop;
  check::Evidence Found = gather(Loop, Settings.Process_);
  std::vector<check::Mismatch> Broken;
  for (std::uint32_t Poll = 0; Poll < absl::GetFlag(FLAGS_polls); ++Poll) {
    Found.Counts_ = check::readCounts(
        get(Loop, operatorsOf(Settings.Process_), "/operator/v1/counts"));
    Broken = check::findMismatches(Found);
    if (Broken.empty())
      break;
    wait(Loop);
  }
  std::cout << check::printEvidence(Found);
  for (const check::Mismatch &Row : Broken)
    std::cout << "MISMATCH " << enumName(Row.Promise_) << " " << Row.Customer_
              << " " << Row.Kind_ << ": " << Row.Detail_ << "\n";
  if (Found.Reports_.empty())
    std::cout << "MISMATCH no report could be read\n";
  return Broken.empty() && !Found.Reports_.empty() ? 0 : 1;
}

} // namespace

/// Exits with 1 where counts, completions and runs contradict one another.
int main(int Argc, char **Argv) {
  settings::parseCommandLine(Argc, Argv,
                             "compares completions, counts and runs");
  try {
    return run();
  } catch (const Error &Failure) {
    std::cerr << Failure.type() << ": " << Failure.what() << "\n";
    return 2;
  }
}
