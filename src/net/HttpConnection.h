/// One caller's connection to an HttpServer: reads requests, keeps answers in
/// the order of the requests, and enforces the bounds.
#ifndef DRAGONFLY_SRC_NET_HTTPCONNECTION_H
#define DRAGONFLY_SRC_NET_HTTPCONNECTION_H

#include "dragonfly/net/HttpServer.h"
#include "dragonfly/net/MemoryBudget.h"
#include "net/CountingResource.h"
#include "net/HttpRefusal.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <deque>
#include <memory_resource>
#include <optional>

namespace dragonfly::net {

class HttpConnection;

/// What a connection needs of its server.
struct HttpConnectionOwner {
  const HttpServerOptions &Options_;
  MemoryBudget &Memory_;
  /// Answers say that their connections close.
  bool Stopping_ = false;
  /// Time that a caller has to close after its last answer.
  Duration LingerTime_ = std::chrono::seconds(1);
  std::function<void(const std::shared_ptr<HttpConnection> &)> OnClosed_;
};

/// One request that has no whole answer yet.
struct HttpReplier::State {
  std::weak_ptr<HttpConnection> Connection_;
  bool KeepAlive_ = true;
  /// The answer has a head only.
  bool IsHead_ = false;
  /// The head of the answer has been handed over.
  bool Begun_ = false;
  bool Done_ = false;
  /// What is held back until the answers before it have left.
  std::string Held_;
  std::function<void()> Gone_;
  TimePoint ReadAt_ = Clock::now();
  /// Memory of the request, until it has its whole answer.
  std::size_t Bytes_ = 0;
};

/// The owner must outlive the connection, or call `detach()`. After its last
/// answer a connection reads on until the caller closes: closing a socket that
/// holds unread bytes resets it, and a reset may overtake the answer.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  using Socket = boost::asio::ip::tcp::socket;

  HttpConnection(HttpConnectionOwner &Owner, Socket Peer)
      : Owner_(&Owner), Socket_(std::move(Peer)) {}

  void start();
  /// Takes bytes of one request's answer, or holds them back.
  void append(HttpReplier::State &Request, std::string Bytes);
  /// Counts \p Bytes more for a request until its answer is whole, if they fit
  /// into the memory budget; returns whether they do.
  bool hold(HttpReplier::State &Request, std::size_t Bytes);
  /// Lets the next answers leave once the first request is done.
  void settle();
  /// Whether the connection stays open behind the answer to \p Request. In a
  /// stop the answer to the last request that has arrived is the last one.
  bool keepsOpenAfter(HttpReplier::State &Request);
  /// Makes \p Answer the last one, behind those to the requests in progress.
  /// What arrives later is discarded. Has no effect on a connection that
  /// already has its last answer.
  void refuse(HttpResponse Answer);
  /// Refuses where no request, and no part of one, has arrived, unless an
  /// answer has only just left: a caller could take the two for one.
  void refuseIfIdle(const HttpResponse &Answer);
  /// Ends each request that has no answer with \p Answer, or breaks it off
  /// where its answer has begun. Makes \p Refusal the last answer of a
  /// connection without requests.
  void cutOff(const HttpResponse &Answer, const HttpResponse &Refusal);
  /// Returns whether no request is in progress and no answer on its way, so
  /// that the connection may be closed in favour of another.
  bool isWaiting() const;
  /// Since when the connection has waited for a whole request.
  TimePoint waitingSince() const { return WaitingSince_; }
  /// Sends \p Answer as far as the socket takes it and closes the connection,
  /// if what has arrived leaves it waiting; returns whether it did.
  bool giveWay(const HttpResponse &Answer);
  /// Bounds the time for the last answer by the owner's new linger time.
  void shortenLinger();
  /// Keeps the connection for a short time only behind its last answer.
  void lingerBriefly() { LingersBriefly_ = true; }
  std::size_t queuedBytes(const HttpReplier::State &Request) const;
  /// Requests that have been read and have no whole answer.
  std::size_t openRequests() const { return Requests_.size(); }
  /// When the oldest of them had been read.
  TimePoint oldestRequestAt() const;
  /// Bytes that have arrived and belong to no request that was read whole.
  std::size_t unreadBytes() const;
  void checkTimeouts(TimePoint Now);
  /// Drops the connection and tells the owners of unanswered requests.
  void close();
  /// Drops the connection without calling any handler.
  void detach();

private:
  using RequestState = std::shared_ptr<HttpReplier::State>;
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body,
                                         std::pmr::polymorphic_allocator<char>>;

  bool isFirst(const HttpReplier::State &Request) const;
  bool betweenRequests() const;
  void resetParser();
  void touchIdle();
  /// Returns whether nothing more is read until an answer has left.
  bool isPaused() const;
  void read();
  void onReadable();
  void onRead(const boost::beast::error_code &Failure, std::size_t Bytes);
  void consume();
  /// Hands over the next whole request; false where none has come.
  bool consumeOne();
  /// Refuses a head that may be read in another way, or lets the owner answer
  /// it. Returns whether the request goes on.
  bool acceptHead();
  /// Lets the owner answer a request whose body has not arrived. Returns
  /// whether it did.
  bool answerHead();
  void dispatch();
  /// Tells a caller that waits for it to send its body, once all requests
  /// before have their answers.
  void sendContinue();
  /// No request that arrives later is run.
  void discardRest();
  /// Frees the buffers of a request that has not arrived whole.
  void releaseInput();
  /// Counts the memory that the connection holds.
  void countMemory();
  bool isIncomplete() const;
  bool isAnswerStalled() const;
  /// Gives up what has not arrived whole, or an answer that is not taken.
  void dropIncomplete();
  void queue(std::string Bytes);
  void write();
  void onWritten(const boost::beast::error_code &Failure);
  void closeIfFinished();

  HttpConnectionOwner *Owner_;
  Socket Socket_;
  boost::beast::flat_buffer Buffer_;
  /// Headers of the request that is being read; more come from the heap.
  std::array<std::byte, 2048> HeaderMemory_;
  CountingResource HeaderHeap_;
  std::pmr::monotonic_buffer_resource HeaderPool_{
      HeaderMemory_.data(), HeaderMemory_.size(), &HeaderHeap_};
  std::optional<Parser> Parser_;
  /// Bytes of the head of the request that is being read.
  std::size_t HeadBytes_ = 0;
  std::optional<MemoryBudget::Holder> Memory_;
  std::deque<RequestState> Requests_;
  std::string Out_;
  std::string InFlight_;
  TimePoint ReadDeadline_ = TimePoint::max();
  TimePoint WaitingSince_ = TimePoint::max();
  /// When bytes last left.
  TimePoint WrittenAt_ = TimePoint::min();
  TimePoint WriteDeadline_ = TimePoint::max();
  /// Until when a body that was answered before it had arrived is read.
  TimePoint DrainEndsAt_ = TimePoint::min();
  bool Reading_ = false;
  bool Writing_ = false;
  bool Dispatching_ = false;
  bool CloseAfterWrite_ = false;
  /// The caller waits for leave to send its body.
  bool OwesContinue_ = false;
  /// True once input is only discarded.
  bool Discarding_ = false;
  /// The last answer has left; the caller closes next.
  bool Lingering_ = false;
  bool LingersBriefly_ = false;
  bool Closed_ = false;
};

} // namespace dragonfly::net

#endif // DRAGONFLY_SRC_NET_HTTPCONNECTION_H
