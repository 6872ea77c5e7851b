#include "dragonfly/link/LeaderClient.h"

#include "dragonfly/base/Log.h"
#include "dragonfly/net/EventLoop.h"

#include <algorithm>
#include <map>
#include <utility>

namespace dragonfly::link {

using net::CallStatus;

namespace {

/// A connection that was not used for so long is closed.
constexpr Duration IdleConnectionTime = std::chrono::seconds(20);

struct PendingCall {
  wire::Message Request_;
  TimePoint Expiry_;
  TimePoint LeaderWaitEnds_;
  LeaderClient::Handler OnEnd_;
  bool MayHaveArrived_ = false;
};

} // namespace

struct LeaderClient::Impl : std::enable_shared_from_this<LeaderClient::Impl> {
  struct Connection {
    std::unique_ptr<net::FrameClient> Client_;
    TimePoint UsedAt_;
  };

  Impl(net::EventLoop &Loop, LeaderClientOptions Options)
      : Loop_(Loop), Options_(std::move(Options)) {}

  void start() {
    refresh();
    Refresh_ = Loop_.every(Options_.RefreshPeriod_, [this] { refresh(); });
  }

  void stop() {
    Refresh_.cancel();
    Resume_.cancel();
    Connections_.clear();
  }

  std::vector<std::string> addresses() const {
    std::vector<std::string> All = Options_.Seeds_;
    std::ranges::copy(Learnt_, std::back_inserter(All));
    std::ranges::sort(All);
    const auto Rest = std::ranges::unique(All);
    All.erase(Rest.begin(), Rest.end());
    return All;
  }

  net::FrameClient &clientOf(const std::string &Address) {
    Connection &Row = Connections_[Address];
    Row.UsedAt_ = Clock::now();
    if (!Row.Client_)
      Row.Client_ = std::make_unique<net::FrameClient>(
          Loop_, net::FrameClientOptions{.Peer_ = net::Endpoint::make(Address),
                                         .Self_ = Options_.Self_});
    return *Row.Client_;
  }

  /// Asks each replica in turn, so that addresses are learnt while none leads.
  void refresh() {
    const TimePoint Now = Clock::now();
    std::erase_if(Connections_, [Now](const auto &Each) {
      return Now - Each.second.UsedAt_ > IdleConnectionTime;
    });
    const std::vector<std::string> All = addresses();
    if (All.empty())
      return;
    const std::string Address =
        Leader_.empty() ? All[++Asked_ % All.size()] : Leader_;
    clientOf(Address).call(
        wire::FetchGroup{}, Options_.ReplicaTimeout_,
        [Self = weak_from_this(), Address](net::CallResult Result) {
          if (const auto Client = Self.lock())
            Client->refreshed(Address, Result);
        });
  }

  void refreshed(const std::string &Address, const net::CallResult &Result) {
    const auto *Known = std::get_if<wire::Group>(&Result.Answer_);
    if (Result.Status_ != CallStatus::Answered || Known == nullptr) {
      giveUp(Address);
      return;
    }
    learn(*Known);
    if (!Known->Leader_.empty())
      follow(Known->Leader_);
    else if (Leader_ == Address)
      Leader_.clear();
    if (Known->Leader_ == Address)
      LastAnswer_ = Clock::now();
  }

  /// A replica that knows of no leader may have been removed from the group, or
  /// be cut off from it: its word adds members and replaces none.
  void learn(const wire::Group &Known) {
    if (!Known.Rows_.empty() && !Known.Leader_.empty())
      Learnt_.clear();
    for (const wire::GroupRow &Row : Known.Rows_)
      if (std::ranges::find(Learnt_, Row.Address_) == Learnt_.end())
        Learnt_.push_back(Row.Address_);
    if (Options_.OnGroup_)
      Options_.OnGroup_(Known);
  }

  void follow(const std::string &Address) {
    if (Leader_ == Address)
      return;
    logEvent(Event::LeaderFollowed, {{"leader", Address}, {"before", Leader_}});
    Leader_ = Address;
  }

  /// Turns to another replica after \p Address did not serve.
  void giveUp(const std::string &Address) {
    if (Leader_ == Address)
      Leader_.clear();
  }

  /// The replica to try next.
  std::string target() {
    if (!Leader_.empty())
      return Leader_;
    const std::vector<std::string> All = addresses();
    return All.empty() ? std::string() : All[++Asked_ % All.size()];
  }

  void tryReplica(const std::shared_ptr<PendingCall> &Call) {
    const TimePoint Now = Clock::now();
    const Duration Left = Call->Expiry_ - Now;
    const bool GivesUp = !Call->MayHaveArrived_ && Now >= Call->LeaderWaitEnds_;
    const std::string Address = target();
    if (Left <= Duration::zero() || GivesUp || Address.empty()) {
      Call->OnEnd_({.Status_ = Call->MayHaveArrived_ ? CallStatus::TimedOut
                                                     : CallStatus::NeverSent,
                    .Answer_ = {},
                    .Retried_ = Call->MayHaveArrived_});
      return;
    }
    net::FrameClient &Replica = clientOf(Address);
    Duration Timeout = std::min(Left, Options_.ReplicaTimeout_);
    // While a connection is being opened nothing leaves: a VM without power is
    // not waited for any longer than a leader.
    if (!Call->MayHaveArrived_ && !Replica.connected())
      Timeout = std::min(Timeout, Call->LeaderWaitEnds_ - Now);
    Replica.call(
        Call->Request_, Timeout,
        [Self = weak_from_this(), Call, Address](net::CallResult Result) {
          if (const auto Client = Self.lock())
            Client->ended(Call, Address, std::move(Result));
        });
  }

  void ended(const std::shared_ptr<PendingCall> &Call,
             const std::string &Address, net::CallResult Result) {
    const auto *Refused = std::get_if<wire::Refusal>(&Result.Answer_);
    const bool Answered = Result.Status_ == CallStatus::Answered;
    if (Answered && Refused == nullptr) {
      LastAnswer_ = Clock::now();
      follow(Address);
      Call->OnEnd_({.Status_ = CallStatus::Answered,
                    .Answer_ = std::move(Result.Answer_),
                    .Retried_ = Call->MayHaveArrived_});
      return;
    }
    if (!Answered && Result.Status_ != CallStatus::NeverSent)
      Call->MayHaveArrived_ = true;
    const bool Pointed =
        Answered && !Refused->Leader_.empty() && Refused->Leader_ != Address;
    if (Pointed)
      follow(Refused->Leader_);
    else
      giveUp(Address);
    if (Pointed)
      tryReplica(Call);
    else
      pause(Call);
  }

  void pause(std::shared_ptr<PendingCall> Call) {
    Paused_.push_back(std::move(Call));
    if (Paused_.size() == 1)
      Resume_ = Loop_.after(Options_.RetryDelay_, [this] {
        for (const auto &Waiting : std::exchange(Paused_, {}))
          tryReplica(Waiting);
      });
  }

  void stream(wire::Message Request, Duration IdleTimeout, PartHandler OnPart,
              Handler OnEnd) {
    const std::string Address = target();
    if (Address.empty()) {
      Loop_.post([OnEnd = std::move(OnEnd)] { OnEnd({}); });
      return;
    }
    clientOf(Address).call(
        Request, IdleTimeout,
        [Self = weak_from_this(), Address,
         OnEnd = std::move(OnEnd)](net::CallResult Result) {
          const auto Client = Self.lock();
          if (!Client)
            return;
          const auto *Refused = std::get_if<wire::Refusal>(&Result.Answer_);
          const bool Pointed = Result.Status_ == CallStatus::Answered &&
                               Refused != nullptr && !Refused->Leader_.empty();
          if (Pointed)
            Client->follow(Refused->Leader_);
          else
            Client->giveUp(Address);
          OnEnd({.Status_ = Result.Status_,
                 .Answer_ = std::move(Result.Answer_)});
        },
        [Self = weak_from_this(), Address,
         OnPart = std::move(OnPart)](wire::Message Part) {
          if (const auto Client = Self.lock()) {
            Client->LastAnswer_ = Clock::now();
            Client->Connections_[Address].UsedAt_ = Client->LastAnswer_;
          }
          OnPart(std::move(Part));
        });
  }

  net::EventLoop &Loop_;
  LeaderClientOptions Options_;
  std::vector<std::string> Learnt_;
  std::map<std::string, Connection> Connections_;
  /// Address of the replica that is taken for the leader, or empty.
  std::string Leader_;
  std::size_t Asked_ = 0;
  TimePoint LastAnswer_;
  std::vector<std::shared_ptr<PendingCall>> Paused_;
  net::Timer Refresh_;
  net::Timer Resume_;
};

LeaderClient::LeaderClient(net::EventLoop &Loop, LeaderClientOptions Options)
    : Impl_(std::make_shared<Impl>(Loop, std::move(Options))) {
  Impl_->start();
}

LeaderClient::~LeaderClient() { Impl_->stop(); }

void LeaderClient::call(wire::Message Request, CallLimits Limits,
                        Handler OnEnd) {
  const TimePoint Now = Clock::now();
  const Duration Wait = std::min(Limits.LeaderWait_, Limits.Timeout_);
  Impl_->tryReplica(std::make_shared<PendingCall>(
      PendingCall{.Request_ = std::move(Request),
                  .Expiry_ = Now + Limits.Timeout_,
                  .LeaderWaitEnds_ = Now + Wait,
                  .OnEnd_ = std::move(OnEnd)}));
}

void LeaderClient::stream(wire::Message Request, Duration IdleTimeout,
                          PartHandler OnPart, Handler OnEnd) {
  Impl_->stream(std::move(Request), IdleTimeout, std::move(OnPart),
                std::move(OnEnd));
}

void LeaderClient::announce(const wire::Message &Notice) {
  for (const std::string &Address : Impl_->Options_.Seeds_)
    Impl_->clientOf(Address).call(Notice, Impl_->Options_.ReplicaTimeout_,
                                  [](const net::CallResult &) {});
}

void LeaderClient::setSeeds(std::vector<std::string> Seeds) {
  Impl_->Options_.Seeds_ = std::move(Seeds);
}

std::string LeaderClient::recentLeader() const {
  const bool Recent =
      Clock::now() - Impl_->LastAnswer_ <= 2 * Impl_->Options_.RefreshPeriod_;
  return Recent ? Impl_->Leader_ : std::string();
}

TimePoint LeaderClient::lastAnswer() const { return Impl_->LastAnswer_; }

} // namespace dragonfly::link
