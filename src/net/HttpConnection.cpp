#include "net/HttpConnection.h"

#include "net/HttpHead.h"
#include "net/HttpText.h"

#include "net/Sockets.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace dragonfly::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

/// Requests of one connection that may wait for their answers.
constexpr std::size_t MaxPipelined = 16;
/// Bytes of answers that may wait for their caller to take them; with more,
/// nothing further is read from it.
constexpr std::size_t MaxUntakenBytes = 4U << 10U;
/// Bytes read at once.
constexpr std::size_t ReadBytes = 16U << 10U;
/// Linger time of a connection on which nothing is expected.
constexpr Duration ShortLingerTime = std::chrono::milliseconds(200);
/// Shortest time between an answer and a refusal that no request has caused.
constexpr Duration QuietTime = std::chrono::milliseconds(10);
constexpr TimePoint Never = TimePoint::max();
constexpr std::uint16_t TimeoutStatus = 408;

template <typename Message> HttpRequest copyHead(const Message &Source) {
  HttpRequest Result;
  Result.Method_ = std::string(Source.method_string());
  Result.Target_ = std::string(Source.target());
  Result.Headers_.reserve(
      static_cast<std::size_t>(std::distance(Source.begin(), Source.end())));
  for (const auto &Field : Source)
    Result.Headers_.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Result;
}

template <typename Parser> HttpRequest takeRequest(Parser &Source) {
  auto Message = Source.release();
  HttpRequest Result = copyHead(Message);
  Result.Body_ = std::move(Message.body());
  return Result;
}

HttpResponse parseFailure(const beast::error_code &Failure) {
  std::uint16_t Status = 400;
  std::string_view Type = "malformed-request";
  if (Failure == http::error::header_limit) {
    Status = 431;
    Type = "headers-too-large";
  } else if (Failure == http::error::body_limit) {
    Status = 413;
    Type = "body-too-large";
  }
  return makeRefusal(Status, Type);
}

} // namespace

void HttpConnection::start() {
  Memory_.emplace(Owner_->Memory_, [Weak = weak_from_this()] {
    if (const auto Self = Weak.lock())
      Self->dropIncomplete();
  });
  tuneStream(Socket_);
  beast::error_code Ignored;
  Socket_.non_blocking(true, Ignored);
  resetParser();
  touchIdle();
  WaitingSince_ = Clock::now();
  read();
}

void HttpConnection::append(HttpReplier::State &Request, std::string Bytes) {
  if (isFirst(Request))
    queue(std::move(Bytes));
  else
    Request.Held_ += Bytes;
  countMemory();
}

void HttpConnection::settle() {
  while (!Requests_.empty() && Requests_.front()->Done_) {
    if (!Requests_.front()->KeepAlive_)
      CloseAfterWrite_ = true;
    Requests_.front()->Gone_ = nullptr;
    Requests_.pop_front();
    if (!Requests_.empty() && !Requests_.front()->Held_.empty())
      queue(std::exchange(Requests_.front()->Held_, {}));
  }
  if (Requests_.empty() && !Discarding_) {
    touchIdle();
    WaitingSince_ = Clock::now();
    sendContinue();
  }
  closeIfFinished();
  if (!Dispatching_)
    consume();
}

bool HttpConnection::keepsOpenAfter(HttpReplier::State &Request) {
  if (Owner_ == nullptr)
    return false;
  const bool IsLast = !Requests_.empty() && Requests_.back().get() == &Request;
  if (Request.KeepAlive_ && Owner_->Stopping_ && IsLast && betweenRequests() &&
      unreadBytes() == 0) {
    Request.KeepAlive_ = false;
    discardRest();
  }
  return Request.KeepAlive_;
}

void HttpConnection::refuse(HttpResponse Answer) {
  if (Closed_ || Discarding_)
    return;
  auto Request = std::make_shared<HttpReplier::State>();
  Request->Connection_ = weak_from_this();
  Request->KeepAlive_ = false;
  Requests_.push_back(Request);
  discardRest();
  HttpReplier(std::move(Request)).reply(std::move(Answer));
}

void HttpConnection::refuseIfIdle(const HttpResponse &Answer) {
  if (!Writing_ && Clock::now() - QuietTime >= WrittenAt_ &&
      Requests_.empty() && betweenRequests() && unreadBytes() == 0)
    refuse(Answer);
}

void HttpConnection::cutOff(const HttpResponse &Answer,
                            const HttpResponse &Refusal) {
  const auto Self = shared_from_this();
  if (Requests_.empty()) {
    refuse(Refusal);
    return;
  }
  discardRest();
  Requests_.back()->KeepAlive_ = false;
  const std::deque<RequestState> Open = Requests_;
  for (const RequestState &Request : Open)
    Request->Gone_ = nullptr;
  for (const RequestState &Request : Open) {
    if (Request->Done_)
      continue;
    if (Request->Begun_) {
      close();
      return;
    }
    HttpReplier(Request).reply(Answer);
  }
}

bool HttpConnection::isWaiting() const {
  return !Closed_ && !Discarding_ && Requests_.empty() && !Writing_ &&
         Out_.empty();
}

bool HttpConnection::giveWay(const HttpResponse &Answer) {
  const auto Self = shared_from_this();
  beast::error_code Ignored;
  // What has arrived may be the rest of a request. Besides, closing a socket
  // that holds unread bytes resets it.
  if (isWaiting() && Socket_.available(Ignored) > 0)
    onReadable();
  if (!isWaiting() || Socket_.available(Ignored) > 0)
    return false;
  std::string Bytes;
  appendResponse(Bytes, Answer, KeepAlive::No);
  Socket_.write_some(asio::buffer(Bytes), Ignored);
  Socket_.shutdown(tcp::socket::shutdown_send, Ignored);
  // The object lives on until its pending read has been called back.
  releaseInput();
  close();
  return true;
}

void HttpConnection::shortenLinger() {
  if (Lingering_)
    ReadDeadline_ = std::min(ReadDeadline_, Clock::now() + Owner_->LingerTime_);
}

std::size_t
HttpConnection::queuedBytes(const HttpReplier::State &Request) const {
  const bool First = isFirst(Request);
  return Request.Held_.size() + (First ? Out_.size() + InFlight_.size() : 0);
}

TimePoint HttpConnection::oldestRequestAt() const {
  return Requests_.empty() ? TimePoint::max() : Requests_.front()->ReadAt_;
}

std::size_t HttpConnection::unreadBytes() const {
  beast::error_code Ignored;
  return Buffer_.size() + Socket_.available(Ignored);
}

void HttpConnection::checkTimeouts(TimePoint Now) {
  if (Writing_)
    countMemory();
  if (Closed_)
    return;
  if (Now >= WriteDeadline_ || (Lingering_ && Now >= ReadDeadline_)) {
    close();
  } else if (Now >= ReadDeadline_) {
    const bool IsIdle = betweenRequests();
    lingerBriefly();
    refuse(IsIdle ? makeUnavailable("idle-timeout", std::chrono::seconds(0))
                  : makeRefusal(TimeoutStatus, "request-timeout"));
  }
}

void HttpConnection::close() {
  if (std::exchange(Closed_, true))
    return;
  const auto Self = shared_from_this();
  beast::error_code Ignored;
  Socket_.close(Ignored);
  Memory_.reset();
  for (const RequestState &Request : std::exchange(Requests_, {}))
    if (auto Gone = std::exchange(Request->Gone_, nullptr))
      Gone();
  if (Owner_ != nullptr)
    std::exchange(Owner_, nullptr)->OnClosed_(Self);
}

void HttpConnection::detach() {
  Owner_ = nullptr;
  for (const RequestState &Request : Requests_)
    Request->Gone_ = nullptr;
  close();
}

bool HttpConnection::isFirst(const HttpReplier::State &Request) const {
  return !Requests_.empty() && Requests_.front().get() == &Request;
}

bool HttpConnection::betweenRequests() const {
  return Buffer_.size() == 0 && !Parser_->got_some();
}

void HttpConnection::resetParser() {
  Parser_.reset();
  HeadBytes_ = 0;
  OwesContinue_ = false;
  HeaderPool_.release();
  Parser_.emplace(
      std::piecewise_construct, std::make_tuple(),
      std::make_tuple(
          Parser::value_type::fields_type::allocator_type(&HeaderPool_)));
  Parser_->eager(true);
  Parser_->header_limit(
      static_cast<std::uint32_t>(Owner_->Options_.MaxHeaderBytes_));
  Parser_->body_limit(Owner_->Options_.MaxBodyBytes_);
}

void HttpConnection::touchIdle() {
  if (Owner_ != nullptr)
    ReadDeadline_ = Clock::now() + Owner_->Options_.IdleTimeout_;
}

bool HttpConnection::isPaused() const {
  return Requests_.size() >= MaxPipelined ||
         Out_.size() + InFlight_.size() > MaxUntakenBytes;
}

void HttpConnection::read() {
  if (Reading_ || Closed_ || isPaused())
    return;
  Reading_ = true;
  // A read that completes later would hide bytes from unreadBytes().
  Socket_.async_wait(
      tcp::socket::wait_read,
      [Self = shared_from_this()](const beast::error_code &Failure) {
        Self->Reading_ = false;
        if (Failure)
          Self->onRead(Failure, 0);
        else
          Self->onReadable();
      });
}

void HttpConnection::onReadable() {
  if (Closed_)
    return;
  // Shared by all connections, so that each holds only what it cannot parse
  // yet.
  thread_local std::array<char, ReadBytes> Scratch;
  beast::error_code Failure;
  const std::size_t Bytes = Socket_.read_some(asio::buffer(Scratch), Failure);
  if (Failure == asio::error::would_block) {
    read();
    return;
  }
  if (!Failure && !Discarding_)
    asio::buffer_copy(Buffer_.prepare(Bytes), asio::buffer(Scratch, Bytes));
  onRead(Failure, Bytes);
}

void HttpConnection::onRead(const beast::error_code &Failure,
                            std::size_t Bytes) {
  if (Closed_)
    return;
  if (Failure) {
    close();
    return;
  }
  if (Discarding_) {
    if (Lingering_ && !Owner_->Stopping_)
      ReadDeadline_ =
          std::max(ReadDeadline_,
                   std::min(Clock::now() + Owner_->LingerTime_, DrainEndsAt_));
    read();
    return;
  }
  if (betweenRequests())
    touchIdle();
  Buffer_.commit(Bytes);
  consume();
}

void HttpConnection::consume() {
  Dispatching_ = true;
  while (consumeOne()) {
  }
  Dispatching_ = false;
  if (Closed_)
    return;
  if (Buffer_.size() == 0)
    Buffer_.shrink_to_fit();
  countMemory();
  if (Closed_)
    return;
  if (!Requests_.empty() && !Discarding_ && betweenRequests())
    ReadDeadline_ = Never;
  read();
}

bool HttpConnection::consumeOne() {
  if (Closed_ || Discarding_ || isPaused() || Buffer_.size() == 0)
    return false;
  beast::error_code Failure;
  const bool IsHead = !Parser_->is_header_done();
  const std::size_t Parsed = Parser_->put(Buffer_.data(), Failure);
  Buffer_.consume(Parsed);
  if (IsHead)
    HeadBytes_ += Parsed - Parser_->get().body().size();
  const bool IsBroken = Failure && Failure != http::error::need_more;
  if (IsHead && Parser_->is_header_done() && !IsBroken && !acceptHead())
    return false;
  if (Failure == http::error::need_more) {
    // Chunk lines and trailers are parsed only once they have arrived whole.
    if (Parser_->is_header_done() &&
        HeadBytes_ + Buffer_.size() > Owner_->Options_.MaxHeaderBytes_)
      refuse(parseFailure(http::error::header_limit));
    return false;
  }
  if (Failure) {
    refuse(parseFailure(Failure));
    return false;
  }
  if (!Parser_->is_done())
    return false;
  dispatch();
  return true;
}

bool HttpConnection::acceptHead() {
  if (auto Refusal = refuseHead(Parser_->get())) {
    refuse(std::move(*Refusal));
    return false;
  }
  if (Parser_->is_done())
    return true;
  if (answerHead())
    return false;
  OwesContinue_ = expectsContinue(Parser_->get());
  sendContinue();
  return true;
}

void HttpConnection::sendContinue() {
  if (Requests_.empty() && !Discarding_ && std::exchange(OwesContinue_, false))
    queue("HTTP/1.1 100 Continue\r\n\r\n");
}

bool HttpConnection::answerHead() {
  if (!Owner_->Options_.OnHead_)
    return false;
  std::optional<HttpResponse> Answer = Owner_->Options_.OnHead_(
      copyHead(Parser_->get()), Parser_->content_length().value_or(0));
  if (!Answer)
    return false;
  // A caller may send the whole body before it reads the answer.
  DrainEndsAt_ = Clock::now() + Owner_->Options_.IdleTimeout_;
  releaseInput();
  refuse(std::move(*Answer));
  return true;
}

void HttpConnection::dispatch() {
  auto Request = std::make_shared<HttpReplier::State>();
  Request->Connection_ = weak_from_this();
  Request->KeepAlive_ = Parser_->keep_alive();
  Request->IsHead_ = Parser_->get().method() == http::verb::head;
  HttpRequest Message = takeRequest(*Parser_);
  Request->Bytes_ = Message.Body_.capacity() + HeadBytes_;
  resetParser();
  Requests_.push_back(Request);
  if (!Request->KeepAlive_)
    discardRest();
  countMemory();
  if (Closed_)
    return;
  if (!Owner_->Memory_.hasRoomFor(0)) {
    Request->KeepAlive_ = false;
    discardRest();
    HttpReplier(std::move(Request)).reply(makeMemoryRefusal());
    return;
  }
  Owner_->Options_.OnRequest_(std::move(Message),
                              HttpReplier(std::move(Request)));
}

void HttpConnection::discardRest() {
  Discarding_ = true;
  Buffer_.clear();
  ReadDeadline_ = Never;
}

void HttpConnection::queue(std::string Bytes) {
  if (Out_.empty())
    Out_ = std::move(Bytes);
  else
    Out_ += Bytes;
  write();
}

void HttpConnection::write() {
  if (Writing_ || Closed_ || Out_.empty() || Owner_ == nullptr)
    return;
  Writing_ = true;
  InFlight_.swap(Out_);
  Out_.clear();
  WriteDeadline_ = Clock::now() + Owner_->Options_.WriteTimeout_;
  asio::async_write(
      Socket_, asio::buffer(InFlight_),
      [Self = shared_from_this()](const beast::error_code &Failure,
                                  std::size_t) { Self->onWritten(Failure); });
}

void HttpConnection::onWritten(const beast::error_code &Failure) {
  Writing_ = false;
  WriteDeadline_ = Never;
  WrittenAt_ = Clock::now();
  InFlight_.clear();
  if (InFlight_.capacity() > ReadBytes)
    std::string().swap(InFlight_);
  if (Closed_)
    return;
  countMemory();
  if (Closed_)
    return;
  if (Failure) {
    close();
    return;
  }
  write();
  closeIfFinished();
  // Reading may have paused until the bytes had been taken.
  if (!Closed_)
    consume();
}

void HttpConnection::closeIfFinished() {
  if (Closed_ || Lingering_ || !CloseAfterWrite_ || Writing_ || !Out_.empty() ||
      !Requests_.empty())
    return;
  Lingering_ = true;
  ReadDeadline_ =
      Clock::now() + (LingersBriefly_ ? ShortLingerTime : Owner_->LingerTime_);
  beast::error_code Ignored;
  Socket_.shutdown(tcp::socket::shutdown_send, Ignored);
  read();
}

} // namespace dragonfly::net
