#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/FrameClient.h"
#include "dragonfly/net/FrameServer.h"
#include "dragonfly/wire/Frame.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <vector>

using namespace dragonfly;
using namespace dragonfly::net;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

const Endpoint AnyPort{.Address_ = "127.0.0.1", .Port_ = 0};
constexpr Incarnation Peer{7};
constexpr int MaxPolls = 2000000;
/// Polls after which nothing more is expected on loopback.
constexpr int QuietPolls = 2000;

/// Evaluates \p Done until it holds; it is not evaluated again after that.
template <typename Condition> bool pollUntil(EventLoop &Loop, Condition Done) {
  for (int Poll = 0; Poll < MaxPolls; ++Poll) {
    if (Done())
      return true;
    Loop.poll();
  }
  return false;
}

void pollQuiet(EventLoop &Loop) {
  for (int Poll = 0; Poll < QuietPolls; ++Poll)
    Loop.poll();
}

std::string frame(wire::FrameKind Kind, std::uint64_t Sequence,
                  wire::Message Value, Incarnation Sender = Peer) {
  return wire::encodeFrame({.Kind_ = Kind,
                            .Sender_ = Sender,
                            .Sequence_ = Sequence,
                            .Message_ = std::move(Value)});
}

std::string request(std::uint64_t Sequence, Incarnation Sender = Peer) {
  return frame(wire::FrameKind::Request, Sequence,
               wire::FetchUpstreams{Sequence}, Sender);
}

std::string answer(std::uint64_t Sequence, Incarnation Sender = Peer) {
  return frame(wire::FrameKind::Answer, Sequence,
               wire::Upstreams{.Version_ = Sequence}, Sender);
}

std::string damaged(std::string Bytes, std::size_t At, char Value) {
  Bytes[At] = Value;
  return Bytes;
}

/// A peer that writes and reads raw bytes.
class RawPeer {
public:
  explicit RawPeer(EventLoop &Loop) : Loop_(Loop), Socket_(Loop.context()) {}

  void connect(const Endpoint &At) {
    Socket_.connect({boost::asio::ip::make_address(At.Address_), At.Port_});
    Socket_.non_blocking(true);
  }

  bool accept(tcp::acceptor &From) {
    From.non_blocking(true);
    const bool Accepted = pollUntil(Loop_, [&] {
      boost::system::error_code Failure;
      From.accept(Socket_, Failure);
      return !Failure;
    });
    Socket_.non_blocking(true);
    return Accepted;
  }

  void write(std::string_view Bytes, std::size_t PieceBytes = 1U << 16U) {
    while (!Bytes.empty()) {
      boost::system::error_code Failure;
      const std::string_view Piece = Bytes.substr(0, PieceBytes);
      const std::size_t Sent = Socket_.write_some(
          boost::asio::buffer(Piece.data(), Piece.size()), Failure);
      Bytes.remove_prefix(Sent);
      Loop_.poll();
      if (Failure && Failure != boost::asio::error::would_block)
        return;
    }
  }

  /// Takes what has come and returns the frames of it.
  std::vector<wire::Frame> &frames() {
    std::array<char, 65536> Piece{};
    boost::system::error_code Failure;
    while (const std::size_t Bytes =
               Socket_.read_some(boost::asio::buffer(Piece), Failure))
      Reader_.feed({Piece.data(), Bytes});
    Ended_ = Ended_ || (Failure && Failure != boost::asio::error::would_block);
    while (auto Next = Reader_.next())
      Frames_.push_back(std::move(*Next));
    return Frames_;
  }

  bool ended() {
    frames();
    return Ended_;
  }

  void close() { Socket_.close(); }

private:
  EventLoop &Loop_;
  tcp::socket Socket_;
  wire::FrameReader Reader_;
  std::vector<wire::Frame> Frames_;
  bool Ended_ = false;
};

/// Bytes that a server meets, and what it makes of them.
struct ServerRow {
  std::string_view Name_;
  std::string Bytes_;
  std::size_t Handled_;
  bool Closed_;
  std::size_t PieceBytes_ = 1U << 16U;
  bool PeerGone_ = false;
};

/// Bytes that answer a client's calls 1 and 2, and how the calls end.
struct ClientRow {
  std::string_view Name_;
  std::string Bytes_;
  CallStatus First_;
  CallStatus Second_;
  std::uint64_t Late_ = 0;
  bool Closes_ = false;
  std::size_t PieceBytes_ = 1U << 16U;
};

} // namespace

TEST_CASE("what a server makes of each fault on a connection",
          "[net][frames][contract]") {
  const std::string One = request(1);
  const std::vector<ServerRow> Rows{
      {"whole", One, 1, false},
      {"truncated, peer gone", One.substr(0, One.size() - 1), 0, true,
       1U << 16U, true},
      {"peer gone inside the header", One.substr(0, 5), 0, true, 1U << 16U,
       true},
      {"half sent, half open", One.substr(0, 20), 0, false},
      {"oversized", damaged(One, 7, 127), 0, true},
      {"damaged payload", damaged(One, One.size() - 1, 'x'), 0, true},
      {"no frame", damaged(One, 0, 0), 0, true},
      {"wrong version", damaged(One, 2, 99), 0, true},
      {"wrong version after a good one", One + damaged(request(2), 2, 99), 1,
       true},
      {"duplicated", One + One, 2, false},
      {"reordered", request(3) + request(1) + request(2), 3, false},
      {"another incarnation on one connection", One + request(2, {8}), 1, true},
      {"byte by byte", One + request(2), 2, false, 1},
  };
  for (const ServerRow &Row : Rows) {
    INFO(Row.Name_);
    EventLoop Loop;
    std::size_t Handled = 0;
    const FrameServer Server(
        Loop,
        {.Listen_ = AnyPort,
         .Self_ = {2},
         .OnMessage_ = [&](const wire::Message &Value,
                           const FrameReplier &Replier) {
           ++Handled;
           const auto &Asked = std::get<wire::FetchUpstreams>(Value);
           Replier.answer(wire::Upstreams{.Version_ = Asked.KnownVersion_});
         }});
    RawPeer Caller(Loop);
    Caller.connect(Server.endpoint());
    Caller.write(Row.Bytes_, Row.PieceBytes_);
    if (Row.PeerGone_) {
      Caller.close();
      pollQuiet(Loop);
      CHECK(Handled == Row.Handled_);
      continue;
    }
    REQUIRE(pollUntil(Loop, [&] {
      return Caller.frames().size() >= Row.Handled_ || Caller.ended();
    }));
    pollQuiet(Loop);
    CHECK(Handled == Row.Handled_);
    CHECK(Caller.ended() == Row.Closed_);
    for (const wire::Frame &Reply : Caller.frames())
      CHECK(std::get<wire::Upstreams>(Reply.Message_).Version_ ==
            Reply.Sequence_);
  }
}

TEST_CASE("how a client's calls end for each fault of the answers",
          "[net][frames][contract]") {
  using enum CallStatus;
  const std::string Both = answer(1) + answer(2);
  const std::vector<ClientRow> Rows{
      {"whole", Both, Answered, Answered},
      {"reordered", answer(2) + answer(1), Answered, Answered},
      {"duplicated", answer(1) + answer(1) + answer(2), Answered, Answered, 1},
      {"to a call never made", answer(99) + Both, Answered, Answered, 1},
      {"byte by byte", Both, Answered, Answered, 0, false, 1},
      {"second missing", answer(1), Answered, TimedOut},
      {"silent", "", TimedOut, TimedOut},
      {"half an answer, half open", Both.substr(0, Both.size() - 3), Answered,
       TimedOut},
      {"peer gone inside an answer", Both.substr(0, Both.size() - 3), Answered,
       Lost, 0, true},
      {"peer gone", "", Lost, Lost, 0, true},
      {"damaged", answer(1) + damaged(answer(2), 33, 'x'), Answered, Lost},
      {"oversized", answer(1) + damaged(answer(2), 7, 127), Answered, Lost},
      {"wrong version", answer(1) + damaged(answer(2), 2, 99), Answered, Lost},
      {"another incarnation", answer(1) + answer(2, {8}), Answered, Lost},
      {"a request in place of an answer", answer(1) + request(2), Answered,
       TimedOut},
  };
  for (const ClientRow &Row : Rows) {
    INFO(Row.Name_);
    Clock::pause(TimePoint(1h));
    {
      EventLoop Loop;
      tcp::acceptor Acceptor(Loop.context(),
                             {boost::asio::ip::address_v4::loopback(), 0});
      FrameClient Client(
          Loop, {.Peer_ = {"127.0.0.1", Acceptor.local_endpoint().port()},
                 .Self_ = {1}});
      std::vector<std::optional<CallResult>> Ends(2);
      int Ended = 0;
      for (std::uint64_t Call = 1; Call <= 2; ++Call)
        Client.call(wire::FetchUpstreams{Call}, 1s, [&, Call](CallResult End) {
          Ends[Call - 1] = std::move(End);
          ++Ended;
        });
      RawPeer Server(Loop);
      REQUIRE(Server.accept(Acceptor));
      REQUIRE(pollUntil(Loop, [&] { return Server.frames().size() == 2; }));
      Server.write(Row.Bytes_, Row.PieceBytes_);
      if (Row.Closes_)
        Server.close();
      pollQuiet(Loop);
      Clock::advance(2s);
      REQUIRE(pollUntil(Loop, [&] { return Ended >= 2; }));
      pollQuiet(Loop);
      CHECK(Ended == 2);
      CHECK(Ends[0]->Status_ == Row.First_);
      CHECK(Ends[1]->Status_ == Row.Second_);
      CHECK(Client.lateAnswers() == Row.Late_);
      for (std::uint64_t Call = 1; Call <= 2; ++Call)
        if (Ends[Call - 1]->Status_ == Answered)
          CHECK(std::get<wire::Upstreams>(Ends[Call - 1]->Answer_).Version_ ==
                Call);
    }
    Clock::resume();
  }
}

TEST_CASE("a call that ended as never sent does not reach a slow peer later",
          "[net][frames][contract]") {
  Clock::pause(TimePoint(1h));
  {
    EventLoop Loop;
    tcp::acceptor Acceptor(Loop.context(),
                           {boost::asio::ip::address_v4::loopback(), 0});
    FrameClient Client(
        Loop, {.Peer_ = {"127.0.0.1", Acceptor.local_endpoint().port()},
               .Self_ = {1}});
    RawPeer Server(Loop);
    REQUIRE(Server.accept(Acceptor));
    REQUIRE(pollUntil(Loop, [&] { return Client.connected(); }));
    const std::string Large(6U << 20U, 'x');
    for (int Call = 0; Call < 3; ++Call)
      Client.call(wire::Execute{.Body_ = Large}, 1h, [](const CallResult &) {});
    pollQuiet(Loop);
    std::optional<CallStatus> Ended;
    Client.call(wire::Execute{.Key_ = {"acme", "late"}}, 1s,
                [&](const CallResult &End) { Ended = End.Status_; });
    pollQuiet(Loop);
    Clock::advance(2s);
    REQUIRE(pollUntil(Loop, [&] { return Ended.has_value(); }));
    bool Arrived = false;
    pollUntil(Loop, [&] {
      for (const wire::Frame &Frame : Server.frames()) {
        const auto *Sent = std::get_if<wire::Execute>(&Frame.Message_);
        Arrived =
            Arrived || (Sent != nullptr && Sent->Key_.RequestId_ == "late");
      }
      return Arrived || Server.ended() || Server.frames().size() >= 4;
    });
    INFO("ended as " << static_cast<int>(*Ended));
    CHECK_FALSE((Arrived && *Ended == CallStatus::NeverSent));
  }
  Clock::resume();
}
