#include "dragonfly/decide/Admission.h"

#include "decide/AdmissionTables.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace dragonfly::decide {
namespace {

/// A waiting request may be given up only until it is this old, so that the
/// caller learns of a refusal while it can still go elsewhere.
constexpr Duration RefuseWithin = std::chrono::milliseconds(40);
/// Share of the time left that the predicted wait may take.
constexpr double WaitShare = 0.6;
/// Kinds that hold a slot for longer leave the whole floors of others free.
constexpr Duration LongService = std::chrono::seconds(1);
/// How long a slot stays unused after no upstream had room.
constexpr Duration HoldAfterRefusal = std::chrono::milliseconds(5);
/// Part of a customer's requests in progress that less urgent kinds leave to
/// its urgent ones: they may be held up for as long as control has no leader.
constexpr std::uint32_t UrgentPartOfPlan = 8;
constexpr Duration LeastRetryAfter = std::chrono::milliseconds(100);
constexpr Duration MostRetryAfter = std::chrono::seconds(10);

} // namespace

struct Admission::Impl {
  KindTable Kinds_;
  CustomerTable Customers_;
  RequestTable Requests_;
  std::vector<AdmissionCommand> Pending_;
  std::vector<AdmissionCommand> Out_;
  std::uint32_t Slots_ = 0;
  std::uint32_t InProgress_ = 0;
  std::size_t Waiting_ = 0;
  std::uint64_t Arrivals_ = 0;
  /// When slots that turned out not to be free may be tried again.
  std::deque<TimePoint> HeldUntil_;

  RequestHandle offer(TimePoint Now, const AdmissionRequest &Request);
  Reason refusal(TimePoint Now, const KindRow &Kind, RowIndex Customer,
                 TimePoint Deadline) const;
  bool makeRoom(TimePoint Now, KindRow &Kind, RowIndex Customer);
  void enqueue(TimePoint Now, RowIndex KindIndex, RowIndex Customer,
               RowIndex Request, TimePoint Deadline);
  void refuse(RowIndex Request, Reason Why);
  void removeWaiting(RowIndex Request);
  void wait(KindRow &Kind, RowIndex Request);
  std::uint32_t freeSlots() const;
  void end(RequestRow &Row);

  Duration predictedWait(const KindRow &Kind, RowIndex Customer) const;
  std::uint32_t reservedFor(TimePoint Now, const KindRow &Borrower) const;
  std::uint32_t startable(TimePoint Now, const KindRow &Kind) const;
  bool mayRun(const KindRow &Kind, RowIndex Customer) const;
  bool dispatchOne(TimePoint Now, KindRow &Kind);
  bool dispatchPass(TimePoint Now, bool BelowFloor);
  void expire(TimePoint Now, KindRow &Kind);
  void reconsider(TimePoint Now, KindRow &Kind);
  void tick(TimePoint Now);
};

RequestHandle Admission::Impl::offer(TimePoint Now,
                                     const AdmissionRequest &Request) {
  const auto Kind = Kinds_.find(Request.Kind_);
  const auto Customer = Customers_.find(Request.Customer_);
  const RowIndex Index = Requests_.add();
  Reason Why = Reason::None;
  if (!Kind)
    Why = Reason::UnknownKind;
  else if (!Customer)
    Why = Reason::UnknownCustomer;
  else
    Why = refusal(Now, Kinds_.Rows_[*Kind], *Customer, Request.Deadline_);
  if (Why == Reason::None && !makeRoom(Now, Kinds_.Rows_[*Kind], *Customer))
    Why = Reason::QueueFull;
  const RequestHandle Handle = Requests_.handle(Index);
  if (Kind && Customer) {
    Requests_.Rows_[Index].Kind_ = *Kind;
    Requests_.Rows_[Index].Place_.Customer_ = *Customer;
  }
  if (Why == Reason::None)
    enqueue(Now, *Kind, *Customer, Index, Request.Deadline_);
  else
    refuse(Index, Why);
  return Handle;
}

Reason Admission::Impl::refusal(TimePoint Now, const KindRow &Kind,
                                RowIndex Customer, TimePoint Deadline) const {
  const CustomerRow &Owner = Customers_.Rows_[Customer];
  if (Deadline <= Now)
    return Reason::DeadlinePassed;
  if (Owner.MaxConcurrent_ == 0)
    return Reason::OverPlan;
  const bool AtOnce = Kind.Queue_.size() < startable(Now, Kind) &&
                      Owner.InProgress_ + Owner.Waiting_ < Owner.MaxConcurrent_;
  if (AtOnce)
    return Reason::None;
  if (Owner.Waiting_ >= Owner.MaxWaiting_)
    return Reason::OverPlan;
  const double Left = static_cast<double>((Deadline - Now).count());
  const Duration Wait = predictedWait(Kind, Customer);
  const bool Late = static_cast<double>(Wait.count()) > WaitShare * Left ||
                    Now + Wait + Kind.Service_.high() > Deadline;
  return Late ? Reason::DeadlineUnreachable : Reason::None;
}

/// Predicts the wait of the customer's next request from the slots that the
/// kind can count on and the customer's own place among the others.
Duration Admission::Impl::predictedWait(const KindRow &Kind,
                                        RowIndex Customer) const {
  const KindQueue &Queue = Kind.Queue_;
  const std::size_t Own = Queue.waitingOf(Customer) + 1;
  const std::size_t Sharing =
      Queue.activeCustomers() + (Queue.waitingOf(Customer) == 0 ? 1 : 0);
  const std::size_t Ahead = std::min(Queue.size() + 1, Own * Sharing);
  const std::uint32_t Sure =
      std::max({Kind.FloorSlots_, Kind.FloorSlots_ == 0 ? Kind.InProgress_ : 0,
                std::uint32_t{1}});
  const std::uint32_t Most = Customers_.Rows_[Customer].MaxConcurrent_;
  const double Turns =
      std::max(static_cast<double>(Ahead) / Sure,
               static_cast<double>(Own) / std::max(Most, std::uint32_t{1}));
  return Duration(static_cast<Duration::rep>(
      Turns * static_cast<double>(Kind.Service_.mean().count())));
}

bool Admission::Impl::makeRoom(TimePoint Now, KindRow &Kind,
                               RowIndex Customer) {
  if (Kind.Queue_.size() < Kind.Policy_.QueueLimit_)
    return true;
  const auto Latest = Kind.Queue_.latestOfLargest();
  if (!Latest || Latest->Customer_ == Customer)
    return false;
  const bool Fairer = Kind.Queue_.waitingOf(Customer) + 1 <
                      Kind.Queue_.waitingOf(Latest->Customer_);
  const bool Young =
      Now - Requests_.Rows_[Latest->Request_].OfferedAt_ < RefuseWithin;
  if (!Fairer || !Young)
    return false;
  removeWaiting(Latest->Request_);
  refuse(Latest->Request_, Reason::QueueFull);
  return true;
}

void Admission::Impl::enqueue(TimePoint Now, RowIndex KindIndex,
                              RowIndex Customer, RowIndex Request,
                              TimePoint Deadline) {
  RequestRow &Row = Requests_.Rows_[Request];
  Row.OfferedAt_ = Now;
  Row.Place_ = {Deadline, ++Arrivals_, Customer, Request};
  KindRow &Kind = Kinds_.Rows_[KindIndex];
  wait(Kind, Request);
  Kind.Young_.push_back(Requests_.handle(Request));
  Kind.Demand_.observe(Now, static_cast<double>(Kind.InProgress_) +
                                static_cast<double>(Kind.Queue_.size()));
}

void Admission::Impl::wait(KindRow &Kind, RowIndex Request) {
  RequestRow &Row = Requests_.Rows_[Request];
  Row.State_ = RequestState::Waiting;
  Kind.Queue_.push(Row.Place_);
  ++Customers_.Rows_[Row.Place_.Customer_].Waiting_;
  ++Waiting_;
}

void Admission::Impl::removeWaiting(RowIndex Request) {
  const RequestRow &Row = Requests_.Rows_[Request];
  Kinds_.Rows_[Row.Kind_].Queue_.erase(Row.Place_);
  --Customers_.Rows_[Row.Place_.Customer_].Waiting_;
  --Waiting_;
}

void Admission::Impl::refuse(RowIndex Request, Reason Why) {
  const RequestRow &Row = Requests_.Rows_[Request];
  Duration RetryAfter = MostRetryAfter;
  if (Row.Kind_ < Kinds_.Rows_.size()) {
    const KindRow &Kind = Kinds_.Rows_[Row.Kind_];
    RetryAfter = std::clamp(predictedWait(Kind, Row.Place_.Customer_),
                            LeastRetryAfter, MostRetryAfter);
  }
  Pending_.push_back(
      {Requests_.handle(Request), AdmissionVerdict::Refuse, Why, RetryAfter});
  Requests_.remove(Request);
}

/// Returns the free slots that \p Borrower must leave for the floors of more
/// urgent kinds: what they wanted lately, or all of a floor where the borrower
/// would hold the slot for long.
std::uint32_t Admission::Impl::reservedFor(TimePoint Now,
                                           const KindRow &Borrower) const {
  const bool Long = Borrower.Service_.mean() >= LongService;
  std::uint32_t Reserved = 0;
  for (const KindRow &Kind : Kinds_.Rows_) {
    if (&Kind == &Borrower || Kind.InProgress_ >= Kind.FloorSlots_)
      continue;
    if (!Long && Kind.Policy_.Rank_ >= Borrower.Policy_.Rank_)
      continue;
    const auto Lately = static_cast<std::uint32_t>(Kind.Demand_.at(Now)) + 1;
    const std::uint32_t Wanted =
        Long ? Kind.FloorSlots_ : std::min(Kind.FloorSlots_, Lately);
    Reserved += Wanted > Kind.InProgress_ ? Wanted - Kind.InProgress_ : 0;
  }
  return Reserved;
}

std::uint32_t Admission::Impl::freeSlots() const {
  const std::size_t Used = InProgress_ + HeldUntil_.size();
  return Slots_ > Used ? static_cast<std::uint32_t>(Slots_ - Used) : 0;
}

/// Returns how many more requests of \p Kind could start now.
std::uint32_t Admission::Impl::startable(TimePoint Now,
                                         const KindRow &Kind) const {
  const std::uint32_t Free = freeSlots();
  const std::uint32_t Below = Kind.FloorSlots_ > Kind.InProgress_
                                  ? Kind.FloorSlots_ - Kind.InProgress_
                                  : 0;
  const std::uint32_t Reserved = reservedFor(Now, Kind);
  const std::uint32_t Beyond = Free > Reserved ? Free - Reserved : 0;
  return std::max(std::min(Free, Below), Beyond);
}

/// True where the customer's plan allows another request of \p Kind.
bool Admission::Impl::mayRun(const KindRow &Kind, RowIndex Customer) const {
  const CustomerRow &Owner = Customers_.Rows_[Customer];
  const bool MostUrgent =
      Kind.Policy_.Rank_ == Kinds_.Rows_[Kinds_.ByRank_.front()].Policy_.Rank_;
  const std::uint32_t Left =
      MostUrgent || Owner.MaxConcurrent_ < 2
          ? 0
          : std::max(Owner.MaxConcurrent_ / UrgentPartOfPlan, 1U);
  return Owner.InProgress_ + Left < Owner.MaxConcurrent_;
}

bool Admission::Impl::dispatchOne(TimePoint Now, KindRow &Kind) {
  const std::uint32_t Share = std::max(Kind.FloorSlots_, Kind.InProgress_ + 1);
  const auto Next = Kind.Queue_.next(Share, [this, &Kind](RowIndex Customer) {
    return mayRun(Kind, Customer);
  });
  if (!Next)
    return false;
  removeWaiting(Next->Request_);
  Requests_.Rows_[Next->Request_].State_ = RequestState::InProgress;
  Kind.Queue_.started(Next->Customer_);
  ++Kind.InProgress_;
  ++Customers_.Rows_[Next->Customer_].InProgress_;
  ++InProgress_;
  Kind.Demand_.observe(Now, static_cast<double>(Kind.InProgress_));
  Pending_.push_back({Requests_.handle(Next->Request_),
                      AdmissionVerdict::Dispatch,
                      Reason::None,
                      {}});
  return true;
}

/// Dispatches in the order of rank, either only up to the floors or beyond.
bool Admission::Impl::dispatchPass(TimePoint Now, bool BelowFloor) {
  for (RowIndex Index : Kinds_.ByRank_) {
    KindRow &Kind = Kinds_.Rows_[Index];
    while (Kind.Queue_.size() > 0 && startable(Now, Kind) > 0 &&
           (!BelowFloor || Kind.InProgress_ < Kind.FloorSlots_))
      if (!dispatchOne(Now, Kind))
        break;
  }
  return freeSlots() > 0;
}

void Admission::Impl::expire(TimePoint Now, KindRow &Kind) {
  for (auto First = Kind.Queue_.earliest(); First && First->Deadline_ <= Now;
       First = Kind.Queue_.earliest()) {
    removeWaiting(First->Request_);
    refuse(First->Request_, Reason::DeadlinePassed);
  }
}

/// Gives up waiting requests that became hopeless, while that is still early.
void Admission::Impl::reconsider(TimePoint Now, KindRow &Kind) {
  while (!Kind.Young_.empty()) {
    const auto Index = Requests_.find(Kind.Young_.front());
    const bool Waits =
        Index && Requests_.Rows_[*Index].State_ == RequestState::Waiting;
    if (Waits) {
      const RequestRow &Row = Requests_.Rows_[*Index];
      if (Now - Row.OfferedAt_ < RefuseWithin)
        return;
      if (Now + Kind.Service_.mean() > Row.Place_.Deadline_) {
        removeWaiting(*Index);
        refuse(*Index, Reason::DeadlineUnreachable);
      }
    }
    Kind.Young_.pop_front();
  }
}

void Admission::Impl::tick(TimePoint Now) {
  for (KindRow &Kind : Kinds_.Rows_) {
    expire(Now, Kind);
    reconsider(Now, Kind);
  }
  while (!HeldUntil_.empty() && HeldUntil_.front() <= Now)
    HeldUntil_.pop_front();
  if (dispatchPass(Now, true))
    dispatchPass(Now, false);
  Out_.swap(Pending_);
  Pending_.clear();
}

void Admission::Impl::end(RequestRow &Row) {
  KindRow &Kind = Kinds_.Rows_[Row.Kind_];
  Kind.Queue_.ended(Row.Place_.Customer_);
  --Kind.InProgress_;
  --Customers_.Rows_[Row.Place_.Customer_].InProgress_;
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
    Impl_->Kinds_.setSlots(Slots);
}

void Admission::setCustomers(std::vector<CustomerPolicy> Customers) {
  Impl_->Customers_.replace(Customers);
  for (RowIndex Index = 0; Index < Impl_->Requests_.Rows_.size(); ++Index) {
    const RequestRow &Row = Impl_->Requests_.Rows_[Index];
    if (Row.State_ != RequestState::Waiting ||
        Impl_->Customers_.Rows_[Row.Place_.Customer_].Listed_)
      continue;
    Impl_->removeWaiting(Index);
    Impl_->refuse(Index, Reason::UnknownCustomer);
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
  Impl_->Kinds_.Rows_[Row.Kind_].Service_.record(Service);
  Impl_->end(Row);
  Impl_->Requests_.remove(*Index);
}

void Admission::cancel(RequestHandle Request) {
  std::erase_if(Impl_->Pending_, [Request](const AdmissionCommand &Command) {
    return Command.Request_ == Request;
  });
  const auto Index = Impl_->Requests_.find(Request);
  if (!Index)
    return;
  RequestRow &Row = Impl_->Requests_.Rows_[*Index];
  if (Row.State_ == RequestState::Waiting)
    Impl_->removeWaiting(*Index);
  else
    Impl_->end(Row);
  Impl_->Requests_.remove(*Index);
}

void Admission::requeue(TimePoint Now, RequestHandle Request) {
  const auto Index = Impl_->Requests_.find(Request);
  if (!Index ||
      Impl_->Requests_.Rows_[*Index].State_ != RequestState::InProgress)
    return;
  RequestRow &Row = Impl_->Requests_.Rows_[*Index];
  Impl_->end(Row);
  Impl_->wait(Impl_->Kinds_.Rows_[Row.Kind_], *Index);
  Impl_->HeldUntil_.push_back(Now + HoldAfterRefusal);
}

const std::vector<AdmissionCommand> &Admission::tick(TimePoint Now) {
  Impl_->tick(Now);
  return Impl_->Out_;
}

std::size_t Admission::waiting() const { return Impl_->Waiting_; }

std::size_t Admission::inProgress() const { return Impl_->InProgress_; }

} // namespace dragonfly::decide
