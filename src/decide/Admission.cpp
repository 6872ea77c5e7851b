#include "dragonfly/decide/Admission.h"

#include "decide/AdmissionTables.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace dragonfly::decide {
namespace {

/// Age up to which a waiting request may be refused ahead of its deadline, so
/// that its caller still has time to try another entry.
constexpr Duration MaxRefusalAge = std::chrono::milliseconds(40);
/// Fraction of the time to the deadline that the predicted wait may take.
constexpr double MaxWaitFraction = 0.6;
/// Kinds with a mean service time of at least this leave the whole floors of
/// all other kinds free.
constexpr Duration LongServiceTime = std::chrono::seconds(1);
/// Backoff for a slot whose request found no upstream with room.
constexpr Duration SlotHoldTime = std::chrono::milliseconds(5);
/// One in this many of a customer's concurrent requests is reserved for the
/// most urgent kind: less urgent requests that wait for a claim hold theirs
/// while control has no leader, and could otherwise use up the plan.
constexpr std::uint32_t UrgentReserveDivisor = 8;
constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration MaxRetryAfter = std::chrono::seconds(10);

} // namespace

struct Admission::Impl {
  KindTable Kinds_;
  CustomerTable Customers_;
  RequestTable Requests_;
  std::vector<AdmissionCommand> PendingCommands_;
  std::vector<AdmissionCommand> TickCommands_;
  std::uint32_t Slots_ = 0;
  std::uint32_t InProgress_ = 0;
  std::size_t Waiting_ = 0;
  std::uint64_t LastArrival_ = 0;
  /// End of the backoff of each slot held after a requeue, in ascending order.
  std::deque<TimePoint> SlotHoldsEndAt_;

  RequestHandle offer(TimePoint Now, const AdmissionRequest &Request);
  Reason refusalReason(TimePoint Now, const KindRow &Kind, RowIndex Customer,
                       TimePoint Deadline) const;
  bool makeRoomInQueue(TimePoint Now, KindRow &Kind, RowIndex Customer);
  void enqueue(TimePoint Now, RowIndex KindIndex, RowIndex Customer,
               RowIndex Request, TimePoint Deadline);
  void refuseRequest(RowIndex Request, Reason RefusalReason);
  void removeFromQueue(RowIndex Request);
  void pushToQueue(KindRow &Kind, RowIndex Request);
  std::uint32_t freeSlots() const;
  void releaseSlot(RequestRow &Row);

  Duration predictedWait(const KindRow &Kind, RowIndex Customer) const;
  std::uint32_t slotsReservedAgainst(TimePoint Now,
                                     const KindRow &Borrower) const;
  std::uint32_t startableCount(TimePoint Now, const KindRow &Kind) const;
  bool planAllows(const KindRow &Kind, RowIndex Customer) const;
  bool dispatchOne(TimePoint Now, KindRow &Kind);
  bool dispatchPass(TimePoint Now, bool OnlyBelowFloor);
  void refuseExpired(TimePoint Now, KindRow &Kind);
  void refuseUnreachable(TimePoint Now, KindRow &Kind);
  void tick(TimePoint Now);
};

RequestHandle Admission::Impl::offer(TimePoint Now,
                                     const AdmissionRequest &Request) {
  const auto Kind = Kinds_.find(Request.Kind_);
  const auto Customer = Customers_.find(Request.Customer_);
  const RowIndex Index = Requests_.add();
  Reason RefusalReason = Reason::None;
  if (!Kind)
    RefusalReason = Reason::UnknownKind;
  else if (!Customer)
    RefusalReason = Reason::UnknownCustomer;
  else
    RefusalReason =
        refusalReason(Now, Kinds_.Rows_[*Kind], *Customer, Request.Deadline_);
  if (RefusalReason == Reason::None &&
      !makeRoomInQueue(Now, Kinds_.Rows_[*Kind], *Customer))
    RefusalReason = Reason::QueueFull;
  const RequestHandle Handle = Requests_.handle(Index);
  if (Kind && Customer) {
    Requests_.Rows_[Index].Kind_ = *Kind;
    Requests_.Rows_[Index].QueueEntry_.Customer_ = *Customer;
  }
  if (RefusalReason == Reason::None)
    enqueue(Now, *Kind, *Customer, Index, Request.Deadline_);
  else
    refuseRequest(Index, RefusalReason);
  return Handle;
}

Reason Admission::Impl::refusalReason(TimePoint Now, const KindRow &Kind,
                                      RowIndex Customer,
                                      TimePoint Deadline) const {
  const CustomerRow &Owner = Customers_.Rows_[Customer];
  if (Deadline <= Now)
    return Reason::DeadlinePassed;
  if (Owner.MaxConcurrent_ == 0)
    return Reason::OverPlan;
  const bool StartsNow =
      Kind.Queue_.size() < startableCount(Now, Kind) &&
      Owner.InProgress_ + Owner.Waiting_ < Owner.MaxConcurrent_;
  if (StartsNow)
    return Reason::None;
  if (Owner.Waiting_ >= Owner.MaxWaiting_)
    return Reason::OverPlan;
  const double TimeLeft = static_cast<double>((Deadline - Now).count());
  const Duration Wait = predictedWait(Kind, Customer);
  const bool MissesDeadline =
      static_cast<double>(Wait.count()) > MaxWaitFraction * TimeLeft ||
      Now + Wait + Kind.ServiceTime_.upperEstimate() > Deadline;
  return MissesDeadline ? Reason::DeadlineUnreachable : Reason::None;
}

/// Predicts the queueing time of the customer's next request from the slots
/// guaranteed to the kind, the customer's plan, and the customer's position in
/// the fair queue.
Duration Admission::Impl::predictedWait(const KindRow &Kind,
                                        RowIndex Customer) const {
  const KindQueue &Queue = Kind.Queue_;
  const std::size_t OwnPosition = Queue.waitingCount(Customer) + 1;
  const std::size_t SharingCustomers =
      Queue.waitingCustomerCount() +
      (Queue.waitingCount(Customer) == 0 ? 1 : 0);
  const std::size_t QueuePosition =
      std::min(Queue.size() + 1, OwnPosition * SharingCustomers);
  const std::uint32_t GuaranteedSlots =
      std::max({Kind.FloorSlots_, Kind.FloorSlots_ == 0 ? Kind.InProgress_ : 0,
                std::uint32_t{1}});
  const std::uint32_t MaxConcurrent = Customers_.Rows_[Customer].MaxConcurrent_;
  const double ServiceRounds =
      std::max(static_cast<double>(QueuePosition) / GuaranteedSlots,
               static_cast<double>(OwnPosition) /
                   std::max(MaxConcurrent, std::uint32_t{1}));
  return Duration(static_cast<Duration::rep>(
      ServiceRounds * static_cast<double>(Kind.ServiceTime_.mean().count())));
}

bool Admission::Impl::makeRoomInQueue(TimePoint Now, KindRow &Kind,
                                      RowIndex Customer) {
  if (Kind.Queue_.size() < Kind.Policy_.QueueLimit_)
    return true;
  const auto Candidate = Kind.Queue_.latestOfLongestQueue();
  if (!Candidate || Candidate->Customer_ == Customer)
    return false;
  const bool IsFairer = Kind.Queue_.waitingCount(Customer) + 1 <
                        Kind.Queue_.waitingCount(Candidate->Customer_);
  const bool MayBeDropped =
      Now - Requests_.Rows_[Candidate->Request_].OfferedAt_ < MaxRefusalAge;
  if (!IsFairer || !MayBeDropped)
    return false;
  removeFromQueue(Candidate->Request_);
  refuseRequest(Candidate->Request_, Reason::QueueFull);
  return true;
}

void Admission::Impl::enqueue(TimePoint Now, RowIndex KindIndex,
                              RowIndex Customer, RowIndex Request,
                              TimePoint Deadline) {
  RequestRow &Row = Requests_.Rows_[Request];
  Row.OfferedAt_ = Now;
  Row.QueueEntry_ = {Deadline, ++LastArrival_, Customer, Request};
  KindRow &Kind = Kinds_.Rows_[KindIndex];
  pushToQueue(Kind, Request);
  Kind.RefusableRequests_.push_back(Requests_.handle(Request));
  Kind.SlotDemand_.observe(Now, static_cast<double>(Kind.InProgress_) +
                                    static_cast<double>(Kind.Queue_.size()));
}

void Admission::Impl::pushToQueue(KindRow &Kind, RowIndex Request) {
  RequestRow &Row = Requests_.Rows_[Request];
  Row.State_ = RequestState::Waiting;
  Kind.Queue_.push(Row.QueueEntry_);
  ++Customers_.Rows_[Row.QueueEntry_.Customer_].Waiting_;
  ++Waiting_;
}

void Admission::Impl::removeFromQueue(RowIndex Request) {
  const RequestRow &Row = Requests_.Rows_[Request];
  Kinds_.Rows_[Row.Kind_].Queue_.erase(Row.QueueEntry_);
  --Customers_.Rows_[Row.QueueEntry_.Customer_].Waiting_;
  --Waiting_;
}

void Admission::Impl::refuseRequest(RowIndex Request, Reason RefusalReason) {
  const RequestRow &Row = Requests_.Rows_[Request];
  Duration RetryAfter = MaxRetryAfter;
  if (Row.Kind_ < Kinds_.Rows_.size()) {
    const KindRow &Kind = Kinds_.Rows_[Row.Kind_];
    RetryAfter = std::clamp(predictedWait(Kind, Row.QueueEntry_.Customer_),
                            MinRetryAfter, MaxRetryAfter);
  }
  PendingCommands_.push_back({Requests_.handle(Request),
                              AdmissionVerdict::Refuse, RefusalReason,
                              RetryAfter});
  Requests_.remove(Request);
}

/// Returns how many free slots \p Borrower must leave to kinds below their
/// floors. A borrower with short service times leaves the more urgent kinds
/// their recent peak demand; one with long service times would block a slot
/// for too long and leaves every other kind its whole floor.
std::uint32_t
Admission::Impl::slotsReservedAgainst(TimePoint Now,
                                      const KindRow &Borrower) const {
  const bool IsLong = Borrower.ServiceTime_.mean() >= LongServiceTime;
  std::uint32_t Reserved = 0;
  for (const KindRow &Kind : Kinds_.Rows_) {
    if (&Kind == &Borrower || Kind.InProgress_ >= Kind.FloorSlots_)
      continue;
    if (!IsLong && Kind.Policy_.Rank_ >= Borrower.Policy_.Rank_)
      continue;
    const auto RecentPeak =
        static_cast<std::uint32_t>(Kind.SlotDemand_.decayedPeak(Now)) + 1;
    const std::uint32_t Needed =
        IsLong ? Kind.FloorSlots_ : std::min(Kind.FloorSlots_, RecentPeak);
    Reserved += Needed > Kind.InProgress_ ? Needed - Kind.InProgress_ : 0;
  }
  return Reserved;
}

std::uint32_t Admission::Impl::freeSlots() const {
  const std::size_t Used = InProgress_ + SlotHoldsEndAt_.size();
  return Slots_ > Used ? static_cast<std::uint32_t>(Slots_ - Used) : 0;
}

/// Returns how many more requests of \p Kind could be dispatched now.
std::uint32_t Admission::Impl::startableCount(TimePoint Now,
                                              const KindRow &Kind) const {
  const std::uint32_t Free = freeSlots();
  const std::uint32_t BelowFloor = Kind.FloorSlots_ > Kind.InProgress_
                                       ? Kind.FloorSlots_ - Kind.InProgress_
                                       : 0;
  const std::uint32_t Reserved = slotsReservedAgainst(Now, Kind);
  const std::uint32_t Unreserved = Free > Reserved ? Free - Reserved : 0;
  return std::max(std::min(Free, BelowFloor), Unreserved);
}

/// Returns whether the customer's plan allows one more request of \p Kind in
/// progress.
bool Admission::Impl::planAllows(const KindRow &Kind, RowIndex Customer) const {
  const CustomerRow &Owner = Customers_.Rows_[Customer];
  const bool IsMostUrgent =
      Kind.Policy_.Rank_ ==
      Kinds_.Rows_[Kinds_.IndicesByRank_.front()].Policy_.Rank_;
  const std::uint32_t Reserved =
      IsMostUrgent || Owner.MaxConcurrent_ < 2
          ? 0
          : std::max(Owner.MaxConcurrent_ / UrgentReserveDivisor, 1U);
  return Owner.InProgress_ + Reserved < Owner.MaxConcurrent_;
}

bool Admission::Impl::dispatchOne(TimePoint Now, KindRow &Kind) {
  const std::uint32_t KindSlots =
      std::max(Kind.FloorSlots_, Kind.InProgress_ + 1);
  const auto Next =
      Kind.Queue_.next(KindSlots, [this, &Kind](RowIndex Customer) {
        return planAllows(Kind, Customer);
      });
  if (!Next)
    return false;
  removeFromQueue(Next->Request_);
  Requests_.Rows_[Next->Request_].State_ = RequestState::InProgress;
  Kind.Queue_.recordStart(Next->Customer_);
  ++Kind.InProgress_;
  ++Customers_.Rows_[Next->Customer_].InProgress_;
  ++InProgress_;
  Kind.SlotDemand_.observe(Now, static_cast<double>(Kind.InProgress_));
  PendingCommands_.push_back({Requests_.handle(Next->Request_),
                              AdmissionVerdict::Dispatch,
                              Reason::None,
                              {}});
  return true;
}

/// Dispatches requests in order of rank, up to each kind's floor if
/// \p OnlyBelowFloor is set. Returns whether slots are still free.
bool Admission::Impl::dispatchPass(TimePoint Now, bool OnlyBelowFloor) {
  for (RowIndex Index : Kinds_.IndicesByRank_) {
    KindRow &Kind = Kinds_.Rows_[Index];
    while (Kind.Queue_.size() > 0 && startableCount(Now, Kind) > 0 &&
           (!OnlyBelowFloor || Kind.InProgress_ < Kind.FloorSlots_))
      if (!dispatchOne(Now, Kind))
        break;
  }
  return freeSlots() > 0;
}

void Admission::Impl::refuseExpired(TimePoint Now, KindRow &Kind) {
  for (auto Earliest = Kind.Queue_.earliest();
       Earliest && Earliest->Deadline_ <= Now;
       Earliest = Kind.Queue_.earliest()) {
    removeFromQueue(Earliest->Request_);
    refuseRequest(Earliest->Request_, Reason::DeadlinePassed);
  }
}

/// Checks each waiting request once, when it reaches `MaxRefusalAge`, and
/// refuses it if it can't meet its deadline any more.
void Admission::Impl::refuseUnreachable(TimePoint Now, KindRow &Kind) {
  while (!Kind.RefusableRequests_.empty()) {
    const auto Index = Requests_.find(Kind.RefusableRequests_.front());
    const bool IsWaiting =
        Index && Requests_.Rows_[*Index].State_ == RequestState::Waiting;
    if (IsWaiting) {
      const RequestRow &Row = Requests_.Rows_[*Index];
      if (Now - Row.OfferedAt_ < MaxRefusalAge)
        return;
      if (Now + Kind.ServiceTime_.mean() > Row.QueueEntry_.Deadline_) {
        removeFromQueue(*Index);
        refuseRequest(*Index, Reason::DeadlineUnreachable);
      }
    }
    Kind.RefusableRequests_.pop_front();
  }
}

void Admission::Impl::tick(TimePoint Now) {
  for (KindRow &Kind : Kinds_.Rows_) {
    refuseExpired(Now, Kind);
    refuseUnreachable(Now, Kind);
  }
  while (!SlotHoldsEndAt_.empty() && SlotHoldsEndAt_.front() <= Now)
    SlotHoldsEndAt_.pop_front();
  if (dispatchPass(Now, true))
    dispatchPass(Now, false);
  TickCommands_.swap(PendingCommands_);
  PendingCommands_.clear();
}

void Admission::Impl::releaseSlot(RequestRow &Row) {
  KindRow &Kind = Kinds_.Rows_[Row.Kind_];
  Kind.Queue_.recordEnd(Row.QueueEntry_.Customer_);
  --Kind.InProgress_;
  --Customers_.Rows_[Row.QueueEntry_.Customer_].InProgress_;
  --InProgress_;
}

Admission::Admission(AdmissionOptions Options)
    : Impl_(std::make_unique<Impl>()) {
  Impl_->Kinds_ = KindTable(std::move(Options.Kinds_));
}

Admission::Admission(Admission &&) noexcept = default;

Admission &Admission::operator=(Admission &&) noexcept = default;

Admission::~Admission() = default;

void Admission::setCapacity(std::uint32_t Slots) {
  if (std::exchange(Impl_->Slots_, Slots) != Slots)
    Impl_->Kinds_.assignFloorSlots(Slots);
}

void Admission::setCustomers(std::vector<CustomerPolicy> Customers) {
  Impl_->Customers_.replace(Customers);
  for (RowIndex Index = 0; Index < Impl_->Requests_.Rows_.size(); ++Index) {
    const RequestRow &Row = Impl_->Requests_.Rows_[Index];
    if (Row.State_ != RequestState::Waiting ||
        Impl_->Customers_.Rows_[Row.QueueEntry_.Customer_].Listed_)
      continue;
    Impl_->removeFromQueue(Index);
    Impl_->refuseRequest(Index, Reason::UnknownCustomer);
  }
}

RequestHandle Admission::offer(TimePoint Now, const AdmissionRequest &Request) {
  return Impl_->offer(Now, Request);
}

void Admission::finish(TimePoint Now, RequestHandle Request, Duration Service) {
  static_cast<void>(Now);
  const auto Index = Impl_->Requests_.find(Request);
  if (!Index ||
      Impl_->Requests_.Rows_[*Index].State_ != RequestState::InProgress)
    return;
  RequestRow &Row = Impl_->Requests_.Rows_[*Index];
  Impl_->Kinds_.Rows_[Row.Kind_].ServiceTime_.record(Service);
  Impl_->releaseSlot(Row);
  Impl_->Requests_.remove(*Index);
}

void Admission::cancel(RequestHandle Request) {
  std::erase_if(Impl_->PendingCommands_,
                [Request](const AdmissionCommand &Command) {
                  return Command.Request_ == Request;
                });
  const auto Index = Impl_->Requests_.find(Request);
  if (!Index)
    return;
  RequestRow &Row = Impl_->Requests_.Rows_[*Index];
  if (Row.State_ == RequestState::Waiting)
    Impl_->removeFromQueue(*Index);
  else
    Impl_->releaseSlot(Row);
  Impl_->Requests_.remove(*Index);
}

void Admission::requeue(TimePoint Now, RequestHandle Request) {
  const auto Index = Impl_->Requests_.find(Request);
  if (!Index ||
      Impl_->Requests_.Rows_[*Index].State_ != RequestState::InProgress)
    return;
  RequestRow &Row = Impl_->Requests_.Rows_[*Index];
  Impl_->releaseSlot(Row);
  Impl_->pushToQueue(Impl_->Kinds_.Rows_[Row.Kind_], *Index);
  Impl_->SlotHoldsEndAt_.push_back(Now + SlotHoldTime);
}

const std::vector<AdmissionCommand> &Admission::tick(TimePoint Now) {
  Impl_->tick(Now);
  return Impl_->TickCommands_;
}

std::size_t Admission::waiting() const { return Impl_->Waiting_; }

std::size_t Admission::inProgress() const { return Impl_->InProgress_; }

} // namespace dragonfly::decide
