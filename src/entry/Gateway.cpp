#include "dragonfly/entry/Gateway.h"

#include "dragonfly/base/Random.h"
#include "entry/GatewayImpl.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dragonfly::entry {
namespace {

/// When a caller may come back after a refusal that names no time.
constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);
/// Part of the retry budget that hedges may use.
constexpr std::uint32_t HedgePart = 2;
/// Part of a kind's deadline that its first expected service time may take.
constexpr int ExpectedDeadlineParts = 4;

std::uint32_t rankOf(settings::Urgency Value) {
  switch (Value) {
  case settings::Urgency::LatencyCritical:
    return 0;
  case settings::Urgency::Deadline:
    return 1;
  case settings::Urgency::Watch:
    break;
  }
  return 2;
}

decide::AdmissionOptions
policies(const std::vector<settings::KindSettings> &Kinds) {
  decide::AdmissionOptions Result;
  for (const settings::KindSettings &Kind : Kinds)
    Result.Kinds_.push_back(
        {.Name_ = Kind.Name_,
         .FloorPermille_ = Kind.FloorPermille_,
         .Rank_ = rankOf(Kind.Urgency_),
         .QueueLimit_ = Kind.QueueLimit_,
         .ExpectedServiceTime_ = std::min(
             Kind.ExpectedRunTime_, Kind.Deadline_ / ExpectedDeadlineParts)});
  return Result;
}

decide::RouterOptions routing(const GatewayOptions &Options) {
  return {.AvailabilityZone_ = Options.AvailabilityZone_,
          .Seed_ = Options.Seed_,
          .RetryPermille_ = Options.RetryPermille_};
}

AnswerPtr refusal(Reason Why) {
  return std::make_shared<const Answer>(
      Answer{.Outcome_ = Outcome::RefusedNotRun,
             .Reason_ = Why,
             .RetryAfter_ = DefaultRetryAfter});
}

} // namespace

Gateway::Impl::Impl(GatewayOptions Options)
    : Options_(std::move(Options)), Admission_(policies(Options_.Kinds_)),
      Router_(routing(Options_)), Window_(Options_.Window_),
      HedgeBudget_(Options_.RetryPermille_ / HedgePart) {
  for (const settings::KindSettings &Kind : Options_.Kinds_) {
    const auto Number = static_cast<decide::RoutedKind>(Kinds_.size());
    Kinds_.emplace(Kind.Name_, KindRow{Kind, Number % decide::MaxRoutedKinds});
  }
}

Reason Gateway::Impl::reasonToRefuse(TimePoint Now,
                                     const CallerRequest &Sent) const {
  if (Draining_)
    return Reason::Draining;
  if (!Options_.Hooks_.MayTakeWork_(Now))
    return Reason::StaleConfiguration;
  if (!Customers_.contains(Sent.Key_.Customer_))
    return Reason::UnknownCustomer;
  if (!Kinds_.contains(Sent.Kind_))
    return Reason::UnknownKind;
  if (Sent.Key_.RequestId_.empty())
    return Reason::MissingRequestId;
  return Reason::None;
}

WaiterId Gateway::Impl::submit(TimePoint Now, CallerRequest Sent,
                               AnswerHooks Hooks) {
  const std::uint64_t BodyHash = hashBody(Sent.Kind_, Sent.Body_);
  if (const RequestPtr Existing = find(Sent.Key_))
    return join(Existing, BodyHash, std::move(Hooks));
  const AnswerWindow::Row *Kept = Window_.find(Sent.Key_);
  if (Kept != nullptr && Kept->Answer_->Outcome_ == Outcome::Completed) {
    Hooks.OnAnswer_(Kept->BodyHash_ == BodyHash
                        ? Kept->Answer_
                        : refusal(Reason::RequestIdReused));
    return 0;
  }
  const Reason Refused = reasonToRefuse(Now, Sent);
  if (Refused != Reason::None) {
    Hooks.OnAnswer_(refusal(Refused));
    return 0;
  }
  const WaiterId Added = ++LastWaiter_;
  const RequestPtr Row = insert(Now, std::move(Sent), BodyHash);
  Row->Waiters_.push_back({Added, std::move(Hooks)});
  Waiters_.emplace(Added, Row);
  if (Row->task()) {
    submitTask(Now, Row);
    return Added;
  }
  Row->Handle_ = Admission_.offer(Now, {.Customer_ = Row->Key_.Customer_,
                                        .Kind_ = Row->Kind_->Settings_.Name_,
                                        .Deadline_ = Row->Deadline_});
  Waiting_.emplace(Row->Handle_, Row);
  pump(Now);
  if (Row->Phase_ != Phase::Done)
    tellAccepted(*Row);
  return Added;
}

/// A stream cannot be joined: its first parts are gone.
WaiterId Gateway::Impl::join(const RequestPtr &Existing, std::uint64_t BodyHash,
                             AnswerHooks Hooks) {
  if (Existing->BodyHash_ != BodyHash || Existing->streamed()) {
    Hooks.OnAnswer_(refusal(Reason::RequestIdReused));
    return 0;
  }
  const WaiterId Added = ++LastWaiter_;
  Existing->Waiters_.push_back({Added, std::move(Hooks)});
  Waiters_.emplace(Added, Existing);
  return Added;
}

RequestPtr Gateway::Impl::insert(TimePoint Now, CallerRequest Sent,
                                 std::uint64_t BodyHash) {
  auto Row = std::make_shared<Request>();
  Row->Kind_ = &Kinds_.at(Sent.Kind_);
  Row->Key_ = std::move(Sent.Key_);
  Row->Body_ = std::move(Sent.Body_);
  Row->BodyHash_ = BodyHash;
  if (Row->Kind_->Settings_.NonIdempotent_)
    Row->Claimant_ = makeFreshId<Incarnation>();
  Row->ArrivedAt_ = Now;
  Row->Deadline_ =
      Now + Sent.TimeLeft_.value_or(Row->Kind_->Settings_.Deadline_);
  Row->Detached_ = Sent.Detached_;
  Requests_.emplace(Row->Key_, Row);
  return Row;
}

void Gateway::Impl::callerGone(TimePoint Now, WaiterId Gone) {
  auto Found = Waiters_.extract(Gone);
  if (Found.empty())
    return;
  const RequestPtr Row = std::move(Found.mapped());
  std::erase_if(Row->Waiters_,
                [Gone](const Waiter &Each) { return Each.Id_ == Gone; });
  if (Row->Waiters_.empty() && !Row->Detached_)
    abandon(Now, Row);
}

void Gateway::Impl::abandon(TimePoint Now, const RequestPtr &Row) {
  if (Row->Phase_ == Phase::Waiting) {
    Admission_.cancel(Row->Handle_);
    Waiting_.erase(Row->Handle_);
    drop(Row);
  } else if (Row->Phase_ == Phase::Following) {
    drop(Row);
  } else if (Row->Phase_ == Phase::Executing && Row->streamed()) {
    cancelActive(Now, Row);
    finish(Now, Row,
           {.Outcome_ = Outcome::Unknown, .Reason_ = Reason::Cancelled});
  }
}

RequestPtr Gateway::Impl::find(const wire::RequestKey &Key) const {
  const auto Found = Requests_.find(Key);
  return Found == Requests_.end() ? nullptr : Found->second;
}

RequestStatus Gateway::Impl::cancel(TimePoint Now,
                                    const wire::RequestKey &Key) {
  const RequestPtr Row = find(Key);
  if (!Row)
    return {};
  Row->CancelAsked_ = true;
  if (Row->Phase_ == Phase::Waiting) {
    Admission_.cancel(Row->Handle_);
    Waiting_.erase(Row->Handle_);
    endWith(Now, Row, Outcome::RefusedNotRun, Reason::Cancelled);
  } else if (Row->Phase_ == Phase::Executing) {
    for (const Attempt &Each : Row->Active_)
      Options_.Hooks_.TellAgent_(Each.Worker_, wire::CancelExecute{Row->Key_});
  } else if (Row->Phase_ == Phase::Following) {
    Options_.Hooks_.CallControl_(wire::CancelTask{Row->Key_},
                                 Row->Deadline_ - Now,
                                 [](const net::CallResult &) {});
  }
  return {.Known_ = true};
}

void Gateway::Impl::tellAccepted(const Request &Row) {
  if (!Row.Detached_)
    return;
  for (const Waiter &Each : std::vector(Row.Waiters_))
    if (Each.Hooks_.OnAccepted_)
      Each.Hooks_.OnAccepted_();
}

/// Forgets a request of which nobody here awaits the outcome.
void Gateway::Impl::drop(const RequestPtr &Row) {
  Row->Phase_ = Phase::Done;
  for (const Waiter &Each : std::exchange(Row->Waiters_, {}))
    Waiters_.erase(Each.Id_);
  Requests_.erase(Row->Key_);
}

void Gateway::Impl::finish(TimePoint Now, const RequestPtr &Row, Answer End) {
  if (Row->Phase_ == Phase::Done)
    return;
  Row->Phase_ = Phase::Done;
  if (Row->Admitted_)
    Admission_.finish(Now, Row->Handle_, Now - Row->DispatchedAt_);
  if (End.Outcome_ != Outcome::Completed && End.RetryAfter_ == Duration::zero())
    End.RetryAfter_ = DefaultRetryAfter;
  leaveReceipt(*Row, End);
  if (End.Outcome_ == Outcome::Completed && Options_.Hooks_.OnCompleted_)
    Options_.Hooks_.OnCompleted_(Row->Key_.Customer_,
                                 Row->Kind_->Settings_.Name_,
                                 Now - Row->ArrivedAt_);
  const auto Kept = std::make_shared<const Answer>(std::move(End));
  Requests_.erase(Row->Key_);
  if (!Row->streamed())
    Window_.put(Row->Key_, {Row->BodyHash_, Kept});
  const std::vector<Waiter> Told = std::exchange(Row->Waiters_, {});
  for (const Waiter &Each : Told)
    Waiters_.erase(Each.Id_);
  for (const Waiter &Each : Told)
    Each.Hooks_.OnAnswer_(Kept);
  pump(Now);
}

/// Control counts tasks itself. A refusal settles a claim only where this
/// entry holds that claim; an unknown outcome is left to the agent's receipt.
void Gateway::Impl::leaveReceipt(const Request &Row, const Answer &End) {
  const bool Completed = End.Outcome_ == Outcome::Completed;
  const bool Freed = Row.ClaimHeld_ && End.Outcome_ == Outcome::RefusedNotRun;
  if (Row.task() || (!Completed && !Freed))
    return;
  Options_.Hooks_.KeepReceipt_(
      {.Key_ = Row.Key_,
       .Kind_ = Row.Kind_->Settings_.Name_,
       .Outcome_ = End.Outcome_,
       .Reason_ = End.Reason_,
       .NonIdempotent_ = Row.Kind_->Settings_.NonIdempotent_,
       .Status_ = End.Status_,
       .Body_ = Row.Kind_->Settings_.NonIdempotent_ ? End.Body_ : std::string(),
       .Claimant_ = Row.ClaimHeld_ ? Row.Claimant_ : Incarnation{}});
}

void Gateway::Impl::pump(TimePoint Now) {
  if (std::exchange(Pumping_, true)) {
    PumpAgain_ = true;
    return;
  }
  do {
    PumpAgain_ = false;
    Admission_.setCapacity(capacity());
    Commands_ = Admission_.tick(Now);
    for (const decide::AdmissionCommand &Command : Commands_)
      obey(Now, Command);
  } while (PumpAgain_);
  Pumping_ = false;
}

void Gateway::Impl::obey(TimePoint Now,
                         const decide::AdmissionCommand &Command) {
  auto Found = Waiting_.extract(Command.Request_);
  if (Found.empty())
    return;
  const RequestPtr Row = std::move(Found.mapped());
  if (Command.Verdict_ == decide::AdmissionVerdict::Refuse) {
    finish(Now, Row,
           {.Outcome_ = Outcome::RefusedNotRun,
            .Reason_ = Command.Reason_,
            .RetryAfter_ = Command.RetryAfter_});
    return;
  }
  Row->Admitted_ = true;
  Row->DispatchedAt_ = Now;
  Router_.countRequest();
  HedgeBudget_.countRequest();
  beginAttempt(Now, Row);
}

bool Gateway::Impl::dividesSlots() const {
  return std::ranges::find(Entries_, OwnName_, &decide::EntryRow::Name_) !=
         Entries_.end();
}

/// Gives this entry its share of each upstream's slots, where it is known to
/// be one of the entries.
void Gateway::Impl::divideSlots(std::vector<decide::UpstreamRow> &Rows) const {
  if (!dividesSlots())
    return;
  const std::vector<std::uint32_t> Shares =
      decide::slotShares(Entries_, OwnName_, Rows);
  for (std::size_t Index = 0; Index < Rows.size(); ++Index)
    Rows[Index].SlotShare_ = Shares[Index];
}

std::uint32_t Gateway::Impl::capacity() const {
  return dividesSlots() ? Router_.usableSlots() : Slots_;
}

void Gateway::Impl::tick(TimePoint Now) {
  while (!Polls_.empty() && Polls_.begin()->first <= Now) {
    const RequestPtr Row = std::move(Polls_.extract(Polls_.begin()).mapped());
    if (Row->Phase_ == Phase::Claiming)
      claim(Now, Row);
    else if (Row->Phase_ == Phase::Following)
      follow(Now, Row);
    else if (Row->Phase_ == Phase::Pausing)
      resume(Now, Row);
  }
  sendDueHedges(Now);
  pump(Now);
}

Gateway::Gateway(GatewayOptions Options)
    : Impl_(std::make_shared<Impl>(std::move(Options))) {}

Gateway::~Gateway() = default;

void Gateway::setCustomers(std::vector<decide::CustomerPolicy> Customers) {
  Impl_->Customers_.clear();
  for (const decide::CustomerPolicy &Row : Customers)
    Impl_->Customers_.insert(Row.Name_);
  Impl_->Admission_.setCustomers(std::move(Customers));
}

void Gateway::setEntries(const std::vector<wire::LiveEntry> &Entries,
                         std::string Own) {
  Impl_->Entries_.clear();
  std::ranges::transform(Entries, std::back_inserter(Impl_->Entries_),
                         [](const wire::LiveEntry &Row) {
                           return decide::EntryRow{Row.Name_,
                                                   Row.AvailabilityZone_};
                         });
  Impl_->OwnName_ = std::move(Own);
}

void Gateway::setUpstreams(const std::vector<wire::Upstream> &Rows,
                           std::uint32_t Slots) {
  std::vector<decide::UpstreamRow> Table;
  std::ranges::transform(
      Rows, std::back_inserter(Table), [](const wire::Upstream &Row) {
        return decide::UpstreamRow{.Name_ = Row.Name_,
                                   .Incarnation_ = Row.Incarnation_,
                                   .AvailabilityZone_ = Row.AvailabilityZone_,
                                   .Slots_ = Row.Vm_.Slots_,
                                   .FreeSlots_ = Row.Vm_.FreeSlots_,
                                   .Draining_ = Row.Draining_};
      });
  Impl_->divideSlots(Table);
  Impl_->Router_.setUpstreams(Table);
  Impl_->Slots_ = Slots;
  Impl_->Admission_.setCapacity(Impl_->capacity());
}

WaiterId Gateway::submit(TimePoint Now, CallerRequest Request,
                         AnswerHooks Hooks) {
  return Impl_->submit(Now, std::move(Request), std::move(Hooks));
}

void Gateway::callerGone(TimePoint Now, WaiterId Waiter) {
  Impl_->callerGone(Now, Waiter);
}

RequestStatus Gateway::cancel(TimePoint Now, const wire::RequestKey &Key) {
  return Impl_->cancel(Now, Key);
}

RequestStatus Gateway::status(const wire::RequestKey &Key) const {
  if (Impl_->Requests_.contains(Key))
    return {.Known_ = true};
  const AnswerWindow::Row *Kept = Impl_->Window_.find(Key);
  if (Kept == nullptr)
    return {};
  return {.Known_ = true, .Answer_ = Kept->Answer_};
}

void Gateway::tick(TimePoint Now) { Impl_->tick(Now); }

void Gateway::drain() { Impl_->Draining_ = true; }

std::size_t Gateway::inProgress() const { return Impl_->Requests_.size(); }

} // namespace dragonfly::entry
