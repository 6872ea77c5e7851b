#include "dragonfly/net/FrameServer.h"

#include "dragonfly/base/LineBudget.h"
#include "dragonfly/base/Log.h"
#include "dragonfly/net/EventLoop.h"
#include "net/FrameStream.h"
#include "net/Listener.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace dragonfly::net {

using boost::asio::ip::tcp;

namespace {

/// Parts of the idle timeout after which connections are looked at.
constexpr int SweepsPerIdleTimeout = 6;
/// Connections beyond the bound that may wait for their refusal, on a process
/// with enough descriptors; more wait in the system's queue.
constexpr std::size_t MaxExtraConnections = 64;
/// Bytes of answers that may wait for a peer to take them; with more, nothing
/// further is read from it.
constexpr std::size_t MaxUntakenBytes = 32U << 10U;
/// A connection that has sent no frame for longer gives way to another. Clients
/// send one each few seconds.
constexpr Duration MaxQuietTime = std::chrono::seconds(10);
/// A new connection has this long to send its first frame before it gives way.
constexpr Duration FirstFrameTime = std::chrono::milliseconds(200);

} // namespace

struct FrameReplier::State {
  std::weak_ptr<FrameStream> Stream_;
  Incarnation Self_;
  std::uint64_t Sequence_ = 0;
  /// False for one-way frames, which take no answer.
  bool Wanted_ = true;

  void send(wire::FrameKind Kind, const wire::Message &Value) const {
    const auto Stream = Stream_.lock();
    if (!Wanted_ || !Stream || !Stream->open())
      return;
    Stream->write(wire::encodeFrame({.Kind_ = Kind,
                                     .Sender_ = Self_,
                                     .Sequence_ = Sequence_,
                                     .Message_ = Value}));
  }
};

FrameReplier::FrameReplier(std::shared_ptr<State> Request)
    : State_(std::move(Request)) {}

void FrameReplier::part(const wire::Message &Value) const {
  State_->send(wire::FrameKind::Part, Value);
}

void FrameReplier::answer(const wire::Message &Value) const {
  State_->send(wire::FrameKind::Answer, Value);
}

bool FrameReplier::connected() const {
  const auto Stream = State_->Stream_.lock();
  return Stream && Stream->open();
}

std::size_t FrameReplier::queuedBytes() const {
  const auto Stream = State_->Stream_.lock();
  return Stream ? Stream->queuedBytes() : 0;
}

struct FrameServer::Impl : std::enable_shared_from_this<FrameServer::Impl> {
  Impl(EventLoop &Loop, FrameServerOptions Options)
      : Loop_(Loop), Options_(std::move(Options)) {
    Options_.MaxConnections_ =
        Loop.connectionLimits().connections(Options_.MaxConnections_);
    MaxExtra_ = Loop.connectionLimits().connections(MaxExtraConnections);
  }

  void start() {
    Listener_ = std::make_shared<Listener>(
        Loop_, Options_.Listen_,
        Listener::Hooks{.HasRoom_ =
                            [Weak = weak_from_this()] {
                              const auto Self = Weak.lock();
                              return Self && Self->hasRoom();
                            },
                        .OnAccepted_ =
                            [Weak = weak_from_this()](tcp::socket Peer) {
                              if (const auto Self = Weak.lock())
                                Self->open(std::move(Peer));
                            }});
    Endpoint_ = Listener_->endpoint();
    Listener_->start();
    armSweep();
  }

  bool hasRoom() {
    if (Extra_.size() >= MaxExtra_)
      closeSilentExtras();
    return Extra_.size() < MaxExtra_;
  }

  /// Those beyond the bound wait for their first request to be refused.
  void closeSilentExtras() {
    const TimePoint Now = Clock::now();
    std::erase_if(Extra_, [&](const auto &Stream) {
      if (Stream->hasTakenFrame() ||
          Now - Stream->lastFrameAt() < FirstFrameTime)
        return false;
      Stream->close();
      Streams_.erase(Stream);
      return true;
    });
  }

  /// Closes the connection that least deserves its place: one that has never
  /// sent a whole frame, or has been quiet for long. Returns false where there
  /// is none.
  bool makeRoom() {
    const TimePoint Now = Clock::now();
    const auto Rank = [](const std::shared_ptr<FrameStream> &Stream) {
      return std::pair(Stream->hasTakenFrame(), Stream->lastFrameAt());
    };
    const auto Least = std::ranges::min_element(Streams_, {}, Rank);
    if (Least == Streams_.end())
      return false;
    const Duration Quiet = Now - (*Least)->lastFrameAt();
    if (Quiet < ((*Least)->hasTakenFrame() ? MaxQuietTime : FirstFrameTime))
      return false;
    const auto Closed = Streams_.extract(Least);
    Closed.value()->close();
    Extra_.erase(Closed.value());
    ++Counts_.Displaced_;
    if (DisplacedLines_.take(Now))
      logEvent(
          Event::ConnectionsDisplaced,
          {{"server", "frames"},
           {"bound", Options_.MaxConnections_},
           {"waited_ms", static_cast<std::uint64_t>(toMilliseconds(Quiet))},
           {"displaced", Counts_.Displaced_}});
    return true;
  }

  void armSweep() {
    Sweep_ = Loop_.after(Options_.IdleTimeout_ / SweepsPerIdleTimeout,
                         [Self = weak_from_this()] {
                           if (const auto Server = Self.lock())
                             Server->sweep();
                         });
  }

  /// Counts sweeps rather than time, since frames that wait to be read after a
  /// pause of this process have arrived in time.
  void sweep() {
    armSweep();
    std::erase_if(Streams_, [this](const auto &Stream) {
      const int Most = Extra_.contains(Stream) ? 1 : SweepsPerIdleTimeout;
      if (Stream->countIdleSweep() < Most)
        return false;
      logEvent(Event::ConnectionClosed);
      Stream->close();
      Extra_.erase(Stream);
      return true;
    });
  }

  void open(tcp::socket Socket) {
    const bool IsFull =
        Streams_.size() - Extra_.size() >= Options_.MaxConnections_ &&
        !makeRoom();
    Counts_.Refused_ += IsFull ? 1 : 0;
    // The stream owns its hooks; they refer to it weakly.
    auto Slot = std::make_shared<std::weak_ptr<FrameStream>>();
    auto Held = std::make_shared<MemoryBudget::Holder>(Loop_.memory(), [Slot] {
      if (const auto Dropped = Slot->lock())
        Dropped->fail();
    });
    auto Stream = std::make_shared<FrameStream>(
        std::move(Socket), Options_.Self_,
        FrameStream::Hooks{
            .OnFrame_ =
                [Self = weak_from_this(), Slot, IsFull](wire::Frame Value) {
                  const auto Server = Self.lock();
                  if (Server && IsFull)
                    Server->refuse(*Slot, Value);
                  else if (Server)
                    Server->take(*Slot, std::move(Value));
                },
            .OnClosed_ =
                [Self = weak_from_this(), Slot] {
                  logEvent(Event::ConnectionClosed);
                  if (const auto Server = Self.lock()) {
                    Server->Streams_.erase(Slot->lock());
                    Server->Extra_.erase(Slot->lock());
                  }
                },
            .OnHeld_ =
                [Held](std::size_t Bytes, std::size_t Incomplete) {
                  Held->set(Bytes, Incomplete);
                },
            .OnWriting_ = {},
            .OnProbeAnswer_ = {}});
    *Slot = Stream;
    Stream->pauseBeyond(MaxUntakenBytes);
    Streams_.insert(Stream);
    if (IsFull)
      Extra_.insert(Stream);
    logEvent(Event::ConnectionOpened);
    Stream->start();
  }

  void take(const std::weak_ptr<FrameStream> &Stream, wire::Frame Value) {
    auto Request = std::make_shared<FrameReplier::State>(FrameReplier::State{
        .Stream_ = Stream,
        .Self_ = Options_.Self_,
        .Sequence_ = Value.Sequence_,
        .Wanted_ = Value.Kind_ == wire::FrameKind::Request});
    Options_.OnMessage_(std::move(Value.Message_),
                        FrameReplier(std::move(Request)));
  }

  void refuse(const std::weak_ptr<FrameStream> &Stream,
              const wire::Frame &Value) const {
    const FrameReplier::State Request{.Stream_ = Stream,
                                      .Self_ = Options_.Self_,
                                      .Sequence_ = Value.Sequence_,
                                      .Wanted_ = Value.Kind_ ==
                                                 wire::FrameKind::Request};
    logEvent(Event::ConnectionsRefused,
             {{"server", "frames"}, {"bound", Options_.MaxConnections_}});
    Request.send(wire::FrameKind::Answer,
                 wire::Refusal{.Reason_ = Reason::QueueFull});
    if (const auto Refused = Stream.lock())
      Refused->finish();
  }

  void finish() {
    Finishing_ = true;
    Listener_->close();
    for (const auto &Stream : Streams_)
      Stream->finish();
  }

  void close() {
    Listener_->close();
    Sweep_.cancel();
    for (const auto &Stream : Streams_)
      Stream->close();
    Streams_.clear();
    Extra_.clear();
  }

  EventLoop &Loop_;
  FrameServerOptions Options_;
  std::size_t MaxExtra_ = 0;
  ConnectionCounts &Counts_ = Loop_.connectionLimits().counts();
  LineBudget DisplacedLines_{1};
  std::shared_ptr<Listener> Listener_;
  Endpoint Endpoint_;
  /// Those of them that are beyond the bound.
  std::unordered_set<std::shared_ptr<FrameStream>> Extra_;
  bool Finishing_ = false;
  std::unordered_set<std::shared_ptr<FrameStream>> Streams_;
  Timer Sweep_;
};

FrameServer::FrameServer(EventLoop &Loop, FrameServerOptions Options)
    : Impl_(std::make_shared<Impl>(Loop, std::move(Options))) {
  Impl_->start();
}

FrameServer::~FrameServer() { close(); }

void FrameServer::finish() { Impl_->finish(); }

void FrameServer::close() { Impl_->close(); }

std::size_t FrameServer::connections() const { return Impl_->Streams_.size(); }

StopPart FrameServer::stopPart(std::string Name) {
  return {
      .Name_ = std::move(Name),
      // What is queued leaves as the streams finish.
      .Unfinished_ =
          [this] { return Impl_->Finishing_ ? connections() : std::size_t(0); },
      .OnClosing_ = [this] { finish(); }};
}

Endpoint FrameServer::endpoint() const { return Impl_->Endpoint_; }

} // namespace dragonfly::net
