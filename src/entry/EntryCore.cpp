#include "dragonfly/entry/EntryCore.h"

#include "dragonfly/link/ReceiptKeeper.h"
#include "dragonfly/net/EventLoop.h"
#include "entry/CustomerLimits.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <utility>

namespace dragonfly::entry {
namespace {

/// How often deadlines and polls are looked at.
constexpr Duration TickPeriod = std::chrono::milliseconds(5);
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

struct EntryCore::Impl : std::enable_shared_from_this<EntryCore::Impl> {
  Impl(net::EventLoop &Loop, EntryCoreOptions Options)
      : Loop_(Loop), Options_(std::move(Options)),
        Settings_(Options_.Settings_), Requests_(gatewayOptions()) {}

  void start() {
    Receipts_.emplace(Loop_, receiptOptions());
    Link_.emplace(Loop_, linkOptions());
    Tick_ = Loop_.every(TickPeriod, [this] { Requests_.tick(Clock::now()); });
  }

  GatewayOptions gatewayOptions() {
    return {.Self_ = Options_.Self_,
            .AvailabilityZone_ = Settings_.Process_.AvailabilityZone_,
            .Kinds_ = Settings_.Process_.Deployment_.Kinds_,
            .RetryPermille_ = Settings_.RetryPermille_,
            .Seed_ = Options_.Self_.Value_,
            .Hooks_ = hooks()};
  }

  GatewayHooks hooks() {
    return {.CallAgent_ = Options_.CallAgent_,
            .TellAgent_ = Options_.TellAgent_,
            .CallControl_ =
                [this](wire::Message Value, Duration Timeout,
                       net::FrameClient::Handler OnEnd) {
                  Link_->callLeader(std::move(Value), Timeout,
                                    std::move(OnEnd));
                },
            .KeepReceipt_ =
                [this](wire::Receipt Row) { Receipts_->add(std::move(Row)); },
            .MayTakeWork_ =
                [this](TimePoint) {
                  return Link_->configurationFresh() && !Receipts_->full();
                },
            .OnCompleted_ = Options_.OnCompleted_};
  }

  link::ReceiptKeeperOptions receiptOptions() {
    return {.Holder_ = Settings_.Process_.Name_,
            .Incarnation_ = Options_.Self_,
            .CallLeader_ = [this](wire::Message Value, Duration Timeout,
                                  net::FrameClient::Handler OnEnd) {
              Link_->callLeader(std::move(Value), Timeout, std::move(OnEnd));
            }};
  }

  link::ControlLinkOptions linkOptions() {
    const settings::ProcessSettings &Process = Settings_.Process_;
    return {.Transport_ = Options_.Transport_,
            .Listen_ = {net::Endpoint::make(Settings_.Listen_).Address_, 0},
            .Replicas_ = frameAddresses(Process.Control_),
            .HeartbeatPeriod_ = Process.Deployment_.HeartbeatPeriod_,
            .LeaseTerm_ = Process.Deployment_.LeaseTerm_,
            .Identity_ = {.Role_ = wire::Role::Entry,
                          .Name_ = Process.Name_,
                          .Incarnation_ = Options_.Self_,
                          .AvailabilityZone_ = Process.AvailabilityZone_,
                          .Rack_ = Process.Rack_,
                          .Address_ = Options_.Address_},
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
    if (Options_.OnUpstreams_)
      Options_.OnUpstreams_(Upstreams_);
    Requests_.setUpstreams(Upstreams_, shareOf(slotsOf(Upstreams_), Entries_));
  }

  bool ready() const {
    return !Stopping_ && !Upstreams_.empty() && Link_->configurationFresh() &&
           !Receipts_->full();
  }

  net::EventLoop &Loop_;
  EntryCoreOptions Options_;
  settings::EntrySettings Settings_;
  Gateway Requests_;
  std::optional<link::ReceiptKeeper> Receipts_;
  std::optional<link::ControlLink> Link_;
  std::vector<settings::Plan> Plans_;
  std::vector<settings::Purchase> Purchases_;
  std::vector<wire::Upstream> Upstreams_;
  std::uint64_t UpstreamsVersion_ = 0;
  std::uint32_t Entries_ = 1;
  net::Timer Tick_;
  bool Fetching_ = false;
  bool Stopping_ = false;
};

EntryCore::EntryCore(net::EventLoop &Loop, EntryCoreOptions Options)
    : Impl_(std::make_shared<Impl>(Loop, std::move(Options))) {
  Impl_->start();
}

EntryCore::~EntryCore() = default;

Gateway &EntryCore::requests() { return Impl_->Requests_; }

link::ControlLink &EntryCore::link() { return *Impl_->Link_; }

bool EntryCore::ready() const { return Impl_->ready(); }

std::size_t EntryCore::pendingReceipts() const {
  return Impl_->Receipts_->pending();
}

void EntryCore::announceStop() {
  Impl_->Stopping_ = true;
  Impl_->Link_->beat();
}

void EntryCore::flushReceipts(std::function<void()> OnEmpty) {
  Impl_->Receipts_->flush(std::move(OnEmpty));
}

} // namespace dragonfly::entry
