#include "dragonfly/link/ReceiptKeeper.h"
#include "dragonfly/net/EventLoop.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace dragonfly;
using namespace dragonfly::link;
using namespace std::chrono_literals;

namespace {

/// A leader that records batches and answers when told to.
struct FakeLeader {
  std::vector<wire::ReceiptBatch> Batches_;
  net::FrameClient::Handler Pending_;

  void call(wire::Message Request, net::FrameClient::Handler OnEnd) {
    Batches_.push_back(std::get<wire::ReceiptBatch>(Request));
    Pending_ = std::move(OnEnd);
  }
  void acknowledge() {
    std::exchange(Pending_, nullptr)(
        {.Status_ = net::CallStatus::Answered, .Answer_ = wire::ReceiptAck{}});
  }
  void lose() {
    std::exchange(Pending_, nullptr)({.Status_ = net::CallStatus::Lost});
  }
};

wire::Receipt makeReceipt(const std::string &RequestId) {
  return {.Key_ = {"alnarp", RequestId}, .Kind_ = "belt-check"};
}

struct PausedClock {
  PausedClock() { Clock::pause(TimePoint(1s)); }
  ~PausedClock() { Clock::resume(); }
};

} // namespace

TEST_CASE("a lost batch is sent again unchanged but for its age",
          "[link][receipts]") {
  const PausedClock Paused;
  net::EventLoop Loop;
  FakeLeader Leader;
  ReceiptKeeper Keeper(Loop,
                       {.Holder_ = "entry-1",
                        .Incarnation_ = {7},
                        .MaxRows_ = 4,
                        .BatchRows_ = 2,
                        .Period_ = 100ms,
                        .CallLeader_ = [&](wire::Message Request, Duration,
                                           net::FrameClient::Handler OnEnd) {
                          Leader.call(std::move(Request), std::move(OnEnd));
                        }});
  Keeper.add(makeReceipt("a"));
  Clock::advance(100ms);
  Loop.poll();
  REQUIRE(Leader.Batches_.size() == 1);
  Keeper.add(makeReceipt("b"));
  Leader.lose();
  REQUIRE(Keeper.pending() == 2);
  Clock::advance(100ms);
  Loop.poll();
  REQUIRE(Leader.Batches_.size() == 2);
  REQUIRE(Leader.Batches_[1].Rows_.size() == 1);
  REQUIRE(Leader.Batches_[1].Rows_[0].Key_.RequestId_ == "a");
  // The receipt is as old as it is when it leaves, not when it was first sent.
  REQUIRE(Leader.Batches_[0].Rows_[0].Age_ == 100ms);
  REQUIRE(Leader.Batches_[1].Rows_[0].Age_ == 200ms);
  Leader.acknowledge();
  REQUIRE(Keeper.pending() == 1);
}

TEST_CASE("flush ends once all receipts are acknowledged", "[link][receipts]") {
  const PausedClock Paused;
  net::EventLoop Loop;
  FakeLeader Leader;
  ReceiptKeeper Keeper(Loop,
                       {.MaxRows_ = 3,
                        .BatchRows_ = 2,
                        .CallLeader_ = [&](wire::Message Request, Duration,
                                           net::FrameClient::Handler OnEnd) {
                          Leader.call(std::move(Request), std::move(OnEnd));
                        }});
  for (const char *RequestId : {"a", "b", "c"})
    Keeper.add(makeReceipt(RequestId));
  REQUIRE(Keeper.full());
  bool Empty = false;
  Keeper.flush([&] { Empty = true; });
  Leader.acknowledge();
  REQUIRE(!Empty);
  Leader.acknowledge();
  REQUIRE(Empty);
  REQUIRE(Keeper.pending() == 0);
}
