#include "dragonfly/net/EventLoop.h"

#include "dragonfly/base/Log.h"
#include "dragonfly/base/Signals.h"
#include "net/ClockTimer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <utility>

namespace dragonfly::net {

struct Timer::State : std::enable_shared_from_this<Timer::State> {
  State(boost::asio::io_context &Context, std::function<void()> Handler)
      : Timer_(Context), Work_(std::move(Handler)) {}

  void arm(TimePoint At) {
    Timer_.expires_at(At);
    Timer_.async_wait([Self = shared_from_this()](const auto &Fault) {
      if (!Fault && !Self->Cancelled_)
        Self->fire();
    });
  }

  void fire() {
    if (Period_ == Duration::zero()) {
      const std::function<void()> Handler = std::move(Work_);
      Handler();
      return;
    }
    Work_();
    if (!Cancelled_)
      arm(std::max(Timer_.expiry() + Period_, Clock::now()));
  }

  ClockTimer Timer_;
  std::function<void()> Work_;
  Duration Period_ = Duration::zero();
  bool Cancelled_ = false;
};

Timer::Timer(std::shared_ptr<State> Pending) : State_(std::move(Pending)) {}

Timer &Timer::operator=(Timer &&Other) noexcept {
  if (this != &Other) {
    cancel();
    State_ = std::move(Other.State_);
  }
  return *this;
}

Timer::~Timer() { cancel(); }

void Timer::cancel() {
  if (!State_)
    return;
  State_->Cancelled_ = true;
  State_->Timer_.cancel();
  State_.reset();
}

struct EventLoop::Impl {
  /// Outlives the connections that handlers of the context keep.
  MemoryBudget Memory_;
  ConnectionLimits Connections_;
  boost::asio::io_context Context_{1};
  boost::asio::signal_set Signals_{Context_};
  boost::asio::signal_set Reloads_{Context_};
  std::function<void()> OnTerminate_;
  bool HandlesSignals_ = false;

  void awaitReload(const std::function<void()> &Work) {
    Reloads_.async_wait([this, Work](const auto &Fault, int) {
      if (Fault)
        return;
      awaitReload(Work);
      Work();
    });
  }

  void awaitSignal() {
    Signals_.async_wait([this](const auto &Fault, int) {
      if (Fault)
        return;
      awaitSignal();
      if (const auto Handler = std::exchange(OnTerminate_, nullptr))
        Handler();
      else
        logEvent(Event::StopRequestedAgain);
    });
  }
};

EventLoop::EventLoop() : Impl_(std::make_unique<Impl>()) {}

EventLoop::~EventLoop() {
  // Without handlers a further signal would kill the process as it ends.
  if (Impl_->HandlesSignals_)
    holdSignals();
}

void EventLoop::run() { Impl_->Context_.run(); }

std::size_t EventLoop::poll() {
  Impl_->Context_.restart();
  return Impl_->Context_.poll();
}

void EventLoop::stop() { Impl_->Context_.stop(); }

void EventLoop::post(std::function<void()> Work) {
  boost::asio::post(Impl_->Context_, std::move(Work));
}

Timer EventLoop::after(Duration Delay, std::function<void()> Work) {
  auto Pending =
      std::make_shared<Timer::State>(Impl_->Context_, std::move(Work));
  Pending->arm(Clock::now() + Delay);
  return Timer(std::move(Pending));
}

Timer EventLoop::every(Duration Period, std::function<void()> Work) {
  auto Pending =
      std::make_shared<Timer::State>(Impl_->Context_, std::move(Work));
  Pending->Period_ = Period;
  Pending->arm(Clock::now() + Period);
  return Timer(std::move(Pending));
}

void EventLoop::onTerminate(std::function<void()> Work) {
  Impl_->OnTerminate_ = std::move(Work);
  Impl_->HandlesSignals_ = true;
  for (const int Number : {SIGTERM, SIGINT}) {
    Impl_->Signals_.add(Number);
    releaseSignal(Number);
  }
  Impl_->awaitSignal();
}

void EventLoop::onReload(std::function<void()> Work) {
  Impl_->Reloads_.add(SIGHUP);
  releaseSignal(SIGHUP);
  Impl_->awaitReload(Work);
}

MemoryBudget &EventLoop::memory() { return Impl_->Memory_; }

ConnectionLimits &EventLoop::connectionLimits() { return Impl_->Connections_; }

boost::asio::io_context &EventLoop::context() { return Impl_->Context_; }

} // namespace dragonfly::net
