/// Replicated logs on real data folders in one thread. Messages are handed
/// over at once, so that what is measured is the log and its disk.
#ifndef DRAGONFLY_BENCH_SUPPORT_DIRECTGROUP_H
#define DRAGONFLY_BENCH_SUPPORT_DIRECTGROUP_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/consensus/ReplicatedLog.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace dragonfly::bench {

struct DirectGroupOptions {
  /// Holds one data folder per replica.
  std::string Folder_;
  std::size_t Replicas_ = 3;
  std::size_t SnapshotEveryRecords_ = 1U << 30U;
  /// Bytes of state that each replica's snapshot has.
  std::size_t SnapshotBytes_ = 0;
};

class DirectGroup {
public:
  explicit DirectGroup(DirectGroupOptions Options);

  /// Moves the group's own time; it has nothing to do with the real one.
  void advance(Duration By);
  /// Ticks and hands messages over until none is left.
  void settle();
  consensus::ReplicatedLog &leader();
  consensus::ReplicatedLog &log(std::size_t Position) {
    return *Logs_[Position];
  }
  /// Proposes \p Count commands of \p Bytes bytes and returns when all of them
  /// are committed.
  void commit(std::size_t Count, std::size_t Bytes);
  /// Stops handing messages to and from a replica, or does so again.
  void setReachable(std::size_t Position, bool Reachable);

  std::uint64_t sentBytes() const { return SentBytes_; }
  std::uint64_t sentMessages() const { return SentMessages_; }

private:
  struct RoutedBytes {
    std::size_t From_;
    std::size_t To_;
    std::string Bytes_;
  };

  void open(std::size_t Position);

  DirectGroupOptions Options_;
  TimePoint Now_{std::chrono::seconds(1)};
  std::vector<std::unique_ptr<consensus::ReplicatedLog>> Logs_;
  std::vector<bool> Reachable_;
  std::deque<RoutedBytes> UnderWay_;
  std::uint64_t SentBytes_ = 0;
  std::uint64_t SentMessages_ = 0;
};

} // namespace dragonfly::bench

#endif // DRAGONFLY_BENCH_SUPPORT_DIRECTGROUP_H
