/// What an agent holds, shared by the files that implement it.
#ifndef DRAGONFLY_SRC_AGENT_WORKERAGENTIMPL_H
#define DRAGONFLY_SRC_AGENT_WORKERAGENTIMPL_H

#include "dragonfly/agent/WorkerAgent.h"
#include "dragonfly/base/Log.h"
#include "dragonfly/base/Random.h"
#include "dragonfly/decide/HeartbeatOrder.h"
#include "dragonfly/decide/SpeedControl.h"
#include "dragonfly/link/LeaderClient.h"
#include "dragonfly/net/EventLoop.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonfly::agent {

/// WorkerAgent.cpp talks to control, WorkerAgentCalls.cpp to the worker;
/// WorkerAgentIdentity.cpp decides which worker that is.
struct WorkerAgent::Impl : std::enable_shared_from_this<WorkerAgent::Impl> {
  Impl(net::EventLoop &Loop, link::LeaderClient &Leader,
       WorkerAgentOptions Options)
      : Loop_(Loop), Leader_(Leader), Options_(std::move(Options)),
        Self_(makeFreshId<Incarnation>()),
        Heartbeats_({.Period_ = Options_.HeartbeatPeriod_}),
        Book_(Options_.Runs_), Lease_(Options_.Lease_) {}

  /// What is kept of a report until its answer.
  struct SentReport {
    TimePoint SentAt_;
    std::size_t Ends_ = 0;
    bool Complete_ = false;
    std::uint64_t Life_ = 0;
    std::uint64_t Session_ = 0;
  };

  // Control.

  void start();
  void openSession();
  void sessionEnded();
  void takeOrders(wire::WorkerOrders Orders);
  void takeStart(TimePoint Now, wire::StartOrder Order);
  void tick();
  void sendReport();
  void reportAnswered(const SentReport &Sent, const link::LeaderResult &Result);
  void stop(std::function<void()> OnStopped);
  /// Ends the stop after a report that left once the stop had begun.
  void finishStop();
  void stopped();

  // Which worker is on the VM.

  /// Anybody can send an announcement. The first one opens a session, in which
  /// nothing is reported before that worker has listed its runs; later, only
  /// the answer of a worker replaces the current one.
  void announced(const WorkerAnnouncement &Value);
  /// Takes an announcement of the current life. Of a late one, which may be
  /// another writer's, only a drain and a smaller capacity are applied: for a
  /// moment the worker gets too little work rather than too much.
  void update(const WorkerAnnouncement &Value);
  /// Takes another description of the current life once it is repeated before
  /// the known one is: a single one may be another writer's.
  void updateDescription(const WorkerAnnouncement &Value);
  /// Takes the capacity of an announcement: a smaller one at once, a larger one
  /// as far as the announcement before had it too, since a single one may be
  /// another writer's. A change begins a session, which tells control.
  void updateCapacity(const Resources &Announced, decide::HeartbeatPlace Place);
  /// Counts and logs an announcement that was not applied in full. \p Newest is
  /// the sequence number that it was compared with.
  void noteRejected(const WorkerAnnouncement &Value, std::string_view Reason,
                    std::uint64_t Newest);
  void noteRejected(const WorkerAnnouncement &Value, std::string_view Reason) {
    noteRejected(Value, Reason, Heartbeats_.newestNumber());
  }
  /// Takes a departure back: a worker that has left does not announce itself as
  /// ready, so that the notice was another writer's.
  void retractDeparture(const WorkerAnnouncement &Value);
  /// Asks the worker on the VM whether it is the announced one.
  void probeCandidate();
  void candidateAnswered(const WorkerAnnouncement &Probed,
                         const HoldAnswer &Answer);
  void retryProbe(TimePoint Now);
  /// Begins the life of another worker, or another life of the same one.
  void adopt(const WorkerAnnouncement &Value);
  /// The worker ends once it has its answer, or some seconds later: until its
  /// lease is over, its runs may go on.
  void departed(const std::string &Worker);
  /// Keeps calls with \p Token, which were made to the life before under the
  /// same id, from being carried out by this one while it has no session.
  void fenceOff(std::uint64_t Token);
  /// Whether the worker is only fenced off from earlier calls.
  bool isFencedOff() const { return Session_ == 0 && Fence_ > StartFence_; }
  /// Notes that the worker \p Crashed has been replaced without notice.
  void noteCrash(const WorkerAnnouncement &Crashed);
  /// Tells control of the oldest crash that it has not recorded.
  void reportCrash();
  /// Tells control that a departed worker has no runs any more.
  void finishDeparture();

  // The worker.

  /// The worker knows, or will learn, the fence that calls carry.
  bool mayCall() const { return Fence_ != 0; }

  /// Returns the lease to name in a call, or zero where none may be granted.
  WorkerTime grantLease(TimePoint Now);
  /// Once the lease has run out, control may run the tasks elsewhere. A new
  /// lease would apply to an old start that is carried out late, so that none
  /// is granted before all starts are settled.
  void noteUnsettled(TimePoint Now);
  /// Registers anew where stops get no answer: the first list under a higher
  /// token settles every start at once. While the lease goes on, the task of
  /// such a start would else run nowhere.
  void renewToken(TimePoint Now);
  void lapse(TimePoint Now);
  void hold();
  /// How long the worker may hold back its next list.
  Duration listWait() const;
  void holdAnswered(TimePoint SentAt, std::uint64_t Fence,
                    std::uint64_t Session, const HoldAnswer &Answer);
  /// Logs listed runs that are not in the book, and stops those whose ends
  /// control has recorded.
  void handleUnexpectedRuns(TimePoint Now, const HoldAnswer &Answer,
                            bool IsOfSession);
  void noteSilence(bool Silent);
  /// Carries out the calls that are due.
  void pump();
  void callStart(const jobs::RunName &Run);
  void callStop(const jobs::RunName &Run);
  void updateSuspect(const jobs::RunName &Run, StartStatus Status,
                     bool HasNotBegun);
  void afterAnswer();
  /// Keeps runs that serve under their targets, at the cost of the runs on
  /// spare processors that disturb them.
  void controlSpeed(TimePoint Now);
  void callPace(const jobs::RunName &Run, std::uint32_t Percent);

  net::EventLoop &Loop_;
  link::LeaderClient &Leader_;
  WorkerAgentOptions Options_;
  /// Drawn anew where another process turns out to have spoken for the worker.
  Incarnation Self_;
  /// Leases that an earlier process granted were granted before.
  TimePoint ProcessStart_ = Clock::now();
  /// Its capacity and its drain are those that count.
  WorkerAnnouncement Worker_;
  decide::HeartbeatOrder Heartbeats_;
  /// Capacities of the newest announcement and of the last late one.
  Resources AnnouncedCapacity_;
  Resources LateCapacity_;
  /// The worker has answered as the life that `Worker_` announces.
  bool Confirmed_ = false;
  /// The newest announcement of another life, until the worker has answered.
  std::optional<WorkerAnnouncement> Candidate_;
  bool ProbeOpen_ = false;
  TimePoint NextProbeAt_;
  /// The newest announcement of the current life with another description.
  std::optional<WorkerAnnouncement> Disputed_;
  /// When the current description was last announced.
  TimePoint DescribedAt_;
  /// Counts lives, so that answers of earlier ones are told apart.
  std::uint64_t Life_ = 0;
  RunBook Book_;
  decide::SpeedControl Speeds_;

  /// Counts streams; parts of earlier ones have no effect.
  std::uint64_t Stream_ = 0;
  /// 0 while no session is open.
  std::uint64_t Session_ = 0;
  std::uint64_t Fence_ = 0;
  /// Control has heard of everything that runs here, in this session.
  bool Complete_ = false;
  /// The worker has answered a list under the session's token.
  bool Listed_ = false;
  /// One of these lists held all of its ends.
  bool ListedAll_ = false;

  bool HoldOpen_ = false;
  TimePoint NextHoldAt_;
  /// What control knows of runs that it had ordered from another process.
  std::map<jobs::RunName, wire::StartOrder> Known_;
  bool Silent_ = false;
  /// The lease has run out, and starts may still be carried out.
  bool Unsettled_ = false;
  /// Stops have until then to settle them.
  TimePoint SettleBy_;
  /// The token of the newest start.
  std::uint64_t StartFence_ = 0;
  bool RenewsToken_ = false;
  /// The worker has said that it ends.
  bool Departed_ = false;
  /// Unproven runs when the worker fell silent, without those of which it has
  /// turned out that they had not begun. If it has crashed, one of them may be
  /// the cause.
  std::vector<RunBook::UnprovenRun> Suspects_;
  /// Crashes that control has not recorded yet, oldest first.
  std::deque<jobs::WorkerCrash> Crashes_;
  bool CrashReportOpen_ = false;
  WorkerLease Lease_;

  bool ReportOpen_ = false;
  TimePoint ReportedAt_;
  bool Stopping_ = false;
  bool FinalReport_ = false;
  std::function<void()> OnStopped_;
  net::Timer Ticks_;
  net::Timer Reattach_;
  net::Timer StopBy_;
};

} // namespace dragonfly::agent

#endif // DRAGONFLY_SRC_AGENT_WORKERAGENTIMPL_H
