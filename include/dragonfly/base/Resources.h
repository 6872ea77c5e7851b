/// Amounts of what a VM has and what a task needs.
#ifndef DRAGONFLY_BASE_RESOURCES_H
#define DRAGONFLY_BASE_RESOURCES_H

#include <compare>
#include <cstdint>

namespace dragonfly {

/// Processors (in thousandths), memory (in MiB) and accelerators (whole).
struct Resources {
  std::int64_t MilliProcessors_ = 0;
  std::int64_t MemoryMib_ = 0;
  std::int64_t Accelerators_ = 0;

  bool operator==(const Resources &) const = default;

  Resources &operator+=(const Resources &Other) {
    MilliProcessors_ += Other.MilliProcessors_;
    MemoryMib_ += Other.MemoryMib_;
    Accelerators_ += Other.Accelerators_;
    return *this;
  }

  Resources &operator-=(const Resources &Other) {
    MilliProcessors_ -= Other.MilliProcessors_;
    MemoryMib_ -= Other.MemoryMib_;
    Accelerators_ -= Other.Accelerators_;
    return *this;
  }

  friend Resources operator+(Resources A, const Resources &B) { return A += B; }
  friend Resources operator-(Resources A, const Resources &B) { return A -= B; }

  /// True where \p Limit covers this amount in every dimension.
  bool fitsIn(const Resources &Limit) const {
    return MilliProcessors_ <= Limit.MilliProcessors_ &&
           MemoryMib_ <= Limit.MemoryMib_ &&
           Accelerators_ <= Limit.Accelerators_;
  }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(MilliProcessors_, MemoryMib_, Accelerators_);
  }
};

} // namespace dragonfly

#endif // DRAGONFLY_BASE_RESOURCES_H
