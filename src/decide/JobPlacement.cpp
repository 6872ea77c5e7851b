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

JobPlacement::JobPlacement(std::vector<PlacementWorker> Workers,
                           JobPlacementOptions Options)
    : Options_(std::move(Options)), Workers_(std::move(Workers)),
      ServingImages_(Workers_.size()) {
  for (std::size_t Index = 0; Index < Workers_.size(); ++Index)
    for (const ServingJob &Serving : Workers_[Index].Serving_)
      ServingImages_[Index].push_back(numberOf(Serving.Image_));
}

std::size_t JobPlacement::numberOf(const std::string &Image) {
  const auto [It, IsNew] =
      ImageNumbers_.try_emplace(Image, ImageNumbers_.size());
  if (IsNew)
    LossesByImage_.clear();
  return It->second;
}

const JobPlacement::Losses &JobPlacement::lossesBy(std::string_view Image) {
  const auto Known = LossesByImage_.find(Image);
  if (Known != LossesByImage_.end())
    return Known->second;
  Losses &Row = LossesByImage_[std::string(Image)];
  Row.resize(ImageNumbers_.size());
  for (const auto &[Serving, Number] : ImageNumbers_)
    Row[Number] = Options_.LossPerWorker_(Serving, Image);
  return Row;
}

double JobPlacement::lossOf(std::size_t Index, std::size_t Serving,
                            const PlacementRequest &Task,
                            const Losses &ByImage) const {
  return ByImage[ServingImages_[Index][Serving]] *
         shareOf(Workers_[Index], Task);
}

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

bool JobPlacement::leavesHeadroom(std::size_t Index,
                                  const PlacementRequest &Task,
                                  const Losses &ByImage, double Least) const {
  const std::vector<ServingJob> &Jobs = Workers_[Index].Serving_;
  for (std::size_t Serving = 0; Serving < Jobs.size(); ++Serving)
    if (Jobs[Serving].Headroom_ - lossOf(Index, Serving, Task, ByImage) < Least)
      return false;
  return true;
}

/// The headroom that the run takes from all jobs that serve there, in steps.
std::int64_t JobPlacement::disturbanceOf(std::size_t Index,
                                         const PlacementRequest &Task,
                                         const Losses &ByImage) const {
  double Lost = 0;
  for (std::size_t Serving = 0; Serving < Workers_[Index].Serving_.size();
       ++Serving)
    Lost += lossOf(Index, Serving, Task, ByImage);
  return static_cast<std::int64_t>(Lost / Options_.LossStep_);
}

bool JobPlacement::hasRoom(std::size_t Index, const PlacementRequest &Task,
                           const Losses &ByImage) const {
  const PlacementWorker &Row = Workers_[Index];
  Resources Reserve = Task.Need_;
  if (Task.UsesSpareProcessors_)
    Reserve.MilliProcessors_ = 0;
  if (!(Row.Reserved_ + Reserve).fitsIn(Row.Capacity_))
    return false;
  if (!Task.UsesSpareProcessors_ || Task.MayOvercommit_)
    return true;
  const double Least =
      Task.IsMove_ ? Options_.PreferredHeadroom_ : Options_.MinHeadroom_;
  return spareOf(Row) >= Task.Need_.MilliProcessors_ &&
         leavesHeadroom(Index, Task, ByImage, Least);
}

bool JobPlacement::isAllowed(std::size_t Index,
                             const PlacementRequest &Task) const {
  const PlacementWorker &Row = Workers_[Index];
  if (Task.IsMove_ && (Row.Suspect_ || Row.Name_ == Task.AvoidedWorker_))
    return false;
  return Row.Service_ == Task.Service_ && hasRequiredLabel(Row, Task) &&
         hasSpreadLeft(Index, Task);
}

PlacementObstacles
JobPlacement::countObstacles(const PlacementRequest &Task) const {
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

JobPlacement::Rank JobPlacement::rankOf(std::size_t Index,
                                        const PlacementRequest &Task,
                                        const Losses &ByImage) const {
  const PlacementWorker &Row = Workers_[Index];
  Rank Result{.Avoided_ = Row.Name_ == Task.AvoidedWorker_,
              .Suspect_ = Row.Suspect_,
              .FarFromData_ =
                  !Task.DataRack_.empty() && !hasLabel(Row, Task.DataRack_)};
  if (Task.IsServing_) {
    // Each image that serves keeps some batch images away: a place beside the
    // same image costs none, and one beside many images fewer than a free one.
    const std::set<std::size_t> Images(ServingImages_[Index].begin(),
                                       ServingImages_[Index].end());
    const auto Own = ImageNumbers_.find(std::string(Task.Image_));
    Result.BadCompany_ =
        Own == ImageNumbers_.end() || !Images.contains(Own->second);
    Result.Demand_ = -static_cast<std::int64_t>(Images.size());
    Result.Fit_ =
        Row.Capacity_.MilliProcessors_ - Row.Reserved_.MilliProcessors_;
  } else if (Task.UsesSpareProcessors_) {
    Result.BadCompany_ =
        !leavesHeadroom(Index, Task, ByImage, Options_.PreferredHeadroom_);
    Result.Disturbance_ = disturbanceOf(Index, Task, ByImage);
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

std::optional<std::size_t> JobPlacement::place(const PlacementRequest &Task) {
  static const Losses None;
  const Losses &ByImage =
      Task.UsesSpareProcessors_ ? lossesBy(Task.Image_) : None;
  std::optional<std::size_t> Best;
  Rank BestRank;
  for (std::size_t Index = 0; Index < Workers_.size(); ++Index) {
    if (!isAllowed(Index, Task) || !hasRoom(Index, Task, ByImage))
      continue;
    const Rank Candidate = rankOf(Index, Task, ByImage);
    if (!Best || Candidate < BestRank) {
      Best = Index;
      BestRank = Candidate;
    }
  }
  if (Best)
    commit(*Best, Task, ByImage);
  return Best;
}

void JobPlacement::commit(std::size_t Index, const PlacementRequest &Task,
                          const Losses &ByImage) {
  PlacementWorker &Row = Workers_[Index];
  Resources Reserve = Task.Need_;
  if (Task.UsesSpareProcessors_) {
    for (std::size_t Serving = 0; Serving < Row.Serving_.size(); ++Serving)
      Row.Serving_[Serving].Headroom_ -= lossOf(Index, Serving, Task, ByImage);
    Row.SpareMilliProcessors_ += Reserve.MilliProcessors_;
    Reserve.MilliProcessors_ = 0;
  }
  Row.Reserved_ += Reserve;
  if (Task.IsServing_) {
    Row.ServingMilliProcessors_ += Reserve.MilliProcessors_;
    Row.Serving_.push_back({.Image_ = std::string(Task.Image_)});
    ServingImages_[Index].push_back(numberOf(Row.Serving_.back().Image_));
  }
}

} // namespace dragonfly::decide
