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

  explicit JobBatch(const JobServiceOptions &Options) : Options_(Options) {}

  /// The rows of the record that is being gathered.
  UpdateJobs &rows() { return Rows_; }
  void whenDone(Done Handler) { Handlers_.push_back(std::move(Handler)); }

  /// Proposes what has been gathered.
  void flush() {
    if (Rows_.empty())
      return;
    Options_.Propose_(std::exchange(Rows_, {}),
                      [Handlers = std::exchange(Handlers_, {})](
                          Status Result, const CommandOutput &Output) {
                        const auto *Outcomes =
                            Result == Status::Committed
                                ? std::get_if<JobOutcomes>(&Output)
                                : nullptr;
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
  UpdateJobs Rows_;
  std::vector<Done> Handlers_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_JOBBATCH_H
