#include "dragonfly/link/ControlLink.h"
#include "dragonfly/net/EventLoop.h"

#include <catch2/catch.hpp>

#include <optional>
#include <utility>
#include <vector>

using namespace dragonfly;
using namespace dragonfly::link;
using namespace std::chrono_literals;

namespace {

/// Three replicas that record calls and answer when told to.
struct FakeReplicas {
  struct Call {
    std::size_t Replica_ = 0;
    wire::Message Request_;
    net::FrameClient::Handler OnEnd_;
  };

  FakeReplicas() { Clock::pause(TimePoint(100s)); }
  ~FakeReplicas() { Clock::resume(); }

  ControlLinkOptions options() {
    return {.Transport_ = {
                .Send_ =
                    [this](std::size_t, const wire::Heartbeat &Beat) {
                      Sequence_ = Beat.Sequence_;
                    },
                .Call_ =
                    [this](std::size_t Replica, const wire::Message &Request,
                           Duration, net::FrameClient::Handler OnEnd) {
                      Calls_.push_back({Replica, Request, std::move(OnEnd)});
                    }},
            .Replicas_ = {{"127.0.2.1", 7000},
                          {"127.0.2.2", 7000},
                          {"127.0.2.3", 7000}},
            .OnLists_ = [this](const wire::Lists &Newer) {
              Applied_.push_back(Newer.PlansVersion_);
            }};
  }

  wire::HeartbeatAck ack(std::uint64_t Plans) const {
    return {.Sequence_ = Sequence_,
            .SentAt_ = Clock::now().time_since_epoch(),
            .Plans_ = {Plans},
            .Purchases_ = {1}};
  }

  void answer(const wire::Message &Value) {
    const Call Last = std::exchange(Calls_.back(), {});
    Calls_.pop_back();
    Last.OnEnd_({.Status_ = net::CallStatus::Answered, .Answer_ = Value});
  }

  void answerLists(std::uint64_t Plans) {
    answer(wire::Lists{.PlansVersion_ = {Plans}, .PurchasesVersion_ = {1}});
  }

  net::EventLoop Loop_;
  std::uint64_t Sequence_ = 0;
  std::vector<Call> Calls_;
  std::vector<ListVersion> Applied_;
};

} // namespace

TEST_CASE("a newer list is fetched, an older one never applied",
          "[link][configuration]") {
  FakeReplicas Fake;
  ControlLink Link(Fake.Loop_, Fake.options());
  Link.acknowledged(0, Fake.ack(2));
  REQUIRE(Fake.Calls_.size() == 1);
  Fake.answerLists(2);
  REQUIRE(Link.inForce().Plans_ == ListVersion{2});
  Link.acknowledged(0, Fake.ack(3));
  REQUIRE(Fake.Calls_.size() == 1);
  Fake.answerLists(1);
  REQUIRE(Link.inForce().Plans_ == ListVersion{2});
  REQUIRE(Fake.Applied_.size() == 1);
  Link.acknowledged(1, Fake.ack(3));
  Fake.answerLists(3);
  REQUIRE(Fake.Applied_ == std::vector<ListVersion>{{2}, {3}});
}

TEST_CASE("a call follows the word of a replica to the leader",
          "[link][leader]") {
  FakeReplicas Fake;
  ControlLink Link(Fake.Loop_, Fake.options());
  std::optional<net::CallResult> End;
  Link.callLeader(wire::Claim{}, 1s,
                  [&](net::CallResult Result) { End = std::move(Result); });
  REQUIRE(Fake.Calls_.at(0).Replica_ == 0);
  Fake.answer(wire::Refusal{.Leader_ = "127.0.2.3:7000"});
  REQUIRE(Fake.Calls_.at(0).Replica_ == 2);
  Fake.answer(wire::ClaimReply{});
  REQUIRE(End);
  REQUIRE(std::holds_alternative<wire::ClaimReply>(End->Answer_));
}

TEST_CASE("a call that no leader takes ends as never sent, or as unknown once "
          "one may have taken it",
          "[link][leader]") {
  for (const bool Lost : {false, true}) {
    FakeReplicas Fake;
    ControlLink Link(Fake.Loop_, Fake.options());
    std::optional<net::CallResult> End;
    Link.callLeader(wire::Claim{}, 300ms,
                    [&](net::CallResult Result) { End = std::move(Result); });
    bool First = true;
    for (int Turn = 0; Turn < 20 && !End; ++Turn) {
      if (!Fake.Calls_.empty()) {
        const auto Call = std::exchange(Fake.Calls_.back(), {});
        Fake.Calls_.pop_back();
        if (Lost && std::exchange(First, false))
          Call.OnEnd_({.Status_ = net::CallStatus::Lost});
        else
          Call.OnEnd_({.Status_ = net::CallStatus::Answered,
                       .Answer_ = wire::Refusal{}});
      }
      Clock::advance(50ms);
      Fake.Loop_.poll();
    }
    REQUIRE(End);
    REQUIRE(End->Status_ ==
            (Lost ? net::CallStatus::TimedOut : net::CallStatus::NeverSent));
  }
}
