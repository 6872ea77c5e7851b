/// Drives entries' policies with an open-loop load against fake workers, on
/// simulated time.
#ifndef DRAGONFLY_BENCH_SUPPORT_REQUESTRUN_H
#define DRAGONFLY_BENCH_SUPPORT_REQUESTRUN_H

#include "dragonfly/base/Random.h"
#include "support/EntryPolicy.h"

#include <array>
#include <queue>
#include <unordered_map>

namespace dragonfly::bench {

/// A fake upstream's VM.
struct FakeWorker {
  std::string Name_;
  std::string Zone_;
  std::uint32_t Slots_ = 8;
  std::uint32_t Busy_ = 0;
  bool FailsEverything_ = false;
  bool Alive_ = true;
  /// How much slower requests are because of tasks beside them.
  double Slowdown_ = 1;
  std::uint64_t Reached_ = 0;
};

/// Raises the rate of a kind or of one customer for a while.
struct Flood {
  std::size_t Kind_ = 0;
  double Factor_ = 1;
  Duration From_{};
  Duration To_{};
  /// Position of the customer, or nothing for all of them.
  std::optional<std::size_t> Customer_;
};

struct RequestRunOptions {
  Deployment Site_;
  EntryPolicyMaker Policy_ = shippedEntry;
  std::uint64_t Seed_ = 1;
  Duration Length_ = std::chrono::seconds(30);
  std::vector<Flood> Floods_;
  std::size_t Customers_ = 6;
  /// Requests in progress and waiting of each customer, over all entries.
  std::uint32_t PlanConcurrent_ = 88;
  std::uint32_t PlanWaiting_ = 6000;
  /// Multiplies the rate of each kind.
  std::vector<double> LoadFactors_ = {1, 1, 1};
  /// Called every `Step_` with the time since the start.
  std::function<void(class RequestRun &, Duration)> OnStep_;
  Duration Step_ = std::chrono::milliseconds(200);
};

enum class Fate : std::uint8_t { Open, Completed, Refused, Lost, Cancelled };

/// What became of one request.
struct RequestRecord {
  std::uint32_t Kind_ = 0;
  std::uint32_t Customer_ = 0;
  Duration OfferedAt_{};
  /// When it began on a worker, where it did.
  Duration StartedAt_{};
  Duration EndedAt_{};
  Duration Service_{};
  Fate Fate_ = Fate::Open;
  std::uint32_t Attempts_ = 0;

  Duration latency() const { return EndedAt_ - OfferedAt_; }
};

class RequestRun {
public:
  explicit RequestRun(RequestRunOptions Options);

  /// Runs the whole length.
  void run();

  const std::vector<RequestRecord> &records() const { return Records_; }
  std::vector<FakeWorker> &workers() { return Workers_; }
  /// Largest number of upstreams that one entry holds ejected.
  std::size_t ejected() const;
  /// Slot time that a kind has used so far, over all workers.
  Duration slotTime(std::size_t Kind) const { return SlotTime_.at(Kind); }
  /// Cancels up to \p Count open requests of a kind, oldest first.
  std::size_t cancel(std::size_t Kind, std::size_t Count);

private:
  enum class Step : std::uint8_t {
    Arrive,
    Reach,
    Leave,
    Answer,
    TickEntry,
    Announce,
    Observe
  };

  struct Timed {
    TimePoint At_;
    std::uint64_t Order_ = 0;
    Step Step_ = Step::Arrive;
    std::uint32_t Index_ = 0;
    std::uint32_t Worker_ = 0;
    decide::AttemptResult Result_ = decide::AttemptResult::Answered;

    bool operator>(const Timed &Other) const {
      return std::pair(At_, Order_) > std::pair(Other.At_, Other.Order_);
    }
  };

  struct Open {
    std::size_t Entry_ = 0;
    decide::RequestHandle Handle_ = 0;
    std::vector<decide::UpstreamIndex> Tried_;
    TimePoint DispatchedAt_{};
    TimePoint AttemptAt_{};
    bool Running_ = false;
  };

  struct Entry {
    EntryPolicy Policy_;
    std::unordered_map<decide::RequestHandle, std::uint32_t> Requests_;
  };

  void schedule(Timed Event, Duration In);
  void handle(const Timed &Event);
  void scheduleArrival(std::uint32_t Stream);
  void arrive(std::uint32_t Stream, bool Real);
  void offer(std::uint32_t Kind, std::uint32_t Customer);
  void pump(std::size_t EntryIndex);
  void attempt(std::uint32_t Request);
  void reach(const Timed &Event);
  void leave(const Timed &Event);
  void answer(const Timed &Event);
  void finishUnanswered(std::uint32_t Request, decide::AttemptResult Result);
  void settle(std::uint32_t Request, Fate Value);
  void announce();
  double rate(std::uint32_t Stream) const;
  Duration delayTo(std::size_t EntryIndex, std::uint32_t Worker) const;
  Duration serviceTime(const FakeWorker &Worker, std::uint32_t Kind);
  Duration sinceStart() const { return Now_ - Start; }

  static constexpr TimePoint Start{std::chrono::seconds(1000)};

  RequestRunOptions Options_;
  RandomEngine Random_;
  TimePoint Now_ = Start;
  std::uint64_t Order_ = 0;
  std::priority_queue<Timed, std::vector<Timed>, std::greater<>> Events_;
  std::vector<Entry> Entries_;
  std::vector<FakeWorker> Workers_;
  std::vector<RequestRecord> Records_;
  std::vector<Open> Open_;
  std::array<Duration, 3> SlotTime_{};
};

} // namespace dragonfly::bench

#endif // DRAGONFLY_BENCH_SUPPORT_REQUESTRUN_H
