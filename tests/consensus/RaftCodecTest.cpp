#include "consensus/RaftMessages.h"

#include "dragonfly/base/Random.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::consensus;

namespace {

Envelope makeAppend() {
  AppendRequest Value{{3}, {7}, {2}, {6}, {9, 11}, {}};
  Value.Records_.push_back({{8}, {3}, RecordKind::Command, "payload"});
  Value.Records_.push_back({{9}, {3}, RecordKind::Empty, ""});
  return {{1}, {2}, Value};
}

} // namespace

TEST_CASE("a message comes back as it was", "[consensus][codec]") {
  const Envelope Back = decodeEnvelope(encodeEnvelope(makeAppend()));
  const auto &Value = std::get<AppendRequest>(Back.Message_);
  REQUIRE(Back.To_ == StoreId{2});
  REQUIRE(Value.Commit_ == LogIndex{6});
  REQUIRE(Value.Stamp_.SentAt_ == 11);
  REQUIRE(Value.Records_.size() == 2);
  REQUIRE(Value.Records_[0].Payload_ == "payload");
}

TEST_CASE("a truncated message or one of another version is refused",
          "[consensus][codec]") {
  const std::string Bytes = encodeEnvelope(makeAppend());
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    REQUIRE_THROWS_AS(decodeEnvelope(Bytes.substr(0, Size)), CodecError);
  REQUIRE_THROWS_AS(decodeEnvelope(Bytes + "x"), CodecError);
  std::string Other = Bytes;
  Other[0] = 2;
  REQUIRE_THROWS_AS(decodeEnvelope(Other), CodecError);
}

TEST_CASE("damaged bytes never do more than fail", "[consensus][codec]") {
  constexpr int Inputs = 20000;
  RandomEngine Random(1);
  const std::string Bytes = encodeEnvelope(makeAppend());
  int Refused = 0;
  for (int I = 0; I < Inputs; ++I) {
    std::string Damaged = Bytes;
    for (std::uint64_t Changes = Random() % 4 + 1; Changes > 0; --Changes)
      Damaged[Random() % Damaged.size()] = static_cast<char>(Random());
    try {
      decodeEnvelope(Damaged);
    } catch (const CodecError &) {
      ++Refused;
    }
  }
  REQUIRE(Refused > 0);
  REQUIRE(Refused < Inputs);
}
