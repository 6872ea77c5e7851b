/// The availability zones whose workers get no more runs. Replicated, so that
/// an acknowledged evacuation survives the loss of all processes.
#ifndef DRAGONFLY_JOBS_EVACUATIONTABLE_H
#define DRAGONFLY_JOBS_EVACUATIONTABLE_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/EnumTable.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace dragonfly::jobs {

struct ZoneEvacuation {
  bool Evacuated_ = false;
  /// Grows with each request that is applied to any zone.
  std::uint64_t Revision_ = 0;
  /// Log time at which it was last evacuated or taken back; zero if it never
  /// was.
  Duration ChangedAt_{};

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Evacuated_, Revision_, ChangedAt_);
  }
};

enum class EvacuationStatus : std::uint8_t {
  Applied,  ///< The zone is as requested.
  Outdated, ///< The zone has changed since the revision that was named.
  TooMany   ///< There is no room for another zone.
};

class EvacuationTable {
public:
  /// Zones that are kept.
  static constexpr std::size_t MaxZones = 64;

  /// Evacuates the zone or takes it back, unless it has changed since
  /// \p ExpectedRevision. A request for the state that the zone has makes a new
  /// revision too, so that requests which were decided on an older one have no
  /// effect after it.
  EvacuationStatus set(Duration At, const std::string &Zone, bool Evacuated,
                       std::uint64_t ExpectedRevision) {
    const ZoneEvacuation Current = find(Zone);
    if (Current.Revision_ != ExpectedRevision)
      return EvacuationStatus::Outdated;
    if (!Zones_.contains(Zone) && Zones_.size() >= MaxZones)
      return EvacuationStatus::TooMany;
    Zones_[Zone] = {.Evacuated_ = Evacuated,
                    .Revision_ = ++LastRevision_,
                    .ChangedAt_ = Current.Evacuated_ == Evacuated
                                      ? Current.ChangedAt_
                                      : At};
    return EvacuationStatus::Applied;
  }

  /// Returns the state of a zone; one that was never evacuated has revision 0.
  ZoneEvacuation find(const std::string &Zone) const {
    const auto It = Zones_.find(Zone);
    return It == Zones_.end() ? ZoneEvacuation() : It->second;
  }
  bool isEvacuated(const std::string &Zone) const {
    return find(Zone).Evacuated_;
  }
  const std::map<std::string, ZoneEvacuation> &zones() const { return Zones_; }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Zones_, LastRevision_);
  }

private:
  std::map<std::string, ZoneEvacuation> Zones_;
  std::uint64_t LastRevision_ = 0;
};

} // namespace dragonfly::jobs

template <> struct dragonfly::EnumTable<dragonfly::jobs::EvacuationStatus> {
  using Status = jobs::EvacuationStatus;
  static constexpr std::array<EnumName<Status>, 3> Rows{{
      {Status::Applied, "applied"},
      {Status::Outdated, "outdated"},
      {Status::TooMany, "too-many-zones"},
  }};
};

#endif // DRAGONFLY_JOBS_EVACUATIONTABLE_H
