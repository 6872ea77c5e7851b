#include "support/LocalDeployment.h"

#include <unistd.h>

#include <string>

namespace dragonfly::standin {
namespace {

constexpr std::uint16_t FramePort = 7100;
constexpr std::uint16_t StatusPort = 7101;
constexpr std::uint32_t FirstOwnNet = 128;
constexpr std::uint32_t OwnNets = 64;

settings::ProcessSettings process(const std::string &Name,
                                  const net::Endpoint &Control) {
  return {.Name_ = Name,
          .AvailabilityZone_ = "az-a",
          .Rack_ = "rack-1",
          .Deployment_ = localDeployment(),
          .Control_ = {{.Id_ = {1}, .Address_ = Control.text()}}};
}

} // namespace

settings::DeploymentSettings localDeployment() {
  using settings::Urgency;
  return {.Name_ = "local",
          .Kinds_ = {{.Name_ = "check",
                      .Deadline_ = std::chrono::seconds(5),
                      .FloorPermille_ = 500,
                      .QueueLimit_ = 100000},
                     {.Name_ = "review",
                      .Urgency_ = Urgency::Deadline,
                      .NonIdempotent_ = true,
                      .Deadline_ = std::chrono::seconds(30),
                      .FloorPermille_ = 300,
                      .QueueLimit_ = 100000},
                     {.Name_ = "watch",
                      .Urgency_ = Urgency::Watch,
                      .Deadline_ = std::chrono::minutes(10),
                      .FloorPermille_ = 200,
                      .QueueLimit_ = 1000}},
          .HeartbeatPeriod_ = std::chrono::milliseconds(100)};
}

std::string ownLoopbackAddress(std::uint8_t Number) {
  const auto Process = static_cast<std::uint32_t>(getpid());
  return "127." + std::to_string(FirstOwnNet + Process / 250 % OwnNets) + "." +
         std::to_string(1 + Process % 250) + "." + std::to_string(Number);
}

settings::EntrySettings localEntry(const net::Endpoint &Control) {
  settings::EntrySettings Result{.Process_ = process("entry-1", Control),
                                 .Listen_ = "127.0.0.1:0"};
  Result.Process_.StopBound_ = std::chrono::seconds(10);
  return Result;
}

settings::AgentSettings localAgent(std::uint8_t Number,
                                   const net::Endpoint &Control,
                                   const net::Endpoint &Upstream,
                                   std::uint32_t Slots) {
  const std::string Address = ownLoopbackAddress(Number);
  return {.Process_ = process("vm-" + std::to_string(Number), Control),
          .Listen_ = net::Endpoint{Address, FramePort}.text(),
          .StatusListen_ = net::Endpoint{Address, StatusPort}.text(),
          .Upstream_ = Upstream.text(),
          .Capacity_ = {.MilliProcessors_ = 64000, .MemoryMib_ = 250000},
          .Slots_ = Slots,
          .Connections_ = 4 * Slots};
}

} // namespace dragonfly::standin
