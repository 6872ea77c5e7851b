#include "path/PathNetwork.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace dragonfly::faults {
namespace {

/// One way between two availability zones.
constexpr Duration Latency = std::chrono::microseconds(1500);
constexpr TimePoint Epoch{std::chrono::seconds(1000)};

} // namespace

struct PathNetwork::Call {
  Place From_;
  Place To_;
  std::uint64_t FromLife_ = 0;
  /// Set once the request has been handed over.
  std::optional<std::uint64_t> ToLife_;
  net::FrameClient::Handler OnEnd_;
  net::FrameClient::PartHandler OnPart_;
  bool Done_ = false;
};

TimePoint PathNetwork::localNow(const Place &Where) {
  constexpr std::int64_t Permille = 1000;
  return Epoch + (Now_ - Epoch) * Processes_[Where].ClockPermille_ / Permille;
}

bool PathNetwork::runs(const Place &Where) {
  const ProcessState &State = Processes_[Where];
  return State.Alive_ && State.FrozenUntil_ <= Now_;
}

void PathNetwork::heal() {
  Cut_.clear();
  Isolated_.clear();
}

bool PathNetwork::isCut(const Place &From, const Place &To) const {
  return Cut_.contains({From, To}) || Isolated_.contains(From) ||
         Isolated_.contains(To);
}

void PathNetwork::startProcess(const Place &Where) {
  ProcessState &State = Processes_[Where];
  State.Alive_ = true;
  ++State.Life_;
}

void PathNetwork::endProcess(const Place &Where) {
  Processes_[Where].Alive_ = false;
  for (const std::weak_ptr<Call> &Weak : Calls_) {
    const auto Pending = Weak.lock();
    if (!Pending || Pending->Done_)
      continue;
    if (Pending->From_ == Where)
      Pending->Done_ = true;
    else if (Pending->To_ == Where && Pending->ToLife_)
      at(Now_ + Latency,
         [this, Pending] { end(Pending, {.Status_ = net::CallStatus::Lost}); });
  }
}

void PathNetwork::at(TimePoint At, std::function<void()> Work) {
  Due_.emplace(At, std::move(Work));
}

void PathNetwork::within(const Place &Where, Duration After,
                         std::function<void()> Work) {
  const std::uint64_t Life = Processes_[Where].Life_;
  at(Now_ + After, [this, Where, Life, Work = std::move(Work)] {
    const ProcessState &State = Processes_[Where];
    if (!State.Alive_ || State.Life_ != Life)
      return;
    if (State.FrozenUntil_ > Now_) {
      within(Where, State.FrozenUntil_ - Now_, Work);
      return;
    }
    Clock::pause(localNow(Where));
    Work();
  });
}

void PathNetwork::post(RoutedMessage Value,
                       std::function<void(const RoutedMessage &)> Deliver) {
  if (!runs(Value.From_) || isCut(Value.From_, Value.To_))
    return;
  const auto Delays =
      Route_ ? Route_(Value) : std::vector<Duration>{Duration::zero()};
  const auto Shared = std::make_shared<const RoutedMessage>(std::move(Value));
  for (const Duration Delay : Delays)
    at(Now_ + Latency + Delay, [Shared, Deliver] { Deliver(*Shared); });
}

void PathNetwork::send(const Place &From, const Place &To,
                       wire::Message Value) {
  post({From, To, std::move(Value)}, [this](const RoutedMessage &Arrived) {
    handOver(Arrived, [this, Arrived] {
      OnArrival_(
          Arrived, [](const wire::Message &) {}, [](const wire::Message &) {});
    });
  });
}

void PathNetwork::call(const Place &From, const Place &To,
                       wire::Message Request, Duration Timeout,
                       net::FrameClient::Handler OnEnd,
                       net::FrameClient::PartHandler OnPart) {
  const auto Pending = std::make_shared<Call>();
  Pending->From_ = From;
  Pending->To_ = To;
  Pending->FromLife_ = Processes_[From].Life_;
  Pending->OnEnd_ = std::move(OnEnd);
  Pending->OnPart_ = std::move(OnPart);
  std::erase_if(Calls_, [](const auto &Weak) { return Weak.expired(); });
  Calls_.push_back(Pending);
  at(Now_ + Timeout,
     [this, Pending] { end(Pending, {.Status_ = net::CallStatus::TimedOut}); });
  post({From, To, std::move(Request)},
       [this, Pending](const RoutedMessage &Arrived) {
         arrive(Pending, Arrived);
       });
}

void PathNetwork::arrive(const std::shared_ptr<Call> &Pending,
                         const RoutedMessage &Request) {
  // A connection carries each request once, and none after it has broken.
  if (Pending->Done_ || Pending->ToLife_)
    return;
  if (!Processes_[Pending->To_].Alive_) {
    end(Pending, {.Status_ = net::CallStatus::NeverSent});
    return;
  }
  Pending->ToLife_ = Processes_[Pending->To_].Life_;
  handOver(Request, [this, Pending, Request] {
    OnArrival_(
        Request,
        [this, Pending](wire::Message Value) {
          answer(Pending, std::move(Value), /*Last=*/true);
        },
        [this, Pending](wire::Message Value) {
          answer(Pending, std::move(Value), /*Last=*/false);
        });
  });
}

/// A receiver that is killed before it takes a message never does; one that is
/// frozen takes it once it thaws.
void PathNetwork::handOver(const RoutedMessage &Value,
                           std::function<void()> Work) {
  within(Value.To_, Duration::zero(), [this, Value, Work = std::move(Work)] {
    if (OnDelivery_)
      OnDelivery_(Value, false);
    within(Value.To_, Duration::zero(), [this, Value, Work] {
      Work();
      if (OnDelivery_)
        OnDelivery_(Value, true);
    });
  });
}

void PathNetwork::answer(const std::shared_ptr<Call> &Pending,
                         wire::Message Value, bool Last) {
  if (Pending->Done_ || Processes_[Pending->To_].Life_ != Pending->ToLife_)
    return;
  post({Pending->To_, Pending->From_, std::move(Value)},
       [this, Pending, Last](const RoutedMessage &Arrived) {
         if (Last) {
           end(Pending, {.Status_ = net::CallStatus::Answered,
                         .Answer_ = Arrived.Message_});
           return;
         }
         within(Pending->From_, Duration::zero(), [Pending, Arrived] {
           if (!Pending->Done_ && Pending->OnPart_)
             Pending->OnPart_(Arrived.Message_);
         });
       });
}

void PathNetwork::end(const std::shared_ptr<Call> &Pending,
                      const net::CallResult &Result) {
  const ProcessState &From = Processes_[Pending->From_];
  if (Pending->Done_ || !From.Alive_ || From.Life_ != Pending->FromLife_)
    return;
  const auto Finish = [Pending, Result] {
    if (!std::exchange(Pending->Done_, true))
      Pending->OnEnd_(Result);
  };
  if (Result.Status_ == net::CallStatus::Answered)
    handOver({Pending->To_, Pending->From_, Result.Answer_}, Finish);
  else
    within(Pending->From_, Duration::zero(), Finish);
}

void PathNetwork::step(Duration By) {
  Now_ += By;
  while (!Due_.empty() && Due_.begin()->first <= Now_) {
    const std::function<void()> Work = std::move(Due_.begin()->second);
    Due_.erase(Due_.begin());
    Work();
  }
}

} // namespace dragonfly::faults
