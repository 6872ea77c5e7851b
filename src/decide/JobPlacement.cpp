#include "dragonfly/decide/JobPlacement.h"

#include <algorithm>
#include <compare>
#include <set>

namespace dragonfly::decide {
namespace {

double shareOf(const PlacementWorker &Row, const PlacementRequest &Task) {
  return static_cast<double>(Task.Need_.MilliProcessors_) /
         static_cast<double>(
             std::max<std::int64_t>(Row.Capacity_.MilliProcessors_, 1));
}

bool hasLabel(const PlacementWorker &Row, std::string_view Label) {
  return std::ranges::find(Row.Labels_, Label) != Row.Labels_.end();
}

bool hasSpreadLeft(std::size_t Index, const PlacementRequest &Task) {
  return Task.MaxPerWorker_ == 0 || Task.StepRunsPerWorker_.empty() ||
         Task.StepRunsPerWorker_[Index] < Task.MaxPerWorker_;
}

bool hasRequiredLabel(const PlacementWorker &Row,
                      const PlacementRequest &Task) {
  return Task.RequiredLabel_.empty() || hasLabel(Row, Task.RequiredLabel_);
}

bool isFarFromData(const PlacementWorker &Row, const PlacementRequest &Task) {
  return !Task.DataRack_.empty() && !hasLabel(Row, Task.DataRack_);
}

/// A place that would be used only if no other fits is not worth the locality.
bool isGoodNearPlace(const PlacementWorker &Row, const PlacementRequest &Task) {
  return !isFarFromData(Row, Task) && !Row.Suspect_ &&
         Row.Name_ != Task.AvoidedWorker_;
}

bool hasStartLeft(const PlacementWorker &Row, const PlacementRequest &Task) {
  return !Row.StartsLeft_ || (*Row.StartsLeft_ > 0 && !Task.IsLongRunning_);
}

} // namespace

/// Sort key of a worker for one task; the lowest is preferred. Workers that are
/// neither avoided nor suspect come first, then those whose last run finished,
/// then those near the data, then those that separate latency-critical tasks
/// from batch tasks that interfere with them, then those that fewer other tasks
/// could use.
struct JobPlacement::Rank {
  bool Avoided_ = false;
  bool Suspect_ = false;
  bool Failing_ = false;
  std::uint32_t OtherSuspects_ = 0;
  bool FarFromData_ = false;
  /// For a latency-critical task: its image is not on the worker. For a batch
  /// task: a latency-critical job would keep less than `PreferredHeadroom_`.
  /// For a short task: the worker has no latency-critical tasks.
  bool HasUnfavorableNeighbors_ = false;
  /// Headroom loss that the task causes, in steps.
  std::int64_t LossSteps_ = 0;
  /// Grows with the number of other tasks that could use the worker.
  std::int64_t OtherDemand_ = 0;
  /// Unreserved processors for a latency-critical task, which is packed
  /// tightly; the negative of the spare ones for others, which are spread.
  std::int64_t ProcessorOrder_ = 0;

  auto operator<=>(const Rank &) const = default;
};

JobPlacement::JobPlacement(std::vector<PlacementWorker> Workers,
                           JobPlacementOptions Options)
    : Options_(std::move(Options)), Workers_(std::move(Workers)),
      ServingImages_(Workers_.size()) {
  for (std::size_t Index = 0; Index < Workers_.size(); ++Index)
    for (const ServingJob &Serving : Workers_[Index].Serving_)
      ServingImages_[Index].push_back(servingImageIndex(Serving.Image_));
}

std::size_t JobPlacement::servingImageIndex(const std::string &Image) {
  const auto [It, IsNew] =
      ServingImageIndexes_.try_emplace(Image, ServingImageIndexes_.size());
  if (IsNew)
    LossesByImage_.clear();
  return It->second;
}

const JobPlacement::Losses &
JobPlacement::lossesCausedBy(std::string_view Image) {
  const auto Known = LossesByImage_.find(Image);
  if (Known != LossesByImage_.end())
    return Known->second;
  Losses &Row = LossesByImage_[std::string(Image)];
  Row.resize(ServingImageIndexes_.size());
  for (const auto &[Serving, Index] : ServingImageIndexes_)
    Row[Index] = Options_.LossPerWorker_(Serving, Image);
  return Row;
}

double JobPlacement::headroomLoss(std::size_t Index, std::size_t Serving,
                                  const PlacementRequest &Task,
                                  const Losses &LossesByServingImage) const {
  return LossesByServingImage[ServingImages_[Index][Serving]] *
         shareOf(Workers_[Index], Task);
}

/// Returns the processors that reservations leave unused and no other run has
/// requested, in thousandths.
std::int64_t
JobPlacement::spareMilliProcessors(const PlacementWorker &Row) const {
  constexpr std::int64_t FullPermille = 1000;
  const std::int64_t UnusedByServing =
      Row.ServingMilliProcessors_ *
      (FullPermille - Options_.ServingUsePermille_) / FullPermille;
  return Row.Capacity_.MilliProcessors_ - Row.Reserved_.MilliProcessors_ +
         UnusedByServing - Row.SpareMilliProcessors_;
}

bool JobPlacement::leavesHeadroom(std::size_t Index,
                                  const PlacementRequest &Task,
                                  const Losses &LossesByServingImage,
                                  double MinHeadroom) const {
  const std::vector<ServingJob> &Jobs = Workers_[Index].Serving_;
  for (std::size_t Serving = 0; Serving < Jobs.size(); ++Serving)
    if (Jobs[Serving].Headroom_ -
            headroomLoss(Index, Serving, Task, LossesByServingImage) <
        MinHeadroom)
      return false;
  return true;
}

/// Returns the headroom that all latency-critical jobs on the worker lose to
/// the task, in steps of `LossStep_`.
std::int64_t
JobPlacement::lossInSteps(std::size_t Index, const PlacementRequest &Task,
                          const Losses &LossesByServingImage) const {
  double TotalLoss = 0;
  for (std::size_t Serving = 0; Serving < Workers_[Index].Serving_.size();
       ++Serving)
    TotalLoss += headroomLoss(Index, Serving, Task, LossesByServingImage);
  return static_cast<std::int64_t>(TotalLoss / Options_.LossStep_);
}

bool JobPlacement::hasRoom(std::size_t Index, const PlacementRequest &Task,
                           const Losses &LossesByServingImage) const {
  const PlacementWorker &Row = Workers_[Index];
  Resources Reserve = Task.Need_;
  if (Task.UsesSpareProcessors_)
    Reserve.MilliProcessors_ = 0;
  if (!(Row.Reserved_ + Reserve).fitsIn(Row.Capacity_))
    return false;
  if (!Task.UsesSpareProcessors_ || Task.MayOvercommit_)
    return true;
  const double MinHeadroom =
      Task.IsMove_ ? Options_.PreferredHeadroom_ : Options_.MinHeadroom_;
  return spareMilliProcessors(Row) >= Task.Need_.MilliProcessors_ &&
         leavesHeadroom(Index, Task, LossesByServingImage, MinHeadroom);
}

bool JobPlacement::isEligible(std::size_t Index,
                              const PlacementRequest &Task) const {
  const PlacementWorker &Row = Workers_[Index];
  if (Task.IsMove_ &&
      (Row.Suspect_ || Row.StartsLeft_ || Row.Name_ == Task.AvoidedWorker_))
    return false;
  return !Row.Closed_ && Row.Service_ == Task.Service_ &&
         hasRequiredLabel(Row, Task) && hasSpreadLeft(Index, Task) &&
         hasStartLeft(Row, Task) &&
         (!Task.OnlyNearData_ || isGoodNearPlace(Row, Task));
}

bool JobPlacement::needsProvenWorker(const PlacementRequest &Task) const {
  if (!Task.IsLastAttempt_)
    return false;
  for (std::size_t Index = 0; Index < Workers_.size(); ++Index)
    if (Workers_[Index].Proven_ && isEligible(Index, Task) &&
        Task.Need_.fitsIn(Workers_[Index].Capacity_))
      return true;
  return false;
}

PlacementObstacles
JobPlacement::countObstacles(const PlacementRequest &Task) const {
  PlacementObstacles Count;
  const bool NeedsProven = needsProvenWorker(Task);
  for (std::size_t Index = 0; Index < Workers_.size(); ++Index) {
    const PlacementWorker &Row = Workers_[Index];
    const bool NeedsReserve = !Task.UsesSpareProcessors_;
    if (Row.Service_ != Task.Service_)
      ++Count.OtherService_;
    else if (Row.Closed_)
      ++Count.Closed_;
    else if (!hasRequiredLabel(Row, Task))
      ++Count.Label_;
    else if (!hasSpreadLeft(Index, Task))
      ++Count.TooManyOfStep_;
    else if (!hasStartLeft(Row, Task))
      ++Count.StartLimit_;
    else if (NeedsProven && !Row.Proven_)
      ++Count.Unproven_;
    else if (Task.OnlyNearData_ && !isGoodNearPlace(Row, Task))
      ++Count.FarFromData_;
    else if (Row.Reserved_.MemoryMib_ + Task.Need_.MemoryMib_ >
             Row.Capacity_.MemoryMib_)
      ++Count.Memory_;
    else if (NeedsReserve)
      ++Count.Processors_;
    else if (spareMilliProcessors(Row) < Task.Need_.MilliProcessors_)
      ++Count.SpareProcessors_;
    else
      ++Count.TailLatency_;
  }
  return Count;
}

JobPlacement::Rank
JobPlacement::rankOf(std::size_t Index, const PlacementRequest &Task,
                     const Losses &LossesByServingImage) const {
  const PlacementWorker &Row = Workers_[Index];
  Rank Result{.Avoided_ = Row.Name_ == Task.AvoidedWorker_,
              .Suspect_ = Row.Suspect_,
              .Failing_ = Row.FailuresInRow_ > 0,
              .OtherSuspects_ =
                  Task.IsSuspect_
                      ? Row.SuspectTasks_ + (Row.StartedRecently_ ? 1 : 0)
                      : 0,
              .FarFromData_ = isFarFromData(Row, Task)};
  if (Task.IsServing_) {
    // Each latency-critical image on a worker excludes some batch images from
    // it. A worker that has the same image excludes no further ones, and one
    // that has many images excludes fewer further ones than a worker without
    // any.
    const std::set<std::size_t> Images(ServingImages_[Index].begin(),
                                       ServingImages_[Index].end());
    const auto OwnIndex = ServingImageIndexes_.find(std::string(Task.Image_));
    Result.HasUnfavorableNeighbors_ = OwnIndex == ServingImageIndexes_.end() ||
                                      !Images.contains(OwnIndex->second);
    Result.OtherDemand_ = -static_cast<std::int64_t>(Images.size());
    Result.ProcessorOrder_ =
        Row.Capacity_.MilliProcessors_ - Row.Reserved_.MilliProcessors_;
  } else if (Task.UsesSpareProcessors_) {
    Result.HasUnfavorableNeighbors_ = !leavesHeadroom(
        Index, Task, LossesByServingImage, Options_.PreferredHeadroom_);
    Result.LossSteps_ = lossInSteps(Index, Task, LossesByServingImage);
    // Every batch image can use a worker without latency-critical tasks.
    Result.OtherDemand_ = Row.Serving_.empty() ? 1 : 0;
    Result.ProcessorOrder_ = -spareMilliProcessors(Row);
  } else {
    // Short tasks prefer workers with latency-critical tasks, where batch tasks
    // may be excluded.
    Result.HasUnfavorableNeighbors_ = Row.Serving_.empty();
    Result.ProcessorOrder_ = -spareMilliProcessors(Row);
  }
  return Result;
}

std::optional<std::size_t> JobPlacement::place(const PlacementRequest &Task) {
  static const Losses NoLosses;
  const Losses &LossesByServingImage =
      Task.UsesSpareProcessors_ ? lossesCausedBy(Task.Image_) : NoLosses;
  const bool NeedsProven = needsProvenWorker(Task);
  std::optional<std::size_t> Best;
  Rank BestRank;
  for (std::size_t Index = 0; Index < Workers_.size(); ++Index) {
    if ((NeedsProven && !Workers_[Index].Proven_) || !isEligible(Index, Task) ||
        !hasRoom(Index, Task, LossesByServingImage))
      continue;
    const Rank Candidate = rankOf(Index, Task, LossesByServingImage);
    if (!Best || Candidate < BestRank) {
      Best = Index;
      BestRank = Candidate;
    }
  }
  if (Best)
    commit(*Best, Task, LossesByServingImage);
  return Best;
}

std::optional<std::size_t>
JobPlacement::placeReserved(const PlacementRequest &Task, std::size_t Index) {
  Workers_[Index].Reserved_ -= Task.Need_;
  if (isEligible(Index, Task) && hasRoom(Index, Task, {})) {
    commit(Index, Task, {});
    return Index;
  }
  Workers_[Index].Reserved_ += Task.Need_;
  return std::nullopt;
}

std::optional<std::size_t>
JobPlacement::holdRoom(const PlacementRequest &Task) {
  const auto Unreserved = [this](std::size_t Index) {
    return Workers_[Index].Capacity_.MilliProcessors_ -
           Workers_[Index].Reserved_.MilliProcessors_;
  };
  std::optional<std::size_t> Best;
  for (std::size_t Index = 0; Index < Workers_.size(); ++Index) {
    const PlacementWorker &Row = Workers_[Index];
    Resources Needed = Row.Reserved_ + Task.Need_;
    // Other processors become free as short tasks end.
    Needed.MilliProcessors_ = Row.ServingMilliProcessors_ +
                              Row.HeldMilliProcessors_ +
                              Task.Need_.MilliProcessors_;
    if (isEligible(Index, Task) && Needed.fitsIn(Row.Capacity_) &&
        (!Best || Unreserved(Index) > Unreserved(*Best)))
      Best = Index;
  }
  if (Best) {
    Workers_[*Best].Reserved_ += Task.Need_;
    Workers_[*Best].HeldMilliProcessors_ += Task.Need_.MilliProcessors_;
  }
  return Best;
}

void JobPlacement::commit(std::size_t Index, const PlacementRequest &Task,
                          const Losses &LossesByServingImage) {
  PlacementWorker &Row = Workers_[Index];
  Resources Reserve = Task.Need_;
  if (Task.UsesSpareProcessors_) {
    for (std::size_t Serving = 0; Serving < Row.Serving_.size(); ++Serving)
      Row.Serving_[Serving].Headroom_ -=
          headroomLoss(Index, Serving, Task, LossesByServingImage);
    Row.SpareMilliProcessors_ += Reserve.MilliProcessors_;
    Reserve.MilliProcessors_ = 0;
  }
  Row.Reserved_ += Reserve;
  if (Row.StartsLeft_ && *Row.StartsLeft_ > 0)
    --*Row.StartsLeft_;
  Row.StartedRecently_ = true;
  Row.SuspectTasks_ += Task.IsSuspect_ ? 1 : 0;
  if (Task.IsServing_) {
    Row.ServingMilliProcessors_ += Reserve.MilliProcessors_;
    Row.Serving_.push_back({.Image_ = std::string(Task.Image_)});
    ServingImages_[Index].push_back(
        servingImageIndex(Row.Serving_.back().Image_));
  }
}

} // namespace dragonfly::decide
