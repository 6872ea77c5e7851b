/// What changes of a large configuration leave on the disks of control.
#include "dragonfly/base/Log.h"
#include "dragonfly/control/Control.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/FrameClient.h"
#include "net/PausedLoop.h"
#include "platform/Settings.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonfly::platform {
namespace {

namespace fs = std::filesystem;
using namespace std::chrono_literals;

constexpr std::uintmax_t DiskBytes = 16U << 20U;
constexpr std::size_t DocumentBytes = 500'000;
constexpr std::uint64_t Changes = 40;

/// A control process of the platform in this process, on a real folder.
class Replica {
public:
  Replica(net::EventLoop &Loop, int Number, bool First)
      : Site_(parseSettings(settings(Number, First))) {
    const std::vector<wire::GroupRow> Founders{
        {.Id_ = toGroupRow(Site_).Id_, .Address_ = Site_.controlAddress()}};
    Control_ = std::make_unique<control::Control>(
        Loop,
        toControlSettings(Site_,
                          First ? Founders : std::vector<wire::GroupRow>{}),
        std::make_shared<Metrics>());
  }
  Replica(const Replica &) = delete;
  Replica &operator=(const Replica &) = delete;
  ~Replica() {
    Control_.reset();
    fs::remove_all(Folder_);
  }

  std::string address() const { return Site_.controlAddress(); }

  std::uintmax_t diskBytes() const {
    std::uintmax_t Sum = 0;
    for (const auto &Entry : fs::directory_iterator(Folder_))
      Sum += Entry.file_size();
    return Sum;
  }

private:
  std::string settings(int Number, bool First) {
    std::string Pattern = fs::temp_directory_path() / "dragonfly-XXXXXX";
    Folder_ = ::mkdtemp(Pattern.data());
    const std::string Ip = "127.201.6." + std::to_string(Number);
    return "Node=c-" + std::to_string(Number) + "\nIp=" + Ip +
           "\nZone=z\nInternalPorts=7720,7735\nSeeds=127.201.6.1:8166\n"
           "Bind.Control=" +
           Ip + ":8166\nBootstrap=" + (First ? "true" : "false") +
           "\nFaultTolerance.Machines=1\nLimits.DiskMb=" +
           std::to_string(DiskBytes >> 20U) + "\nDataDir=" + Folder_ + "\n";
  }

  std::string Folder_;
  SiteSettings Site_;
  std::unique_ptr<control::Control> Control_;
};

void run(net::EventLoop &Loop, Duration For) {
  constexpr Duration Step = 2ms;
  for (Duration Past{}; Past < For; Past += Step) {
    net::pollSome(Loop);
    Clock::advance(Step);
  }
}

/// Returns whether the configuration was acknowledged.
bool put(net::EventLoop &Loop, net::FrameClient &ToLeader,
         std::uint64_t Version) {
  bool Stored = false;
  jobs::Configuration Value{.Version_ = Version,
                            .Document_ = std::string(DocumentBytes, 'x')};
  for (int Tries = 0; Tries < 10 && !Stored; ++Tries) {
    bool Ended = false;
    ToLeader.call(
        wire::PutConfiguration{Value}, 2s, [&](const net::CallResult &Result) {
          Ended = true;
          Stored =
              std::holds_alternative<wire::PutConfigurationAck>(Result.Answer_);
        });
    while (!Ended)
      run(Loop, 2ms);
    if (!Stored)
      run(Loop, 500ms);
  }
  return Stored;
}

/// A leader that has stored many changes, and the largest size that its folder
/// had.
struct History {
  History() {
    configureLog({.Sink_ = [](std::string_view) {}});
    Leader_.emplace(Loop_, 1, true);
    net::FrameClient ToLeader(
        Loop_,
        {.Peer_ = net::Endpoint::make(Leader_->address()), .Self_ = {1}});
    for (std::uint64_t Version = 1; Version <= Changes; ++Version) {
      REQUIRE(put(Loop_, ToLeader, Version));
      Largest_ = std::max(Largest_, Leader_->diskBytes());
    }
  }

  net::PausedClock Clock_;
  net::EventLoop Loop_;
  std::optional<Replica> Leader_;
  std::uintmax_t Largest_ = 0;
};

} // namespace

// Guards against a log that is compacted by its number of records alone: some
// hundred changes of a large configuration filled the disks of the whole group,
// and nobody led again.
TEST_CASE("changes of a large configuration do not fill the disk",
          "[platform][log]") {
  const History Past;
  CHECK(Past.Largest_ < DiskBytes);
}

// Guards against a replacement that has to copy every change since the first
// start before it can vote, while further disks are lost.
TEST_CASE("a replica with a new disk copies no more than the log may hold",
          "[platform][log]") {
  History Past;
  const Replica New(Past.Loop_, 2, false);
  run(Past.Loop_, 10s);
  constexpr std::uintmax_t LogShare = DiskBytes / 8;
  CHECK(New.diskBytes() > DocumentBytes);
  CHECK(New.diskBytes() < LogShare + 4 * DocumentBytes);
}

} // namespace dragonfly::platform
