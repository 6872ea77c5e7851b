#include "dragonfly/net/ConnectionLimits.h"

#include <algorithm>

namespace dragonfly::net {
namespace {

/// Descriptors of a process besides those of its servers: files, listeners and
/// connections that it opens itself.
constexpr std::size_t OwnDescriptors = 64;
/// Descriptors that the platform keeps for files outside the disk folder.
constexpr std::size_t ReservedDescriptors = 200;
/// With so many descriptors the servers of each program have their usual
/// bounds.
constexpr std::size_t UsualDescriptors = 4100;
constexpr std::size_t LeastConnections = 8;

constexpr std::size_t servable(std::size_t Descriptors) {
  return Descriptors -
         std::min(Descriptors, ReservedDescriptors + OwnDescriptors);
}

} // namespace

std::size_t ConnectionLimits::connections(std::size_t Usual) const {
  if (Descriptors_ == 0 || Descriptors_ >= UsualDescriptors)
    return Usual;
  return std::max(LeastConnections,
                  Usual * servable(Descriptors_) / servable(UsualDescriptors));
}

} // namespace dragonfly::net
