#include "control/RecordBatcher.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <numeric>

namespace dragonfly::control {
namespace {

/// Rough size of a row besides its texts, in bytes.
constexpr std::size_t RowBytes = 64;

ReceiptRow rowOf(wire::Receipt Row) {
  return {.Key_ = std::move(Row.Key_),
          .Kind_ = std::move(Row.Kind_),
          .Outcome_ = Row.Outcome_,
          .Reason_ = Row.Reason_,
          .Claimant_ = Row.Claimant_,
          .NonIdempotent_ = Row.NonIdempotent_,
          .Age_ = Row.Age_,
          .Status_ = Row.Status_,
          .Body_ = Row.NonIdempotent_ ? std::move(Row.Body_) : std::string()};
}

ReportRow rowOf(const wire::TaskReport &Row) {
  return {.Task_ = Row.Task_,
          .Epoch_ = Row.Epoch_,
          .Event_ = Row.Event_,
          .Reason_ = Row.Reason_,
          .CheckpointId_ = Row.CheckpointId_,
          .Status_ = Row.Status_,
          .Body_ = Row.Body_};
}

wire::ClaimReply replyOf(const ClaimOutcome &Row) {
  wire::ClaimReply Reply;
  Reply.Status_ = Row.Status_;
  Reply.First_.Outcome_ = Row.Outcome_;
  Reply.First_.Reason_ = Row.Reason_;
  Reply.First_.Status_ = Row.HttpStatus_;
  Reply.First_.Body_ = Row.Body_;
  return Reply;
}

wire::TaskReply refusedTask(Reason Why) {
  wire::TaskReply Reply;
  Reply.Outcome_ = Outcome::RefusedNotRun;
  Reply.Reason_ = Why;
  return Reply;
}

/// Takes the rows and the replies out of a queue.
template <typename Queue> auto split(Queue Waiting) {
  std::pair<std::vector<decltype(Waiting.front().Row_)>,
            std::vector<RecordBatcher::Reply>>
      Parts;
  for (auto &Each : Waiting) {
    Parts.first.push_back(std::move(Each.Row_));
    Parts.second.push_back(std::move(Each.Reply_));
  }
  return Parts;
}

} // namespace

wire::TaskReply replyOf(const TaskRecord *Task) {
  wire::TaskReply Reply;
  if (Task == nullptr)
    return Reply;
  Reply.Known_ = true;
  Reply.Task_ = Task->Task_;
  Reply.State_ = Task->State_;
  Reply.Outcome_ = Task->Outcome_;
  Reply.Reason_ = Task->Reason_;
  Reply.Worker_ = Task->Worker_;
  Reply.Status_ = Task->Status_;
  Reply.Body_ = Task->Answer_;
  return Reply;
}

void RecordBatcher::add(const wire::Claim &Request, Reply Answer) {
  Claims_.push_back({.Row_ = {.Key_ = Request.Key_,
                              .Worker_ = Request.Worker_,
                              .Target_ = Request.Target_,
                              .Claimant_ = Request.Claimant_,
                              .Attempt_ = Request.Attempt_,
                              .BodyHash_ = Request.BodyHash_},
                     .Reply_ = std::move(Answer)});
  added(RowBytes);
}

void RecordBatcher::add(wire::ReceiptBatch Batch, Reply Answer) {
  std::vector<ReceiptRow> Rows;
  std::size_t Bytes = RowBytes;
  for (wire::Receipt &Row : Batch.Rows_) {
    Bytes += RowBytes + Row.Body_.size();
    Rows.push_back(rowOf(std::move(Row)));
  }
  Receipts_.push_back({.Row_ = std::move(Rows), .Reply_ = std::move(Answer)});
  added(Bytes);
}

void RecordBatcher::add(wire::SubmitTask Request, Reply Answer) {
  const std::size_t Bytes = RowBytes + Request.Body_.size();
  Submits_.push_back({.Row_ = {.Key_ = std::move(Request.Key_),
                               .Kind_ = std::move(Request.Kind_),
                               .Need_ = Request.Need_,
                               .TimeLeft_ = Request.TimeLeft_,
                               .ExpectedRunTime_ = Request.ExpectedRunTime_,
                               .NonIdempotent_ = Request.NonIdempotent_,
                               .Body_ = std::move(Request.Body_)},
                      .Reply_ = std::move(Answer)});
  added(Bytes);
}

void RecordBatcher::add(const wire::CancelTask &Request, Reply Answer) {
  const TaskRecord *Task = State_.tasks().find(Request.Key_);
  if (Task == nullptr || Task->ended()) {
    Answer(replyOf(Task));
    return;
  }
  Cancels_.push_back({.Row_ = Task->Task_, .Reply_ = std::move(Answer)});
  added(RowBytes);
}

void RecordBatcher::add(wire::TaskReports Batch, Reply Answer) {
  const std::size_t Bytes =
      std::accumulate(Batch.Rows_.begin(), Batch.Rows_.end(), RowBytes,
                      [](std::size_t Sum, const wire::TaskReport &Row) {
                        return Sum + RowBytes + Row.Body_.size();
                      });
  Reports_.push_back({.Row_ = std::move(Batch), .Reply_ = std::move(Answer)});
  added(Bytes);
}

void RecordBatcher::added(std::size_t Bytes) {
  Bytes_ += Bytes;
  if (Bytes_ > Options_.MaxRecordBytes_)
    flush();
}

void RecordBatcher::flush() {
  Bytes_ = 0;
  flushSubmits();
  flushClaims();
  flushReports();
  flushReceipts();
  flushCancels();
}

void RecordBatcher::refuseAll() {
  const auto Refuse = [this](auto &Queue) {
    for (auto &Waiting : std::exchange(Queue, {}))
      Waiting.Reply_(Options_.Refuse_());
  };
  Bytes_ = 0;
  Refuse(Claims_);
  Refuse(Receipts_);
  Refuse(Submits_);
  Refuse(Cancels_);
  Refuse(Reports_);
}

ProposeDone RecordBatcher::whenCommitted(
    std::vector<Reply> Replies,
    std::function<void(const CommandOutput &)> Answer) {
  return [this, Replies = std::move(Replies), Answer = std::move(Answer)](
             consensus::ProposeStatus Status, const CommandOutput &Output) {
    if (Status == consensus::ProposeStatus::Committed)
      Answer(Output);
    else if (Status == consensus::ProposeStatus::NotLeader)
      std::ranges::for_each(
          Replies, [this](const Reply &Each) { Each(Options_.Refuse_()); });
  };
}

void RecordBatcher::flushClaims() {
  if (Claims_.empty())
    return;
  auto [Rows, Replies] = split(std::exchange(Claims_, {}));
  Options_.Propose_(
      ClaimRequests{std::move(Rows)},
      whenCommitted(Replies, [Replies](const CommandOutput &Output) {
        const auto &Results = std::get<ClaimOutcomes>(Output);
        for (std::size_t I = 0; I < Replies.size(); ++I)
          Replies[I](replyOf(Results.Rows_.at(I)));
      }));
}

void RecordBatcher::flushReceipts() {
  if (Receipts_.empty())
    return;
  auto [Batches, Replies] = split(std::exchange(Receipts_, {}));
  MergeReceipts Body;
  std::vector<std::uint64_t> Counts;
  for (std::vector<ReceiptRow> &Batch : Batches) {
    Counts.push_back(Batch.size());
    // What has been merged already is durable: only its answer was lost.
    std::ranges::copy_if(
        std::make_move_iterator(Batch.begin()),
        std::make_move_iterator(Batch.end()), std::back_inserter(Body.Rows_),
        [this](const ReceiptRow &Row) {
          return Row.NonIdempotent_ || !State_.counts().isRedundant(Row);
        });
  }
  const auto Acknowledge = [Replies, Counts](const CommandOutput &) {
    for (std::size_t I = 0; I < Replies.size(); ++I)
      Replies[I](wire::ReceiptAck{.Count_ = Counts[I]});
  };
  if (Body.Rows_.empty())
    Acknowledge({});
  else
    Options_.Propose_(std::move(Body), whenCommitted(Replies, Acknowledge));
}

void RecordBatcher::flushSubmits() {
  if (Submits_.empty())
    return;
  auto [Rows, Replies] = split(std::exchange(Submits_, {}));
  Options_.Propose_(
      AcceptTasks{std::move(Rows)},
      whenCommitted(Replies, [this, Replies](const CommandOutput &Output) {
        const auto &Results = std::get<AcceptOutcomes>(Output);
        for (std::size_t I = 0; I < Replies.size(); ++I) {
          const AcceptOutcome &Result = Results.Rows_.at(I);
          if (Result.Status_ == AcceptStatus::Accepted)
            Replies[I](replyOf(State_.tasks().find(Result.Task_)));
          else
            Replies[I](
                refusedTask(Result.Status_ == AcceptStatus::RequestIdReused
                                ? Reason::RequestIdReused
                                : Reason::QueueFull));
        }
      }));
}

void RecordBatcher::flushCancels() {
  if (Cancels_.empty())
    return;
  auto [Rows, Replies] = split(std::exchange(Cancels_, {}));
  const std::vector<TaskId> Tasks = Rows;
  Options_.Propose_(
      CancelTasks{std::move(Rows)},
      whenCommitted(Replies, [this, Replies, Tasks](const CommandOutput &) {
        for (std::size_t I = 0; I < Replies.size(); ++I)
          Replies[I](replyOf(State_.tasks().find(Tasks[I])));
      }));
}

/// Reports of different workers go into records of their own.
void RecordBatcher::flushReports() {
  for (Waiting<wire::TaskReports> &Each : std::exchange(Reports_, {})) {
    ReportTasks Body{.Worker_ = Each.Row_.Worker_, .Rows_ = {}};
    std::ranges::transform(
        Each.Row_.Rows_, std::back_inserter(Body.Rows_),
        [](const wire::TaskReport &Row) { return rowOf(Row); });
    const auto Batch =
        std::make_shared<wire::TaskReports>(std::move(Each.Row_));
    const Reply Answer = Each.Reply_;
    Options_.Propose_(
        std::move(Body),
        whenCommitted({Answer}, [this, Answer, Batch](const CommandOutput &) {
          Options_.OnReported_(*Batch);
          Answer(wire::TaskReportsAck{.Count_ = Batch->Rows_.size()});
        }));
  }
}

} // namespace dragonfly::control
