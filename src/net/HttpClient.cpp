#include "dragonfly/net/HttpClient.h"

#include "dragonfly/net/EventLoop.h"
#include "net/HttpText.h"
#include "net/Sockets.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <deque>
#include <iterator>
#include <optional>
#include <unordered_set>
#include <vector>

namespace dragonfly::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

/// How often requests are checked for their timeouts.
constexpr Duration SweepPeriod = std::chrono::milliseconds(5);
/// Bytes read at once.
constexpr std::size_t ReadBytes = 16U << 10U;
/// Longest head of an answer, in bytes.
constexpr std::uint32_t MaxHeadBytes = 64U << 10U;

/// One request from its start to its end.
struct Exchange {
  std::uint64_t Number_ = 0;
  std::string Bytes_;
  Duration Timeout_{};
  TimePoint Deadline_;
  HttpClient::Handler OnEnd_;
  HttpClient::ChunkHandler OnChunk_;
};

using ResponseParser = http::response_parser<http::string_body>;

HttpResponse takeResponse(ResponseParser &Parser) {
  auto Message = Parser.release();
  HttpResponse Result;
  Result.Status_ = static_cast<std::uint16_t>(Message.result_int());
  Result.ContentType_ = std::string(Message[http::field::content_type]);
  for (const auto &Field : Message)
    Result.Headers_.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Result.Body_ = std::move(Message.body());
  return Result;
}

} // namespace

/// The pool, and the requests that wait for a connection.
struct HttpClient::Impl : std::enable_shared_from_this<HttpClient::Impl> {
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  Impl(EventLoop &Loop, HttpClientOptions Options)
      : Loop_(Loop), Options_(std::move(Options)),
        Peer_(toAsio<tcp>(Options_.Peer_)), Host_(Options_.Peer_.text()) {}

  void submit(Exchange Work);
  void cancel(std::uint64_t Number);
  void dispatch();
  ConnectionPtr takeIdle();
  void end(Exchange Work, HttpResult Result);
  void release(const ConnectionPtr &Freed);
  void drop(const ConnectionPtr &Closed);
  void dropUnheardSince(TimePoint Then);
  void armSweep();
  void sweep();
  void close();

  EventLoop &Loop_;
  HttpClientOptions Options_;
  tcp::endpoint Peer_;
  std::string Host_;
  std::uint64_t LastNumber_ = 0;
  std::deque<Exchange> Waiting_;
  std::unordered_set<ConnectionPtr> Connections_;
  std::vector<ConnectionPtr> Idle_;
  Timer Sweep_;
  bool SweepArmed_ = false;
  bool Closed_ = false;
};

/// One connection, idle or with one exchange.
struct HttpClient::Impl::Connection
    : std::enable_shared_from_this<HttpClient::Impl::Connection> {
  explicit Connection(Impl &Pool)
      : Pool_(&Pool), Socket_(Pool.Loop_.context()) {}

  void connect(Exchange Work);
  void send(Exchange Work);
  bool usable();
  void read();
  void onRead(const beast::error_code &Failure, std::size_t Bytes);
  bool parse();
  void deliverChunk();
  void complete();
  void fail(CallStatus Status);
  void checkTimeout(TimePoint Now);
  void timeOut();
  void close();

  Impl *Pool_;
  tcp::socket Socket_;
  std::optional<Exchange> Current_;
  std::string Out_;
  beast::flat_buffer Buffer_;
  std::optional<ResponseParser> Parser_;
  TimePoint ConnectDeadline_ = TimePoint::max();
  TimePoint SentAt_;
  /// When it was opened, or bytes last came.
  TimePoint HeardAt_;
  bool Sent_ = false;
  bool Writing_ = false;
  bool Reading_ = false;
  bool Closed_ = false;
};

void HttpClient::Impl::Connection::connect(Exchange Work) {
  Current_ = std::move(Work);
  ConnectDeadline_ = Clock::now() + Pool_->Options_.ConnectTimeout_;
  Socket_.async_connect(Pool_->Peer_, [Self = shared_from_this()](
                                          const beast::error_code &Failure) {
    Self->ConnectDeadline_ = TimePoint::max();
    if (Self->Closed_)
      return;
    if (Failure) {
      Self->fail(CallStatus::NeverSent);
      return;
    }
    tuneStream(Self->Socket_);
    Self->HeardAt_ = Clock::now();
    beast::error_code Ignored;
    Self->Socket_.non_blocking(true, Ignored);
    Self->send(std::move(*Self->Current_));
  });
}

void HttpClient::Impl::Connection::send(Exchange Work) {
  Current_ = std::move(Work);
  SentAt_ = Clock::now();
  Sent_ = true;
  Parser_.emplace();
  Parser_->eager(true);
  Parser_->header_limit(MaxHeadBytes);
  if (Current_->OnChunk_)
    Parser_->body_limit(boost::none);
  else
    Parser_->body_limit(Pool_->Options_.MaxBodyBytes_);
  Out_ = std::move(Current_->Bytes_);
  Writing_ = true;
  asio::async_write(
      Socket_, asio::buffer(Out_),
      [Self = shared_from_this()](const beast::error_code &Failure,
                                  std::size_t Written) {
        Self->Writing_ = false;
        if (Failure && !Self->Closed_)
          Self->fail(Written == 0 ? CallStatus::NeverSent : CallStatus::Lost);
      });
  read();
}

/// A kept connection is of use if the server has neither closed it nor sent
/// anything that was not asked for.
bool HttpClient::Impl::Connection::usable() {
  if (Closed_ || Buffer_.size() != 0)
    return false;
  char Byte = 0;
  beast::error_code Failure;
  Socket_.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Failure);
  return Failure == asio::error::would_block;
}

void HttpClient::Impl::Connection::read() {
  if (Reading_ || Closed_)
    return;
  Reading_ = true;
  Socket_.async_read_some(
      Buffer_.prepare(ReadBytes),
      [Self = shared_from_this()](const beast::error_code &Failure,
                                  std::size_t Bytes) {
        Self->Reading_ = false;
        if (!Self->Closed_)
          Self->onRead(Failure, Bytes);
      });
}

void HttpClient::Impl::Connection::onRead(const beast::error_code &Failure,
                                          std::size_t Bytes) {
  if (Failure || !Current_) {
    fail(CallStatus::Lost);
    return;
  }
  HeardAt_ = Clock::now();
  Buffer_.commit(Bytes);
  if (!parse()) {
    fail(CallStatus::Lost);
    return;
  }
  if (Closed_ || !Current_)
    return;
  if (Parser_->is_done())
    complete();
  else
    read();
}

/// Feeds the parser; false where the bytes are no answer.
bool HttpClient::Impl::Connection::parse() {
  beast::error_code Failure;
  while (Buffer_.size() > 0 && !Parser_->is_done()) {
    Buffer_.consume(Parser_->put(Buffer_.data(), Failure));
    if (Failure)
      break;
  }
  if (Failure && Failure != http::error::need_more)
    return false;
  if (Current_->OnChunk_ && Parser_->is_header_done())
    deliverChunk();
  return true;
}

void HttpClient::Impl::Connection::deliverChunk() {
  if (Parser_->get().body().empty() || Parser_->get().result_int() != 200)
    return;
  Current_->Deadline_ = Clock::now() + Current_->Timeout_;
  const auto OnChunk = Current_->OnChunk_;
  OnChunk(std::exchange(Parser_->get().body(), {}));
}

void HttpClient::Impl::Connection::complete() {
  const auto Self = shared_from_this();
  const bool Kept = Parser_->keep_alive() && Buffer_.size() == 0 && !Writing_;
  HttpResult Result{CallStatus::Answered, takeResponse(*Parser_)};
  Exchange Done = std::move(*Current_);
  Current_.reset();
  Impl &Pool = *Pool_;
  if (Kept) {
    Pool.release(Self);
    read();
  } else {
    close();
  }
  Pool.end(std::move(Done), std::move(Result));
}

void HttpClient::Impl::Connection::fail(CallStatus Status) {
  const auto Self = shared_from_this();
  std::optional<Exchange> Failed = std::exchange(Current_, std::nullopt);
  Impl *Pool = Pool_;
  close();
  if (Failed && Pool != nullptr)
    Pool->end(std::move(*Failed), {Status, {}});
}

void HttpClient::Impl::Connection::checkTimeout(TimePoint Now) {
  if (Now >= ConnectDeadline_)
    fail(CallStatus::NeverSent);
  else if (Current_ && Now >= Current_->Deadline_)
    timeOut();
}

/// What makes a connection silent may have struck others of the pool as well:
/// the next request must not be the one that finds out.
void HttpClient::Impl::Connection::timeOut() {
  if (!Sent_) {
    fail(CallStatus::NeverSent);
    return;
  }
  Pool_->dropUnheardSince(std::max(SentAt_, HeardAt_));
  fail(CallStatus::TimedOut);
}

void HttpClient::Impl::Connection::close() {
  if (std::exchange(Closed_, true))
    return;
  beast::error_code Ignored;
  Socket_.close(Ignored);
  if (Pool_ != nullptr)
    std::exchange(Pool_, nullptr)->drop(shared_from_this());
}

void HttpClient::Impl::submit(Exchange Work) {
  if (Waiting_.size() >= Options_.MaxWaiting_) {
    Loop_.post([OnEnd = std::move(Work.OnEnd_)] {
      OnEnd({CallStatus::NeverSent, {}});
    });
    return;
  }
  Waiting_.push_back(std::move(Work));
  dispatch();
  armSweep();
}

void HttpClient::Impl::dispatch() {
  while (!Waiting_.empty() && !Closed_) {
    ConnectionPtr Chosen = takeIdle();
    if (!Chosen && Connections_.size() >= Options_.MaxConnections_)
      return;
    Exchange Work = std::move(Waiting_.front());
    Waiting_.pop_front();
    if (Chosen) {
      Chosen->send(std::move(Work));
      continue;
    }
    Chosen = std::make_shared<Connection>(*this);
    Connections_.insert(Chosen);
    Chosen->connect(std::move(Work));
  }
}

HttpClient::Impl::ConnectionPtr HttpClient::Impl::takeIdle() {
  while (!Idle_.empty()) {
    const ConnectionPtr Candidate = std::move(Idle_.back());
    Idle_.pop_back();
    if (Candidate->usable())
      return Candidate;
    Candidate->close();
  }
  return nullptr;
}

void HttpClient::Impl::end(Exchange Work, HttpResult Result) {
  if (Work.OnEnd_)
    Work.OnEnd_(std::move(Result));
  dispatch();
}

void HttpClient::Impl::release(const ConnectionPtr &Freed) {
  Idle_.push_back(Freed);
}

void HttpClient::Impl::drop(const ConnectionPtr &Closed) {
  std::erase(Idle_, Closed);
  Connections_.erase(Closed);
}

/// Closes the idle connections on which nothing has come since \p Then.
void HttpClient::Impl::dropUnheardSince(TimePoint Then) {
  std::vector<ConnectionPtr> Doubted;
  std::ranges::copy_if(
      Idle_, std::back_inserter(Doubted),
      [Then](const auto &Each) { return Each->HeardAt_ <= Then; });
  for (const ConnectionPtr &Each : Doubted)
    Each->close();
}

void HttpClient::Impl::cancel(std::uint64_t Number) {
  std::erase_if(Waiting_, [Number](const Exchange &Work) {
    return Work.Number_ == Number;
  });
  const auto Found = std::ranges::find_if(Connections_, [&](const auto &Open) {
    return Open->Current_ && Open->Current_->Number_ == Number;
  });
  if (Found == Connections_.end())
    return;
  const ConnectionPtr Dropped = (*Found)->shared_from_this();
  Dropped->Current_.reset();
  Dropped->close();
  dispatch();
}

void HttpClient::Impl::armSweep() {
  if (std::exchange(SweepArmed_, true))
    return;
  Sweep_ = Loop_.after(SweepPeriod, [Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->sweep();
  });
}

void HttpClient::Impl::sweep() {
  SweepArmed_ = false;
  const TimePoint Now = Clock::now();
  for (const ConnectionPtr &Open :
       std::vector(Connections_.begin(), Connections_.end()))
    Open->checkTimeout(Now);
  std::vector<Exchange> Late;
  std::erase_if(Waiting_, [&](Exchange &Work) {
    const bool Expired = Now >= Work.Deadline_;
    if (Expired)
      Late.push_back(std::move(Work));
    return Expired;
  });
  for (Exchange &Work : Late)
    end(std::move(Work), {CallStatus::NeverSent, {}});
  if (!Waiting_.empty() || Idle_.size() < Connections_.size())
    armSweep();
}

void HttpClient::Impl::close() {
  Closed_ = true;
  Sweep_.cancel();
  for (const ConnectionPtr &Open : std::exchange(Connections_, {})) {
    Open->Pool_ = nullptr;
    Open->Current_.reset();
    Open->close();
  }
  Idle_.clear();
  Waiting_.clear();
}

HttpClient::HttpClient(EventLoop &Loop, HttpClientOptions Options)
    : Impl_(std::make_shared<Impl>(Loop, std::move(Options))) {}

HttpClient::~HttpClient() { Impl_->close(); }

std::uint64_t HttpClient::request(HttpRequest Request, Duration Timeout,
                                  Handler OnEnd, ChunkHandler OnChunk) {
  Exchange Work{.Number_ = ++Impl_->LastNumber_,
                .Bytes_ = {},
                .Timeout_ = Timeout,
                .Deadline_ = Clock::now() + Timeout,
                .OnEnd_ = std::move(OnEnd),
                .OnChunk_ = std::move(OnChunk)};
  appendRequest(Work.Bytes_, Request, Impl_->Host_);
  Impl_->submit(std::move(Work));
  return Impl_->LastNumber_;
}

void HttpClient::cancel(std::uint64_t Number) { Impl_->cancel(Number); }

std::size_t HttpClient::openConnections() const {
  return Impl_->Connections_.size();
}

} // namespace dragonfly::net
