#include "dragonfly/net/FrameClient.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/FrameServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <optional>
#include <utility>
#include <vector>

using namespace dragonfly;
using namespace dragonfly::net;
using namespace std::chrono_literals;

namespace {

const Endpoint AnyPort{.Address_ = "127.0.0.1", .Port_ = 0};

template <typename Condition> void runUntil(EventLoop &Loop, Condition Done) {
  constexpr std::size_t MaxPolls = 2'000'000;
  for (std::size_t Polls = 0; !Done() && Polls < MaxPolls; ++Polls)
    Loop.poll();
  REQUIRE(Done());
}

/// Accepts connections and closes each of them at once.
class ClosingPeer {
public:
  explicit ClosingPeer(EventLoop &Loop)
      : Acceptor_(Loop.context(),
                  {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }

  Endpoint endpoint() const {
    return {.Address_ = "127.0.0.1",
            .Port_ = Acceptor_.local_endpoint().port()};
  }
  std::size_t accepted() const { return Accepted_; }

private:
  void accept() {
    Acceptor_.async_accept(
        [this](const auto &Fault, const boost::asio::ip::tcp::socket &) {
          if (Fault)
            return;
          ++Accepted_;
          accept();
        });
  }

  boost::asio::ip::tcp::acceptor Acceptor_;
  std::size_t Accepted_ = 0;
};

/// A peer that answers no attempt to connect until it is let: its queue of
/// connections that wait is full.
class DarkPeer {
public:
  explicit DarkPeer(EventLoop &Loop) : Acceptor_(Loop.context()) {
    using boost::asio::ip::tcp;
    const tcp::endpoint Any(boost::asio::ip::make_address("127.0.0.1"), 0);
    Acceptor_.open(Any.protocol());
    Acceptor_.bind(Any);
    Acceptor_.listen(0);
    tcp::socket Only(Loop.context());
    Only.connect(Acceptor_.local_endpoint());
    Waiting_.push_back(std::move(Only));
  }

  Endpoint endpoint() const {
    return {.Address_ = "127.0.0.1",
            .Port_ = Acceptor_.local_endpoint().port()};
  }
  void lightUp() { Waiting_.push_back(Acceptor_.accept()); }

private:
  boost::asio::ip::tcp::acceptor Acceptor_;
  std::vector<boost::asio::ip::tcp::socket> Waiting_;
};

void pollAll(EventLoop &Loop) {
  constexpr int Polls = 20;
  for (int Count = 0; Count < Polls; ++Count)
    Loop.poll();
}

} // namespace

TEST_CASE("answers reach their own callers in any order", "[net][frames]") {
  EventLoop Loop;
  std::vector<std::pair<std::uint64_t, FrameReplier>> Held;
  FrameServer Server(
      Loop, {.Listen_ = AnyPort,
             .Self_ = {2},
             .OnMessage_ = [&](wire::Message Value, FrameReplier Reply) {
               Held.emplace_back(
                   std::get<wire::FetchUpstreams>(Value).KnownVersion_, Reply);
             }});
  FrameClient Client(Loop, {.Peer_ = Server.endpoint(), .Self_ = {1}});
  std::vector<std::uint64_t> Answers(3);
  std::size_t Ended = 0;
  for (std::uint64_t Call = 0; Call < 3; ++Call)
    Client.call(wire::FetchUpstreams{.KnownVersion_ = Call}, 5s,
                [&, Call](CallResult Result) {
                  REQUIRE(Result.Status_ == CallStatus::Answered);
                  Answers[Call] =
                      std::get<wire::Upstreams>(Result.Answer_).Version_;
                  ++Ended;
                });
  runUntil(Loop, [&] { return Held.size() == 3; });
  for (auto It = Held.rbegin(); It != Held.rend(); ++It)
    It->second.answer(wire::Upstreams{.Version_ = It->first + 100});
  runUntil(Loop, [&] { return Ended == 3; });
  REQUIRE(Answers == std::vector<std::uint64_t>{100, 101, 102});
}

TEST_CASE("a call ends as lost or never sent, truthfully", "[net][frames]") {
  EventLoop Loop;
  std::size_t Received = 0;
  std::optional<FrameServer> Server;
  Server.emplace(
      Loop, FrameServerOptions{.Listen_ = AnyPort,
                               .Self_ = {2},
                               .OnMessage_ = [&](auto, auto) { ++Received; }});
  FrameClient Client(Loop, {.Peer_ = Server->endpoint(), .Self_ = {1}});
  std::optional<CallStatus> First;
  Client.call(wire::FetchLists{}, 5s,
              [&](CallResult Result) { First = Result.Status_; });
  runUntil(Loop, [&] { return Received == 1; });
  Server.reset();
  runUntil(Loop, [&] { return First.has_value(); });
  REQUIRE(First == CallStatus::Lost);
  std::optional<CallStatus> Second;
  Client.call(wire::FetchLists{}, 5s,
              [&](CallResult Result) { Second = Result.Status_; });
  REQUIRE(!Second);
  runUntil(Loop, [&] { return Second.has_value(); });
  REQUIRE(Second == CallStatus::NeverSent);
}

TEST_CASE("a silent peer ends calls by timeout on the paused clock",
          "[net][frames]") {
  Clock::pause(TimePoint(1s));
  {
    EventLoop Loop;
    std::vector<FrameReplier> Held;
    FrameServer Server(Loop,
                       {.Listen_ = AnyPort,
                        .Self_ = {2},
                        .OnMessage_ = [&](wire::Message, FrameReplier Reply) {
                          Held.push_back(Reply);
                        }});
    FrameClient Client(Loop, {.Peer_ = Server.endpoint(), .Self_ = {1}});
    std::optional<CallStatus> Status;
    Client.call(wire::FetchLists{}, 200ms,
                [&](CallResult Result) { Status = Result.Status_; });
    runUntil(Loop, [&] { return Held.size() == 1; });
    Clock::advance(199ms);
    Loop.poll();
    REQUIRE(!Status);
    Clock::advance(1ms);
    runUntil(Loop, [&] { return Status.has_value(); });
    REQUIRE(Status == CallStatus::TimedOut);
    REQUIRE(!Client.connected());
  }
  Clock::resume();
}

// Pattern: after a change of leader all agents and entries connect to the new
// one at once, while its turns are long (large/scale-2).
TEST_CASE("a busy server accepts all peers that wait in one turn",
          "[net][frames]") {
  EventLoop Loop;
  std::size_t Received = 0;
  FrameServer Server(Loop, {.Listen_ = AnyPort,
                            .Self_ = {2},
                            .OnMessage_ = [&](auto, auto) { ++Received; }});
  constexpr std::size_t Peers = 100;
  boost::asio::io_context Elsewhere;
  std::vector<boost::asio::ip::tcp::socket> Sockets;
  for (std::size_t I = 0; I < Peers; ++I) {
    Sockets.emplace_back(Elsewhere);
    Sockets.back().connect(
        {boost::asio::ip::make_address("127.0.0.1"), Server.endpoint().Port_});
  }
  // Ten other handlers run in each turn of the loop.
  constexpr std::size_t Others = 10;
  constexpr std::size_t Turns = 5;
  std::function<void()> Work = [&] { boost::asio::post(Loop.context(), Work); };
  for (std::size_t I = 0; I < Others; ++I)
    Work();
  for (std::size_t I = 0; I < Others * Turns; ++I)
    Loop.context().run_one();
  CHECK(Server.connections() == Peers);
}

// Pattern: an overloaded leader accepts connections and answers in none of them
// within the time that callers give it.
TEST_CASE("a peer that accepts and never answers is tried less and less often",
          "[net][frames]") {
  Clock::pause(TimePoint(1s));
  {
    EventLoop Loop;
    std::size_t Received = 0;
    FrameServer Server(Loop, {.Listen_ = AnyPort,
                              .Self_ = {2},
                              .OnMessage_ = [&](auto, auto) { ++Received; }});
    FrameClient Client(Loop, {.Peer_ = Server.endpoint(), .Self_ = {1}});
    std::size_t Connections = 0;
    bool WasConnected = false;
    for (int Step = 0; Step < 2000; ++Step) {
      if (Client.connected() && Client.pendingCalls() == 0)
        Client.call(wire::FetchLists{}, 50ms, [](const CallResult &) {});
      for (int Polls = 0; Polls < 20; ++Polls)
        Loop.poll();
      Connections += !WasConnected && Client.connected() ? 1 : 0;
      WasConnected = Client.connected();
      Clock::advance(5ms);
    }
    // Ten seconds: some tries at first, then about one a second.
    CHECK(Connections >= 10);
    CHECK(Connections <= 20);
  }
  Clock::resume();
}

// Guards against LOST: a link to a replica that had been down for some seconds
// was next tried up to 1 s after the replica was back.
TEST_CASE("a peer that is known to be up is connected to at once",
          "[net][frames]") {
  Clock::pause(TimePoint(1s));
  {
    EventLoop Loop;
    std::optional<FrameServer> Server;
    const auto Start = [&](const Endpoint &At) {
      Server.emplace(Loop, FrameServerOptions{.Listen_ = At,
                                              .Self_ = {2},
                                              .OnMessage_ = [](auto, auto) {}});
    };
    Start(AnyPort);
    const Endpoint At = Server->endpoint();
    Server.reset();
    FrameClient Client(Loop, {.Peer_ = At, .Self_ = {1}});
    for (int Step = 0; Step < 2500; ++Step) {
      pollAll(Loop);
      Clock::advance(2ms);
    }
    Start(At);
    pollAll(Loop);
    REQUIRE(!Client.connected());
    Client.reconnectNow();
    pollAll(Loop);
    CHECK(Client.connected());
    // And an open connection stays.
    Clock::advance(1s);
    Client.reconnectNow();
    pollAll(Loop);
    CHECK(Client.connected());
    CHECK(Server->connections() == 1);
  }
  Clock::resume();
}

// Guards against LOST: an attempt that began while the peer's VM was dark runs
// for 500 ms, as nothing refuses it.
TEST_CASE("a peer that is known to be up ends an attempt that began before",
          "[net][frames]") {
  Clock::pause(TimePoint(1s));
  {
    EventLoop Loop;
    DarkPeer Peer(Loop);
    FrameClient Client(Loop, {.Peer_ = Peer.endpoint(), .Self_ = {1}});
    pollAll(Loop);
    Clock::advance(100ms);
    pollAll(Loop);
    REQUIRE(!Client.connected());
    Peer.lightUp();
    Client.reconnectNow();
    pollAll(Loop);
    CHECK(Client.connected());
  }
  Clock::resume();
}

// Guards against a storm of connections: replicas hear each other hundreds of
// times a second, also while a link cannot be opened.
TEST_CASE("repeated signs of a peer cause one attempt each backoff",
          "[net][frames]") {
  Clock::pause(TimePoint(1s));
  {
    EventLoop Loop;
    ClosingPeer Peer(Loop);
    FrameClient Client(
        Loop, {.Peer_ = Peer.endpoint(), .Self_ = {1}, .MinBackoff_ = 20ms});
    for (int Step = 0; Step < 1000; ++Step) {
      Client.reconnectNow();
      pollAll(Loop);
      Clock::advance(1ms);
    }
    // One second holds 50 times the smallest backoff.
    CHECK(Peer.accepted() >= 45);
    CHECK(Peer.accepted() <= 51);
  }
  Clock::resume();
}
