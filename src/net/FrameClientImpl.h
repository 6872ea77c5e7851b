/// The connection of a frame client, and the calls that wait for an answer.
#ifndef DRAGONFLY_SRC_NET_FRAMECLIENTIMPL_H
#define DRAGONFLY_SRC_NET_FRAMECLIENTIMPL_H

#include "dragonfly/net/FrameClient.h"

#include "dragonfly/base/Log.h"
#include "dragonfly/decide/SilenceCheck.h"
#include "dragonfly/net/EventLoop.h"
#include "net/ClockTimer.h"
#include "net/FrameStream.h"
#include "net/Sockets.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dragonfly::net {

using boost::asio::ip::tcp;
using decide::SilenceAction;

/// Shortest time between two checks of a connection that carries only frames
/// without an answer.
inline constexpr Duration OneWayCheckPeriod = std::chrono::seconds(1);

struct FrameClient::Impl : std::enable_shared_from_this<FrameClient::Impl> {
  enum class Link : std::uint8_t { Connecting, Open, BackingOff, Idle, Closed };

  struct Call {
    Handler OnEnd_;
    PartHandler OnPart_;
    Duration Timeout_{};
    TimePoint SentAt_;
    /// When it was made, or its newest part arrived.
    TimePoint StartedAt_;
    TimePoint Expiry_;
    bool Sent_ = false;
  };

  Impl(EventLoop &Loop, FrameClientOptions Options)
      : Context_(Loop.context()), Options_(std::move(Options)),
        Backoff_(Options_.MinBackoff_), Connecting_(Context_),
        LinkTimer_(Context_), CallTimer_(Context_), CheckTimer_(Context_) {}

  void connect() {
    Link_ = Link::Connecting;
    AttemptAt_ = Clock::now();
    ++Attempt_;
    Connecting_ = tcp::socket(Context_);
    Connecting_.async_connect(
        toAsio<tcp>(Options_.Peer_),
        [Self = shared_from_this(), Attempt = Attempt_](const auto &Fault) {
          if (Self->Link_ == Link::Connecting && Attempt == Self->Attempt_)
            Self->connected(Fault);
        });
    armLink(Options_.ConnectTimeout_, [this] { connected(TimedOutFault); });
  }

  void reconnectNow() {
    if (Link_ == Link::Open || Link_ == Link::Idle || Link_ == Link::Closed ||
        Hastened_)
      return;
    // An attempt that runs may have begun while the peer was down, when nothing
    // refuses it. The next one runs its full time.
    Hastened_ = true;
    const TimePoint At =
        std::max(Clock::now(), AttemptAt_ + Options_.MinBackoff_);
    armLink(At - Clock::now(), [this] { connect(); });
  }

  template <typename Work> void armLink(Duration Delay, Work OnExpiry) {
    LinkTimer_.expires_after(Delay);
    LinkTimer_.async_wait([Self = shared_from_this(), OnExpiry,
                           Number = ++Armings_](const auto &Fault) {
      // An expiry that is already queued cannot be cancelled.
      if (!Fault && Self->Link_ != Link::Closed && Number == Self->Armings_)
        OnExpiry();
    });
  }

  void connected(const boost::system::error_code &Fault) {
    LinkTimer_.cancel();
    ++Armings_;
    if (Fault) {
      boost::system::error_code Ignored;
      Connecting_.close(Ignored);
      disconnected();
      return;
    }
    Link_ = Link::Open;
    use(makeStream(std::move(Connecting_)));
    for (auto &[Sequence, Bytes] : std::exchange(BeforeOpen_, {}))
      if (Sequence == 0 || Calls_.contains(Sequence))
        sendBytes(Sequence, Bytes);
    armIdle();
  }

  /// A stream whose events count while it is in use or is the second one.
  std::shared_ptr<FrameStream> makeStream(tcp::socket Socket) {
    boost::system::error_code Ignored;
    if (Options_.SendBufferBytes_ > 0)
      Socket.set_option(tcp::socket::send_buffer_size(
                            static_cast<int>(Options_.SendBufferBytes_)),
                        Ignored);
    const auto Slot = std::make_shared<std::weak_ptr<FrameStream>>();
    // Calls \p Work with this object and the stream, where both still exist.
    const auto Hook = [Self = weak_from_this(), Slot](auto Work) {
      return [Self, Slot, Work](auto &&...Values) {
        const auto Client = Self.lock();
        if (const auto Stream = Slot->lock(); Client && Stream)
          Work(*Client, Stream, std::forward<decltype(Values)>(Values)...);
      };
    };
    using StreamPtr = std::shared_ptr<FrameStream>;
    auto Stream = std::make_shared<FrameStream>(
        std::move(Socket), Options_.Self_,
        FrameStream::Hooks{
            .OnFrame_ = Hook(
                [](Impl &Client, const StreamPtr &From, wire::Frame Value) {
                  if (Client.Stream_ == From)
                    Client.take(std::move(Value));
                }),
            .OnClosed_ = Hook([](Impl &Client, const StreamPtr &From) {
              Client.closed(From);
            }),
            .OnWriting_ = Hook([](Impl &Client, const StreamPtr &From) {
              if (Client.Stream_ == From)
                Client.markSent();
            }),
            .OnProbeAnswer_ = Hook([](Impl &Client, const StreamPtr &From,
                                      std::uint64_t Sequence) {
              Client.takeProbeAnswer(From, Sequence);
            })});
    *Slot = Stream;
    Stream->start();
    return Stream;
  }

  void use(std::shared_ptr<FrameStream> Opened) {
    Stream_ = std::move(Opened);
    OpenedAt_ = Clock::now();
    LastSentAt_ = OpenedAt_;
    Check_ = decide::SilenceCheck(OpenedAt_);
    Probes_.clear();
  }

  void sendBytes(std::uint64_t Sequence, const std::string &Bytes) {
    LastSentAt_ = Clock::now();
    if (const auto It = Calls_.find(Sequence); It != Calls_.end()) {
      It->second.SentAt_ = LastSentAt_;
      Unsent_.push_back(Sequence);
      Check_.recordSent(LastSentAt_);
    }
    Stream_->write(Bytes);
    armCheck();
  }

  void closed(const std::shared_ptr<FrameStream> &From) {
    if (From == Stream_) {
      disconnected();
    } else if (From == Second_) {
      dropSecond();
      Check_.recordSecondLost(Clock::now());
    }
  }

  void dropSecond() {
    boost::system::error_code Ignored;
    if (SecondSocket_)
      SecondSocket_->close(Ignored);
    SecondSocket_.reset();
    if (Second_)
      Second_->close();
    Second_.reset();
  }

  /// Opens a second connection, to learn whether the peer answers there. One
  /// that has no answer yet may have gone silent as well, and makes room.
  void openSecond();

  void secondConnected() {
    Second_ = makeStream(std::move(*SecondSocket_));
    SecondSocket_.reset();
    sendProbe(*Second_);
  }

  void sendProbe(FrameStream &To) {
    const std::uint64_t Sequence = ++LastSequence_;
    Probes_[Sequence] = Clock::now();
    To.probe(Sequence);
  }

  void takeProbeAnswer(const std::shared_ptr<FrameStream> &From,
                       std::uint64_t Sequence) {
    const auto Probe = Probes_.find(Sequence);
    if (Probe == Probes_.end())
      return;
    if (From == Second_)
      perform(Check_.recordSecondAnswer(Clock::now()));
    else if (From == Stream_)
      recordAnswer(Probe->second);
    armCheck();
  }

  /// Notes the answer to what left at \p SentAt.
  void recordAnswer(TimePoint SentAt) {
    Check_.recordAnswer(SentAt);
    if (Check_.inProgress())
      return;
    dropSecond();
    Probes_.clear();
  }

  void perform(SilenceAction Due);

  void replace();

  /// Keeps the timer at or before the time when the check has something to do.
  void armCheck() {
    if (Link_ != Link::Open)
      return;
    const TimePoint Due = Check_.due(!Calls_.empty());
    if (Due == TimePoint::max() || (CheckArmed_ && CheckAt_ <= Due))
      return;
    CheckArmed_ = true;
    CheckAt_ = Due;
    CheckTimer_.expires_at(Due);
    CheckTimer_.async_wait([Self = shared_from_this()](const auto &Fault) {
      if (Fault || Self->Link_ == Link::Closed)
        return;
      Self->CheckArmed_ = false;
      Self->check();
    });
  }

  void check() {
    if (Link_ != Link::Open)
      return;
    Check_.recordProgress(Stream_->progressAt());
    perform(Check_.advance(Clock::now(), !Calls_.empty()));
    armCheck();
  }

  void verify() {
    if (Link_ != Link::Open)
      return;
    Check_.suspect(Clock::now());
    check();
  }

  void armIdle() {
    const Duration Left = LastSentAt_ + Options_.IdleTime_ - Clock::now();
    armLink(Left > Duration::zero() ? Left : Options_.IdleTime_, [this] {
      const bool Used = Clock::now() - LastSentAt_ < Options_.IdleTime_;
      if (Used || !Calls_.empty() || Check_.inProgress())
        armIdle();
      else
        becomeIdle();
    });
  }

  void becomeIdle() {
    Stream_->close();
    Stream_.reset();
    Link_ = Link::Idle;
  }

  void disconnected() {
    if (Stream_ && Clock::now() - OpenedAt_ >= Options_.MaxBackoff_)
      Backoff_ = Options_.MinBackoff_;
    if (Stream_)
      Stream_->close();
    Stream_.reset();
    dropSecond();
    Link_ = Link::BackingOff;
    Hastened_ = false;
    armLink(Backoff_, [this] { connect(); });
    Backoff_ = std::min(Backoff_ * 2, Options_.MaxBackoff_);
    endCalls();
  }

  void endCalls() {
    BeforeOpen_.clear();
    Unsent_.clear();
    Expiries_.clear();
    for (auto &[Sequence, Ended] : std::exchange(Calls_, {}))
      Ended.OnEnd_(
          {.Status_ = Ended.Sent_ ? CallStatus::Lost : CallStatus::NeverSent});
  }

  void markSent() {
    for (const std::uint64_t Sequence : Unsent_)
      if (const auto It = Calls_.find(Sequence); It != Calls_.end())
        It->second.Sent_ = true;
    Unsent_.clear();
  }

  void take(wire::Frame Value) {
    LastHeard_ = Clock::now();
    // Not once connected: a peer that is overloaded accepts connections and
    // answers none of them in time.
    Backoff_ = Options_.MinBackoff_;
    const auto It = Calls_.find(Value.Sequence_);
    if (It == Calls_.end()) {
      ++LateAnswers_;
      return;
    }
    if (Value.Kind_ == wire::FrameKind::Part) {
      takePart(Value.Sequence_, It->second, std::move(Value.Message_));
      return;
    }
    if (Value.Kind_ != wire::FrameKind::Answer)
      return;
    recordAnswer(It->second.SentAt_);
    finish(Value.Sequence_, {.Status_ = CallStatus::Answered,
                             .Answer_ = std::move(Value.Message_)});
  }

  void takePart(std::uint64_t Sequence, Call &Pending, wire::Message Part) {
    Expiries_.erase({Pending.Expiry_, Sequence});
    Pending.StartedAt_ = Clock::now();
    Pending.Expiry_ = Pending.StartedAt_ + Pending.Timeout_;
    Expiries_.insert({Pending.Expiry_, Sequence});
    if (const PartHandler OnPart = Pending.OnPart_)
      OnPart(std::move(Part));
  }

  void finish(std::uint64_t Sequence, CallResult Result) {
    auto Ended = Calls_.extract(Sequence);
    Expiries_.erase({Ended.mapped().Expiry_, Sequence});
    Ended.mapped().OnEnd_(std::move(Result));
  }

  void call(const wire::Message &Request, Duration Timeout, Handler OnEnd,
            PartHandler OnPart) {
    const bool Full =
        Stream_ && Stream_->queuedBytes() > Options_.MaxQueuedBytes_;
    if (Link_ == Link::Idle)
      connect();
    if (Link_ == Link::BackingOff || Link_ == Link::Closed || Full) {
      boost::asio::post(Context_, [OnEnd = std::move(OnEnd)] {
        OnEnd({.Status_ = CallStatus::NeverSent});
      });
      return;
    }
    const std::uint64_t Sequence = ++LastSequence_;
    std::string Bytes = encode(wire::FrameKind::Request, Sequence, Request);
    const TimePoint Now = Clock::now();
    Calls_.emplace(Sequence, Call{.OnEnd_ = std::move(OnEnd),
                                  .OnPart_ = std::move(OnPart),
                                  .Timeout_ = Timeout,
                                  .StartedAt_ = Now,
                                  .Expiry_ = Now + Timeout});
    Expiries_.insert({Now + Timeout, Sequence});
    armCalls();
    if (Link_ == Link::Connecting) {
      BeforeOpen_.emplace_back(Sequence, std::move(Bytes));
      return;
    }
    sendBytes(Sequence, Bytes);
  }

  void send(const wire::Message &Value) {
    std::string Bytes = encode(wire::FrameKind::OneWay, 0, Value);
    if (Link_ == Link::Idle) {
      connect();
      BeforeOpen_.emplace_back(0, std::move(Bytes));
      return;
    }
    if (!Stream_ || Stream_->queuedBytes() > Options_.MaxQueuedBytes_)
      return;
    const TimePoint Now = Clock::now();
    if (Options_.VerifiesOneWay_ && Now - OneWayCheckAt_ >= OneWayCheckPeriod) {
      OneWayCheckAt_ = Now;
      Check_.recordSent(Now);
    }
    sendBytes(0, Bytes);
  }

  std::string encode(wire::FrameKind Kind, std::uint64_t Sequence,
                     const wire::Message &Value) const {
    return wire::encodeFrame({.Kind_ = Kind,
                              .Sender_ = Options_.Self_,
                              .Sequence_ = Sequence,
                              .Message_ = Value});
  }

  /// Keeps the timer at or before the earliest expiry.
  void armCalls() {
    if (Expiries_.empty() || (Armed_ && ArmedAt_ <= Expiries_.begin()->first))
      return;
    Armed_ = true;
    ArmedAt_ = Expiries_.begin()->first;
    CallTimer_.expires_at(ArmedAt_);
    CallTimer_.async_wait([Self = shared_from_this()](const auto &Fault) {
      if (Fault || Self->Link_ == Link::Closed)
        return;
      Self->Armed_ = false;
      Self->expire();
      Self->armCalls();
    });
  }

  void expire() {
    const TimePoint Now = Clock::now();
    bool Silent = false;
    while (!Expiries_.empty() && Expiries_.begin()->first <= Now) {
      const std::uint64_t Sequence = Expiries_.begin()->second;
      const Call &Late = Calls_.at(Sequence);
      Silent = Silent || (Late.Sent_ && LastHeard_ <= Late.StartedAt_);
      // Bytes queued on an open connection leave once the peer takes them.
      const bool MayLeave = Late.Sent_ || Link_ == Link::Open;
      finish(Sequence, {.Status_ = MayLeave ? CallStatus::TimedOut
                                            : CallStatus::NeverSent});
    }
    // Nothing came for a whole call: the connection may be half open.
    if (Silent && Link_ == Link::Open)
      disconnected();
  }

  void close() {
    Link_ = Link::Closed;
    LinkTimer_.cancel();
    CallTimer_.cancel();
    CheckTimer_.cancel();
    dropSecond();
    boost::system::error_code Ignored;
    Connecting_.close(Ignored);
    if (Stream_)
      Stream_->close();
    Calls_.clear();
  }

  static inline const boost::system::error_code TimedOutFault =
      boost::asio::error::timed_out;

  boost::asio::io_context &Context_;
  FrameClientOptions Options_;
  Link Link_ = Link::Connecting;
  Duration Backoff_;
  std::uint64_t Attempt_ = 0;
  TimePoint AttemptAt_;
  /// The next attempt, or the one that runs, follows a sign that the peer is
  /// up.
  bool Hastened_ = false;
  std::uint64_t Armings_ = 0;
  tcp::socket Connecting_;
  ClockTimer LinkTimer_;
  ClockTimer CallTimer_;
  ClockTimer CheckTimer_;
  std::shared_ptr<FrameStream> Stream_;
  decide::SilenceCheck Check_{TimePoint()};
  /// Opened to learn whether the peer answers there.
  std::shared_ptr<FrameStream> Second_;
  std::shared_ptr<tcp::socket> SecondSocket_;
  /// When the probes of the check in progress left, by sequence number.
  std::unordered_map<std::uint64_t, TimePoint> Probes_;
  bool CheckArmed_ = false;
  TimePoint CheckAt_;
  TimePoint OneWayCheckAt_;
  TimePoint LastSentAt_;
  std::uint64_t LastSequence_ = 0;
  std::uint64_t LateAnswers_ = 0;
  TimePoint LastHeard_;
  TimePoint OpenedAt_;
  std::unordered_map<std::uint64_t, Call> Calls_;
  std::set<std::pair<TimePoint, std::uint64_t>> Expiries_;
  std::vector<std::pair<std::uint64_t, std::string>> BeforeOpen_;
  std::vector<std::uint64_t> Unsent_;
  bool Armed_ = false;
  TimePoint ArmedAt_;
};

} // namespace dragonfly::net

#endif // DRAGONFLY_SRC_NET_FRAMECLIENTIMPL_H
