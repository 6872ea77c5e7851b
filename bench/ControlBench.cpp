/// Measures what control spends per heartbeat, claim, receipt, task start and
/// list change, in bytes and in processor time, at several numbers of workers:
/// the slopes that docs/CAPACITY.md uses. One replica on a disk in memory; what
/// a follower gets is counted from the records.

#include "dragonfly/base/Log.h"
#include "dragonfly/control/ControlService.h"
#include "dragonfly/wire/Frame.h"
#include "support/MemoryDisk.h"
#include "support/Statistics.h"

#include <ctime>
#include <malloc.h>

#include <cstdio>
#include <functional>
#include <string>
#include <vector>

namespace {

using namespace dragonfly;
using namespace dragonfly::control;

constexpr Duration TickPeriod = std::chrono::milliseconds(2);
constexpr int Rounds = 5;
/// Requests that reach the leader within one tick.
constexpr std::size_t BatchRows = 100;
constexpr std::size_t Batches = 100;

double processorMicroseconds() {
  timespec Spent{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Spent);
  return static_cast<double>(Spent.tv_sec) * 1e6 +
         static_cast<double>(Spent.tv_nsec) / 1e3;
}

std::size_t frameBytes(wire::Message Value) {
  return wire::encodeFrame({.Kind_ = wire::FrameKind::Request,
                            .Sender_ = {~0ULL},
                            .Sequence_ = 1000000,
                            .Message_ = std::move(Value)})
      .size();
}

/// One row of the table.
struct Slope {
  std::string Name_;
  double Microseconds_ = 0;
  /// Bytes of the request's and of the answer's frame.
  double FrameBytes_ = 0;
  /// Bytes that each follower is sent.
  double RecordBytes_ = 0;
};

class Leader {
public:
  Leader() : Service_(options(), openDisk(), Now_) {
    while (!Service_.serving())
      tick();
  }

  void tick() {
    Now_ += TickPeriod;
    Service_.tick(Now_);
  }

  std::optional<wire::HeartbeatAck> beat(std::size_t Worker) {
    return Service_.heartbeat(Now_, heartbeatOf(Worker));
  }

  static wire::Heartbeat heartbeatOf(std::size_t Worker) {
    wire::Heartbeat Beat;
    Beat.Name_ = "agent-" + std::to_string(Worker);
    Beat.Incarnation_ = {Worker + (1ULL << 60U)};
    static std::uint64_t Sequence = 0;
    Beat.Sequence_ = ++Sequence;
    Beat.SentAt_ = std::chrono::hours(100);
    Beat.AvailabilityZone_ = "az-" + std::to_string(Worker % 4);
    Beat.Rack_ = "rack-" + std::to_string(Worker / 3);
    Beat.Address_ = "127.0.3.1:" + std::to_string(7000 + Worker);
    Beat.LedgerReady_ = true;
    Beat.Plans_ = Beat.Purchases_ = {4000};
    Beat.Vm_ = {.Capacity_ = {64000, 250000, 0},
                .Committed_ = {32000, 125000, 0},
                .Slots_ = 8,
                .FreeSlots_ = 4,
                .RunningTasks_ = 11,
                .Usage_ = {31000, 120000, 0}};
    return Beat;
  }

  void handle(wire::Message Request) {
    Service_.handle(Now_, std::move(Request), [this](wire::Message Answer) {
      AnswerBytes_ += frameBytes(std::move(Answer));
    });
  }

  void putList(std::uint64_t Version, const std::string &Content) {
    Service_.putList({settings::ListName::Plans,
                      {Version},
                      "ctl-" + std::to_string(Version),
                      Content},
                     [](auto, auto) {});
  }

  ControlService &service() { return Service_; }
  TimePoint now() const { return Now_; }
  /// Bytes of the commands in the log's present records.
  std::size_t recordBytes() const {
    std::size_t Bytes = 0;
    for (const consensus::Record &Row : Disk_->Durable_.Records_)
      Bytes += Row.Payload_.size();
    return Bytes;
  }

  std::size_t AnswerBytes_ = 0;

private:
  static ControlServiceOptions options() {
    ControlServiceOptions Options;
    Options.Log_.Self_ = {1};
    Options.Log_.FirstMembers_ = {{.Id_ = {1}, .Address_ = "127.0.2.1:7000"}};
    Options.Log_.SnapshotEveryRecords_ = 1U << 30U;
    Options.Log_.Send_ = [](ReplicaId, const std::string &) {};
    Options.Replicas_ = {{.Id_ = {1}, .Address_ = "127.0.2.1:7000"}};
    return Options;
  }

  std::unique_ptr<consensus::Storage> openDisk() {
    return bench::openMemoryStorage(Disk_);
  }

  TimePoint Now_{std::chrono::hours(100)};
  std::shared_ptr<bench::MemoryDisk> Disk_ =
      std::make_shared<bench::MemoryDisk>(StoreId{1});
  ControlService Service_;
};

/// Runs \p Work, which handles \p Units, in \p Rounds fresh leaders and returns
/// the medians.
Slope measure(const std::string &Name, std::size_t Units,
              std::size_t RequestBytes,
              const std::function<void(Leader &)> &Prepare,
              const std::function<void(Leader &)> &Work) {
  std::vector<double> Spent;
  Slope Result{.Name_ = Name};
  for (int Round = 0; Round < Rounds; ++Round) {
    Leader Target;
    Prepare(Target);
    Target.AnswerBytes_ = 0;
    const std::size_t RecordsBefore = Target.recordBytes();
    const double Before = processorMicroseconds();
    Work(Target);
    Spent.push_back((processorMicroseconds() - Before) /
                    static_cast<double>(Units));
    const auto PerUnit = [Units](std::size_t Total) {
      return static_cast<double>(Total) / static_cast<double>(Units);
    };
    Result.FrameBytes_ =
        static_cast<double>(RequestBytes) + PerUnit(Target.AnswerBytes_);
    Result.RecordBytes_ = PerUnit(Target.recordBytes() - RecordsBefore);
  }
  Result.Microseconds_ = bench::medianOf(Spent);
  return Result;
}

std::string idOf(std::size_t Row) { return "request-" + std::to_string(Row); }

wire::Claim claimOf(std::size_t Row) {
  wire::Claim Claim;
  Claim.Key_ = {"packer-1", idOf(Row)};
  Claim.Kind_ = "lot-review";
  Claim.Worker_ = "agent-1";
  Claim.Target_ = {~0ULL};
  Claim.Claimant_ = {~0ULL - Row};
  Claim.BodyHash_ = ~0ULL;
  return Claim;
}

wire::ReceiptBatch receiptsOf(std::size_t First) {
  wire::ReceiptBatch Batch{
      .Holder_ = "entry-1", .Incarnation_ = {~0ULL}, .Rows_ = {}};
  for (std::size_t Row = First; Row < First + BatchRows; ++Row) {
    wire::Receipt Receipt;
    Receipt.Key_ = {"packer-1", idOf(Row)};
    Receipt.Kind_ = "belt-check";
    Receipt.Outcome_ = Outcome::Completed;
    Batch.Rows_.push_back(std::move(Receipt));
  }
  return Batch;
}

wire::SubmitTask taskOf(std::size_t Row) {
  wire::SubmitTask Task;
  Task.Key_ = {"packer-1", idOf(Row)};
  Task.Kind_ = "lot-review";
  Task.Need_ = {1000, 1000, 0};
  Task.TimeLeft_ = std::chrono::hours(1);
  Task.ExpectedRunTime_ = std::chrono::minutes(1);
  return Task;
}

void nothing(Leader &) {}

Slope measureHeartbeat(std::size_t Workers) {
  const std::size_t Bytes =
      frameBytes(Leader::heartbeatOf(1)) + frameBytes(*Leader().beat(1));
  constexpr std::size_t Beats = 20000;
  const auto BeatAll = [Workers](Leader &Target) {
    for (std::size_t Row = 0; Row < Workers; ++Row)
      Target.beat(Row);
  };
  return measure("heartbeat, " + std::to_string(Workers) + " workers", Beats,
                 Bytes, BeatAll, [Workers](Leader &Target) {
                   for (std::size_t Row = 0; Row < Beats; ++Row)
                     Target.beat(Row % Workers);
                 });
}

/// A second of ticks with nothing to do.
Slope measureIdle(std::size_t Workers) {
  constexpr std::size_t TicksPerSecond = std::chrono::seconds(1) / TickPeriod;
  return measure(
      "idle second, " + std::to_string(Workers) + " workers", 1, 0,
      [Workers](Leader &Target) {
        for (std::size_t Row = 0; Row < Workers; ++Row)
          Target.beat(Row);
      },
      [](Leader &Target) {
        for (std::size_t Tick = 0; Tick < TicksPerSecond; ++Tick)
          Target.tick();
      });
}

Slope measureClaims() {
  return measure("claim", Batches * BatchRows, frameBytes(claimOf(1)), nothing,
                 [](Leader &Target) {
                   for (std::size_t Row = 0; Row < Batches * BatchRows; ++Row) {
                     Target.handle(claimOf(Row));
                     if (Row % BatchRows == BatchRows - 1)
                       Target.tick();
                   }
                   Target.tick();
                 });
}

Slope measureReceipts() {
  return measure("receipt", Batches * BatchRows,
                 frameBytes(receiptsOf(0)) / BatchRows, nothing,
                 [](Leader &Target) {
                   for (std::size_t Batch = 0; Batch < Batches; ++Batch) {
                     Target.handle(receiptsOf(Batch * BatchRows));
                     Target.tick();
                   }
                   Target.tick();
                 });
}

/// Brings up \p Workers and submits \p Tasks, without placing any yet.
void submitTasks(Leader &Target, std::size_t Workers, std::size_t Tasks) {
  for (std::size_t Row = 0; Row < Workers; ++Row)
    Target.beat(Row);
  for (std::size_t Row = 0; Row < Tasks; ++Row)
    Target.handle(taskOf(Row));
}

bool allPlaced(Leader &Target) {
  const auto &Rows = Target.service().state().tasks().rows();
  return !Rows.empty() && std::ranges::all_of(Rows, [](const auto &Row) {
    return Row.second.onWorker();
  });
}

/// Acceptance, placement, directive and the report of the start.
Slope measureStarts(std::size_t Workers) {
  constexpr std::size_t Tasks = 500;
  constexpr int MaxTicks = 1000;
  wire::TaskReport Row;
  Row.Task_ = {Tasks};
  Row.Epoch_ = {1};
  const std::size_t Bytes =
      frameBytes(taskOf(1)) +
      frameBytes(wire::TaskReports{"agent-1", {~0ULL}, {Row}});
  return measure(
      "task start, " + std::to_string(Workers) + " workers", Tasks, Bytes,
      [Workers](Leader &Target) {
        submitTasks(Target, Workers, 0);
        Target.tick();
      },
      [](Leader &Target) {
        submitTasks(Target, 0, Tasks);
        for (int Tick = 0; Tick < MaxTicks && !allPlaced(Target); ++Tick)
          Target.tick();
        const auto Placed = Target.service().state().tasks().tasksByWorker();
        for (const auto &[Worker, Ids] : Placed) {
          wire::TaskReports Batch{.Worker_ = Worker, .Incarnation_ = {1}};
          for (const TaskId Id : Ids)
            Batch.Rows_.push_back({.Task_ = Id, .Epoch_ = {1}});
          Target.handle(std::move(Batch));
        }
        Target.tick();
        Target.tick();
      });
}

Slope measureLists(std::size_t Rows) {
  std::string Content = R"({"plans":[)";
  for (std::size_t Row = 0; Row < Rows; ++Row)
    Content += (Row == 0 ? "" : ",") + std::string(R"({"name":"plan-)") +
               std::to_string(Row) +
               R"(","processors":8,"memory_mib":16384,"accelerators":0,)"
               R"("concurrent_requests":40,"waiting_requests":400})";
  Content += "]}";
  constexpr std::size_t Changes = 50;
  return measure("list change, " + std::to_string(Rows) + " rows", Changes,
                 Content.size(), nothing, [&Content](Leader &Target) {
                   for (std::size_t Row = 1; Row <= Changes; ++Row) {
                     Target.putList(Row, Content);
                     Target.tick();
                   }
                   Target.tick();
                 });
}

void print(const std::vector<Slope> &Rows) {
  std::printf("%-30s %12s %10s %12s %12s\n", "unit", "us of a core", "ratio",
              "frame bytes", "record bytes");
  for (const Slope &Row : Rows)
    std::printf("%-30s %12.2f %10.2f %12.0f %12.0f\n", Row.Name_.c_str(),
                Row.Microseconds_,
                bench::ratioOf(Row.Microseconds_, Rows.front().Microseconds_),
                Row.FrameBytes_, Row.RecordBytes_);
}

/// What one row of the state takes.
struct StateRow {
  std::string Name_;
  double HeapBytes_ = 0;
  double SnapshotBytes_ = 0;
  double SnapshotMicroseconds_ = 0;
  double RestoreMicroseconds_ = 0;
};

/// Applies \p Make(0) and so on, each of which makes one row.
StateRow measureState(const std::string &Name,
                      const std::function<CommandBody(std::size_t)> &Make) {
  constexpr std::size_t Rows = 20000;
  StateMachine Machine({});
  const std::size_t Before = mallinfo2().uordblks;
  for (std::size_t Row = 0; Row < Rows; ++Row)
    Machine.apply({.At_ = std::chrono::hours(100), .Body_ = Make(Row)});
  const auto PerRow = [](double Total) {
    return Total / static_cast<double>(Rows);
  };
  StateRow Result{.Name_ = Name};
  Result.HeapBytes_ =
      PerRow(static_cast<double>(mallinfo2().uordblks - Before));
  double At = processorMicroseconds();
  const std::string Bytes = Machine.snapshot();
  Result.SnapshotMicroseconds_ = PerRow(processorMicroseconds() - At);
  Result.SnapshotBytes_ = PerRow(static_cast<double>(Bytes.size()));
  At = processorMicroseconds();
  Machine.restore(Bytes);
  Result.RestoreMicroseconds_ = PerRow(processorMicroseconds() - At);
  return Result;
}

CommandBody claimRecord(std::size_t Row) {
  return ClaimRequests{{{.Key_ = {"packer-1", idOf(Row)},
                         .Worker_ = "agent-1",
                         .Target_ = {~0ULL},
                         .Claimant_ = {~0ULL - Row},
                         .BodyHash_ = ~0ULL}}};
}

CommandBody receiptRecord(std::size_t Row) {
  return MergeReceipts{{{.Key_ = {"packer-1", idOf(Row)},
                         .Kind_ = "belt-check",
                         .Outcome_ = Outcome::Completed}}};
}

CommandBody taskRecord(std::size_t Row) {
  return AcceptTasks{{{.Key_ = {"packer-1", idOf(Row)},
                       .Kind_ = "lot-review",
                       .Need_ = {1000, 1000, 0},
                       .TimeLeft_ = std::chrono::hours(1),
                       .Body_ = std::string(256, 'x')}}};
}

void print(const std::vector<StateRow> &Rows) {
  std::printf("\n%-30s %12s %14s %12s %12s\n", "row of the state", "heap bytes",
              "snapshot bytes", "snapshot us", "restore us");
  for (const StateRow &Row : Rows)
    std::printf("%-30s %12.0f %14.0f %12.2f %12.2f\n", Row.Name_.c_str(),
                Row.HeapBytes_, Row.SnapshotBytes_, Row.SnapshotMicroseconds_,
                Row.RestoreMicroseconds_);
}

} // namespace

int main() {
  configureLog({.Sink_ = [](std::string_view) {}});
  print({measureHeartbeat(11), measureHeartbeat(1000), measureHeartbeat(5900),
         measureIdle(11), measureIdle(1000), measureIdle(5900), measureClaims(),
         measureReceipts(), measureStarts(11), measureStarts(1000),
         measureStarts(5900), measureLists(10), measureLists(300)});
  print({measureState("claim", claimRecord),
         measureState("counted request", receiptRecord),
         measureState("waiting task, 256 byte body", taskRecord)});
  return 0;
}
