/// Gathers the changes of a tick into one record.
#ifndef DRAGONFLY_SRC_CONTROL_JOBBATCH_H
#define DRAGONFLY_SRC_CONTROL_JOBBATCH_H

#include "dragonfly/control/JobService.h"

#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::control {

/// Rows are added with a handler that gets the row's outcome once the record
/// is committed, or nothing where that failed.
class JobBatch {
public:
  using Status = consensus::ProposeStatus;
  /// \p Outcomes is null unless the status is Committed.
  using Done = std::function<void(Status, const JobOutcomes *Outcomes)>;

  /// \p OnEnd is called with each end that had an effect.
  JobBatch(const JobServiceOptions &Options,
           std::function<void(const jobs::EndRow &)> OnEnd)
      : Options_(Options), OnEnd_(std::move(OnEnd)) {}

  /// The rows of the record that is being gathered.
  UpdateJobs &rows() { return Rows_; }
  void whenDone(Done Handler) { Handlers_.push_back(std::move(Handler)); }

  /// Proposes what has been gathered.
  void flush() {
    if (Rows_.empty())
      return;
    std::vector<jobs::EndRow> Ends = Rows_.Ends_;
    Options_.Propose_(
        std::exchange(Rows_, {}),
        [this, Ends = std::move(Ends), Handlers = std::exchange(Handlers_, {})](
            Status Result, const CommandOutput &Output) {
          const auto *Outcomes = Result == Status::Committed
                                     ? std::get_if<JobOutcomes>(&Output)
                                     : nullptr;
          for (std::size_t I = 0; Outcomes != nullptr && I < Ends.size(); ++I)
            if (Outcomes->Ends_.at(I) != 0)
              OnEnd_(Ends[I]);
          for (const Done &Handler : Handlers)
            Handler(Result, Outcomes);
        });
  }

  /// Fails what has been gathered; none of it was proposed.
  void refuseAll() {
    Rows_ = {};
    for (const Done &Handler : std::exchange(Handlers_, {}))
      Handler(Status::NotLeader, nullptr);
  }

private:
  const JobServiceOptions &Options_;
  std::function<void(const jobs::EndRow &)> OnEnd_;
  UpdateJobs Rows_;
  std::vector<Done> Handlers_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_JOBBATCH_H
