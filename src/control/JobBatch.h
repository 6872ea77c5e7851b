/// Gathers the job changes of a tick into one record of the replicated log.
#ifndef DRAGONFLY_SRC_CONTROL_JOBBATCH_H
#define DRAGONFLY_SRC_CONTROL_JOBBATCH_H

#include "dragonfly/control/JobService.h"

#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::control {

/// Callers add rows to `record()` and register a handler with `onOutcome`. It
/// receives the outcomes once the record is committed, or null if it is not.
class JobBatch {
public:
  using Status = consensus::ProposeStatus;
  /// \p Outcomes is null unless the status is Committed.
  using OutcomeHandler =
      std::function<void(Status, const JobOutcomes *Outcomes)>;

  /// \p OnRunEnd is called, before the handlers, with each committed run end
  /// that took effect.
  JobBatch(const JobServiceOptions &Options,
           std::function<void(const jobs::EndRow &)> OnRunEnd)
      : Options_(Options), OnRunEnd_(std::move(OnRunEnd)) {}

  /// Returns the record that is being gathered.
  UpdateJobs &record() { return Record_; }
  void onOutcome(OutcomeHandler Handler) {
    Handlers_.push_back(std::move(Handler));
  }

  /// Proposes the gathered record, if it has any rows.
  void flush() {
    if (Record_.empty())
      return;
    std::vector<jobs::EndRow> Ends = Record_.Ends_;
    Options_.Propose_(
        std::exchange(Record_, {}),
        [this, Ends = std::move(Ends), Handlers = std::exchange(Handlers_, {})](
            Status Result, const CommandOutput &Output) {
          const auto *Outcomes = Result == Status::Committed
                                     ? std::get_if<JobOutcomes>(&Output)
                                     : nullptr;
          for (std::size_t I = 0; Outcomes != nullptr && I < Ends.size(); ++I)
            if (Outcomes->Ends_.at(I) != 0)
              OnRunEnd_(Ends[I]);
          for (const OutcomeHandler &Handler : Handlers)
            Handler(Result, Outcomes);
        });
  }

  /// Drops the gathered record, which was not proposed, and calls its handlers
  /// with `NotLeader`.
  void failAll() {
    Record_ = {};
    for (const OutcomeHandler &Handler : std::exchange(Handlers_, {}))
      Handler(Status::NotLeader, nullptr);
  }

private:
  const JobServiceOptions &Options_;
  std::function<void(const jobs::EndRow &)> OnRunEnd_;
  UpdateJobs Record_;
  std::vector<OutcomeHandler> Handlers_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_JOBBATCH_H
