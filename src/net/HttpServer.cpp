#include "dragonfly/net/HttpServer.h"

#include "dragonfly/base/Log.h"
#include "dragonfly/net/EventLoop.h"
#include "net/HttpConnection.h"
#include "net/HttpText.h"
#include "net/Sockets.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <unordered_set>

namespace dragonfly::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

/// How often connections are checked for their timeouts.
constexpr Duration SweepPeriod = std::chrono::milliseconds(100);

using ConnectionSet = std::unordered_set<std::shared_ptr<HttpConnection>>;

std::vector<std::shared_ptr<HttpConnection>>
snapshot(const ConnectionSet &Connections) {
  return {Connections.begin(), Connections.end()};
}

KeepAlive keepAlive(HttpReplier::State &Request, const HttpConnection &Caller) {
  if (Caller.stopping())
    Request.KeepAlive_ = false;
  return Request.KeepAlive_ ? KeepAlive::Yes : KeepAlive::No;
}

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(EventLoop &Loop, HttpServerOptions Options)
      : Loop_(Loop), Options_(std::move(Options)), Acceptor_(Loop.context()) {
    Owner_.OnClosed_ = [this](const std::shared_ptr<HttpConnection> &Closed) {
      Connections_.erase(Closed);
    };
  }

  void listen() {
    listenOn(Acceptor_, Options_.Listen_);
    if (Options_.AcceptAtOnce_)
      accept();
  }

  void startAccepting() {
    if (!std::exchange(Options_.AcceptAtOnce_, true) && Acceptor_.is_open())
      accept();
  }

  void accept() {
    Acceptor_.async_accept(
        [Weak = weak_from_this()](const beast::error_code &Failure,
                                  tcp::socket Peer) {
          const auto Self = Weak.lock();
          if (!Self || !Self->Acceptor_.is_open())
            return;
          if (!Failure)
            Self->add(std::move(Peer));
          acceptWaiting(Self->Acceptor_, [&Self](tcp::socket Next) {
            Self->add(std::move(Next));
          });
          Self->accept();
        });
  }

  /// Beyond the bound the socket is closed at once.
  void add(tcp::socket Peer) {
    if (Connections_.size() >= Options_.MaxConnections_)
      return;
    const auto Added =
        std::make_shared<HttpConnection>(Owner_, std::move(Peer));
    Connections_.insert(Added);
    Added->start();
    armSweep();
  }

  void closeAfterAnswers() { Owner_.Stopping_ = true; }

  void stopAccepting() {
    Owner_.Stopping_ = true;
    beast::error_code Ignored;
    Acceptor_.close(Ignored);
    for (const auto &Open : snapshot(Connections_))
      Open->stopWhenIdle();
  }

  /// Logs what the end of the process takes from callers.
  void logCut() const {
    std::size_t Requests = 0;
    std::size_t Unread = 0;
    TimePoint Oldest = Clock::now();
    for (const auto &Open : Connections_) {
      Requests += Open->openRequests();
      Unread += Open->unreadBytes() > 0 ? 1 : 0;
      Oldest = std::min(Oldest, Open->oldestRequestAt());
    }
    if (Requests + Unread > 0)
      logEvent(Event::RequestsCut,
               {{"server", Options_.Name_},
                {"phase", Owner_.Stopping_ ? "stopping" : "running"},
                {"in_progress", Requests},
                {"unread", Unread},
                {"age_ms", static_cast<std::uint64_t>(
                               toMilliseconds(Clock::now() - Oldest))},
                {"connections", Connections_.size()}});
  }

  void close() {
    logCut();
    Owner_.Stopping_ = true;
    beast::error_code Ignored;
    Acceptor_.close(Ignored);
    for (const auto &Open : std::exchange(Connections_, {}))
      Open->detach();
    Sweep_.cancel();
  }

  void armSweep() {
    if (std::exchange(SweepArmed_, true))
      return;
    Sweep_ = Loop_.after(SweepPeriod, [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock())
        Self->sweep();
    });
  }

  void sweep() {
    SweepArmed_ = false;
    const TimePoint Now = Clock::now();
    for (const auto &Open : snapshot(Connections_))
      Open->checkTimeouts(Now);
    if (!Connections_.empty())
      armSweep();
  }

  EventLoop &Loop_;
  HttpServerOptions Options_;
  HttpConnectionOwner Owner_{Options_, false, {}};
  tcp::acceptor Acceptor_;
  Endpoint Endpoint_;
  ConnectionSet Connections_;
  Timer Sweep_;
  bool SweepArmed_ = false;
};

HttpReplier::HttpReplier(std::shared_ptr<State> Request)
    : State_(std::move(Request)) {}

void HttpReplier::reply(HttpResponse Response) const {
  const auto Caller = State_->Connection_.lock();
  if (!Caller || State_->Done_)
    return;
  std::string Bytes;
  appendResponse(Bytes, Response, keepAlive(*State_, *Caller));
  State_->Done_ = true;
  Caller->append(*State_, std::move(Bytes));
  Caller->settle();
}

void HttpReplier::beginChunks(HttpResponse Head) const {
  const auto Caller = State_->Connection_.lock();
  if (!Caller || State_->Done_)
    return;
  std::string Bytes;
  appendChunkedHead(Bytes, Head, keepAlive(*State_, *Caller));
  Caller->append(*State_, std::move(Bytes));
}

void HttpReplier::chunk(std::string_view Bytes) const {
  const auto Caller = State_->Connection_.lock();
  if (!Caller || State_->Done_ || Bytes.empty())
    return;
  std::string Framed;
  appendChunk(Framed, Bytes);
  Caller->append(*State_, std::move(Framed));
}

void HttpReplier::endChunks() const {
  const auto Caller = State_->Connection_.lock();
  if (!Caller || State_->Done_)
    return;
  std::string Last;
  appendChunk(Last, {});
  State_->Done_ = true;
  Caller->append(*State_, std::move(Last));
  Caller->settle();
}

void HttpReplier::abort() const {
  State_->Gone_ = nullptr;
  if (const auto Caller = State_->Connection_.lock())
    Caller->close();
}

void HttpReplier::onGone(std::function<void()> Handler) const {
  if (!State_->Done_)
    State_->Gone_ = std::move(Handler);
}

std::size_t HttpReplier::queuedBytes() const {
  const auto Caller = State_->Connection_.lock();
  return Caller ? Caller->queuedBytes(*State_) : 0;
}

HttpServer::HttpServer(EventLoop &Loop, HttpServerOptions Options)
    : Impl_(std::make_shared<Impl>(Loop, std::move(Options))) {
  Impl_->listen();
  Impl_->Endpoint_ = fromAsio(Impl_->Acceptor_.local_endpoint());
}

HttpServer::~HttpServer() { Impl_->close(); }

void HttpServer::startAccepting() { Impl_->startAccepting(); }

void HttpServer::closeAfterAnswers() { Impl_->closeAfterAnswers(); }

void HttpServer::stopAccepting() { Impl_->stopAccepting(); }

std::size_t HttpServer::openConnections() const {
  return Impl_->Connections_.size();
}

Endpoint HttpServer::endpoint() const { return Impl_->Endpoint_; }

} // namespace dragonfly::net
