/// What an agent knows about the runs on its worker: which were ordered, which
/// are confirmed, and which calls are due. It has no sockets and no clock.
#ifndef DRAGONFLY_AGENT_RUNBOOK_H
#define DRAGONFLY_AGENT_RUNBOOK_H

#include "dragonfly/agent/WorkerCalls.h"
#include "dragonfly/base/Clock.h"
#include "dragonfly/base/EnumTable.h"
#include "dragonfly/jobs/Job.h"
#include "dragonfly/wire/Messages.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::agent {

struct RunBookOptions {
  /// Tries of a start before the run is stopped instead, to settle it.
  std::uint32_t MaxStartTries_ = 3;
  /// Pause between tries of a start or a stop; the worker answers within
  /// milliseconds where it answers at all.
  Duration RetryDelay_ = std::chrono::milliseconds(150);
  /// A stop is sent again where the run is listed so long after the worker has
  /// confirmed it; the platform allows 0.9 s.
  Duration StopTime_ = std::chrono::milliseconds(1000);
  /// A run that is still listed this long after its start is not suspected of a
  /// crash.
  Duration ProofTime_ = std::chrono::milliseconds(200);
};

/// A call to the worker that is due.
struct DueCall {
  enum class Kind : std::uint8_t { Start, Stop };
  Kind Kind_ = Kind::Start;
  jobs::RunName Run_;
};

class RunBook {
public:
  struct Row {
    wire::StartOrder Order_;
    wire::RunPhase Phase_ = wire::RunPhase::Starting;
    bool CallOpen_ = false;
    /// A start was not answered: it may be carried out at any time.
    bool MayAppear_ = false;
    std::uint32_t Tries_ = 0;
    TimePoint NextCallAt_;
    /// The worker has confirmed that the run is there, or that it is stopped.
    std::optional<TimePoint> ConfirmedAt_;
    /// When the agent last began to stop the run.
    TimePoint StopBeganAt_;
    ListedRun Listed_;
    /// When a run of this book was first known to be there.
    std::optional<TimePoint> StartedAt_;
    /// The worker has listed the run `ProofTime_` after its start, or before
    /// this book began.
    bool Proven_ = false;
    /// Share of full speed that the worker was last told, in percent.
    std::uint32_t SpeedPercent_ = 100;
    /// The run has been taken for ended with its lease. The row stays until its
    /// start is settled.
    bool Lapsed_ = false;
  };

  /// Stands for the speed of a run that another process had ordered.
  static constexpr std::uint32_t UnknownSpeed = 1000;

  explicit RunBook(RunBookOptions Options = {}) : Options_(Options) {}

  /// Takes an order to start a run; one that is known already has no effect.
  void order(TimePoint Now, wire::StartOrder Order);
  /// Takes an order to stop a run, known or not: it must not appear later.
  void stop(TimePoint Now, const jobs::RunName &Run);
  /// Gives up the starts that the worker has not confirmed. One that was never
  /// sent has not started; the others are settled by a stop.
  void giveUpStarts(TimePoint Now);
  /// Adds to a listed run what its order would have told.
  void describe(const wire::StartOrder &Order);
  /// Ends a run that was never ordered from the worker.
  void refuse(const jobs::RunName &Run);

  /// Returns the calls that are due and marks them as open. Starts stay due
  /// unless \p MayStart, e.g. without a lease. Lapsed runs are not stopped
  /// before the worker \p Answers again.
  std::vector<DueCall> takeDueCalls(TimePoint Now, bool MayStart,
                                    bool Answers = true);
  /// When the next call is due, or nothing.
  std::optional<TimePoint> nextCallAt() const;
  /// Returns whether the run is known not to have begun.
  bool startAnswered(TimePoint Now, const jobs::RunName &Run,
                     StartStatus Status);
  void stopAnswered(TimePoint Now, const jobs::RunName &Run, bool Confirmed);

  /// Drops ends that the agent concluded itself, has not reported, and that
  /// \p Answer disproves by a run or another end: an order of an earlier life
  /// can reach the next one.
  void retractEnds(const HoldAnswer &Answer);
  /// Settles the starts that \p Answer does not list. It answers a call with a
  /// higher fencing token than any of them, which left at \p SentAt.
  void settleStarts(TimePoint SentAt, const HoldAnswer &Answer);
  /// What the book knows of the end of a run that has no row.
  enum class EndKnown : std::uint8_t { None, Concluded, Listed };
  /// Returns the listed runs without a row.
  std::vector<std::pair<jobs::RunName, EndKnown>>
  unknownRuns(const HoldAnswer &Answer) const;
  /// Takes both lists, as answered to a call that was made at \p SentAt.
  void listed(TimePoint Now, TimePoint SentAt, const HoldAnswer &Answer);
  /// The worker's lease has run out: every run has ended, and starts without an
  /// answer are settled by a stop. Returns the number of ended runs.
  std::size_t lapse(TimePoint Now);
  /// The worker has begun another life, which runs nothing and numbers its ends
  /// anew.
  void beginLife();

  const std::map<jobs::RunName, Row> &rows() const { return Rows_; }
  /// Whether a run has not ended yet.
  bool hasRuns() const;
  /// Returns the number of starts that may still be carried out: a call for
  /// them has no answer, and the run has neither been listed nor stopped.
  std::size_t unsettledStarts() const;
  /// Whether such a start is being stopped since \p Before or longer.
  bool hasUnsettledStop(TimePoint Before) const;
  struct UnprovenRun {
    jobs::RunName Run_;
    /// The worker has confirmed the start.
    bool HasBegun_ = false;
  };
  /// Returns the runs that may have begun on the worker and are not proven.
  std::vector<UnprovenRun> unprovenRuns() const;
  void setSpeed(const jobs::RunName &Run, std::uint32_t SpeedPercent);
  std::vector<wire::RunReport> runReports() const;

  /// Ends that are not durable yet, oldest first.
  std::vector<wire::EndReport> endReports() const;
  /// All of them have been sent to control, which may record them from now on.
  void endsReported();
  /// The first \p Count ends are durable.
  void endsDurable(std::size_t Count);
  std::size_t pendingEnds() const { return Ends_.size(); }
  /// The number of the last end that the worker may forget, or has forgotten.
  std::uint64_t lastDurableEnd() const {
    return std::max(ForgottenEnd_, endsToForget());
  }
  /// The number up to which the worker should forget ends, or 0 where it was
  /// told. It is not told twice: a worker that has been reborn in the meantime
  /// would forget ends that nobody has read. A number that leaves others out
  /// is not told before a higher one is listed: if it is wrong, the worker
  /// would forget all ends that it numbers until then.
  std::uint64_t endsToForget() const;
  /// The worker's life that the book is of was told to forget up to \p End.
  void endsForgotten(std::uint64_t End);

private:
  struct End {
    /// The number that the worker's current life gave the end, or 0.
    std::uint64_t Number_ = 0;
    wire::EndReport Report_;
    /// No life of the worker has listed the end.
    bool Concluded_ = false;
    bool Reported_ = false;
  };

  std::vector<End>::const_iterator findEnd(const jobs::RunName &Run) const;
  /// Adds an end that the worker has not listed.
  void conclude(const jobs::RunName &Run, jobs::RunEnd How,
                std::string Checkpoint);
  void endRun(const jobs::RunName &Run, jobs::RunEnd How);
  void beginStop(TimePoint Now, Row &Each);
  static bool mayHaveBegun(const Row &Each);
  static bool isUnsettled(const Row &Each);

  RunBookOptions Options_;
  std::map<jobs::RunName, Row> Rows_;
  std::vector<End> Ends_;
  /// Ends that the worker's current life has listed and was not told to forget.
  std::map<std::uint64_t, jobs::RunName> ListedEnds_;
  /// The lowest number in the life's first list with ends.
  std::optional<std::uint64_t> FirstListedEnd_;
  std::uint64_t ForgottenEnd_ = 0;
};

} // namespace dragonfly::agent

namespace dragonfly {

template <> struct EnumTable<agent::RunBook::EndKnown> {
  using EndKnown = agent::RunBook::EndKnown;
  static constexpr std::array<EnumName<EndKnown>, 3> Rows{{
      {EndKnown::None, "none"},
      {EndKnown::Concluded, "concluded"},
      {EndKnown::Listed, "listed"},
  }};
};

} // namespace dragonfly

#endif // DRAGONFLY_AGENT_RUNBOOK_H
