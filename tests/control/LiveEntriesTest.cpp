#include "dragonfly/control/UpstreamTable.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::control;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{100s};

wire::Heartbeat beatOf(const std::string &Name, bool Draining = false) {
  wire::Heartbeat Beat;
  Beat.Role_ = wire::Role::Entry;
  Beat.Name_ = Name;
  Beat.AvailabilityZone_ = "az-a";
  Beat.Draining_ = Draining;
  return Beat;
}

} // namespace

TEST_CASE("entries are told of each other, at a new version per change",
          "[control][upstreams]") {
  UpstreamTable Table({});
  Table.heartbeat(Start, beatOf("entry-2"), true);
  Table.heartbeat(Start, beatOf("entry-1"), true);
  const std::uint64_t Both = Table.version();
  REQUIRE(Table.upstreams().Entries_.size() == 2);
  Table.heartbeat(Start + 1s, beatOf("entry-1"), true);
  Table.heartbeat(Start + 1s, beatOf("entry-2"), true);
  REQUIRE(Table.version() == Both);
  Table.heartbeat(Start + 2s, beatOf("entry-2", true), true);
  REQUIRE(Table.version() > Both);
  REQUIRE(Table.upstreams().Entries_.size() == 1);
  REQUIRE(Table.upstreams().Entries_[0].Name_ == "entry-1");
  const std::uint64_t One = Table.version();
  Table.tick(Start + 10s);
  REQUIRE(Table.version() > One);
  REQUIRE(Table.upstreams().Entries_.empty());
}
