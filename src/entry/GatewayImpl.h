/// The tables of a Gateway and the steps that a request goes through.
#ifndef DRAGONFLY_SRC_ENTRY_GATEWAYIMPL_H
#define DRAGONFLY_SRC_ENTRY_GATEWAYIMPL_H

#include "dragonfly/decide/RetryBudget.h"
#include "dragonfly/decide/SlotShares.h"
#include "dragonfly/entry/AttemptRules.h"
#include "dragonfly/entry/Gateway.h"

#include <map>
#include <queue>
#include <unordered_map>
#include <unordered_set>

namespace dragonfly::entry {

/// Where a request stands.
enum class Phase : std::uint8_t {
  Waiting,   ///< In the admission table.
  Claiming,  ///< Admitted; its claim is on the way to control.
  Executing, ///< An attempt is with an agent.
  Pausing,   ///< Refused for now by agents; tried again before its deadline.
  Following, ///< Control carries it as a task.
  Done
};

/// One caller that waits.
struct Waiter {
  WaiterId Id_ = 0;
  AnswerHooks Hooks_;
};

/// One attempt on one upstream.
struct Attempt {
  std::uint32_t Try_ = 0;
  decide::UpstreamIndex Index_ = 0;
  std::string Worker_;
  Incarnation Target_;
  TimePoint StartedAt_;
};

/// One kind and its number towards the router.
struct KindRow {
  settings::KindSettings Settings_;
  decide::RoutedKind Routed_ = 0;
};

/// One row of the request table.
struct Request {
  wire::RequestKey Key_;
  const KindRow *Kind_ = nullptr;
  std::string Body_;
  std::uint64_t BodyHash_ = 0;
  TimePoint ArrivedAt_;
  TimePoint DispatchedAt_;
  TimePoint Deadline_;
  Phase Phase_ = Phase::Waiting;
  decide::RequestHandle Handle_ = 0;
  bool Admitted_ = false;
  bool Detached_ = false;
  bool CancelAsked_ = false;
  /// True once an attempt ended without certainty that it did not run.
  bool MayHaveRun_ = false;
  /// True once control has granted the claim to this entry.
  bool ClaimHeld_ = false;
  bool PartsPassed_ = false;
  std::uint32_t Tries_ = 0;
  /// Tries made before the last pause; each pause allows as many again.
  std::uint32_t TriesBeforePause_ = 0;
  std::uint32_t Pauses_ = 0;
  std::uint32_t ClaimAttempt_ = 1;
  /// Fresh for each request, so that a later resend at this entry is told from
  /// a claim whose answer was lost.
  Incarnation Claimant_;
  /// The upstream chosen for the next attempt.
  Attempt Next_;
  /// Attempts with an agent: one, or two where a hedge was sent.
  std::vector<Attempt> Active_;
  std::vector<decide::UpstreamIndex> Excluded_;
  std::vector<Waiter> Waiters_;

  bool streamed() const {
    return Kind_->Settings_.Urgency_ == settings::Urgency::Watch;
  }
  bool task() const {
    return Kind_->Settings_.Carrier_ == settings::Carrier::Task;
  }
  bool hedged() const {
    return Kind_->Settings_.Urgency_ == settings::Urgency::LatencyCritical &&
           !Kind_->Settings_.NonIdempotent_;
  }
  Repeatable repeatable() const {
    return Kind_->Settings_.NonIdempotent_ ? Repeatable::No : Repeatable::Yes;
  }
};

using RequestPtr = std::shared_ptr<Request>;

/// When a request is sent to a second upstream, if its attempt goes on.
struct Hedge {
  TimePoint At_;
  std::uint32_t Try_ = 0;
  RequestPtr Row_;

  bool operator>(const Hedge &Other) const { return At_ > Other.At_; }
};

struct Gateway::Impl : std::enable_shared_from_this<Gateway::Impl> {
  explicit Impl(GatewayOptions Options);

  // Gateway.cpp: arrival and end.
  WaiterId submit(TimePoint Now, CallerRequest Sent, AnswerHooks Hooks);
  Reason reasonToRefuse(TimePoint Now, const CallerRequest &Sent) const;
  WaiterId join(const RequestPtr &Existing, std::uint64_t BodyHash,
                AnswerHooks Hooks);
  RequestPtr insert(TimePoint Now, CallerRequest Sent, std::uint64_t BodyHash);
  void callerGone(TimePoint Now, WaiterId Gone);
  void abandon(TimePoint Now, const RequestPtr &Row);
  RequestPtr find(const wire::RequestKey &Key) const;
  RequestStatus cancel(TimePoint Now, const wire::RequestKey &Key);
  void tellAccepted(const Request &Row);
  void drop(const RequestPtr &Row);
  void finish(TimePoint Now, const RequestPtr &Row, Answer End);
  void leaveReceipt(const Request &Row, const Answer &End);
  void pump(TimePoint Now);
  void obey(TimePoint Now, const decide::AdmissionCommand &Command);
  void tick(TimePoint Now);
  bool dividesSlots() const;
  void divideSlots(std::vector<decide::UpstreamRow> &Rows) const;
  std::uint32_t capacity() const;

  // GatewayAttempts.cpp: claims and attempts.
  void beginAttempt(TimePoint Now, const RequestPtr &Row);
  void claim(TimePoint Now, const RequestPtr &Row);
  void claimEnded(TimePoint Now, const RequestPtr &Row, net::CallResult Result);
  void claimAnswered(TimePoint Now, const RequestPtr &Row,
                     wire::ClaimReply Reply);
  void execute(TimePoint Now, const RequestPtr &Row);
  void takePart(TimePoint Now, const RequestPtr &Row, std::uint32_t Try,
                const wire::Message &Part);
  void attemptEnded(TimePoint Now, const RequestPtr &Row, std::uint32_t Try,
                    net::CallResult Result);
  void releaseUpstream(TimePoint Now, const Request &Row, const Attempt &Ended,
                       decide::AttemptResult Result);
  bool pick(TimePoint Now, Request &Row);
  void cancelActive(TimePoint Now, const RequestPtr &Row);
  void sendDueHedges(TimePoint Now);
  void hedge(TimePoint Now, const RequestPtr &Row);
  bool tryElsewhere(TimePoint Now, const RequestPtr &Row, const Attempt &Ended,
                    const AttemptJudgement &Judged);
  bool waitAgain(TimePoint Now, const RequestPtr &Row,
                 const AttemptJudgement &Judged);
  void resume(TimePoint Now, const RequestPtr &Row);
  void endWith(TimePoint Now, const RequestPtr &Row, Outcome End, Reason Why);

  // GatewayTasks.cpp: kinds that control carries as tasks.
  void submitTask(TimePoint Now, const RequestPtr &Row);
  void taskSubmitted(TimePoint Now, const RequestPtr &Row,
                     net::CallResult Result);
  void follow(TimePoint Now, const RequestPtr &Row);
  void taskAnswered(TimePoint Now, const RequestPtr &Row,
                    wire::TaskReply Reply);
  void pollLater(TimePoint Now, const RequestPtr &Row);

  GatewayOptions Options_;
  std::unordered_map<std::string, KindRow> Kinds_;
  std::unordered_set<std::string> Customers_;
  decide::Admission Admission_;
  decide::Router Router_;
  std::vector<decide::EntryRow> Entries_;
  std::string OwnName_;
  std::uint32_t Slots_ = 0;
  AnswerWindow Window_;
  std::unordered_map<wire::RequestKey, RequestPtr, RequestKeyHash> Requests_;
  std::unordered_map<decide::RequestHandle, RequestPtr> Waiting_;
  std::unordered_map<WaiterId, RequestPtr> Waiters_;
  std::multimap<TimePoint, RequestPtr> Polls_;
  std::priority_queue<Hedge, std::vector<Hedge>, std::greater<>> Hedges_;
  /// Hedges take from this and from the router's budget, so that they leave
  /// part of it for retries.
  decide::RetryBudget HedgeBudget_;
  std::vector<decide::AdmissionCommand> Commands_;
  WaiterId LastWaiter_ = 0;
  bool Pumping_ = false;
  bool PumpAgain_ = false;
  bool Draining_ = false;
};

} // namespace dragonfly::entry

#endif // DRAGONFLY_SRC_ENTRY_GATEWAYIMPL_H
