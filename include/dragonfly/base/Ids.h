/// Identifiers that cannot be mixed up with one another.
#ifndef DRAGONFLY_BASE_IDS_H
#define DRAGONFLY_BASE_IDS_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace dragonfly {

/// A 64-bit identifier of the things that \p Tag stands for; 0 means none.
template <typename Tag> struct Id {
  std::uint64_t Value_ = 0;

  auto operator<=>(const Id &) const = default;
  explicit operator bool() const { return Value_ != 0; }

  template <typename Archive> void serialize(Archive &Ar) { Ar(Value_); }
};

/// A control replica's place in the membership.
using ReplicaId = Id<struct ReplicaTag>;
/// Drawn at random when a data folder is made.
using StoreId = Id<struct StoreTag>;
/// Drawn at random when a process starts.
using Incarnation = Id<struct IncarnationTag>;
/// A task accepted by control; unique for the life of the deployment.
using TaskId = Id<struct TaskTag>;
/// Fencing epoch of a lease; grows with each grant.
using Epoch = Id<struct EpochTag>;
/// Version of a list; grows by one with each accepted change.
using ListVersion = Id<struct ListVersionTag>;
/// Position in the replicated log, from 1.
using LogIndex = Id<struct LogIndexTag>;
/// Election term of the replicated log, from 1.
using Term = Id<struct TermTag>;

} // namespace dragonfly

template <typename Tag> struct std::hash<dragonfly::Id<Tag>> {
  std::size_t operator()(const dragonfly::Id<Tag> &Value) const noexcept {
    return std::hash<std::uint64_t>{}(Value.Value_);
  }
};

#endif // DRAGONFLY_BASE_IDS_H
