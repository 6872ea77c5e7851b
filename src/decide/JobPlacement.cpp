#include "dragonfly/decide/JobPlacement.h"

#include <algorithm>
#include <compare>
#include <limits>
#include <numeric>
#include <set>

namespace dragonfly::decide {
namespace {

double shareOf(const PlacementWorker &Row, const PlacementNeed &Task) {
  return static_cast<double>(Task.Need_.MilliProcessors_) /
         static_cast<double>(
             std::max<std::int64_t>(Row.Capacity_.MilliProcessors_, 1));
}

bool hasLabel(const PlacementWorker &Row, std::string_view Label) {
  return std::ranges::find(Row.Labels_, Label) != Row.Labels_.end();
}

bool hasSpreadLeft(std::size_t Index, const PlacementNeed &Task) {
  return Task.MaxPerWorker_ == 0 || Task.StepRuns_.empty() ||
         Task.StepRuns_[Index] < Task.MaxPerWorker_;
}

std::set<std::string_view> imagesOf(const PlacementWorker &Row) {
  std::set<std::string_view> Images;
  for (const ServingJob &Serving : Row.Serving_)
    Images.insert(Serving.Image_);
  return Images;
}

bool hasRequiredLabel(const PlacementWorker &Row, const PlacementNeed &Task) {
  return Task.RequiredLabel_.empty() || hasLabel(Row, Task.RequiredLabel_);
}

} // namespace

/// Orders workers: sound ones first, then near the data, then by what keeps
/// tasks that serve and tasks on spare processors apart where these disturb the
/// others' tail latency, then by how many other tasks could use the place.
struct JobPlacement::Rank {
  bool Avoided_ = false;
  bool Suspect_ = false;
  bool FarFromData_ = false;
  bool BadCompany_ = false;
  std::int64_t Disturbance_ = 0;
  std::int64_t Demand_ = 0;
  std::int64_t Fit_ = 0;

  auto operator<=>(const Rank &) const = default;
};

/// Processors that are neither used by reservations nor wanted by others, in
/// thousandths.
std::int64_t JobPlacement::spareOf(const PlacementWorker &Row) const {
  constexpr std::int64_t Whole = 1000;
  const std::int64_t LeftByServing = Row.ServingMilliProcessors_ *
                                     (Whole - Options_.ServingUsePermille_) /
                                     Whole;
  return Row.Capacity_.MilliProcessors_ - Row.Reserved_.MilliProcessors_ +
         LeftByServing - Row.SpareMilliProcessors_;
}

double JobPlacement::headroomAfter(const PlacementWorker &Row,
                                   const PlacementNeed &Task) const {
  double Least = std::numeric_limits<double>::max();
  for (const ServingJob &Serving : Row.Serving_)
    Least = std::min(Least, Serving.Headroom_ -
                                Options_.Loss_(Serving.Image_, Task.Image_,
                                               shareOf(Row, Task)));
  return Least;
}

/// The headroom that the run takes from all jobs that serve there, in steps.
std::int64_t JobPlacement::disturbanceOf(const PlacementWorker &Row,
                                         const PlacementNeed &Task) const {
  const double Lost =
      std::accumulate(Row.Serving_.begin(), Row.Serving_.end(), 0.0,
                      [&](double Sum, const ServingJob &Serving) {
                        return Sum + Options_.Loss_(Serving.Image_, Task.Image_,
                                                    shareOf(Row, Task));
                      });
  return static_cast<std::int64_t>(Lost / Options_.DisturbanceStep_);
}

bool JobPlacement::hasRoom(const PlacementWorker &Row,
                           const PlacementNeed &Task) const {
  Resources Reserve = Task.Need_;
  if (Task.UsesSpareProcessors_) {
    const double Least =
        Task.Moves_ ? Options_.GoodHeadroom_ : Options_.LeastHeadroom_;
    if (!Task.MayCrowd_ && (spareOf(Row) < Task.Need_.MilliProcessors_ ||
                            headroomAfter(Row, Task) < Least))
      return false;
    Reserve.MilliProcessors_ = 0;
  }
  return (Row.Reserved_ + Reserve).fitsIn(Row.Capacity_);
}

bool JobPlacement::isAllowed(std::size_t Index,
                             const PlacementNeed &Task) const {
  const PlacementWorker &Row = Workers_[Index];
  if (Task.Moves_ && (Row.Suspect_ || Row.Name_ == Task.Avoid_))
    return false;
  return Row.Service_ == Task.Service_ && hasRequiredLabel(Row, Task) &&
         hasSpreadLeft(Index, Task);
}

PlacementObstacles JobPlacement::obstacles(const PlacementNeed &Task) const {
  PlacementObstacles Count;
  for (std::size_t Index = 0; Index < Workers_.size(); ++Index) {
    const PlacementWorker &Row = Workers_[Index];
    const bool NeedsReserve = !Task.UsesSpareProcessors_;
    if (Row.Service_ != Task.Service_)
      ++Count.OtherService_;
    else if (!hasRequiredLabel(Row, Task))
      ++Count.Label_;
    else if (!hasSpreadLeft(Index, Task))
      ++Count.TooManyOfStep_;
    else if (Row.Reserved_.MemoryMib_ + Task.Need_.MemoryMib_ >
             Row.Capacity_.MemoryMib_)
      ++Count.Memory_;
    else if (NeedsReserve)
      ++Count.Processors_;
    else if (spareOf(Row) < Task.Need_.MilliProcessors_)
      ++Count.SpareProcessors_;
    else
      ++Count.TailLatency_;
  }
  return Count;
}

JobPlacement::Rank JobPlacement::rankOf(const PlacementWorker &Row,
                                        const PlacementNeed &Task) const {
  Rank Result{.Avoided_ = Row.Name_ == Task.Avoid_,
              .Suspect_ = Row.Suspect_,
              .FarFromData_ =
                  !Task.DataRack_.empty() && !hasLabel(Row, Task.DataRack_)};
  if (Task.Serves_) {
    // Each image that serves keeps some batch images away: a place beside the
    // same image costs none, and one beside many images fewer than a free one.
    const std::set<std::string_view> Images = imagesOf(Row);
    Result.BadCompany_ = !Images.contains(Task.Image_);
    Result.Demand_ = -static_cast<std::int64_t>(Images.size());
    Result.Fit_ =
        Row.Capacity_.MilliProcessors_ - Row.Reserved_.MilliProcessors_;
  } else if (Task.UsesSpareProcessors_) {
    Result.BadCompany_ = headroomAfter(Row, Task) < Options_.GoodHeadroom_;
    Result.Disturbance_ = disturbanceOf(Row, Task);
    // Any image can use a worker where nothing serves.
    Result.Demand_ = Row.Serving_.empty() ? 1 : 0;
    Result.Fit_ = -spareOf(Row);
  } else {
    // Short tasks take what tasks on spare processors cannot use as well.
    Result.BadCompany_ = Row.Serving_.empty();
    Result.Fit_ = -spareOf(Row);
  }
  return Result;
}

std::optional<std::size_t> JobPlacement::place(const PlacementNeed &Task) {
  std::optional<std::size_t> Best;
  Rank BestRank;
  for (std::size_t Index = 0; Index < Workers_.size(); ++Index) {
    const PlacementWorker &Row = Workers_[Index];
    if (!isAllowed(Index, Task) || !hasRoom(Row, Task))
      continue;
    const Rank Candidate = rankOf(Row, Task);
    if (!Best || Candidate < BestRank) {
      Best = Index;
      BestRank = Candidate;
    }
  }
  if (Best)
    commit(Workers_[*Best], Task);
  return Best;
}

void JobPlacement::commit(PlacementWorker &Row,
                          const PlacementNeed &Task) const {
  Resources Reserve = Task.Need_;
  if (Task.UsesSpareProcessors_) {
    for (ServingJob &Serving : Row.Serving_)
      Serving.Headroom_ -=
          Options_.Loss_(Serving.Image_, Task.Image_, shareOf(Row, Task));
    Row.SpareMilliProcessors_ += Reserve.MilliProcessors_;
    Reserve.MilliProcessors_ = 0;
  }
  Row.Reserved_ += Reserve;
  if (Task.Serves_) {
    Row.ServingMilliProcessors_ += Reserve.MilliProcessors_;
    Row.Serving_.push_back({.Image_ = std::string(Task.Image_)});
  }
}

} // namespace dragonfly::decide
