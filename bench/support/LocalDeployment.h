/// A small deployment inside one process: control's stand-in, one entry, and
/// agents beside stand-in upstreams.
#ifndef DRAGONFLY_BENCH_SUPPORT_LOCALDEPLOYMENT_H
#define DRAGONFLY_BENCH_SUPPORT_LOCALDEPLOYMENT_H

#include "dragonfly/net/Endpoint.h"
#include "dragonfly/settings/Settings.h"
#include "support/StandIn.h"

#include <cstdint>

namespace dragonfly::standin {

/// Kinds "check" (idempotent), "review" (non-idempotent) and "watch"
/// (streamed); customer "acme" with a plan that does not limit it.
settings::DeploymentSettings localDeployment();

inline constexpr const char *LocalPlans =
    R"({"plans":[{"name":"large","processors":64,"memory_mib":65536,)"
    R"("accelerators":0,"concurrent_requests":100000,)"
    R"("waiting_requests":100000}]})";
inline constexpr const char *LocalPurchases =
    R"({"purchases":[{"customer":"acme","plan":"large"}]})";

/// Returns a loopback address of this process alone, on which any port is
/// free; \p Number tells several apart.
std::string ownLoopbackAddress(std::uint8_t Number);

settings::EntrySettings localEntry(const net::Endpoint &Control);
/// An agent number \p Number beside \p Upstream with \p Slots slots.
settings::AgentSettings localAgent(std::uint8_t Number,
                                   const net::Endpoint &Control,
                                   const net::Endpoint &Upstream,
                                   std::uint32_t Slots);

} // namespace dragonfly::standin

#endif // DRAGONFLY_BENCH_SUPPORT_LOCALDEPLOYMENT_H
