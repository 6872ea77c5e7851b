/// What load to send, and what became of it.
#ifndef DRAGONFLY_BENCH_SUPPORT_LOADPLAN_H
#define DRAGONFLY_BENCH_SUPPORT_LOADPLAN_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/net/Endpoint.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dragonfly::load {

/// Requests of one customer and kind.
struct LoadRow {
  std::string Customer_;
  std::string Kind_;
  /// Mean rate per second; intervals are exponential.
  double RatePerSecond_ = 10;
  /// Requests that are in progress at once where the rate is 0.
  std::uint32_t Concurrency_ = 0;
  std::size_t BodyBytes_ = 64;
  /// Sent as the caller's deadline; the kind's own where it is zero.
  Duration Deadline_{};
};

/// Where the requests go.
enum class LoadTarget : std::uint8_t {
  Entry,   ///< The interface for callers.
  Upstream ///< An upstream's own, with nothing between.
};

struct LoadPlan {
  std::vector<net::Endpoint> Targets_;
  LoadTarget Target_ = LoadTarget::Entry;
  std::vector<LoadRow> Rows_;
  Duration Length_ = std::chrono::seconds(10);
  std::uint64_t MaxRequests_ = 10'000'000;
  /// How long the last answers may take after the last request.
  Duration Patience_ = std::chrono::seconds(60);
  /// Connections of one row to one target.
  std::size_t ConnectionsPerTarget_ = 400;
  /// Sends of one request id, each to another target, until one is answered.
  std::uint32_t MaxSends_ = 3;
  std::uint64_t Seed_ = 1;
  /// Starts each request id; runs on one deployment need different ones.
  std::string RunName_ = "run";
};

/// What became of one row's requests; durations count from the time at which a
/// request was meant to be sent.
struct LoadResult {
  std::string Customer_;
  std::string Kind_;
  std::uint64_t Sent_ = 0;
  std::uint64_t Completed_ = 0;
  std::uint64_t Refused_ = 0;
  std::uint64_t Unknown_ = 0;
  /// Without any answer in the end.
  std::uint64_t Lost_ = 0;
  /// Answered with something that is not the whole answer to the request.
  std::uint64_t Mismatched_ = 0;
  Duration P50_{};
  Duration P99_{};
  Duration Max_{};
};

/// Reads {"seconds","seed","max_requests","rows":[{"customer","kind",
/// "rate_per_second","concurrency","body_bytes","deadline_ms"}]} into \p Plan.
/// Throws settings::SettingsError.
void readLoad(std::string_view Text, LoadPlan &Plan);

/// Returns {"rows":[{"customer","kind","sent","completed","refused","unknown",
/// "lost","mismatched","p50_ms","p99_ms","max_ms"}]}.
std::string printLoadJson(const std::vector<LoadResult> &Rows);

/// Returns a table for people.
std::string printLoadTable(const std::vector<LoadResult> &Rows);

/// True where every request has a whole answer of its own.
bool nothingLost(const std::vector<LoadResult> &Rows);

} // namespace dragonfly::load

#endif // DRAGONFLY_BENCH_SUPPORT_LOADPLAN_H
