/// Bounds on the connections of a process, over all of its listeners.
#ifndef DRAGONFLY_NET_CONNECTIONLIMITS_H
#define DRAGONFLY_NET_CONNECTIONLIMITS_H

#include <cstddef>
#include <cstdint>

namespace dragonfly::net {

/// Connections that servers have closed or refused for want of room.
struct ConnectionCounts {
  /// Closed in favour of a newcomer: nothing whole had come for longest.
  std::uint64_t Displaced_ = 0;
  /// Newcomers that were refused, since all others were in use.
  std::uint64_t Refused_ = 0;
};

/// Each server has a part of the process's descriptors of its own, so that a
/// crowd on one takes none from the others, from files or from connections that
/// the process opens itself.
class ConnectionLimits {
public:
  /// Sets the descriptors that the process may have open; 0 if that is not
  /// known.
  void setDescriptorLimit(std::size_t Descriptors) {
    Descriptors_ = Descriptors;
  }

  /// Returns how many connections of one kind a server may have open that
  /// usually has up to \p Usual.
  std::size_t connections(std::size_t Usual) const;

  ConnectionCounts &counts() { return Counts_; }

private:
  std::size_t Descriptors_ = 0;
  ConnectionCounts Counts_;
};

} // namespace dragonfly::net

#endif // DRAGONFLY_NET_CONNECTIONLIMITS_H
