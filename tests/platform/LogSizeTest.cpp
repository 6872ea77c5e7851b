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
/// For a disk whose size is not known.
constexpr std::uintmax_t UnknownSize = 0;

/// A control process of the platform in this process, on a real folder.
class Replica {
public:
  Replica(net::EventLoop &Loop, int Number, bool First,
          std::uintmax_t Disk = DiskBytes)
      : Site_(parseSettings(settings(Number, First, Disk))) {
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
  std::string settings(int Number, bool First, std::uintmax_t Disk) {
    std::string Pattern = fs::temp_directory_path() / "dragonfly-XXXXXX";
    Folder_ = ::mkdtemp(Pattern.data());
    const std::string Ip = "127.201.6." + std::to_string(Number);
    return "Node=c-" + std::to_string(Number) + "\nIp=" + Ip +
           "\nZone=z\nInternalPorts=7720,7735\nSeeds=127.201.6.1:8166\n"
           "Bind.Control=" +
           Ip + ":8166\nBootstrap=" + (First ? "true" : "false") +
           "\nFaultTolerance.Machines=1\nLimits.DiskMb=" +
           std::to_string(Disk >> 20U) + "\nDataDir=" + Folder_ + "\n";
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
                            .Queues_ = {{.Name_ = "q",
                                         .Host_ = "h",
                                         .PathPrefix_ = "/p/",
                                         .Service_ = "s"}},
                            .Services_ = {{.Name_ = "s"}},
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

/// Submits jobs with numbers from \p First on, or cancels them, and returns how
/// many were accepted or cancelled.
std::size_t forJobs(net::EventLoop &Loop, net::FrameClient &ToLeader,
                    std::size_t First, std::size_t Count, bool Cancel) {
  constexpr std::size_t PayloadBytes = 4'000;
  std::size_t Ended = 0;
  std::size_t Done = 0;
  for (std::size_t I = First; I < First + Count; ++I) {
    const std::string Id = std::to_string(1'000'000'000'000'000 + I);
    const std::string Path = "/p/" + Id;
    const auto OnEnd = [&](const net::CallResult &Result) {
      ++Ended;
      const auto *Reply = std::get_if<wire::JobReply>(&Result.Answer_);
      if (Reply != nullptr && (Reply->Status_ == wire::JobStatus::Accepted ||
                               Reply->Status_ == wire::JobStatus::Known))
        ++Done;
    };
    if (Cancel)
      ToLeader.call(wire::JobRequest{wire::JobAction::Cancel, Id, "h", Path},
                    2s, OnEnd);
    else
      ToLeader.call(wire::SubmitJob{Id,
                                    "h",
                                    Path,
                                    {.Payload_ = std::string(PayloadBytes, 'x'),
                                     .Steps_ = {{.Count_ = 1}}}},
                    2s, OnEnd);
  }
  while (Ended < Count)
    run(Loop, 2ms);
  return Done;
}

/// A leader that has stored many changes, and the largest size that its folder
/// had.
struct History {
  explicit History(std::uint64_t Versions = Changes,
                   std::uintmax_t Disk = DiskBytes) {
    configureLog({.Sink_ = [](std::string_view) {}});
    Leader_.emplace(Loop_, 1, true, Disk);
    ToLeader_.emplace(
        Loop_,
        net::FrameClientOptions{
            .Peer_ = net::Endpoint::make(Leader_->address()), .Self_ = {1}});
    for (std::uint64_t Version = 1; Version <= Versions; ++Version) {
      REQUIRE(put(Loop_, *ToLeader_, Version));
      Largest_ = std::max(Largest_, Leader_->diskBytes());
    }
  }

  net::PausedClock Clock_;
  net::EventLoop Loop_;
  std::optional<Replica> Leader_;
  std::optional<net::FrameClient> ToLeader_;
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

// Guards against a log without a bound where the size of the disk is not known,
// or whose share of a large disk no memory holds.
TEST_CASE("records behind a snapshot stay within the memory of a replica",
          "[platform][log]") {
  constexpr std::uintmax_t DaemonMemory = 128U << 20U;
  const std::uintmax_t Disk =
      GENERATE(as<std::uintmax_t>{}, UnknownSize, std::uintmax_t(4) << 30U);
  const History Past(300, Disk);
  CHECK(Past.Largest_ < DaemonMemory);
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

// Guards against a state without a bound: jobs that wait filled the disk beside
// their own snapshot.
TEST_CASE("jobs that wait do not fill the disk", "[platform][log]") {
  constexpr std::size_t Batch = 100;
  constexpr std::size_t Batches = 80;
  History Past(1);
  std::size_t Accepted = 0;
  for (std::size_t I = 0; I < Batches; ++I) {
    Accepted += forJobs(Past.Loop_, *Past.ToLeader_, I * Batch, Batch, false);
    Past.Largest_ = std::max(Past.Largest_, Past.Leader_->diskBytes());
  }
  CHECK(Past.Largest_ < DiskBytes);
  CHECK(Accepted > 0);

  // Once they have ended and are forgotten, jobs are accepted again.
  for (std::size_t I = 0; I < Batches; ++I)
    forJobs(Past.Loop_, *Past.ToLeader_, I * Batch, Batch, true);
  for (int Second = 0; Second < 170; ++Second) {
    Clock::advance(1s);
    run(Past.Loop_, 10ms);
    if (Second % 10 == 0)
      forJobs(Past.Loop_, *Past.ToLeader_, 0, 1, true);
  }
  CHECK(forJobs(Past.Loop_, *Past.ToLeader_, Batch * Batches, 1, false) == 1);
}

} // namespace dragonfly::platform
