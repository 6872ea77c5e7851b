#include "dragonfly/base/Random.h"
#include "dragonfly/wire/Frame.h"

#include <boost/crc.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <cstring>

using namespace dragonfly;
using namespace dragonfly::wire;

namespace {

constexpr std::uint64_t Seed = 20261204;
constexpr int Inputs = 20000;
constexpr std::size_t MaxRandomBytes = 300;

/// Where a frame's header keeps its checksum, and where the payload begins.
constexpr std::size_t ChecksumAt = 8;
constexpr std::size_t PayloadAt = 32;

/// Makes the checksum right again, so that the payload's decoder is reached.
void repairChecksum(std::string &Bytes) {
  std::memset(Bytes.data() + ChecksumAt, 0, sizeof(std::uint32_t));
  boost::crc_32_type Crc;
  Crc.process_bytes(Bytes.data(), Bytes.size());
  const std::uint32_t Sum = Crc.checksum();
  std::memcpy(Bytes.data() + ChecksumAt, &Sum, sizeof Sum);
}

std::string randomBytes(RandomEngine &Random, std::size_t Size) {
  std::string Bytes(Size, '\0');
  std::ranges::generate(Bytes, [&] { return static_cast<char>(Random()); });
  return Bytes;
}

Message someMessage(RandomEngine &Random) {
  const std::string Text = randomBytes(Random, Random() % 40);
  switch (Random() % 5) {
  case 0:
    return Execute{.Key_ = {Text, Text}, .Kind_ = Text, .Body_ = Text};
  case 1:
    return Upstreams{.Version_ = Random(), .Rows_ = {{.Name_ = Text}, {}}};
  case 2:
    return ReceiptBatch{.Holder_ = Text, .Rows_ = {{.Key_ = {Text, Text}}}};
  case 3:
    return Heartbeat{.Name_ = Text, .Sequence_ = Random()};
  default:
    return Directives{.Rows_ = {{.Kind_ = Text}, {.Body_ = Text}}};
  }
}

/// Feeds \p Bytes in pieces; every end but a frame, a wait for more bytes or a
/// typed error fails the test by its exception.
void readAll(RandomEngine &Random, const std::string &Bytes) {
  FrameReader Reader;
  std::size_t At = 0;
  try {
    while (At < Bytes.size()) {
      const std::size_t Piece =
          std::min<std::size_t>(1 + Random() % 64, Bytes.size() - At);
      Reader.feed(std::string_view(Bytes).substr(At, Piece));
      At += Piece;
      while (Reader.next()) {
      }
      REQUIRE(Reader.pendingBytes() <= Bytes.size());
    }
  } catch (const FrameError &) {
    SUCCEED();
  }
}

} // namespace

TEST_CASE("random bytes end as a typed error or a wait for more",
          "[wire][frame][fuzz]") {
  RandomEngine Random(Seed);
  for (int Input = 0; Input < Inputs; ++Input)
    readAll(Random, randomBytes(Random, Random() % MaxRandomBytes));
}

TEST_CASE("damaged frames end as a typed error or a wait for more",
          "[wire][frame][fuzz]") {
  RandomEngine Random(Seed);
  for (int Input = 0; Input < Inputs; ++Input) {
    std::string Bytes = encodeFrame(
        {.Sender_ = {1}, .Sequence_ = 2, .Message_ = someMessage(Random)});
    const std::size_t Changes = 1 + Random() % 4;
    for (std::size_t Change = 0; Change < Changes; ++Change)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    readAll(Random, Bytes.substr(0, Random() % (Bytes.size() + 1)));
  }
}

TEST_CASE("payloads that do not decode end as a typed error",
          "[wire][frame][fuzz]") {
  RandomEngine Random(Seed);
  int Refused = 0;
  for (int Input = 0; Input < Inputs; ++Input) {
    std::string Bytes = encodeFrame(
        {.Sender_ = {1}, .Sequence_ = 2, .Message_ = someMessage(Random)});
    const std::size_t Changes = 1 + Random() % 4;
    for (std::size_t Change = 0; Change < Changes; ++Change)
      Bytes[PayloadAt + Random() % (Bytes.size() - PayloadAt)] =
          static_cast<char>(Random());
    repairChecksum(Bytes);
    try {
      decodeFrame(Bytes);
    } catch (const FrameError &Fault) {
      REQUIRE(Fault.code() == FrameFault::BadPayload);
      ++Refused;
    }
  }
  CHECK(Refused > Inputs / 20);
}
