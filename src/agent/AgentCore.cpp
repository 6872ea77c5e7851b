#include "dragonfly/agent/AgentCore.h"

#include "dragonfly/agent/Ledger.h"
#include "dragonfly/agent/TaskRunner.h"
#include "dragonfly/agent/VmLease.h"
#include "dragonfly/base/Log.h"
#include "dragonfly/link/Outbox.h"
#include "dragonfly/link/ReceiptKeeper.h"
#include "dragonfly/net/EventLoop.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::agent {
namespace {

/// How often the lease is compared with the clock.
constexpr Duration LeaseCheckPeriod = std::chrono::milliseconds(20);
/// Longest wait for control's answer about directives and reports.
constexpr Duration ControlTimeout = std::chrono::seconds(2);
/// Pause between looks at whether a stop can go on.
constexpr Duration StopCheckPeriod = std::chrono::milliseconds(20);

std::vector<net::Endpoint>
controlEndpoints(const settings::ProcessSettings &Process) {
  std::vector<net::Endpoint> Endpoints(Process.Control_.size());
  std::ranges::transform(Process.Control_, Endpoints.begin(),
                         net::Endpoint::make,
                         &settings::ReplicaSettings::Address_);
  return Endpoints;
}

} // namespace

struct AgentCore::Impl {
  Impl(net::EventLoop &Loop, AgentCoreOptions Options)
      : Loop_(Loop), Settings_(std::move(Options.Settings_)),
        Self_(Options.Self_), StartedAt_(Clock::now()),
        Ledger_({.Capacity_ = Settings_.Capacity_,
                 .Slots_ = Settings_.Slots_,
                 .Connections_ = Settings_.Connections_}),
        Hooks_(std::move(Options.Upstream_)),
        Link_(Loop, linkOptions(std::move(Options.Transport_))),
        Receipts_(Loop, receiptOptions()),
        Reports_(std::make_shared<Outbox>(Loop, reportOptions())),
        Requests_(
            {.Self_ = Self_,
             .Ledger_ = &Ledger_,
             .MayAccept_ = [this] { return mayAccept(); },
             .OnReceipt_ =
                 [this](wire::Receipt Row) { Receipts_.add(std::move(Row)); },
             .Upstream_ = Hooks_}),
        Tasks_({.Ledger_ = &Ledger_,
                .MayStart_ = [this] { return mayStart(); },
                .OnReport_ =
                    [this](wire::TaskReport Row) {
                      Reports_->add(std::move(Row));
                    },
                .Upstream_ = Hooks_}) {
    Polls_ = Loop_.every(Settings_.Process_.Deployment_.HeartbeatPeriod_,
                         [this] { poll(); });
    LeaseChecks_ = Loop_.every(LeaseCheckPeriod, [this] { checkLease(); });
    poll();
  }

  using Outbox = link::Outbox<wire::TaskReport>;

  link::ControlLinkOptions linkOptions(link::ControlTransport Transport) {
    const settings::ProcessSettings &Process = Settings_.Process_;
    return {.Transport_ = std::move(Transport),
            .Listen_ = net::Endpoint::make(Settings_.Listen_),
            .Replicas_ = controlEndpoints(Process),
            .HeartbeatPeriod_ = Process.Deployment_.HeartbeatPeriod_,
            .LeaseTerm_ = Process.Deployment_.LeaseTerm_,
            .Identity_ = {.Role_ = wire::Role::Agent,
                          .Name_ = Process.Name_,
                          .Incarnation_ = Self_,
                          .AvailabilityZone_ = Process.AvailabilityZone_,
                          .Rack_ = Process.Rack_,
                          .Address_ = Settings_.Listen_},
            .OnHeartbeat_ = [this](wire::Heartbeat &Beat) { fill(Beat); },
            .OnLists_ = {},
            .OnLeaderAck_ =
                [this](const wire::HeartbeatAck &Ack) { renewed(Ack); }};
  }

  link::ReceiptKeeperOptions receiptOptions() {
    return {.Holder_ = Settings_.Process_.Name_,
            .Incarnation_ = Self_,
            .CallLeader_ = [this](wire::Message Request, Duration Timeout,
                                  net::FrameClient::Handler OnEnd) {
              Link_.callLeader(std::move(Request), Timeout, std::move(OnEnd));
            }};
  }

  link::OutboxOptions<wire::TaskReport> reportOptions() {
    return {.Send_ = [this](std::vector<wire::TaskReport> Rows,
                            std::function<void(bool)> OnEnd) {
      Link_.callLeader(
          wire::TaskReports{.Worker_ = Settings_.Process_.Name_,
                            .Incarnation_ = Self_,
                            .Rows_ = std::move(Rows)},
          ControlTimeout,
          [OnEnd = std::move(OnEnd)](const net::CallResult &Result) {
            OnEnd(std::holds_alternative<wire::TaskReportsAck>(Result.Answer_));
          });
    }};
  }

  void fill(wire::Heartbeat &Beat) const {
    Beat.Draining_ = Draining_ || !Healthy_;
    Beat.LedgerReady_ = LedgerReady_;
    Beat.Vm_ = {.Capacity_ = Ledger_.capacity(),
                .Committed_ = Ledger_.committed(),
                .Slots_ = Ledger_.slots(),
                .FreeSlots_ = Ledger_.freeSlots(),
                .RunningTasks_ = static_cast<std::uint32_t>(Ledger_.tasks()),
                .Usage_ = Usage_};
  }

  Reason mayAccept() const {
    if (Draining_ || !Healthy_)
      return Reason::Draining;
    if (!LedgerReady_)
      return Reason::LedgerNotReady;
    if (!Link_.configurationFresh())
      return Reason::StaleConfiguration;
    return Receipts_.full() ? Reason::NoFreeSlot : Reason::None;
  }

  Reason mayStart() const {
    const Reason Why = mayAccept();
    if (Why != Reason::None)
      return Why;
    return Lease_.held(Clock::now()) ? Reason::None
                                     : Reason::StaleConfiguration;
  }

  void renewed(const wire::HeartbeatAck &Ack) {
    Lease_.renew(TimePoint(Ack.SentAt_), Ack.LeaseTerm_, Ack.Epoch_);
    Hooks_.Lease_(Lease_.until());
    if (!Ack.DirectivesPending_ || Fetching_)
      return;
    Fetching_ = true;
    Link_.callLeader(wire::FetchDirectives{.Worker_ = Settings_.Process_.Name_,
                                           .Incarnation_ = Self_},
                     ControlTimeout, [this](const net::CallResult &Result) {
                       Fetching_ = false;
                       if (const auto *Rows =
                               std::get_if<wire::Directives>(&Result.Answer_))
                         Tasks_.take(Rows->Rows_);
                     });
  }

  void poll() {
    // A checkpoint that went unanswered, or a start that was under way.
    if (Draining_)
      Tasks_.checkpointAll();
    Hooks_.Health_([this](bool Healthy) { Healthy_ = Healthy; });
    Hooks_.Usage_([this](std::optional<Resources> Usage) {
      Usage_ = Usage.value_or(Usage_);
    });
    Hooks_.List_([this](std::optional<std::vector<WorkerTask>> Listed) {
      if (!Listed)
        return;
      if (LedgerReady_)
        Tasks_.reconcile(*Listed);
      else
        becomeReady(*Listed);
    });
    const Duration Term = Settings_.Process_.Deployment_.LeaseTerm_;
    if (!LedgerReady_ && Clock::now() - StartedAt_ > Term)
      becomeReady({});
  }

  void becomeReady(const std::vector<WorkerTask> &Listed) {
    for (const WorkerTask &Found : Listed)
      Tasks_.adopt(Found);
    LedgerReady_ = true;
    logEvent(Event::AgentReady, {{"tasks", Listed.size()}});
    Link_.beat();
  }

  void checkLease() {
    if (Tasks_.running() == 0 || Lease_.held(Clock::now())) {
      Expired_ = false;
      return;
    }
    if (!std::exchange(Expired_, true))
      logEvent(Event::LeaseExpired, {{"tasks", Tasks_.running()}});
    Tasks_.stopAll(Reason::Timeout);
  }

  void stop(std::function<void(bool)> OnStopped) {
    Draining_ = true;
    logEvent(Event::AgentDraining, {{"in_progress", Requests_.inProgress()}});
    Link_.beat();
    OnStopped_ = std::move(OnStopped);
    StopBy_ = Clock::now() + Settings_.Process_.StopBound_;
    Tasks_.checkpointAll();
    Stops_ = Loop_.every(StopCheckPeriod, [this] { continueStop(); });
  }

  void continueStop() {
    const bool Idle = Requests_.inProgress() == 0 && Tasks_.running() == 0;
    const bool Settled =
        Idle && Receipts_.pending() == 0 && Reports_->pending() == 0;
    if (!Settled && Clock::now() < StopBy_)
      return;
    Stops_.cancel();
    std::exchange(OnStopped_, nullptr)(Settled);
  }

  net::EventLoop &Loop_;
  settings::AgentSettings Settings_;
  Incarnation Self_;
  TimePoint StartedAt_;
  Ledger Ledger_;
  UpstreamHooks Hooks_;
  VmLease Lease_;
  Resources Usage_;
  bool LedgerReady_ = false;
  bool Healthy_ = false;
  bool Draining_ = false;
  bool Fetching_ = false;
  bool Expired_ = false;
  link::ControlLink Link_;
  link::ReceiptKeeper Receipts_;
  std::shared_ptr<Outbox> Reports_;
  RequestRunner Requests_;
  TaskRunner Tasks_;
  net::Timer Polls_;
  net::Timer LeaseChecks_;
  net::Timer Stops_;
  std::function<void(bool)> OnStopped_;
  TimePoint StopBy_;
};

AgentCore::AgentCore(net::EventLoop &Loop, AgentCoreOptions Options)
    : Impl_(std::make_unique<Impl>(Loop, std::move(Options))) {}

AgentCore::~AgentCore() = default;

void AgentCore::execute(wire::Execute Request, ExecuteHooks Hooks) {
  Impl_->Requests_.execute(std::move(Request), std::move(Hooks));
}

void AgentCore::cancel(const wire::RequestKey &Key) {
  Impl_->Requests_.cancel(Key);
}

link::ControlLink &AgentCore::link() { return Impl_->Link_; }

Reason AgentCore::mayAccept() const { return Impl_->mayAccept(); }

const Ledger &AgentCore::ledger() const { return Impl_->Ledger_; }

std::size_t AgentCore::pendingReceipts() const {
  return Impl_->Receipts_.pending();
}

void AgentCore::stop(std::function<void(bool)> OnStopped) {
  Impl_->stop(std::move(OnStopped));
}

} // namespace dragonfly::agent
