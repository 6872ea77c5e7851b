#include "dragonfly/decide/JobPlacement.h"

#include <algorithm>

namespace dragonfly::decide {
namespace {

/// Processors that neither reservations nor spare users want, in thousandths.
std::int64_t spareOf(const PlacementWorker &Row) {
  return Row.Capacity_.MilliProcessors_ - Row.Reserved_.MilliProcessors_ -
         Row.SpareMilliProcessors_;
}

bool hasRoom(const PlacementWorker &Row, const PlacementNeed &Task) {
  Resources Reserve = Task.Need_;
  if (Task.UsesSpareProcessors_) {
    if (spareOf(Row) < Task.Need_.MilliProcessors_)
      return false;
    Reserve.MilliProcessors_ = 0;
  }
  return (Row.Reserved_ + Reserve).fitsIn(Row.Capacity_);
}

bool isAllowed(const PlacementWorker &Row, std::size_t Index,
               const PlacementNeed &Task) {
  if (!Row.Open_ || Row.Service_ != Task.Service_)
    return false;
  if (!Task.RequiredLabel_.empty() &&
      std::ranges::find(Row.Labels_, Task.RequiredLabel_) == Row.Labels_.end())
    return false;
  return Task.MaxPerWorker_ == 0 || Task.StepRuns_.empty() ||
         Task.StepRuns_[Index] < Task.MaxPerWorker_;
}

/// Orders workers: sound ones first, then near the data, then by what keeps
/// tasks that serve and tasks on spare processors apart, since these disturb
/// the others' tail latency.
struct Rank {
  bool Avoided_ = false;
  bool Suspect_ = false;
  bool FarFromData_ = false;
  bool OtherCompany_ = false;
  std::int64_t Fit_ = 0;

  auto operator<=>(const Rank &) const = default;
};

Rank rankOf(const PlacementWorker &Row, const PlacementNeed &Task) {
  Rank Result{.Avoided_ = Row.Name_ == Task.Avoid_,
              .Suspect_ = Row.Suspect_,
              .FarFromData_ = !Task.DataRack_.empty() &&
                              std::ranges::find(Row.Labels_, Task.DataRack_) ==
                                  Row.Labels_.end()};
  const bool Serving = Row.ServingRuns_ > 0;
  if (Task.Serves_) {
    // Packed on few workers, so that the others are free of them.
    Result.OtherCompany_ = !Serving;
    Result.Fit_ = Row.Capacity_.MilliProcessors_ - Row.Reserved_.MilliProcessors_;
  } else if (Task.UsesSpareProcessors_) {
    Result.OtherCompany_ = Serving;
    Result.Fit_ = -spareOf(Row);
  } else {
    // Short tasks take what tasks on spare processors shall not use.
    Result.OtherCompany_ = !Serving;
    Result.Fit_ = -spareOf(Row);
  }
  return Result;
}

} // namespace

std::optional<std::size_t> JobPlacement::place(const PlacementNeed &Task) {
  std::optional<std::size_t> Best;
  Rank BestRank;
  for (std::size_t Index = 0; Index < Workers_.size(); ++Index) {
    const PlacementWorker &Row = Workers_[Index];
    if (!isAllowed(Row, Index, Task) || !hasRoom(Row, Task))
      continue;
    const Rank Candidate = rankOf(Row, Task);
    if (!Best || Candidate < BestRank) {
      Best = Index;
      BestRank = Candidate;
    }
  }
  if (!Best)
    return std::nullopt;
  PlacementWorker &Chosen = Workers_[*Best];
  Resources Reserve = Task.Need_;
  if (Task.UsesSpareProcessors_) {
    Chosen.SpareMilliProcessors_ += Reserve.MilliProcessors_;
    Reserve.MilliProcessors_ = 0;
  }
  Chosen.Reserved_ += Reserve;
  if (Task.Serves_)
    ++Chosen.ServingRuns_;
  return Best;
}

} // namespace dragonfly::decide
