/// One caller's connection to an HttpServer: reads requests, keeps answers in
/// the order of the requests, and enforces the bounds.
#ifndef DRAGONFLY_SRC_NET_HTTPCONNECTION_H
#define DRAGONFLY_SRC_NET_HTTPCONNECTION_H

#include "dragonfly/net/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <cstddef>
#include <deque>
#include <memory_resource>
#include <optional>

namespace dragonfly::net {

class HttpConnection;

/// What a connection needs of its server.
struct HttpConnectionOwner {
  const HttpServerOptions &Options_;
  bool Stopping_ = false;
  std::function<void(const std::shared_ptr<HttpConnection> &)> OnClosed_;
};

/// One request that has no whole answer yet.
struct HttpReplier::State {
  std::weak_ptr<HttpConnection> Connection_;
  bool KeepAlive_ = true;
  bool Done_ = false;
  /// What is held back until the answers before it have left.
  std::string Held_;
  std::function<void()> Gone_;
  TimePoint ReadAt_ = Clock::now();
};

/// The owner must outlive the connection, or call `detach()`.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  using Socket = boost::asio::ip::tcp::socket;

  HttpConnection(HttpConnectionOwner &Owner, Socket Peer)
      : Owner_(&Owner), Socket_(std::move(Peer)) {}

  void start();
  /// Takes bytes of one request's answer, or holds them back.
  void append(HttpReplier::State &Request, std::string Bytes);
  /// Lets the next answers leave once the first request is done.
  void settle();
  /// True once every answer should end its connection.
  bool stopping() const { return Owner_ == nullptr || Owner_->Stopping_; }
  /// Closes at once if no request is in progress.
  void stopWhenIdle();
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
  void read();
  void onRead(const boost::beast::error_code &Failure, std::size_t Bytes);
  void consume();
  /// Hands over the next whole request; false where none has come.
  bool consumeOne();
  void dispatch();
  void refuse(const boost::beast::error_code &Failure);
  void queue(std::string Bytes);
  void write();
  void onWritten(const boost::beast::error_code &Failure);
  void closeIfFinished();

  HttpConnectionOwner *Owner_;
  Socket Socket_;
  boost::beast::flat_buffer Buffer_;
  /// Headers of the request that is being read; more come from the heap.
  std::array<std::byte, 2048> HeaderMemory_;
  std::pmr::monotonic_buffer_resource HeaderPool_{HeaderMemory_.data(),
                                                  HeaderMemory_.size()};
  std::optional<Parser> Parser_;
  std::deque<RequestState> Requests_;
  std::string Out_;
  std::string InFlight_;
  TimePoint ReadDeadline_ = TimePoint::max();
  TimePoint WriteDeadline_ = TimePoint::max();
  bool Reading_ = false;
  bool Writing_ = false;
  bool Dispatching_ = false;
  bool CloseAfterWrite_ = false;
  /// True once the input is of no use and is only discarded.
  bool Lingering_ = false;
  bool Closed_ = false;
};

} // namespace dragonfly::net

#endif // DRAGONFLY_SRC_NET_HTTPCONNECTION_H
