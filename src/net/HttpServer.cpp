#include "dragonfly/net/HttpServer.h"

#include "dragonfly/base/LineBudget.h"
#include "dragonfly/base/Log.h"
#include "dragonfly/net/EventLoop.h"
#include "net/HttpConnection.h"
#include "net/HttpText.h"
#include "net/Listener.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <unordered_set>
#include <utility>
#include <vector>

namespace dragonfly::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// How often connections are checked for their timeouts.
constexpr Duration SweepPeriod = std::chrono::milliseconds(100);
/// Refused connections that may wait for their callers to close, on a process
/// with enough descriptors; more wait in the system's queue.
constexpr std::size_t MaxRefused = 128;
/// Waiting connections that one search finds; more are looked for only once
/// these have been closed or used.
constexpr std::size_t MaxCandidates = 64;
/// When a caller may come again that found too many connections.
constexpr std::chrono::seconds FullRetryAfter{1};
/// Time that callers of a stopping server have to close after the last answer.
constexpr Duration StopLingerTime = std::chrono::milliseconds(100);
/// How often a stopping server looks for connections that have become idle.
constexpr Duration RefusalPeriod = std::chrono::milliseconds(5);
constexpr std::uint16_t CutOffStatus = 504;

using ConnectionSet = std::unordered_set<std::shared_ptr<HttpConnection>>;

std::vector<std::shared_ptr<HttpConnection>>
snapshot(const ConnectionSet &Connections) {
  return {Connections.begin(), Connections.end()};
}

KeepAlive keepAlive(HttpReplier::State &Request, HttpConnection &Caller) {
  return Caller.keepsOpenAfter(Request) ? KeepAlive::Yes : KeepAlive::No;
}

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(EventLoop &Loop, HttpServerOptions Options)
      : Loop_(Loop), Options_(std::move(Options)) {
    Options_.MaxConnections_ =
        Loop.connectionLimits().connections(Options_.MaxConnections_);
    MaxRefused_ = Loop.connectionLimits().connections(MaxRefused);
    Owner_.OnClosed_ = [this](const std::shared_ptr<HttpConnection> &Closed) {
      Connections_.erase(Closed);
      Refused_.erase(Closed);
    };
  }

  void listen() {
    Listener_ = std::make_shared<Listener>(
        Loop_, Options_.Listen_,
        Listener::Hooks{.HasRoom_ =
                            [Weak = weak_from_this()] {
                              const auto Self = Weak.lock();
                              return Self &&
                                     Self->Refused_.size() < Self->MaxRefused_;
                            },
                        .OnAccepted_ =
                            [Weak = weak_from_this()](tcp::socket Peer) {
                              if (const auto Self = Weak.lock())
                                Self->add(std::move(Peer));
                            }});
    if (Options_.AcceptAtOnce_)
      Listener_->start();
  }

  void startAccepting() {
    if (!std::exchange(Options_.AcceptAtOnce_, true))
      Listener_->start();
  }

  void add(tcp::socket Peer) {
    const bool IsFull =
        !Refusing_ &&
        Connections_.size() - Refused_.size() >= Options_.MaxConnections_ &&
        !makeRoom();
    const auto Added =
        std::make_shared<HttpConnection>(Owner_, std::move(Peer));
    Connections_.insert(Added);
    armSweep();
    if (IsFull || Refusing_) {
      Refused_.insert(Added);
      Added->lingerBriefly();
      logFull(IsFull);
    }
    Added->start();
    if (Refusing_)
      Added->refuse(stopRefusal());
    else if (IsFull)
      Added->refuse(makeUnavailable("too-many-connections", FullRetryAfter));
  }

  /// Logs once until there is room again.
  void logFull(bool IsFull) {
    Counts_.Refused_ += IsFull ? 1 : 0;
    if (std::exchange(WasFull_, IsFull) || !IsFull)
      return;
    logEvent(Event::ConnectionsRefused,
             {{"server", Options_.Name_}, {"bound", Options_.MaxConnections_}});
  }

  /// Closes the connection that has waited for a whole request for longest.
  /// Returns false where all are in use.
  bool makeRoom() {
    const TimePoint Now = Clock::now();
    bool HasSearched = false;
    while (true) {
      // A second search would find those again that have not given way.
      if (Candidates_.empty() &&
          (std::exchange(HasSearched, true) || !findCandidates(Now))) {
        NextSearchAt_ = Now + SweepPeriod;
        return false;
      }
      const auto [Since, Weak] = std::move(Candidates_.back());
      Candidates_.pop_back();
      const auto Longest = Weak.lock();
      if (!Longest || Longest->waitingSince() != Since ||
          !Longest->giveWay(
              makeUnavailable("too-many-connections", FullRetryAfter)))
        continue;
      ++Counts_.Displaced_;
      if (DisplacedLines_.take(Now))
        logEvent(Event::ConnectionsDisplaced,
                 {{"server", Options_.Name_},
                  {"bound", Options_.MaxConnections_},
                  {"waited_ms",
                   static_cast<std::uint64_t>(toMilliseconds(Now - Since))},
                  {"displaced", Counts_.Displaced_}});
      return true;
    }
  }

  /// Collects the connections that wait for longest, the longest one last.
  /// Where all are in use, they are not visited again for a while.
  bool findCandidates(TimePoint Now) {
    if (Now < NextSearchAt_)
      return false;
    for (const auto &Open : Connections_)
      if (Open->isWaiting())
        Candidates_.emplace_back(Open->waitingSince(), Open);
    const std::size_t Kept = std::min(Candidates_.size(), MaxCandidates);
    std::ranges::partial_sort(
        Candidates_, Candidates_.begin() + static_cast<std::ptrdiff_t>(Kept),
        {}, &Candidate::first);
    Candidates_.resize(Kept);
    std::ranges::reverse(Candidates_);
    return Kept > 0;
  }

  /// Those who connect in the middle of a stop do not prolong it.
  std::size_t unfinished() const {
    return Connections_.size() - (Closing_ ? 0 : Refused_.size());
  }

  HttpResponse stopRefusal() const {
    return makeUnavailable("stopping", Options_.RetryAfterStop_);
  }

  void closeAfterAnswers() { Owner_.Stopping_ = true; }

  void refuseNew() {
    Owner_.Stopping_ = true;
    Owner_.LingerTime_ = StopLingerTime;
    startAccepting();
    for (const auto &Open : snapshot(Connections_))
      Open->shortenLinger();
    if (!std::exchange(Refusing_, true))
      Refusals_ = Loop_.every(RefusalPeriod, [this] { refuseIdle(); });
    refuseIdle();
  }

  void refuseIdle() {
    for (const auto &Open : snapshot(Connections_))
      Open->refuseIfIdle(stopRefusal());
  }

  void cutOff() {
    logCut();
    refuseNew();
    Listener_->acceptWaiting();
    HttpResponse Answer = makeRefusal(CutOffStatus, "stopping");
    Answer.Headers_.front().Value_ = "unknown";
    Answer.Body_ = R"({"type":"stopping","outcome":"unknown"})";
    for (const auto &Open : snapshot(Connections_))
      Open->cutOff(Answer, stopRefusal());
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
    // The last answers leave as far as the sockets take them at once.
    cutOff();
    Listener_->close();
    for (const auto &Open : std::exchange(Connections_, {}))
      Open->detach();
    Refused_.clear();
    Refusals_.cancel();
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
    if (Refused_.empty())
      WasFull_ = false;
    if (!Connections_.empty())
      armSweep();
  }

  using Candidate = std::pair<TimePoint, std::weak_ptr<HttpConnection>>;

  EventLoop &Loop_;
  HttpServerOptions Options_;
  std::size_t MaxRefused_ = 0;
  ConnectionCounts &Counts_ = Loop_.connectionLimits().counts();
  LineBudget DisplacedLines_{1};
  std::vector<Candidate> Candidates_;
  TimePoint NextSearchAt_;
  HttpConnectionOwner Owner_{.Options_ = Options_, .Memory_ = Loop_.memory()};
  std::shared_ptr<Listener> Listener_;
  Endpoint Endpoint_;
  ConnectionSet Connections_;
  /// Those of them that were refused when they were accepted.
  ConnectionSet Refused_;
  bool Refusing_ = false;
  bool Closing_ = false;
  bool WasFull_ = false;
  Timer Sweep_;
  Timer Refusals_;
  bool SweepArmed_ = false;
};

HttpReplier::HttpReplier(std::shared_ptr<State> Request)
    : State_(std::move(Request)) {}

bool HttpReplier::hold(std::size_t Bytes) const {
  const auto Caller = State_->Connection_.lock();
  return Caller && Caller->hold(*State_, Bytes);
}

void HttpReplier::reply(HttpResponse Response) const {
  const auto Caller = State_->Connection_.lock();
  if (!Caller || State_->Done_)
    return;
  std::string Bytes;
  appendResponse(Bytes, Response, keepAlive(*State_, *Caller));
  if (State_->IsHead_)
    Bytes.resize(Bytes.size() - Response.Body_.size());
  State_->Begun_ = true;
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
  State_->Begun_ = true;
  Caller->append(*State_, std::move(Bytes));
}

void HttpReplier::chunk(std::string_view Bytes) const {
  const auto Caller = State_->Connection_.lock();
  if (!Caller || State_->Done_ || State_->IsHead_ || Bytes.empty())
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
  if (!State_->IsHead_)
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
  Impl_->Endpoint_ = Impl_->Listener_->endpoint();
}

HttpServer::~HttpServer() { Impl_->close(); }

void HttpServer::startAccepting() { Impl_->startAccepting(); }

void HttpServer::closeAfterAnswers() { Impl_->closeAfterAnswers(); }

void HttpServer::refuseNew() { Impl_->refuseNew(); }

void HttpServer::cutOff() { Impl_->cutOff(); }

std::size_t HttpServer::openConnections() const {
  return Impl_->Connections_.size();
}

StopPart HttpServer::stopPart() {
  return {.Name_ = Impl_->Options_.Name_,
          .OnServing_ = [this] { closeAfterAnswers(); },
          .OnRefusing_ = [this] { refuseNew(); },
          .Unfinished_ = [this] { return Impl_->unfinished(); },
          .OnCutOff_ = [this] { cutOff(); },
          .OnClosing_ = [this] { Impl_->Closing_ = true; }};
}

Endpoint HttpServer::endpoint() const { return Impl_->Endpoint_; }

} // namespace dragonfly::net
