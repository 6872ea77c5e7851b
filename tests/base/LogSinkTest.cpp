#include "base/LogSink.h"

#include "dragonfly/base/Clock.h"

#include <catch2/catch.hpp>
#include <spdlog/spdlog.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <string>

using namespace dragonfly;

namespace {

/// A pipe that nobody reads until `readAll()`.
class Pipe {
public:
  Pipe() {
    REQUIRE(::pipe(Ends_.data()) == 0);
    ::fcntl(Ends_[0], F_SETFL, O_NONBLOCK);
  }
  ~Pipe() {
    ::close(Ends_[0]);
    ::close(Ends_[1]);
  }

  int writeEnd() const { return Ends_[1]; }

  /// A write that would wait ends early instead, so that a test can see it.
  void showWaits() const { ::fcntl(Ends_[1], F_SETFL, O_NONBLOCK); }

  std::string readPage() const {
    std::array<char, 4096> Buffer{};
    const ssize_t Count = ::read(Ends_[0], Buffer.data(), Buffer.size());
    return {Buffer.data(), static_cast<std::size_t>(Count > 0 ? Count : 0)};
  }

  std::string readAll() const {
    std::string All;
    std::array<char, 4096> Buffer{};
    for (ssize_t Count = 0;
         (Count = ::read(Ends_[0], Buffer.data(), Buffer.size())) > 0;)
      All.append(Buffer.data(), static_cast<std::size_t>(Count));
    return All;
  }

private:
  std::array<int, 2> Ends_{};
};

struct Fixture {
  explicit Fixture(std::uint32_t MaxLines)
      : Sink_(std::make_shared<LogSink>(
            LogSinkOptions{.Descriptor_ = Pipe_.writeEnd(),
                           .MaxLinesPerSecond_ = MaxLines,
                           .DropNotice_ =
                               [](std::uint64_t Count) {
                                 return "dropped " + std::to_string(Count);
                               }})),
        Logger_("test", Sink_) {
    Clock::pause(TimePoint(std::chrono::seconds(50)));
    Logger_.set_pattern("%v");
  }
  ~Fixture() { Clock::resume(); }

  Pipe Pipe_;
  std::shared_ptr<LogSink> Sink_;
  spdlog::logger Logger_;
};

} // namespace

TEST_CASE("a reader that does not read costs lines, not time", "[base][log]") {
  Fixture On(100000);
  const std::string Line(1000, 'x');
  for (int I = 0; I < 1000; ++I)
    On.Logger_.info(Line);
  CHECK(On.Sink_->dropped() > 900);
  On.Pipe_.readAll();
  On.Logger_.info("again");
  CHECK(On.Pipe_.readAll() ==
        "dropped " + std::to_string(On.Sink_->dropped()) + "\nagain\n");
}

TEST_CASE("lines of a second are bounded", "[base][log]") {
  Fixture On(10);
  for (int I = 0; I < 25; ++I)
    On.Logger_.info("line");
  CHECK(On.Sink_->dropped() == 15);
  Clock::advance(std::chrono::seconds(1));
  On.Pipe_.readAll();
  On.Logger_.info("next");
  CHECK(On.Pipe_.readAll() == "dropped 15\nnext\n");
}

// A caller's text can make a line longer than what a pipe takes at once.
TEST_CASE("a line that the pipe does not take whole is dropped",
          "[base][log]") {
  Fixture On(100000);
  On.Pipe_.showWaits();
  On.Logger_.info(std::string(100'000, 'x'));
  CHECK(On.Sink_->dropped() == 1);
  CHECK(On.Pipe_.readAll().empty());
  const std::string Line(1000, 'y');
  while (On.Sink_->dropped() < 3)
    On.Logger_.info(Line);
  // The pipe polls as writable, and has room for a page.
  std::string Read = On.Pipe_.readPage();
  On.Logger_.info(std::string(8000, 'z'));
  Read += On.Pipe_.readAll();
  CHECK(Read.find('z') == std::string::npos);
  CHECK(Read.ends_with('\n'));
}
