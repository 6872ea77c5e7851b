/// How a client finds the leader of control again: on real connections, with
/// the clock paused.
#include "dragonfly/link/LeaderClient.h"

#include "dragonfly/base/Log.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/FrameServer.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace dragonfly::link {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Answers what it is told to about the group, and leads where it says so.
class FakeMember {
public:
  explicit FakeMember(net::EventLoop &Loop) : Loop_(Loop) { start(0); }

  void start(std::uint16_t Port) {
    Server_ = std::make_unique<net::FrameServer>(
        Loop_, net::FrameServerOptions{
                   .Listen_ = {.Address_ = "127.0.0.1", .Port_ = Port},
                   .Self_ = {2},
                   .OnMessage_ = [this](const wire::Message &Request,
                                        const net::FrameReplier &To) {
                     if (std::holds_alternative<wire::FetchGroup>(Request))
                       To.answer(Known_);
                     else if (Known_.Leader_ == Address_)
                       To.answer(wire::CurrentConfiguration{.Version_ = 7});
                     else
                       To.answer(wire::Refusal{.Reason_ = Reason::NoQuorum,
                                               .Leader_ = Known_.Leader_});
                   }});
    Port_ = Server_->endpoint().Port_;
    Address_ = Server_->endpoint().text();
  }
  void stop() { Server_.reset(); }
  void restart() { start(Port_); }

  void tell(const std::vector<std::string> &Members,
            const std::string &Leader) {
    Known_ = {.Leader_ = Leader};
    for (std::size_t I = 0; I < Members.size(); ++I)
      Known_.Rows_.push_back({.Id_ = {I + 1}, .Address_ = Members[I]});
  }
  const std::string &address() const { return Address_; }

private:
  net::EventLoop &Loop_;
  std::unique_ptr<net::FrameServer> Server_;
  wire::Group Known_;
  std::uint16_t Port_ = 0;
  std::string Address_;
};

/// Pauses the clock for as long as it lives.
struct PausedLoop {
  PausedLoop() {
    configureLog({.Sink_ = [](std::string_view) {}});
    Clock::pause(TimePoint(seconds(100)));
  }
  ~PausedLoop() { Clock::resume(); }

  void run(Duration By) {
    constexpr int Polls = 12;
    for (const TimePoint End = Clock::now() + By; Clock::now() < End;) {
      for (int I = 0; I < Polls; ++I)
        Loop_.poll();
      Clock::advance(milliseconds(5));
    }
  }

  bool isAnswered(LeaderClient &Client) {
    bool Answered = false;
    Client.call(wire::FetchConfiguration{}, seconds(3),
                [&Answered](const LeaderResult &Result) {
                  Answered = Result.Status_ == net::CallStatus::Answered;
                });
    run(seconds(4));
    return Answered;
  }

  net::EventLoop Loop_;
};

} // namespace

// Guards against LOST: a replica that the group had removed, asked while nobody
// led, took the place of all members that the client knew.
TEST_CASE("a replica without a leader does not replace the known members",
          "[link][leader]") {
  PausedLoop On;
  FakeMember Seed(On.Loop_);
  FakeMember Leader(On.Loop_);
  Seed.tell({Seed.address(), Leader.address()}, Leader.address());
  Leader.tell({Leader.address()}, Leader.address());
  LeaderClient Client(On.Loop_, {.Self_ = {1}, .Seeds_ = {Seed.address()}});
  On.run(seconds(3));
  REQUIRE(On.isAnswered(Client));
  // The seed has been removed, and knows the group of before.
  Seed.tell({Seed.address()}, "");
  Leader.stop();
  On.run(seconds(8));
  Leader.restart();
  CHECK(On.isAnswered(Client));
}

// A member that the group has removed is forgotten again, so that nobody waits
// for it.
TEST_CASE("the leader's word about the members replaces the known ones",
          "[link][leader]") {
  PausedLoop On;
  FakeMember Leader(On.Loop_);
  Leader.tell({Leader.address(), "127.0.0.1:1"}, Leader.address());
  std::size_t Known = 0;
  LeaderClient Client(On.Loop_,
                      {.Self_ = {1},
                       .Seeds_ = {Leader.address()},
                       .OnGroup_ = [&Known](const wire::Group &Group) {
                         Known = Group.Rows_.size();
                       }});
  On.run(seconds(2));
  CHECK(Known == 2);
  Leader.tell({Leader.address()}, Leader.address());
  On.run(seconds(2));
  CHECK(Known == 1);
  CHECK(On.isAnswered(Client));
}

} // namespace dragonfly::link
