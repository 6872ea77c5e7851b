#include "dragonfly/link/ControlLink.h"

#include "dragonfly/base/Log.h"
#include "dragonfly/decide/ConfigurationLease.h"
#include "dragonfly/net/EventLoop.h"
#include "link/SocketTransport.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace dragonfly::link {
namespace {

/// Longest wait for one replica before another one is asked.
constexpr Duration ReplicaTimeout = std::chrono::milliseconds(1000);
/// Pause before the replicas are asked again while none leads.
constexpr Duration LeaderRetryDelay = std::chrono::milliseconds(50);

struct LeaderCall {
  wire::Message Request_;
  TimePoint Expiry_;
  net::FrameClient::Handler OnEnd_;
  bool MayHaveArrived_ = false;
};

} // namespace

struct ControlLink::Impl : std::enable_shared_from_this<ControlLink::Impl> {
  Impl(net::EventLoop &Loop, ControlLinkOptions Options)
      : Loop_(Loop), Options_(std::move(Options)),
        Lease_(Options_.Replicas_.size(), Options_.LeaseTerm_) {}

  void start() {
    if (!Options_.Transport_.Call_) {
      Sockets_.emplace(Loop_,
                       SocketTransportOptions{
                           .Listen_ = Options_.Listen_,
                           .Replicas_ = Options_.Replicas_,
                           .Self_ = Options_.Identity_.Incarnation_,
                           .OnAck_ = [this](std::size_t Replica,
                                            const wire::HeartbeatAck &Ack) {
                             acknowledged(Replica, Ack);
                           }});
      Options_.Transport_ = Sockets_->hooks();
    }
    beat();
    Beats_ = Loop_.every(Options_.HeartbeatPeriod_, [this] { beat(); });
  }

  void beat() {
    wire::Heartbeat Beat = Options_.Identity_;
    Beat.Sequence_ = ++Sequence_;
    Beat.SentAt_ = Clock::now().time_since_epoch();
    Beat.Plans_ = Lease_.activeVersions().Plans_;
    Beat.Purchases_ = Lease_.activeVersions().Purchases_;
    if (Options_.OnHeartbeat_)
      Options_.OnHeartbeat_(Beat);
    for (std::size_t Replica = 0; Replica < Options_.Replicas_.size();
         ++Replica)
      Options_.Transport_.Send_(Replica, Beat);
  }

  void acknowledged(std::size_t Replica, const wire::HeartbeatAck &Ack) {
    if (Ack.Sequence_ > Sequence_)
      return;
    Lease_.recordAcknowledgement(
        Replica, TimePoint(Ack.SentAt_),
        {.Plans_ = Ack.Plans_, .Purchases_ = Ack.Purchases_});
    if (Ack.IsLeader_) {
      Leader_ = Replica;
      if (Options_.OnLeaderAck_)
        Options_.OnLeaderAck_(Ack);
    }
    if (Lease_.isOutdated())
      fetchLists();
  }

  void fetchLists() {
    if (Fetching_)
      return;
    Fetching_ = true;
    callLeader(wire::FetchLists{}, Options_.HeartbeatPeriod_,
               [this](net::CallResult Result) {
                 Fetching_ = false;
                 if (const auto *Newer =
                         std::get_if<wire::Lists>(&Result.Answer_))
                   takeLists(*Newer);
               });
  }

  void takeLists(const wire::Lists &Newer) {
    const decide::ListVersions Versions{.Plans_ = Newer.PlansVersion_,
                                        .Purchases_ = Newer.PurchasesVersion_};
    if (!Versions.isAtLeast(Lease_.activeVersions()) ||
        Versions == Lease_.activeVersions())
      return;
    if (Options_.OnLists_)
      Options_.OnLists_(Newer);
    Lease_.activate(Versions);
    logEvent(Event::ConfigurationApplied,
             {{"plans", Newer.PlansVersion_.Value_},
              {"purchases", Newer.PurchasesVersion_.Value_}});
  }

  void callLeader(wire::Message Request, Duration Timeout,
                  net::FrameClient::Handler OnEnd) {
    tryReplica(std::make_shared<LeaderCall>(
        LeaderCall{.Request_ = std::move(Request),
                   .Expiry_ = Clock::now() + Timeout,
                   .OnEnd_ = std::move(OnEnd)}));
  }

  void tryReplica(const std::shared_ptr<LeaderCall> &Call) {
    const Duration Left = Call->Expiry_ - Clock::now();
    if (Left <= Duration::zero()) {
      Call->OnEnd_({.Status_ = Call->MayHaveArrived_
                                   ? net::CallStatus::TimedOut
                                   : net::CallStatus::NeverSent});
      return;
    }
    const std::size_t Replica = Leader_;
    Options_.Transport_.Call_(
        Replica, Call->Request_, std::min(Left, ReplicaTimeout),
        [Self = weak_from_this(), Call, Replica](net::CallResult Result) {
          if (const auto Link = Self.lock())
            Link->ended(Call, Replica, std::move(Result));
        });
  }

  void ended(const std::shared_ptr<LeaderCall> &Call, std::size_t Replica,
             net::CallResult Result) {
    const auto *Refused = std::get_if<wire::Refusal>(&Result.Answer_);
    const bool Answered = Result.Status_ == net::CallStatus::Answered;
    if (Answered && !Refused) {
      Call->OnEnd_(std::move(Result));
      return;
    }
    if (!Answered && Result.Status_ != net::CallStatus::NeverSent)
      Call->MayHaveArrived_ = true;
    const bool Pointed = Answered && followLeader(Refused->Leader_);
    if (!Pointed && Leader_ == Replica)
      Leader_ = (Replica + 1) % Options_.Replicas_.size();
    if (Pointed && Leader_ != Replica)
      tryReplica(Call);
    else
      pause(Call);
  }

  /// Takes a replica's word for who leads; false where it does not know.
  bool followLeader(const std::string &Address) {
    const auto It =
        std::ranges::find(Options_.Replicas_, Address, &net::Endpoint::text);
    if (It == Options_.Replicas_.end())
      return false;
    Leader_ = static_cast<std::size_t>(It - Options_.Replicas_.begin());
    return true;
  }

  void pause(std::shared_ptr<LeaderCall> Call) {
    Paused_.push_back(std::move(Call));
    if (Paused_.size() == 1)
      Resume_ = Loop_.after(LeaderRetryDelay, [this] {
        for (const auto &Waiting : std::exchange(Paused_, {}))
          tryReplica(Waiting);
      });
  }

  net::EventLoop &Loop_;
  ControlLinkOptions Options_;
  decide::ConfigurationLease Lease_;
  std::optional<SocketTransport> Sockets_;
  net::Timer Beats_;
  net::Timer Resume_;
  std::vector<std::shared_ptr<LeaderCall>> Paused_;
  std::size_t Leader_ = 0;
  std::uint64_t Sequence_ = 0;
  bool Fetching_ = false;
};

ControlLink::ControlLink(net::EventLoop &Loop, ControlLinkOptions Options)
    : Impl_(std::make_shared<Impl>(Loop, std::move(Options))) {
  Impl_->start();
}

ControlLink::~ControlLink() { Impl_->Beats_.cancel(); }

bool ControlLink::configurationFresh() const {
  return Impl_->Lease_.isValid(Clock::now());
}

const decide::ListVersions &ControlLink::inForce() const {
  return Impl_->Lease_.activeVersions();
}

void ControlLink::callLeader(wire::Message Request, Duration Timeout,
                             net::FrameClient::Handler OnEnd) {
  Impl_->callLeader(std::move(Request), Timeout, std::move(OnEnd));
}

void ControlLink::acknowledged(std::size_t Replica,
                               const wire::HeartbeatAck &Ack) {
  Impl_->acknowledged(Replica, Ack);
}

void ControlLink::beat() { Impl_->beat(); }

} // namespace dragonfly::link
