/// Measures the replicated log against one plain synced append on the same
/// disk. Usage: ConsensusBench [FOLDER], where FOLDER is on the disk to
/// measure; the present folder is the default.
#include "support/DirectGroup.h"
#include "support/LogCluster.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <functional>
#include <string>
#include <vector>

using namespace dragonfly;
using namespace dragonfly::bench;
using namespace std::chrono_literals;

namespace {

namespace fs = std::filesystem;

constexpr std::size_t CommandBytes = 100;
constexpr std::size_t Rounds = 300;
constexpr double MicrosecondsPerSecond = 1e6;

/// A folder that is removed at the end.
class ScratchFolder {
public:
  explicit ScratchFolder(const std::string &Parent) {
    std::string Pattern = Parent + "/consensus-bench-XXXXXX";
    Path_ = mkdtemp(Pattern.data());
  }
  ScratchFolder(const ScratchFolder &) = delete;
  ScratchFolder &operator=(const ScratchFolder &) = delete;
  ~ScratchFolder() { fs::remove_all(Path_); }

  const std::string &path() const { return Path_; }

private:
  std::string Path_;
};

double microseconds(const std::function<void()> &Work) {
  const auto Start = std::chrono::steady_clock::now();
  Work();
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now() - Start)
      .count();
}

double quantile(std::vector<double> Values, double Share) {
  std::ranges::sort(Values);
  const auto Position =
      static_cast<std::size_t>(Share * static_cast<double>(Values.size()));
  return Values[std::min(Position, Values.size() - 1)];
}

/// A file to which one command at a time is written and synced.
class PlainLog {
public:
  explicit PlainLog(const std::string &Path)
      : Fd_(::open(Path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                   0600)) {}
  PlainLog(const PlainLog &) = delete;
  PlainLog &operator=(const PlainLog &) = delete;
  ~PlainLog() { ::close(Fd_); }

  void append() {
    const std::string Bytes(CommandBytes, 'p');
    if (::write(Fd_, Bytes.data(), Bytes.size()) < 0 || ::fsync(Fd_) != 0)
      std::perror("plain append");
  }

private:
  int Fd_;
};

/// Commits and plain appends take turns, so that both meet the same disk.
void measureCommits(const std::string &Folder) {
  PlainLog Plain(Folder + "/plain");
  for (const std::size_t Replicas : {1, 3}) {
    DirectGroup Group({.Folder_ = Folder + "/" + std::to_string(Replicas),
                       .Replicas_ = Replicas});
    for (const std::size_t Batch : {1, 10, 100, 1000}) {
      std::vector<double> PlainTimes;
      std::vector<double> Times;
      for (std::size_t I = 0; I < Rounds; ++I) {
        PlainTimes.push_back(microseconds([&] { Plain.append(); }));
        Times.push_back(
            microseconds([&] { Group.commit(Batch, CommandBytes); }));
      }
      const double Median = quantile(Times, 0.5);
      const double PlainMedian = quantile(PlainTimes, 0.5);
      std::printf("commit, %zu replicas in one thread, %4zu at a time: median "
                  "%.0f us, %.2f x a plain synced append (%.0f us); %.0f/s, "
                  "%.1f x plain appends/s\n",
                  Replicas, Batch, Median, Median / PlainMedian, PlainMedian,
                  static_cast<double>(Batch) / Median * MicrosecondsPerSecond,
                  static_cast<double>(Batch) * PlainMedian / Median);
    }
  }
}

void measureCost(const std::string &Folder) {
  DirectGroup Group({.Folder_ = Folder + "/cost"});
  constexpr int IdleSeconds = 10;
  std::uint64_t Before = Group.sentBytes();
  for (int I = 0; I < IdleSeconds * 100; ++I)
    Group.advance(10ms);
  std::printf("idle group of 3: %llu bytes/s in all messages\n",
              static_cast<unsigned long long>((Group.sentBytes() - Before) /
                                              IdleSeconds));
  for (const std::size_t Batch : {1, 100}) {
    constexpr std::size_t Records = 20000;
    Before = Group.sentBytes();
    const std::uint64_t Messages = Group.sentMessages();
    const std::clock_t Start = std::clock();
    for (std::size_t Done = 0; Done < Records; Done += Batch)
      Group.commit(Batch, CommandBytes);
    const double Seconds =
        static_cast<double>(std::clock() - Start) / CLOCKS_PER_SEC;
    std::printf("record of %zu bytes, %zu at a time: %.0f bytes and %.2f "
                "messages in all, %.1f us of processor in all 3 replicas\n",
                CommandBytes, Batch,
                static_cast<double>(Group.sentBytes() - Before) / Records,
                static_cast<double>(Group.sentMessages() - Messages) / Records,
                Seconds * MicrosecondsPerSecond / Records);
  }
}

void measureRestart(const std::string &Folder) {
  constexpr std::size_t PerStep = 10000;
  for (const std::size_t Steps : {1, 5, 10}) {
    const std::string Path = Folder + "/restart" + std::to_string(Steps);
    {
      DirectGroup Group({.Folder_ = Path, .Replicas_ = 1});
      for (std::size_t I = 0; I < Steps; ++I)
        Group.commit(PerStep, CommandBytes);
    }
    const double Time = microseconds(
        [&] { consensus::openFileStorage(Path + "/0")->recover(); });
    std::printf("restart with %zu records: %.1f ms, %.1f ms per 10,000\n",
                Steps * PerStep, Time / 1000,
                Time / 1000 / static_cast<double>(Steps));
  }
}

void measureInstall(const std::string &Folder) {
  constexpr std::size_t Megabyte = 1U << 20U;
  for (const std::size_t Megabytes : {1, 8, 32}) {
    DirectGroup Group(
        {.Folder_ = Folder + "/install" + std::to_string(Megabytes),
         .SnapshotEveryRecords_ = 100,
         .SnapshotBytes_ = Megabytes * Megabyte});
    const std::size_t Away = &Group.log(0) == &Group.leader() ? 1 : 0;
    Group.setReachable(Away, false);
    for (int I = 0; I < 100; ++I) {
      Group.commit(1, CommandBytes);
      Group.advance(20ms);
    }
    Group.commit(20, CommandBytes);
    Group.setReachable(Away, true);
    const double Time = microseconds([&] {
      while (Group.log(Away).appliedIndex() < Group.leader().commitIndex())
        Group.advance(50ms);
    });
    std::printf("install of %zu MiB: %.1f ms, %.2f ms per MiB\n", Megabytes,
                Time / 1000, Time / 1000 / static_cast<double>(Megabytes));
  }
}

/// On the group's own time: from the leader's death to the first commit of the
/// next one, with 1 ms one way and an election timeout of 500 ms.
void measureFailover() {
  constexpr std::uint64_t Seeds = 100;
  std::vector<double> Gaps;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    LogCluster Group({.Seed_ = Seed, .RestartDelay_ = 1h});
    Group.run(5s);
    Group.kill(Group.leader()->Id_, false);
    const TimePoint Start = Group.now();
    bool Committed = false;
    while (!Committed) {
      Group.run(1ms);
      Replica *Next = Group.leader();
      if (Next)
        Next->Log_->propose("x", [&](const consensus::ProposeResult &Result) {
          Committed |= Result.Status_ == consensus::ProposeStatus::Committed;
        });
    }
    Gaps.push_back(toMilliseconds(Group.now() - Start));
  }
  std::printf("failover of an election timeout of 500 ms: median %.0f ms, p90 "
              "%.0f ms, longest %.0f ms over %llu seeds\n",
              quantile(Gaps, 0.5), quantile(Gaps, 0.9), quantile(Gaps, 1.0),
              static_cast<unsigned long long>(Seeds));
}

} // namespace

int main(int Count, char **Arguments) {
  const ScratchFolder Scratch(Count > 1 ? Arguments[1] : ".");
  measureCommits(Scratch.path());
  measureCost(Scratch.path());
  measureRestart(Scratch.path());
  measureInstall(Scratch.path());
  measureFailover();
}
