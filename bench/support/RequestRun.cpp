#include "support/RequestRun.h"

#include "dragonfly/decide/SlotShares.h"

#include <algorithm>
#include <cmath>

namespace dragonfly::bench {

using namespace decide;
using namespace std::chrono_literals;

namespace {

constexpr Duration NearDelay = 250us;
/// An attempt on a VM that is gone ends after this.
constexpr Duration AttemptTimeout = 300ms;
constexpr Duration TickPeriod = 5ms;
constexpr Duration AnnouncePeriod = 500ms;
constexpr std::size_t MostAttempts = 3;
/// How much slower a request is on a VM with all slots busy.
constexpr double SlotInterference = 0.1;

Duration asDuration(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

RequestRun::RequestRun(RequestRunOptions Options)
    : Options_(std::move(Options)), Random_(Options_.Seed_) {
  const Deployment &Site = Options_.Site_;
  for (std::size_t Index = 0; Index < Site.Workers_; ++Index) {
    FakeWorker Worker;
    Worker.Name_ = "w" + std::to_string(Index);
    Worker.Zone_ = zoneName(Site, Index);
    Worker.Slots_ = Site.Slots_;
    Workers_.push_back(std::move(Worker));
  }
  const auto Share = [&](std::uint32_t Whole) {
    return Whole / static_cast<std::uint32_t>(Site.Entries_);
  };
  std::vector<CustomerPolicy> Customers;
  Customers.reserve(Options_.Customers_);
  for (std::size_t Index = 0; Index < Options_.Customers_; ++Index)
    Customers.push_back({"c" + std::to_string(Index),
                         Share(Options_.PlanConcurrent_),
                         Share(Options_.PlanWaiting_)});
  for (std::size_t Index = 0; Index < Site.Entries_; ++Index) {
    Entries_.push_back({Options_.Policy_(Site, Index, Options_.Seed_), {}});
    Entries_.back().Policy_.SetCustomers_(Customers);
    Entries_.back().Policy_.SetCapacity_(
        Share(static_cast<std::uint32_t>(Site.Workers_) * Site.Slots_));
  }
}

void RequestRun::schedule(Timed Event, Duration In) {
  Event.At_ = Now_ + In;
  Event.Order_ = ++Order_;
  Events_.push(Event);
}

void RequestRun::run() {
  announce();
  const auto Streams = static_cast<std::uint32_t>(Options_.Site_.Kinds_.size() *
                                                  Options_.Customers_);
  for (std::uint32_t Stream = 0; Stream < Streams; ++Stream)
    scheduleArrival(Stream);
  for (std::uint32_t Index = 0; Index < Entries_.size(); ++Index)
    schedule({.Step_ = Step::TickEntry, .Index_ = Index}, TickPeriod);
  schedule({.Step_ = Step::Observe}, Options_.Step_);
  while (!Events_.empty() && Events_.top().At_ <= Start + Options_.Length_) {
    const Timed Event = Events_.top();
    Events_.pop();
    Now_ = Event.At_;
    handle(Event);
  }
}

void RequestRun::handle(const Timed &Event) {
  switch (Event.Step_) {
  case Step::Arrive:
    arrive(Event.Index_, Event.Worker_ == 1);
    break;
  case Step::Reach:
    reach(Event);
    break;
  case Step::Leave:
    leave(Event);
    break;
  case Step::Answer:
    answer(Event);
    break;
  case Step::TickEntry:
    pump(Event.Index_);
    schedule({.Step_ = Step::TickEntry, .Index_ = Event.Index_}, TickPeriod);
    break;
  case Step::Announce:
    announce();
    break;
  case Step::Observe:
    if (Options_.OnStep_)
      Options_.OnStep_(*this, sinceStart());
    schedule({.Step_ = Step::Observe}, Options_.Step_);
    break;
  }
}

/// Returns the arrivals per second of one customer's requests of one kind.
double RequestRun::rate(std::uint32_t Stream) const {
  const std::size_t Kind = Stream % Options_.Site_.Kinds_.size();
  const std::size_t Customer = Stream / Options_.Site_.Kinds_.size();
  const RequestKind &Row = Options_.Site_.Kinds_[Kind];
  const auto Slots =
      static_cast<double>(Options_.Site_.Workers_ * Options_.Site_.Slots_);
  double Rate = Row.Load_ * Slots / seconds(Row.MeanService_) /
                static_cast<double>(Options_.Customers_) *
                Options_.LoadFactors_[Kind];
  for (const Flood &Wave : Options_.Floods_)
    if (Wave.Kind_ == Kind && Wave.From_ <= sinceStart() &&
        sinceStart() < Wave.To_ &&
        Wave.Customer_.value_or(Customer) == Customer)
      Rate *= Wave.Factor_;
  return Rate;
}

void RequestRun::scheduleArrival(std::uint32_t Stream) {
  // No gap is longer than this, so that a flood is noticed at once.
  const double LongestGap = 0.5;
  const double Gap =
      std::exponential_distribution<double>(rate(Stream))(Random_);
  schedule({.Step_ = Step::Arrive,
            .Index_ = Stream,
            .Worker_ = Gap <= LongestGap ? 1U : 0U},
           asDuration(std::min(Gap, LongestGap)));
}

/// A gap that was cut short brings no request; the next gap begins afresh.
void RequestRun::arrive(std::uint32_t Stream, bool Real) {
  const auto Kinds = static_cast<std::uint32_t>(Options_.Site_.Kinds_.size());
  if (Real)
    offer(Stream % Kinds, Stream / Kinds);
  scheduleArrival(Stream);
}

void RequestRun::offer(std::uint32_t Kind, std::uint32_t Customer) {
  const auto Index = static_cast<std::uint32_t>(Records_.size());
  Records_.push_back(
      {.Kind_ = Kind, .Customer_ = Customer, .OfferedAt_ = sinceStart()});
  Open Row;
  Row.Entry_ = Random_() % Entries_.size();
  Entry &Own = Entries_[Row.Entry_];
  const std::string Name = "c" + std::to_string(Customer);
  Row.Handle_ = Own.Policy_.Offer_(
      Now_, {.Customer_ = Name,
             .Kind_ = Options_.Site_.Kinds_[Kind].Name_,
             .Deadline_ = Now_ + Options_.Site_.Kinds_[Kind].Deadline_});
  Own.Requests_[Row.Handle_] = Index;
  Open_.push_back(std::move(Row));
  pump(Open_.back().Entry_);
}

void RequestRun::pump(std::size_t EntryIndex) {
  Entry &Own = Entries_[EntryIndex];
  if (Own.Policy_.Slots_)
    Own.Policy_.SetCapacity_(Own.Policy_.Slots_());
  for (const AdmissionCommand &Command : Own.Policy_.Tick_(Now_)) {
    const std::uint32_t Request = Own.Requests_.at(Command.Request_);
    if (Command.Verdict_ == AdmissionVerdict::Refuse) {
      settle(Request, Fate::Refused);
      continue;
    }
    Open_[Request].DispatchedAt_ = Now_;
    Open_[Request].Running_ = true;
    Own.Policy_.CountRequest_();
    attempt(Request);
  }
}

void RequestRun::attempt(std::uint32_t Request) {
  Open &Row = Open_[Request];
  EntryPolicy &Policy = Entries_[Row.Entry_].Policy_;
  const auto Worker = Policy.Pick_(Now_, Row.Tried_);
  if (!Worker) {
    settle(Request, Fate::Refused);
    return;
  }
  ++Records_[Request].Attempts_;
  Row.AttemptAt_ = Now_;
  Row.Tried_.push_back(*Worker);
  Policy.Started_(Now_, *Worker);
  schedule({.Step_ = Step::Reach, .Index_ = Request, .Worker_ = *Worker},
           delayTo(Row.Entry_, *Worker));
}

Duration RequestRun::delayTo(std::size_t EntryIndex,
                             std::uint32_t Worker) const {
  const bool Near =
      zoneName(Options_.Site_, EntryIndex) == Workers_[Worker].Zone_;
  return Near ? NearDelay : Options_.Site_.ZoneDelay_;
}

Duration RequestRun::serviceTime(const FakeWorker &Worker, std::uint32_t Kind) {
  const RequestKind &Row = Options_.Site_.Kinds_[Kind];
  const double Mean =
      std::log(seconds(Row.MeanService_)) - Row.Spread_ * Row.Spread_ / 2;
  const double Alone =
      std::lognormal_distribution<double>(Mean, Row.Spread_)(Random_);
  const double Busy = static_cast<double>(Worker.Busy_) / Worker.Slots_;
  return asDuration(Alone * Worker.Slowdown_ * (1 + SlotInterference * Busy));
}

void RequestRun::reach(const Timed &Event) {
  FakeWorker &Worker = Workers_[Event.Worker_];
  ++Worker.Reached_;
  const Duration Back = delayTo(Open_[Event.Index_].Entry_, Event.Worker_);
  Timed Answer = Event;
  Answer.Step_ = Step::Answer;
  if (!Worker.Alive_) {
    Answer.Result_ = AttemptResult::Failed;
    schedule(Answer, AttemptTimeout);
  } else if (Worker.FailsEverything_) {
    Answer.Result_ = AttemptResult::Failed;
    schedule(Answer, Back);
  } else if (Worker.Busy_ >= Worker.Slots_) {
    Answer.Result_ = AttemptResult::Refused;
    schedule(Answer, Back);
  } else {
    const std::uint32_t Kind = Records_[Event.Index_].Kind_;
    const Duration Service = serviceTime(Worker, Kind);
    ++Worker.Busy_;
    Records_[Event.Index_].Service_ = Service;
    Records_[Event.Index_].StartedAt_ = sinceStart();
    Answer.Step_ = Step::Leave;
    schedule(Answer, Service);
  }
}

void RequestRun::leave(const Timed &Event) {
  FakeWorker &Worker = Workers_[Event.Worker_];
  --Worker.Busy_;
  const RequestRecord &Record = Records_[Event.Index_];
  SlotTime_[Record.Kind_] += Record.Service_;
  Timed Answer = Event;
  Answer.Step_ = Step::Answer;
  Answer.Result_ =
      Worker.Alive_ ? AttemptResult::Answered : AttemptResult::Failed;
  schedule(Answer, delayTo(Open_[Event.Index_].Entry_, Event.Worker_));
}

void RequestRun::answer(const Timed &Event) {
  const std::uint32_t Request = Event.Index_;
  const RequestRecord &Record = Records_[Request];
  Open &Row = Open_[Request];
  EntryPolicy &Policy = Entries_[Row.Entry_].Policy_;
  Policy.Finished_(Now_, Event.Worker_, Event.Result_, Now_ - Row.AttemptAt_,
                   Record.Kind_);
  if (Record.Fate_ != Fate::Open) {
    Policy.Cancel_(Row.Handle_);
    pump(Row.Entry_);
    return;
  }
  if (Event.Result_ == AttemptResult::Answered) {
    settle(Request, Fate::Completed);
    pump(Row.Entry_);
    return;
  }
  const bool MayRetry = Event.Result_ == AttemptResult::Refused ||
                        Options_.Site_.Kinds_[Record.Kind_].Idempotent_;
  if (MayRetry && Row.Tried_.size() < MostAttempts && Policy.TakeRetry_()) {
    attempt(Request);
    return;
  }
  settle(Request,
         Event.Result_ == AttemptResult::Refused ? Fate::Refused : Fate::Lost);
  pump(Row.Entry_);
}

void RequestRun::finishUnanswered(std::uint32_t Request, AttemptResult Result) {
  Open &Row = Open_[Request];
  EntryPolicy &Policy = Entries_[Row.Entry_].Policy_;
  if (Result != AttemptResult::Refused) {
    settle(Request, Fate::Lost);
  } else if (!Policy.PutBack_) {
    settle(Request, Fate::Refused);
  } else {
    Row.Running_ = false;
    Row.Tried_.clear();
    Policy.PutBack_(Now_, Row.Handle_);
  }
}

void RequestRun::settle(std::uint32_t Request, Fate Value) {
  RequestRecord &Record = Records_[Request];
  Open &Row = Open_[Request];
  Entry &Own = Entries_[Row.Entry_];
  Record.Fate_ = Value;
  Record.EndedAt_ = sinceStart();
  Own.Requests_.erase(Row.Handle_);
  // A cancelled request keeps its slot until the attempt has ended.
  const bool Keeps = Value == Fate::Cancelled && Row.Running_;
  if (Value == Fate::Completed)
    Own.Policy_.Finish_(Now_, Row.Handle_, Now_ - Row.DispatchedAt_);
  else if (!Keeps && (Row.Running_ || Value == Fate::Cancelled))
    Own.Policy_.Cancel_(Row.Handle_);
}

std::size_t RequestRun::cancel(std::size_t Kind, std::size_t Count) {
  std::size_t Done = 0;
  for (std::uint32_t Index = 0; Index < Records_.size() && Done < Count;
       ++Index)
    if (Records_[Index].Kind_ == Kind && Records_[Index].Fate_ == Fate::Open) {
      settle(Index, Fate::Cancelled);
      ++Done;
    }
  return Done;
}

void RequestRun::announce() {
  std::vector<UpstreamRow> Rows;
  Rows.reserve(Workers_.size());
  for (const FakeWorker &Worker : Workers_)
    Rows.push_back({.Name_ = Worker.Name_,
                    .Incarnation_ = {1},
                    .AvailabilityZone_ = Worker.Zone_,
                    .Slots_ = Worker.Slots_,
                    .FreeSlots_ = Worker.Slots_ - Worker.Busy_});
  std::vector<EntryRow> Names;
  Names.reserve(Entries_.size());
  for (std::size_t Index = 0; Index < Entries_.size(); ++Index)
    Names.push_back(
        {"e" + std::to_string(Index), zoneName(Options_.Site_, Index)});
  for (std::size_t Index = 0; Index < Entries_.size(); ++Index) {
    const auto Shares = slotShares(Names, Names[Index].Name_, Rows);
    for (std::size_t Row = 0; Row < Rows.size(); ++Row)
      Rows[Row].SlotShare_ = Shares[Row];
    Entries_[Index].Policy_.SetUpstreams_(Rows);
  }
  schedule({.Step_ = Step::Announce}, AnnouncePeriod);
}

std::size_t RequestRun::ejected() const {
  std::size_t Most = 0;
  for (const Entry &Own : Entries_)
    Most = std::max(Most, Own.Policy_.Ejected_(Now_));
  return Most;
}

} // namespace dragonfly::bench
