#include "dragonfly/agent/RunBook.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <set>
#include <utility>

namespace dragonfly::agent {

using jobs::RunEnd;
using jobs::RunName;
using wire::RunPhase;

namespace {

/// Returns whether the worker has not carried out the call.
bool isRefusal(StartStatus Status) {
  return Status != StartStatus::Started && Status != StartStatus::NoAnswer &&
         Status != StartStatus::Ended;
}

} // namespace

void RunBook::order(TimePoint Now, wire::StartOrder Order) {
  const auto [It, IsNew] = Rows_.try_emplace(Order.Run_);
  if (!IsNew)
    return;
  It->second.Listed_.Run_ = Order.Run_;
  It->second.Order_ = std::move(Order);
  It->second.NextCallAt_ = Now;
}

void RunBook::stop(TimePoint Now, const RunName &Run) {
  Row &Each = Rows_[Run];
  Each.Order_.Run_ = Run;
  Each.Listed_.Run_ = Run;
  if (Each.Phase_ != RunPhase::Stopping)
    beginStop(Now, Each);
}

void RunBook::giveUpStarts(TimePoint Now) {
  std::vector<RunName> NeverSent;
  for (auto &[Run, Each] : Rows_) {
    if (Each.Phase_ != RunPhase::Starting || Each.ConfirmedAt_)
      continue;
    if (Each.Tries_ == 0)
      NeverSent.push_back(Run);
    else if (Each.CallOpen_)
      Each.Tries_ = Options_.MaxStartTries_;
    else
      beginStop(Now, Each);
  }
  for (const RunName &Run : NeverSent)
    endRun(Run, RunEnd::NotStarted);
}

void RunBook::describe(const wire::StartOrder &Order) {
  const auto It = Rows_.find(Order.Run_);
  if (It == Rows_.end())
    return;
  It->second.Order_.TailTarget_ = Order.TailTarget_;
  It->second.Order_.UsesSpareProcessors_ = Order.UsesSpareProcessors_;
  It->second.Order_.Image_ = Order.Image_;
  It->second.Order_.MilliProcessors_ = Order.MilliProcessors_;
}

void RunBook::refuse(const RunName &Run) {
  if (!Rows_.contains(Run))
    conclude(Run, RunEnd::NotStarted, {});
}

void RunBook::beginStop(TimePoint Now, Row &Each) {
  Each.Phase_ = RunPhase::Stopping;
  Each.StopBeganAt_ = Now;
  Each.Tries_ = 0;
  Each.ConfirmedAt_.reset();
  Each.NextCallAt_ = Now;
}

std::vector<DueCall> RunBook::takeDueCalls(TimePoint Now, bool MayStart,
                                           bool Answers) {
  std::vector<DueCall> Due;
  for (auto &[Run, Each] : Rows_) {
    if (Each.CallOpen_ || Each.ConfirmedAt_ || Each.NextCallAt_ > Now ||
        (!MayStart && Each.Phase_ != RunPhase::Stopping) ||
        (!Answers && Each.Lapsed_))
      continue;
    Each.CallOpen_ = true;
    ++Each.Tries_;
    Due.push_back({.Kind_ = Each.Phase_ == RunPhase::Stopping
                                ? DueCall::Kind::Stop
                                : DueCall::Kind::Start,
                   .Run_ = Run});
  }
  return Due;
}

std::optional<TimePoint> RunBook::nextCallAt() const {
  std::optional<TimePoint> Earliest;
  for (const auto &[Run, Each] : Rows_)
    if (!Each.CallOpen_ && !Each.ConfirmedAt_ &&
        (!Earliest || Each.NextCallAt_ < *Earliest))
      Earliest = Each.NextCallAt_;
  return Earliest;
}

bool RunBook::startAnswered(TimePoint Now, const RunName &Run,
                            StartStatus Status) {
  const auto It = Rows_.find(Run);
  if (It == Rows_.end())
    return false;
  Row &Each = It->second;
  Each.CallOpen_ = false;
  if (Status == StartStatus::NoAnswer)
    Each.MayAppear_ = true;
  const bool HasNotBegun =
      isRefusal(Status) && !Each.MayAppear_ && !Each.StartedAt_;
  // A list has confirmed it in the meantime, or it is being stopped.
  if (Each.Phase_ == RunPhase::Stopping || Each.ConfirmedAt_)
    return HasNotBegun;
  switch (Status) {
  case StartStatus::Started:
    Each.Phase_ = RunPhase::Running;
    Each.ConfirmedAt_ = Now;
    if (!Each.StartedAt_)
      Each.StartedAt_ = Now;
    break;
  case StartStatus::NoAnswer:
    Each.NextCallAt_ = Now + Options_.RetryDelay_;
    if (Each.Tries_ >= Options_.MaxStartTries_)
      beginStop(Now, Each);
    break;
  case StartStatus::Ended:
    // Its end is listed, unless a stop came first.
    beginStop(Now, Each);
    break;
  default:
    if (Each.MayAppear_)
      beginStop(Now, Each);
    else
      endRun(Run, RunEnd::NotStarted);
  }
  return HasNotBegun;
}

void RunBook::stopAnswered(TimePoint Now, const RunName &Run, bool Confirmed) {
  const auto It = Rows_.find(Run);
  if (It == Rows_.end())
    return;
  Row &Each = It->second;
  Each.CallOpen_ = false;
  if (Confirmed && Each.Phase_ == RunPhase::Stopping)
    Each.ConfirmedAt_ = Now;
  else
    Each.NextCallAt_ = Now + Options_.RetryDelay_;
}

void RunBook::retractEnds(const HoldAnswer &Answer) {
  const auto IsListed = [&Answer](const RunName &Run) {
    return std::ranges::find(Answer.Runs_, Run, &ListedRun::Run_) !=
               Answer.Runs_.end() ||
           std::ranges::find(Answer.Ends_, Run, &ListedEnd::Run_) !=
               Answer.Ends_.end();
  };
  std::erase_if(Ends_, [&](const End &Each) {
    const RunName &Run = Each.Report_.Run_;
    const bool IsDisproved =
        Each.Concluded_ && !Each.Reported_ && IsListed(Run);
    if (const auto Row = Rows_.find(Run); IsDisproved && Row != Rows_.end())
      Row->second.Lapsed_ = false;
    return IsDisproved;
  });
}

void RunBook::settleStarts(TimePoint SentAt, const HoldAnswer &Answer) {
  for (auto &[Run, Each] : Rows_) {
    if (!isUnsettled(Each) ||
        std::ranges::find(Answer.Runs_, Run, &ListedRun::Run_) !=
            Answer.Runs_.end())
      continue;
    // As if a stop had been confirmed before the call.
    beginStop(SentAt, Each);
    Each.ConfirmedAt_ = SentAt - Duration(1);
  }
}

std::vector<RunBook::End>::const_iterator
RunBook::findEnd(const RunName &Run) const {
  return std::ranges::find(Ends_, Run, [](const End &Each) -> const RunName & {
    return Each.Report_.Run_;
  });
}

std::vector<std::pair<RunName, RunBook::EndKnown>>
RunBook::unknownRuns(const HoldAnswer &Answer) const {
  std::vector<std::pair<RunName, EndKnown>> Unknown;
  for (const ListedRun &Run : Answer.Runs_) {
    if (Rows_.contains(Run.Run_))
      continue;
    const auto Ended = findEnd(Run.Run_);
    Unknown.emplace_back(Run.Run_, Ended == Ends_.end()  ? EndKnown::None
                                   : Ended->Number_ == 0 ? EndKnown::Concluded
                                                         : EndKnown::Listed);
  }
  return Unknown;
}

void RunBook::listed(TimePoint Now, TimePoint SentAt,
                     const HoldAnswer &Answer) {
  if (!FirstListedEnd_ && !Answer.Ends_.empty())
    FirstListedEnd_ =
        std::ranges::min_element(Answer.Ends_, {}, &ListedEnd::Number_)
            ->Number_;
  for (const ListedEnd &End : Answer.Ends_) {
    if (End.Number_ <= ForgottenEnd_)
      continue;
    const auto [It, IsNew] = ListedEnds_.try_emplace(End.Number_, End.Run_);
    if (!IsNew && It->second == End.Run_)
      continue;
    It->second = End.Run_;
    Rows_.erase(End.Run_);
    Ends_.push_back({.Number_ = End.Number_,
                     .Report_ = {.Run_ = End.Run_,
                                 .How_ = End.How_,
                                 .Checkpoint_ = End.Checkpoint_}});
  }
  std::set<RunName> Present;
  for (const ListedRun &Run : Answer.Runs_) {
    Present.insert(Run.Run_);
    if (const auto Ended = findEnd(Run.Run_); Ended != Ends_.end()) {
      // An end of this life is newer than the list. Of any other, control may
      // know already, and the task may run elsewhere.
      if (Ended->Number_ == 0)
        stop(Now, Run.Run_);
      continue;
    }
    const auto [It, IsNew] = Rows_.try_emplace(Run.Run_);
    Row &Each = It->second;
    Each.Order_.Run_ = Run.Run_;
    Each.Listed_ = Run;
    if (IsNew) {
      Each.ConfirmedAt_ = Now;
      Each.SpeedPercent_ = UnknownSpeed;
      Each.Proven_ = true;
    }
    if (!Each.StartedAt_)
      Each.StartedAt_ = Now;
    if (Now - *Each.StartedAt_ >= Options_.ProofTime_)
      Each.Proven_ = true;
    if (Each.Phase_ == RunPhase::Starting)
      Each.Phase_ = RunPhase::Running;
    if (Each.Phase_ == RunPhase::Running && !Each.ConfirmedAt_)
      Each.ConfirmedAt_ = Now;
    // What is listed counts for more than what was confirmed.
    if (Each.Phase_ == RunPhase::Stopping && Each.ConfirmedAt_ &&
        SentAt - *Each.ConfirmedAt_ > Options_.StopTime_)
      beginStop(Now, Each);
  }
  if (Answer.Truncated_)
    return;
  std::vector<RunName> Absent;
  for (auto &[Run, Each] : Rows_)
    if (!Present.contains(Run) && Each.ConfirmedAt_ &&
        *Each.ConfirmedAt_ < SentAt)
      Absent.push_back(Run);
  for (const RunName &Run : Absent) {
    Row &Each = Rows_.at(Run);
    if (Each.Phase_ == RunPhase::Stopping)
      endRun(Run, RunEnd::NotStarted);
    else
      // Neither running nor ended: make sure before the task runs elsewhere.
      beginStop(Now, Each);
  }
}

std::size_t RunBook::lapse(TimePoint Now) {
  std::vector<RunName> Over;
  std::size_t Lapsed = 0;
  for (auto &[Run, Each] : Rows_) {
    if (Each.Lapsed_)
      continue;
    ++Lapsed;
    if (!isUnsettled(Each)) {
      Over.push_back(Run);
      continue;
    }
    conclude(Run, RunEnd::LeaseExpired, Each.Listed_.Checkpoint_);
    Each.Lapsed_ = true;
    if (Each.Phase_ != RunPhase::Stopping)
      beginStop(Now, Each);
  }
  for (const RunName &Run : Over)
    endRun(Run, RunEnd::LeaseExpired);
  return Lapsed;
}

void RunBook::beginLife() {
  while (!Rows_.empty())
    endRun(Rows_.begin()->first, RunEnd::LeaseExpired);
  std::ranges::for_each(Ends_, [](End &Each) { Each.Number_ = 0; });
  ListedEnds_.clear();
  FirstListedEnd_ = 1;
  ForgottenEnd_ = 0;
}

void RunBook::conclude(const RunName &Run, RunEnd How, std::string Checkpoint) {
  Ends_.push_back({.Report_ = {.Run_ = Run,
                               .How_ = How,
                               .Checkpoint_ = std::move(Checkpoint)},
                   .Concluded_ = true});
}

void RunBook::endRun(const RunName &Run, RunEnd How) {
  // The caller's name may be the row's own.
  auto Ended = Rows_.extract(Run);
  if (!Ended.mapped().Lapsed_)
    conclude(Ended.key(), How, std::move(Ended.mapped().Listed_.Checkpoint_));
}

bool RunBook::mayHaveBegun(const Row &Each) {
  const bool WasSent = Each.Phase_ == RunPhase::Starting &&
                       !Each.ConfirmedAt_ && Each.Tries_ > 0;
  const bool IsSettled =
      Each.Phase_ == RunPhase::Stopping && Each.ConfirmedAt_.has_value();
  return Each.StartedAt_ || (Each.MayAppear_ && !IsSettled) || WasSent;
}

bool RunBook::isUnsettled(const Row &Each) {
  const bool IsStopping = Each.Phase_ == RunPhase::Stopping;
  // No stop has been sent yet where the open call is that of a start.
  const bool IsStartOpen = Each.CallOpen_ && (!IsStopping || Each.Tries_ == 0);
  return !Each.StartedAt_ && !(IsStopping && Each.ConfirmedAt_) &&
         (Each.MayAppear_ || IsStartOpen);
}

bool RunBook::hasRuns() const {
  return std::ranges::any_of(
      Rows_, [](const auto &Each) { return !Each.second.Lapsed_; });
}

std::size_t RunBook::unsettledStarts() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Rows_, [](const auto &Each) { return isUnsettled(Each.second); }));
}

bool RunBook::hasUnsettledStop(TimePoint Before) const {
  return std::ranges::any_of(Rows_, [Before](const auto &Each) {
    return Each.second.Phase_ == RunPhase::Stopping &&
           isUnsettled(Each.second) && Each.second.StopBeganAt_ <= Before;
  });
}

std::vector<RunBook::UnprovenRun> RunBook::unprovenRuns() const {
  std::vector<UnprovenRun> Result;
  for (const auto &[Run, Each] : Rows_)
    if (mayHaveBegun(Each) && !Each.Proven_ && !Each.Lapsed_)
      Result.push_back({.Run_ = Run, .HasBegun_ = Each.StartedAt_.has_value()});
  return Result;
}

void RunBook::setSpeed(const RunName &Run, std::uint32_t SpeedPercent) {
  if (const auto It = Rows_.find(Run); It != Rows_.end())
    It->second.SpeedPercent_ = SpeedPercent;
}

std::vector<wire::RunReport> RunBook::runReports() const {
  std::vector<wire::RunReport> Reports;
  std::ranges::transform(
      Rows_, std::back_inserter(Reports), [](const auto &Each) {
        const Row &Run = Each.second;
        return wire::RunReport{.Run_ = Each.first,
                               .Phase_ = Run.Phase_,
                               .ProgressPercent_ = Run.Listed_.ProgressPercent_,
                               .Checkpoint_ = Run.Listed_.Checkpoint_,
                               .Load_ = Run.Listed_.Load_,
                               .SpeedPercent_ = Run.SpeedPercent_};
      });
  return Reports;
}

std::vector<wire::EndReport> RunBook::endReports() const {
  std::vector<wire::EndReport> Reports;
  std::ranges::transform(Ends_, std::back_inserter(Reports), &End::Report_);
  return Reports;
}

void RunBook::endsReported() {
  std::ranges::for_each(Ends_, [](End &Each) { Each.Reported_ = true; });
}

void RunBook::endsDurable(std::size_t Count) {
  const auto Last = Ends_.begin() +
                    static_cast<std::ptrdiff_t>(std::min(Count, Ends_.size()));
  Ends_.erase(Ends_.begin(), Last);
}

std::uint64_t RunBook::endsToForget() const {
  std::uint64_t FirstPending = std::numeric_limits<std::uint64_t>::max();
  for (const End &Each : Ends_)
    if (Each.Number_ > 0)
      FirstPending = std::min(FirstPending, Each.Number_);
  std::uint64_t Last = ForgottenEnd_;
  for (auto It = ListedEnds_.begin();
       It != ListedEnds_.end() && It->first < FirstPending; ++It) {
    const bool LeavesOutOthers =
        It->first != Last + 1 && It->first != FirstListedEnd_;
    if (LeavesOutOthers && std::next(It) == ListedEnds_.end())
      break;
    Last = It->first;
  }
  return Last > ForgottenEnd_ ? Last : 0;
}

void RunBook::endsForgotten(std::uint64_t End) {
  ForgottenEnd_ = std::max(ForgottenEnd_, End);
  ListedEnds_.erase(ListedEnds_.begin(),
                    ListedEnds_.upper_bound(ForgottenEnd_));
}

} // namespace dragonfly::agent
