#include "dragonfly/net/FrameServer.h"

#include "dragonfly/base/Log.h"
#include "dragonfly/net/EventLoop.h"
#include "net/FrameStream.h"
#include "net/Sockets.h"

#include <boost/asio/io_context.hpp>

#include <unordered_set>
#include <utility>

namespace dragonfly::net {

using boost::asio::ip::tcp;

namespace {

/// Parts of the idle timeout after which connections are looked at.
constexpr int SweepsPerIdleTimeout = 6;

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
      : Loop_(Loop), Options_(std::move(Options)), Acceptor_(Loop.context()) {
    listenOn(Acceptor_, Options_.Listen_);
  }

  void start() {
    accept();
    armSweep();
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
    std::erase_if(Streams_, [](const auto &Stream) {
      if (Stream->countIdleSweep() < SweepsPerIdleTimeout)
        return false;
      logEvent(Event::ConnectionClosed);
      Stream->close();
      return true;
    });
  }

  void accept() {
    Acceptor_.async_accept([Self = shared_from_this()](const auto &Fault,
                                                       tcp::socket Socket) {
      if (!Self->Acceptor_.is_open())
        return;
      if (!Fault)
        Self->open(std::move(Socket));
      acceptWaiting(Self->Acceptor_,
                    [&Self](tcp::socket Next) { Self->open(std::move(Next)); });
      Self->accept();
    });
  }

  /// Beyond the bound the socket is closed at once.
  void open(tcp::socket Socket) {
    if (Streams_.size() >= Options_.MaxConnections_)
      return;
    // The stream owns its hooks; they refer to it weakly.
    auto Slot = std::make_shared<std::weak_ptr<FrameStream>>();
    auto Stream = std::make_shared<FrameStream>(
        std::move(Socket), Options_.Self_,
        FrameStream::Hooks{
            .OnFrame_ =
                [Self = weak_from_this(), Slot](wire::Frame Value) {
                  if (const auto Server = Self.lock())
                    Server->take(*Slot, std::move(Value));
                },
            .OnClosed_ =
                [Self = weak_from_this(), Slot] {
                  logEvent(Event::ConnectionClosed);
                  if (const auto Server = Self.lock())
                    Server->Streams_.erase(Slot->lock());
                },
            .OnWriting_ = {},
            .OnProbeAnswer_ = {}});
    *Slot = Stream;
    Streams_.insert(Stream);
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

  void close() {
    boost::system::error_code Ignored;
    Acceptor_.close(Ignored);
    Sweep_.cancel();
    for (const auto &Stream : Streams_)
      Stream->close();
    Streams_.clear();
  }

  EventLoop &Loop_;
  FrameServerOptions Options_;
  tcp::acceptor Acceptor_;
  std::unordered_set<std::shared_ptr<FrameStream>> Streams_;
  Timer Sweep_;
};

FrameServer::FrameServer(EventLoop &Loop, FrameServerOptions Options)
    : Impl_(std::make_shared<Impl>(Loop, std::move(Options))) {
  Impl_->start();
}

FrameServer::~FrameServer() { close(); }

void FrameServer::stopAccepting() {
  boost::system::error_code Ignored;
  Impl_->Acceptor_.close(Ignored);
}

void FrameServer::close() { Impl_->close(); }

std::size_t FrameServer::connections() const { return Impl_->Streams_.size(); }

Endpoint FrameServer::endpoint() const {
  return fromAsio(Impl_->Acceptor_.local_endpoint());
}

} // namespace dragonfly::net
