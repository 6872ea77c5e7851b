#include "soak/OpenCaller.h"

#include "dragonfly/base/Random.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <utility>

namespace dragonfly::soak {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr Duration ReconnectDelay = std::chrono::milliseconds(50);
constexpr Duration AnswerTimeout = std::chrono::seconds(8);
constexpr std::size_t ReadBytes = 64U << 10U;

} // namespace

struct OpenCaller::Impl : std::enable_shared_from_this<OpenCaller::Impl> {
  Impl(net::EventLoop &Loop, OpenCallerOptions Options)
      : Loop_(Loop), Options_(std::move(Options)), Random_(Options_.Seed_),
        Socket_(Loop.context()) {}

  void connect() {
    Peer_ = Options_.NextPeer_();
    Socket_ = tcp::socket(Loop_.context());
    Buffer_.clear();
    Socket_.async_connect(
        {asio::ip::make_address(Peer_.Address_), Peer_.Port_},
        [Self = shared_from_this()](const boost::system::error_code &Failure) {
          if (Self->Closed_)
            return;
          if (Failure) {
            Self->reconnect();
            return;
          }
          boost::system::error_code Ignored;
          Self->Socket_.set_option(tcp::no_delay(true), Ignored);
          Self->Socket_.non_blocking(true, Ignored);
          Self->ConnectedAt_ = Clock::now();
          Self->send();
        });
  }

  void reconnect() {
    boost::system::error_code Ignored;
    Socket_.close(Ignored);
    Timeout_.cancel();
    Next_ = Loop_.after(ReconnectDelay, [this] { connect(); });
  }

  /// True where the server has ended the connection or sent more than answers.
  bool isSpent() {
    char Byte = 0;
    boost::system::error_code Failure;
    Socket_.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Failure);
    return Failure != asio::error::would_block;
  }

  void send() {
    if (Buffer_.size() > 0 || (Options_.IsCareful_ && isSpent())) {
      reconnect();
      return;
    }
    Out_ = Options_.NextRequest_();
    SentAt_ = Clock::now();
    Parser_.emplace();
    Timeout_ = Loop_.after(AnswerTimeout, [this] { lose(true); });
    // A failed write shows when the answer is read.
    asio::async_write(
        Socket_, asio::buffer(Out_),
        [Self = shared_from_this()](const auto &, std::size_t) {});
    read();
  }

  void read() {
    Socket_.async_read_some(
        Buffer_.prepare(ReadBytes),
        [Self = shared_from_this()](const boost::system::error_code &Failure,
                                    std::size_t Bytes) {
          if (Self->Closed_ || !Self->Parser_)
            return;
          Self->Buffer_.commit(Bytes);
          Self->take(Failure);
        });
  }

  void take(const boost::system::error_code &Failure) {
    boost::system::error_code Fault;
    while (Buffer_.size() > 0 && !Parser_->is_done() && !Fault)
      Buffer_.consume(Parser_->put(Buffer_.data(), Fault));
    if (Parser_->is_done())
      complete();
    else if (Failure || (Fault && Fault != http::error::need_more))
      lose(false);
    else
      read();
  }

  void complete() {
    ++Answered_;
    Timeout_.cancel();
    const bool Kept = Parser_->keep_alive();
    Parser_.reset();
    if (!Kept) {
      reconnect();
      return;
    }
    const auto Most =
        static_cast<std::uint64_t>(2 * Options_.MeanPause_.count());
    Next_ = Loop_.after(Duration(static_cast<std::int64_t>(Random_() % Most)),
                        [this] { send(); });
  }

  void lose(bool IsTimeout) {
    Parser_.reset();
    Options_.OnLost_({.Peer_ = Peer_,
                      .ConnectedAt_ = ConnectedAt_,
                      .SentAt_ = SentAt_,
                      .IsTimeout_ = IsTimeout});
    reconnect();
  }

  void close() {
    Closed_ = true;
    Next_.cancel();
    Timeout_.cancel();
    boost::system::error_code Ignored;
    Socket_.close(Ignored);
  }

  net::EventLoop &Loop_;
  OpenCallerOptions Options_;
  RandomEngine Random_;
  tcp::socket Socket_;
  net::Endpoint Peer_;
  boost::beast::flat_buffer Buffer_;
  std::optional<http::response_parser<http::string_body>> Parser_;
  std::string Out_;
  TimePoint ConnectedAt_;
  TimePoint SentAt_;
  net::Timer Next_;
  net::Timer Timeout_;
  std::size_t Answered_ = 0;
  bool Closed_ = false;
};

OpenCaller::OpenCaller(net::EventLoop &Loop, OpenCallerOptions Options)
    : Impl_(std::make_shared<Impl>(Loop, std::move(Options))) {
  Impl_->connect();
}

OpenCaller::~OpenCaller() { Impl_->close(); }

std::size_t OpenCaller::answered() const { return Impl_->Answered_; }

} // namespace dragonfly::soak
