#include "dragonfly/ctl/Ctl.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/NetError.h"
#include "dragonfly/settings/CommandLine.h"

#include <absl/flags/flag.h>

#include <algorithm>
#include <iostream>
#include <iterator>

ABSL_FLAG(std::vector<std::string>, control,
          std::vector<std::string>({"127.0.2.1:7001", "127.0.2.2:7001",
                                    "127.0.2.3:7001"}),
          "operators' addresses of the control replicas");
ABSL_FLAG(std::vector<std::string>, from, {},
          "HTTP addresses that histograms are read from");
ABSL_FLAG(bool, json, false, "print JSON in place of tables");
ABSL_FLAG(std::uint64_t, version, 0, "version that lists put replaces");
ABSL_FLAG(std::string, change_id, "", "names a change, to resend it");
ABSL_FLAG(std::string, plans, "", "file of plans for lists check purchases");
ABSL_FLAG(std::uint64_t, id, 0, "replica that members changes");
ABSL_FLAG(std::string, address, "", "frame address of a new member");
ABSL_FLAG(std::uint64_t, store, 0, "store id of a new member's data folder");
ABSL_FLAG(std::uint32_t, tries, 30, "tries before a call is given up");

namespace {

using namespace dragonfly;

std::vector<net::Endpoint>
toEndpoints(const std::vector<std::string> &Addresses) {
  std::vector<net::Endpoint> Endpoints;
  std::ranges::transform(Addresses, std::back_inserter(Endpoints),
                         net::Endpoint::make);
  return Endpoints;
}

ctl::CtlOptions readFlags() {
  const std::uint64_t Version = absl::GetFlag(FLAGS_version);
  return {.Control_ = {.Control_ = toEndpoints(absl::GetFlag(FLAGS_control)),
                       .MaxTries_ = absl::GetFlag(FLAGS_tries)},
          .Sources_ = toEndpoints(absl::GetFlag(FLAGS_from)),
          .Json_ = absl::GetFlag(FLAGS_json),
          .Version_ = Version == 0 ? std::nullopt : std::optional(Version),
          .ChangeId_ = absl::GetFlag(FLAGS_change_id),
          .PlansFile_ = absl::GetFlag(FLAGS_plans),
          .MemberId_ = absl::GetFlag(FLAGS_id),
          .MemberAddress_ = absl::GetFlag(FLAGS_address),
          .MemberStore_ = absl::GetFlag(FLAGS_store)};
}

} // namespace

int main(int Argc, char **Argv) {
  const auto Arguments = settings::parseCommandLine(
      Argc, Argv, "operates a deployment\n" + ctl::describeCommands());
  try {
    net::EventLoop Loop;
    return static_cast<int>(
        ctl::runCtl(Loop, readFlags(), Arguments, std::cout, std::cerr));
  } catch (const Error &Failure) {
    std::cerr << Failure.type() << ": " << Failure.what() << "\n";
    return static_cast<int>(ctl::CtlExit::BadUsage);
  }
}
