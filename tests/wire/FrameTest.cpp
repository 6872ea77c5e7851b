#include "dragonfly/wire/Frame.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::wire;
using namespace std::chrono_literals;

namespace {

Frame makeFrame() {
  return {.Kind_ = FrameKind::Request,
          .Sender_ = {42},
          .Sequence_ = 7,
          .Message_ = Execute{.Key_ = {"alnarp", "r-1"},
                              .Kind_ = "belt-check",
                              .Target_ = {9},
                              .TimeLeft_ = -5ms,
                              .NonIdempotent_ = true,
                              .Body_ = "kernels"}};
}

FrameFault faultOf(const std::string &Bytes) {
  try {
    decodeFrame(Bytes);
  } catch (const FrameError &Fault) {
    return Fault.code();
  }
  FAIL("no fault");
  return {};
}

} // namespace

TEST_CASE("a frame survives encoding", "[wire][frame]") {
  const Frame Back = decodeFrame(encodeFrame(makeFrame()));
  REQUIRE(Back.Sequence_ == 7);
  REQUIRE(Back.Sender_.Value_ == 42);
  const auto &Row = std::get<Execute>(Back.Message_);
  REQUIRE(Row.Key_.RequestId_ == "r-1");
  REQUIRE(Row.TimeLeft_ == Duration(-5ms));
  REQUIRE(Row.NonIdempotent_);
  REQUIRE(Row.Body_ == "kernels");
}

TEST_CASE("bytes that are no frame are refused with a type", "[wire][frame]") {
  const std::string Good = encodeFrame(makeFrame());
  const auto With = [&Good](std::size_t At, char Value) {
    std::string Bad = Good;
    Bad[At] = Value;
    return Bad;
  };
  REQUIRE(faultOf(With(0, 0)) == FrameFault::BadMagic);
  REQUIRE(faultOf(With(2, 99)) == FrameFault::WrongVersion);
  REQUIRE(faultOf(With(7, 127)) == FrameFault::TooLarge);
  REQUIRE(faultOf(With(3, 2)) == FrameFault::BadChecksum);
  REQUIRE(faultOf(With(16, 1)) == FrameFault::BadChecksum);
  REQUIRE(faultOf(With(Good.size() - 1, 'x')) == FrameFault::BadChecksum);
  REQUIRE(faultOf(Good.substr(0, 10)) == FrameFault::Truncated);
  REQUIRE(faultOf(Good.substr(0, Good.size() - 1)) == FrameFault::Truncated);
}

TEST_CASE("a reader cuts a stream at any point", "[wire][frame]") {
  const std::string Two = encodeFrame(makeFrame()) + encodeFrame(makeFrame());
  for (std::size_t Cut = 0; Cut <= Two.size(); ++Cut) {
    FrameReader Reader;
    std::size_t Frames = 0;
    Reader.feed(std::string_view(Two).substr(0, Cut));
    while (Reader.next())
      ++Frames;
    Reader.feed(std::string_view(Two).substr(Cut));
    while (Reader.next())
      ++Frames;
    REQUIRE(Frames == 2);
    REQUIRE(Reader.pendingBytes() == 0);
  }
}
