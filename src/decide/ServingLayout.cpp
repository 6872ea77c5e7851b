#include "dragonfly/decide/ServingLayout.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <set>

namespace dragonfly::decide {
namespace {

constexpr std::int64_t FullPermille = 1000;
/// Losses below this count as this one, which bounds the usable share.
constexpr double MinLossPerWorker = 0.1;
/// Added to the processors that an image can use, in thousandths, so that the
/// cost of an image that fits nowhere is finite.
constexpr double BaseMilliProcessors = 1000;

} // namespace

ServingLayout::ServingLayout(const std::vector<LayoutWorker> &Workers,
                             const std::vector<BatchDemand> &Demands,
                             const ServingLayoutOptions &Options)
    : Options_(Options) {
  std::ranges::transform(Demands, std::back_inserter(Demands_),
                         &BatchDemand::MilliProcessors_);
  Present_.TotalUsable_.resize(Demands.size());
  for (std::size_t Worker = 0; Worker < Workers.size(); ++Worker) {
    const LayoutWorker &Row = Workers[Worker];
    Services_.push_back(Row.Service_);
    Capacities_.push_back(Row.Capacity_);
    Suspects_.push_back(Row.Suspect_);
    Present_.Reserved_.push_back(Row.Reserved_);
    std::vector<std::size_t> &TasksHere = Present_.TasksOn_.emplace_back();
    for (std::size_t Position = 0; Position < Row.Tasks_.size(); ++Position) {
      TasksHere.push_back(Tasks_.size());
      Tasks_.push_back(
          {.Row_ = Row.Tasks_[Position],
           .Image_ = addImage(Row.Tasks_[Position].Image_, Demands),
           .Worker_ = Worker,
           .Position_ = Position});
    }
    Present_.Usable_.push_back(usable(Present_, Worker));
    std::ranges::transform(Present_.TotalUsable_, Present_.Usable_.back(),
                           Present_.TotalUsable_.begin(), std::plus{});
  }
  Present_.Cost_ = costOf(Present_.TotalUsable_);
}

std::size_t ServingLayout::addImage(const std::string &Image,
                                    const std::vector<BatchDemand> &Demands) {
  const auto [It, IsNew] =
      ImageIndexes_.try_emplace(Image, ImageIndexes_.size());
  if (IsNew) {
    std::vector<double> &Shares = UsableShares_.emplace_back();
    std::ranges::transform(
        Demands, std::back_inserter(Shares), [&](const BatchDemand &Batch) {
          return Options_.SpareHeadroom_ /
                 std::max(Options_.LossPerWorker_(Image, Batch.Image_),
                          MinLossPerWorker);
        });
  }
  return It->second;
}

std::vector<double>
ServingLayout::usable(const State &On, std::size_t Worker,
                      std::optional<std::size_t> Leaves,
                      std::optional<std::size_t> Arrives) const {
  std::vector<bool> HasImage(UsableShares_.size());
  std::int64_t Unreserved = Capacities_[Worker].MilliProcessors_ -
                            On.Reserved_[Worker].MilliProcessors_;
  std::int64_t Serving = 0;
  const auto Add = [&](std::size_t Index) {
    HasImage[Tasks_[Index].Image_] = true;
    Serving += Tasks_[Index].Row_.Need_.MilliProcessors_;
  };
  for (const std::size_t Index : On.TasksOn_[Worker])
    if (Index != Leaves)
      Add(Index);
  if (Leaves)
    Unreserved += Tasks_[*Leaves].Row_.Need_.MilliProcessors_;
  if (Arrives) {
    Add(*Arrives);
    Unreserved -= Tasks_[*Arrives].Row_.Need_.MilliProcessors_;
  }
  const std::int64_t Spare =
      Unreserved +
      Serving * (FullPermille - Options_.ServingUsePermille_) / FullPermille;
  const auto Capacity =
      static_cast<double>(Capacities_[Worker].MilliProcessors_);
  std::vector<double> Result(
      Demands_.size(), static_cast<double>(std::max<std::int64_t>(Spare, 0)));
  for (std::size_t Image = 0; Image < HasImage.size(); ++Image)
    if (HasImage[Image])
      std::ranges::transform(Result, UsableShares_[Image], Result.begin(),
                             [Capacity](double Processors, double Share) {
                               return std::min(Processors, Share * Capacity);
                             });
  return Result;
}

bool ServingLayout::fits(const State &On, std::size_t Worker,
                         std::optional<std::size_t> Leaves,
                         std::size_t Arrives) const {
  const LayoutTask &Task = Tasks_[Arrives].Row_;
  Resources Reserved = On.Reserved_[Worker] + Task.Need_;
  if (Leaves)
    Reserved -= Tasks_[*Leaves].Row_.Need_;
  if (!Reserved.fitsIn(Capacities_[Worker]))
    return false;
  const auto OfStep =
      std::ranges::count_if(On.TasksOn_[Worker], [&](std::size_t Index) {
        return Index != Leaves && Tasks_[Index].Row_.Step_ == Task.Step_;
      });
  return Task.MaxPerWorker_ == 0 ||
         OfStep < static_cast<std::ptrdiff_t>(Task.MaxPerWorker_);
}

double ServingLayout::costOf(const std::vector<double> &TotalUsable) const {
  return std::transform_reduce(
      Demands_.begin(), Demands_.end(), TotalUsable.begin(), 0.0, std::plus{},
      [](double Demand, double Processors) {
        return Demand / (Processors + BaseMilliProcessors);
      });
}

double ServingLayout::costAfter(const State &On, const Step &Taken) const {
  const std::vector<double> From =
      usable(On, Taken.From_, Taken.Task_, Taken.Exchanged_);
  const std::vector<double> To =
      usable(On, Taken.To_, Taken.Exchanged_, Taken.Task_);
  std::vector<double> Total = On.TotalUsable_;
  for (std::size_t Batch = 0; Batch < Total.size(); ++Batch)
    Total[Batch] += From[Batch] + To[Batch] - On.Usable_[Taken.From_][Batch] -
                    On.Usable_[Taken.To_][Batch];
  return costOf(Total);
}

void ServingLayout::apply(State &On, const Step &Taken) const {
  const auto Move = [&](std::size_t Index, std::size_t From, std::size_t To) {
    std::erase(On.TasksOn_[From], Index);
    On.TasksOn_[To].push_back(Index);
    On.Reserved_[From] -= Tasks_[Index].Row_.Need_;
    On.Reserved_[To] += Tasks_[Index].Row_.Need_;
  };
  Move(Taken.Task_, Taken.From_, Taken.To_);
  if (Taken.Exchanged_)
    Move(*Taken.Exchanged_, Taken.To_, Taken.From_);
  for (const std::size_t Worker : {Taken.From_, Taken.To_}) {
    const std::vector<double> After = usable(On, Worker);
    for (std::size_t Batch = 0; Batch < After.size(); ++Batch)
      On.TotalUsable_[Batch] += After[Batch] - On.Usable_[Worker][Batch];
    On.Usable_[Worker] = After;
  }
  On.Cost_ = costOf(On.TotalUsable_);
}

std::optional<ServingLayout::Step> ServingLayout::bestStep(const State &On,
                                                           std::size_t From,
                                                           std::size_t Moved,
                                                           bool IsFirst) const {
  std::optional<Step> Best;
  const auto Consider = [&](Step Candidate) {
    Candidate.Cost_ = costAfter(On, Candidate);
    if (!Best || Candidate.Cost_ < Best->Cost_)
      Best = Candidate;
  };
  std::set<std::size_t> StayingImages;
  for (const std::size_t Index : On.TasksOn_[From])
    StayingImages.insert(Tasks_[Index].Image_);
  StayingImages.erase(Tasks_[Moved].Image_);
  for (std::size_t To = 0; To < Capacities_.size(); ++To) {
    if (To == From || Suspects_[To] || Services_[To] != Services_[From])
      continue;
    if (fits(On, To, std::nullopt, Moved)) {
      Consider({.Task_ = Moved, .From_ = From, .To_ = To});
      continue;
    }
    for (const std::size_t Other : On.TasksOn_[To])
      if (StayingImages.contains(Tasks_[Other].Image_) &&
          (Tasks_[Other].Row_.IsMovable_ || !IsFirst) &&
          Tasks_[Other].Row_.Step_ != Tasks_[Moved].Row_.Step_ &&
          fits(On, To, Other, Moved) && fits(On, From, Moved, Other))
        Consider(
            {.Task_ = Moved, .From_ = From, .To_ = To, .Exchanged_ = Other});
  }
  return Best;
}

std::optional<ServingLayout::Step>
ServingLayout::firstStepToEmpty(std::size_t Worker, std::size_t Image) const {
  std::vector<std::size_t> Group;
  std::ranges::copy_if(
      Present_.TasksOn_[Worker], std::back_inserter(Group),
      [&](std::size_t Index) { return Tasks_[Index].Image_ == Image; });
  if (Group.size() > Options_.MaxTasksOfImage_ ||
      Group.size() == Present_.TasksOn_[Worker].size())
    return std::nullopt;
  std::ranges::partition(Group, [this](std::size_t Index) {
    return Tasks_[Index].Row_.IsMovable_;
  });
  if (!Tasks_[Group.front()].Row_.IsMovable_)
    return std::nullopt;
  State On = Present_;
  std::optional<Step> First;
  for (const std::size_t Index : Group) {
    const std::optional<Step> Next = bestStep(On, Worker, Index, !First);
    if (!Next)
      return std::nullopt;
    apply(On, *Next);
    if (!First)
      First = Next;
  }
  First->Cost_ = Present_.Cost_ - (Present_.Cost_ - On.Cost_) /
                                      static_cast<double>(Group.size());
  return First;
}

std::vector<Relocation>
ServingLayout::nextRelocations(std::size_t FirstSource) const {
  std::optional<Step> Best;
  const std::size_t Sources =
      std::min(Options_.MaxSources_, Capacities_.size());
  for (std::size_t Source = 0; Source < Sources; ++Source) {
    const std::size_t Worker = (FirstSource + Source) % Capacities_.size();
    std::set<std::size_t> Images;
    for (const std::size_t Index : Present_.TasksOn_[Worker])
      Images.insert(Tasks_[Index].Image_);
    for (const std::size_t Image : Images)
      if (const std::optional<Step> First = firstStepToEmpty(Worker, Image);
          First && First->Cost_ < Present_.Cost_ * (1 - Options_.MinGain_) &&
          (!Best || First->Cost_ < Best->Cost_))
        Best = First;
  }
  if (!Best)
    return {};
  std::vector<Relocation> Result{{.From_ = Best->From_,
                                  .Task_ = Tasks_[Best->Task_].Position_,
                                  .To_ = Best->To_}};
  if (Best->Exchanged_)
    Result.push_back({.From_ = Best->To_,
                      .Task_ = Tasks_[*Best->Exchanged_].Position_,
                      .To_ = Best->From_});
  return Result;
}

} // namespace dragonfly::decide
