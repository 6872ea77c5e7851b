#include "dragonfly/entry/Entry.h"

#include "dragonfly/base/Histogram.h"
#include "dragonfly/base/Log.h"
#include "dragonfly/base/Random.h"
#include "dragonfly/entry/CallerInterface.h"
#include "dragonfly/entry/Gateway.h"
#include "dragonfly/link/ControlLink.h"
#include "dragonfly/link/ReceiptKeeper.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/HttpServer.h"
#include "entry/AgentPool.h"
#include "entry/CustomerLimits.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <utility>

namespace dragonfly::entry {
namespace {

/// How often deadlines and polls are looked at.
constexpr Duration TickPeriod = std::chrono::milliseconds(5);
/// How often readiness is checked for the log.
constexpr Duration ReadyPeriod = std::chrono::milliseconds(100);
/// How long a stopping entry still accepts, so that the balancer notices.
constexpr Duration LameDuckTime = std::chrono::seconds(1);
constexpr Duration StopCheckPeriod = std::chrono::milliseconds(10);
constexpr Duration FetchTimeout = std::chrono::seconds(1);

std::vector<net::Endpoint>
frameAddresses(const std::vector<settings::ReplicaSettings> &Replicas) {
  std::vector<net::Endpoint> Result;
  std::ranges::transform(Replicas, std::back_inserter(Result),
                         [](const settings::ReplicaSettings &Row) {
                           return net::Endpoint::make(Row.Address_);
                         });
  return Result;
}

std::uint32_t slotsOf(const std::vector<wire::Upstream> &Rows) {
  return std::accumulate(Rows.begin(), Rows.end(), std::uint32_t{0},
                         [](std::uint32_t Sum, const wire::Upstream &Row) {
                           return Sum + (Row.Draining_ ? 0 : Row.Vm_.Slots_);
                         });
}

} // namespace

struct Entry::Impl : std::enable_shared_from_this<Entry::Impl> {
  Impl(net::EventLoop &Loop, settings::EntrySettings Settings)
      : Loop_(Loop), Settings_(std::move(Settings)),
        Self_(makeFreshId<Incarnation>()), Agents_(Loop, Self_),
        Requests_(gatewayOptions()),
        Callers_(Requests_, Latencies_,
                 {.Ready_ = [this] { return ready(); },
                  .CallControl_ =
                      [this](wire::Message Value, Duration Timeout,
                             net::FrameClient::Handler OnEnd) {
                        Link_->callLeader(std::move(Value), Timeout,
                                          std::move(OnEnd));
                      }}) {}

  void start() {
    Receipts_.emplace(Loop_, receiptOptions());
    Server_.emplace(Loop_, serverOptions());
    Link_.emplace(Loop_, linkOptions());
    Tick_ = Loop_.every(TickPeriod, [this] { Requests_.tick(Clock::now()); });
    ReadyCheck_ = Loop_.every(ReadyPeriod, [this] { logReadiness(); });
  }

  GatewayOptions gatewayOptions() {
    return {.Self_ = Self_,
            .AvailabilityZone_ = Settings_.Process_.AvailabilityZone_,
            .Kinds_ = Settings_.Process_.Deployment_.Kinds_,
            .RetryPermille_ = Settings_.RetryPermille_,
            .Seed_ = Self_.Value_,
            .Hooks_ = hooks()};
  }

  GatewayHooks hooks() {
    return {
        .CallAgent_ = [this](AgentCall Call) { Agents_.call(std::move(Call)); },
        .TellAgent_ =
            [this](const std::string &Worker, const wire::Message &Value) {
              Agents_.tell(Worker, Value);
            },
        .CallControl_ =
            [this](wire::Message Value, Duration Timeout,
                   net::FrameClient::Handler OnEnd) {
              Link_->callLeader(std::move(Value), Timeout, std::move(OnEnd));
            },
        .KeepReceipt_ =
            [this](wire::Receipt Row) { Receipts_->add(std::move(Row)); },
        .MayTakeWork_ =
            [this](TimePoint) {
              return Link_->configurationFresh() && !Receipts_->full();
            },
        .OnCompleted_ =
            [this](const std::string &Customer, const std::string &Kind,
                   Duration Latency) {
              Latencies_.record({Customer, Kind}, Latency);
            }};
  }

  link::ReceiptKeeperOptions receiptOptions() {
    return {.Holder_ = Settings_.Process_.Name_,
            .Incarnation_ = Self_,
            .CallLeader_ = [this](wire::Message Value, Duration Timeout,
                                  net::FrameClient::Handler OnEnd) {
              Link_->callLeader(std::move(Value), Timeout, std::move(OnEnd));
            }};
  }

  net::HttpServerOptions serverOptions() {
    return {.Listen_ = net::Endpoint::make(Settings_.Listen_),
            .MaxConnections_ = Settings_.MaxConnections_,
            .MaxHeaderBytes_ = Settings_.MaxHeaderBytes_,
            .MaxBodyBytes_ = Settings_.MaxBodyBytes_,
            .IdleTimeout_ = Settings_.IdleTimeout_,
            .OnRequest_ = [this](net::HttpRequest Request,
                                 const net::HttpReplier &Replier) {
              Callers_.handle(std::move(Request), Replier);
            }};
  }

  link::ControlLinkOptions linkOptions() {
    const settings::ProcessSettings &Process = Settings_.Process_;
    return {.Listen_ = {net::Endpoint::make(Settings_.Listen_).Address_, 0},
            .Replicas_ = frameAddresses(Process.Control_),
            .HeartbeatPeriod_ = Process.Deployment_.HeartbeatPeriod_,
            .LeaseTerm_ = Process.Deployment_.LeaseTerm_,
            .Identity_ = {.Role_ = wire::Role::Entry,
                          .Name_ = Process.Name_,
                          .Incarnation_ = Self_,
                          .AvailabilityZone_ = Process.AvailabilityZone_,
                          .Rack_ = Process.Rack_,
                          .Address_ = Server_->endpoint().text()},
            .OnHeartbeat_ =
                [this](wire::Heartbeat &Beat) { Beat.Draining_ = Stopping_; },
            .OnLists_ = [this](const wire::Lists &Newer) { takeLists(Newer); },
            .OnLeaderAck_ =
                [this](const wire::HeartbeatAck &Ack) { takeAck(Ack); }};
  }

  void takeLists(const wire::Lists &Newer) {
    Plans_ = settings::parsePlans(Newer.Plans_);
    Purchases_ = settings::parsePurchases(Newer.Purchases_);
    Requests_.setCustomers(customerLimits(Plans_, Purchases_, Entries_));
  }

  void takeAck(const wire::HeartbeatAck &Ack) {
    const std::uint32_t Entries = std::max<std::uint32_t>(Ack.Entries_, 1);
    if (std::exchange(Entries_, Entries) != Entries) {
      Requests_.setCustomers(customerLimits(Plans_, Purchases_, Entries_));
      applyUpstreams();
    }
    if (Ack.UpstreamsVersion_ != UpstreamsVersion_)
      fetchUpstreams();
  }

  void fetchUpstreams() {
    if (std::exchange(Fetching_, true))
      return;
    Link_->callLeader(
        wire::FetchUpstreams{UpstreamsVersion_}, FetchTimeout,
        [Weak = weak_from_this()](net::CallResult Result) {
          const auto Self = Weak.lock();
          if (!Self)
            return;
          Self->Fetching_ = false;
          if (auto *Newer = std::get_if<wire::Upstreams>(&Result.Answer_)) {
            Self->UpstreamsVersion_ = Newer->Version_;
            Self->Upstreams_ = std::move(Newer->Rows_);
            Self->Requests_.setEntries(Newer->Entries_,
                                       Self->Settings_.Process_.Name_);
            Self->applyUpstreams();
          }
        });
  }

  void applyUpstreams() {
    Agents_.setUpstreams(Upstreams_);
    Requests_.setUpstreams(Upstreams_, shareOf(slotsOf(Upstreams_), Entries_));
  }

  bool ready() const {
    return !Stopping_ && !Upstreams_.empty() && Link_->configurationFresh() &&
           !Receipts_->full();
  }

  void logReadiness() {
    const bool Ready = ready();
    if (std::exchange(WasReady_, Ready) != Ready)
      logEvent(Ready ? Event::EntryReady : Event::EntryNotReady);
  }

  void stop(std::function<void(StopResult)> OnStopped) {
    if (std::exchange(Stopping_, true))
      return;
    logEvent(Event::ProcessStopping, {{"in_progress", Requests_.inProgress()}});
    OnStopped_ = std::move(OnStopped);
    Server_->closeAfterAnswers();
    Link_->beat();
    StopBound_ = Loop_.after(Settings_.Process_.StopBound_, [this] {
      logEvent(Event::StopBoundReached,
               {{"in_progress", Requests_.inProgress()},
                {"receipts", Receipts_->pending()}});
      stopped(StopResult::BoundReached);
    });
    StopStep_ = Loop_.after(LameDuckTime, [this] { finishRequests(); });
  }

  /// Waits until each answer has left, then until control has each receipt.
  void finishRequests() {
    Requests_.drain();
    Server_->stopAccepting();
    StopStep_ = Loop_.every(StopCheckPeriod, [this] {
      if (Requests_.inProgress() > 0 || Server_->openConnections() > 0)
        return;
      StopStep_.cancel();
      Receipts_->flush([this] { stopped(StopResult::Finished); });
    });
  }

  void stopped(StopResult Result) {
    StopBound_.cancel();
    StopStep_.cancel();
    if (const auto OnStopped = std::exchange(OnStopped_, nullptr))
      OnStopped(Result);
  }

  net::EventLoop &Loop_;
  settings::EntrySettings Settings_;
  Incarnation Self_;
  HistogramTable Latencies_;
  AgentPool Agents_;
  Gateway Requests_;
  CallerInterface Callers_;
  std::optional<link::ReceiptKeeper> Receipts_;
  std::optional<net::HttpServer> Server_;
  std::optional<link::ControlLink> Link_;
  std::vector<settings::Plan> Plans_;
  std::vector<settings::Purchase> Purchases_;
  std::vector<wire::Upstream> Upstreams_;
  std::uint64_t UpstreamsVersion_ = 0;
  std::uint32_t Entries_ = 1;
  net::Timer Tick_;
  net::Timer ReadyCheck_;
  net::Timer StopBound_;
  net::Timer StopStep_;
  std::function<void(StopResult)> OnStopped_;
  bool Fetching_ = false;
  bool WasReady_ = false;
  bool Stopping_ = false;
};

Entry::Entry(net::EventLoop &Loop, const settings::EntrySettings &Settings)
    : Impl_(std::make_shared<Impl>(Loop, Settings)) {
  Impl_->start();
}

Entry::~Entry() = default;

void Entry::stop(std::function<void(StopResult)> OnStopped) {
  Impl_->stop(std::move(OnStopped));
}

bool Entry::ready() const { return Impl_->ready(); }

net::Endpoint Entry::endpoint() const { return Impl_->Server_->endpoint(); }

} // namespace dragonfly::entry
