/// Which of several addresses of a replica counts.
#include "control/PeerAddresses.h"

#include <catch2/catch.hpp>

namespace dragonfly::control {
namespace {

constexpr ReplicaId Peer{2};

wire::Group told(const std::string &Address, const std::string &Leader) {
  return {.Rows_ = {{.Id_ = Peer, .Address_ = Address}}, .Leader_ = Leader};
}

} // namespace

// Guards against LOST: a replica with an empty disk answered to the address in
// its settings after the leader had got another VM, and never caught up.
TEST_CASE("an address counts by its source", "[control][links]") {
  PeerAddresses Addresses({{.Id_ = Peer, .Address_ = "127.0.0.1:7000"}});
  const std::vector<consensus::Member> Nobody;
  const std::vector<consensus::Member> NoAddress{{.Id_ = Peer}};
  const std::vector<consensus::Member> Members{
      {.Id_ = Peer, .Address_ = "127.0.0.3:7000"}};
  CHECK(Addresses.find(Peer, Nobody) == "127.0.0.1:7000");
  CHECK(Addresses.find({3}, Nobody).empty());
  Addresses.learn(told("127.0.0.2:7000", "127.0.0.9:7000"));
  CHECK(Addresses.find(Peer, Nobody) == "127.0.0.2:7000");
  CHECK(Addresses.find(Peer, NoAddress) == "127.0.0.2:7000");
  CHECK(Addresses.find(Peer, Members) == "127.0.0.3:7000");
}

// Guards against a step back: a replica that is cut off from the group tells
// the address that a member had before.
TEST_CASE("who knows of no leader replaces no address", "[control][links]") {
  PeerAddresses Addresses({});
  Addresses.learn(told("127.0.0.1:7000", {}));
  CHECK(Addresses.find(Peer, {}) == "127.0.0.1:7000");
  Addresses.learn(told("127.0.0.2:7000", "127.0.0.9:7000"));
  Addresses.learn(told("127.0.0.1:7000", {}));
  CHECK(Addresses.find(Peer, {}) == "127.0.0.2:7000");
}

} // namespace dragonfly::control
