/// Gathers what arrives within a tick into one record per command, and answers
/// each sender once the record is committed.
#ifndef DRAGONFLY_SRC_CONTROL_RECORDBATCHER_H
#define DRAGONFLY_SRC_CONTROL_RECORDBATCHER_H

#include "dragonfly/consensus/ReplicatedLog.h"
#include "dragonfly/control/Command.h"
#include "dragonfly/control/StateMachine.h"
#include "dragonfly/wire/Messages.h"

#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::control {

using ProposeDone =
    std::function<void(consensus::ProposeStatus, const CommandOutput &)>;

struct RecordBatcherOptions {
  /// Stamps and proposes a record; the handler runs within a later tick.
  std::function<void(CommandBody, ProposeDone)> Propose_;
  /// Returns the answer to a request that was not taken.
  std::function<wire::Refusal()> Refuse_;
  /// Called with reports once they are applied.
  std::function<void(const wire::TaskReports &)> OnReported_;
  /// Bytes beyond which a record is closed and another one begun.
  std::size_t MaxRecordBytes_ = 256U << 10U;
};

/// Returns the answer about a task.
wire::TaskReply replyOf(const TaskRecord *Task);

class RecordBatcher {
public:
  using Reply = std::function<void(wire::Message)>;

  RecordBatcher(RecordBatcherOptions Options, const StateMachine &State)
      : Options_(std::move(Options)), State_(State) {}

  void add(const wire::Claim &Request, Reply Answer);
  void add(wire::ReceiptBatch Batch, Reply Answer);
  void add(wire::SubmitTask Request, Reply Answer);
  void add(const wire::CancelTask &Request, Reply Answer);
  void add(wire::TaskReports Batch, Reply Answer);

  /// Proposes everything that has been added.
  void flush();
  /// Refuses everything that has been added and not proposed.
  void refuseAll();
  /// Bytes that wait to be proposed.
  std::size_t pendingBytes() const { return Bytes_; }

private:
  template <typename Row> struct Waiting {
    Row Row_;
    Reply Reply_;
  };
  template <typename Row> using Queue = std::vector<Waiting<Row>>;

  void added(std::size_t Bytes);
  void flushClaims();
  void flushReceipts();
  void flushSubmits();
  void flushCancels();
  void flushReports();
  /// Wraps \p Answer so that it runs only on a commit.
  ProposeDone whenCommitted(std::vector<Reply> Replies,
                            std::function<void(const CommandOutput &)> Answer);

  RecordBatcherOptions Options_;
  const StateMachine &State_;
  std::size_t Bytes_ = 0;
  Queue<ClaimRow> Claims_;
  Queue<std::vector<ReceiptRow>> Receipts_;
  Queue<TaskRequest> Submits_;
  Queue<TaskId> Cancels_;
  Queue<wire::TaskReports> Reports_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_RECORDBATCHER_H
