#include "dragonfly/control/Control.h"

#include "control/PeerAddresses.h"
#include "control/PeerLinks.h"
#include "dragonfly/base/Log.h"
#include "dragonfly/base/Random.h"
#include "dragonfly/control/ControlService.h"
#include "dragonfly/control/OperatorInterface.h"
#include "dragonfly/link/LeaderClient.h"
#include "dragonfly/net/DatagramSocket.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/FrameServer.h"
#include "dragonfly/net/HttpServer.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace dragonfly::control {
namespace {

/// Between ticks: how long requests are gathered into one record.
constexpr Duration TickPeriod = std::chrono::milliseconds(2);
/// How often a replica makes itself known to the leader; a third of the time
/// after which it would no longer count as present.
constexpr Duration JoinPeriod = std::chrono::milliseconds(500);
/// Shorter while the group lacks voters, as it may tolerate no other failure.
constexpr Duration RepairJoinPeriod = std::chrono::milliseconds(100);
/// The seeds, which may be no replicas, are told less often.
constexpr Duration AnnouncePeriod = 4 * JoinPeriod;

const settings::ReplicaSettings &
selfOf(const settings::ControlSettings &Settings) {
  const auto &Rows = Settings.Process_.Control_;
  const auto Found = std::ranges::find(Rows, Settings.Replica_,
                                       &settings::ReplicaSettings::Id_);
  if (Found == Rows.end())
    throw settings::SettingsError(
        {{.Path_ = "/replica",
          .Expected_ = "the id of a row of /control",
          .Found_ = std::to_string(Settings.Replica_.Value_)}});
  return *Found;
}

std::vector<std::string>
addressesOf(const std::vector<settings::ReplicaSettings> &Rows) {
  std::vector<std::string> Addresses;
  std::ranges::transform(Rows, std::back_inserter(Addresses),
                         &settings::ReplicaSettings::Address_);
  return Addresses;
}

std::function<bool(const std::string &)>
evictableBy(const std::vector<settings::KindSettings> &Kinds) {
  return [Kinds](const std::string &Kind) {
    const auto Found =
        std::ranges::find(Kinds, Kind, &settings::KindSettings::Name_);
    return Found == Kinds.end() ||
           Found->Urgency_ != settings::Urgency::LatencyCritical;
  };
}

std::vector<consensus::Member>
firstMembersOf(const settings::ControlSettings &Settings) {
  std::vector<consensus::Member> Members;
  if (Settings.FirstMember_)
    std::ranges::transform(Settings.Process_.Control_,
                           std::back_inserter(Members),
                           [](const settings::ReplicaSettings &Row) {
                             return consensus::Member{.Id_ = Row.Id_,
                                                      .Store_ = {},
                                                      .Address_ = Row.Address_};
                           });
  return Members;
}

/// Returns \p Permille of the disk in bytes; 0 where its size is not known.
std::uint64_t diskShare(const settings::ControlSettings &Settings,
                        std::uint32_t Permille) {
  constexpr std::uint64_t FullPermille = 1000;
  return (std::uint64_t(Settings.DiskMib_) << 20U) * Permille / FullPermille;
}

/// The records behind a snapshot are held in memory too, so that a share of a
/// large disk, or of one whose size is not known, is no bound.
std::uint64_t maxLogBytes(const settings::ControlSettings &Settings) {
  constexpr std::uint64_t MostBytes = 64U << 20U;
  const std::uint64_t Share = diskShare(Settings, Settings.LogSharePermille_);
  return Share == 0 ? MostBytes : std::min(Share, MostBytes);
}

ControlServiceOptions optionsOf(const settings::ControlSettings &Settings) {
  const settings::DeploymentSettings &Shared = Settings.Process_.Deployment_;
  ControlServiceOptions Options;
  Options.Log_.Self_ = Settings.Replica_;
  Options.Log_.FirstMembers_ = firstMembersOf(Settings);
  Options.Log_.ElectionTimeout_ = Settings.ElectionTimeout_;
  Options.Log_.SnapshotEveryRecords_ = Settings.SnapshotEveryRecords_;
  Options.Log_.MaxLogBytes_ = maxLogBytes(Settings);
  Options.MaxStateBytes_ = diskShare(Settings, Settings.StateSharePermille_);
  Options.MaxJobBytes_ = settings::jobMemoryBytes(Settings);
  Options.Log_.Seed_ = freshRandom();
  Options.Replicas_ = Settings.Process_.Control_;
  Options.LeaseTerm_ = Shared.LeaseTerm_;
  Options.DriftMargin_ = Shared.DriftMargin_;
  Options.Placement_.TailLatencyPermille_ = Shared.Weights_.TailLatency_;
  Options.Placement_.BatchThroughputPermille_ =
      Shared.Weights_.BatchThroughput_;
  Options.Placement_.EvictionsPermille_ = Shared.Weights_.Evictions_;
  Options.Placement_.Seed_ = freshRandom();
  Options.Evictable_ = evictableBy(Shared.Kinds_);
  Options.RepairsGroup_ = Settings.RepairsGroup_;
  Options.Group_.Voters_ = Settings.Voters_;
  constexpr double Permille = 1000;
  Options.RemoteFactor_ = Settings.RemoteFactorPermille_ / Permille;
  return Options;
}

} // namespace

struct Control::Impl {
  Impl(net::EventLoop &Loop, const settings::ControlSettings &Settings,
       std::shared_ptr<Metrics> Counts)
      : Loop_(Loop), Settings_(Settings), Counts_(std::move(Counts)),
        Self_(makeFreshId<Incarnation>()),
        Listen_(net::Endpoint::make(selfOf(Settings).Address_)),
        Addresses_(Settings.Process_.Control_),
        Peers_(Loop, Settings.Replica_, Self_,
               [this](ReplicaId Id) {
                 return Addresses_.find(Id, Service_.log().members());
               }),
        Service_(serviceOptions(),
                 consensus::openFileStorage(Settings.DataFolder_),
                 Clock::now()),
        Operators_(Service_),
        Heartbeats_(Loop, {.Listen_ = Listen_,
                           .Self_ = Self_,
                           .OnMessage_ =
                               [this](const net::Endpoint &From,
                                      const wire::Message &Value) {
                                 takeHeartbeat(From, Value);
                               }}),
        Frames_(Loop, {.Listen_ = Listen_,
                       .Self_ = Self_,
                       .OnMessage_ =
                           [this](wire::Message Value, net::FrameReplier To) {
                             takeFrame(std::move(Value), std::move(To));
                           }}),
        Http_(Loop, {.Name_ = "members",
                     .Listen_ =
                         net::Endpoint::make(selfOf(Settings).OperatorAddress_),
                     .OnRequest_ =
                         [this](const net::HttpRequest &Request,
                                const net::HttpReplier &To) {
                           takeOperator(Request, To);
                         }}),
        Ticks_(Loop.every(TickPeriod, [this] { tick(); })) {
    if (!Settings.RepairsGroup_)
      return;
    Leader_.emplace(Loop, link::LeaderClientOptions{
                              .Self_ = Self_,
                              .Seeds_ = addressesOf(Settings.Process_.Control_),
                              .OnGroup_ = [this](const wire::Group &Known) {
                                Addresses_.learn(Known);
                              }});
    Joins_ = Loop.every(RepairJoinPeriod, [this] {
      if (Clock::now() >= JoinAt_ || isWanted())
        join();
    });
  }

  /// Returns whether the group lacks voters and this replica is none.
  bool isWanted() const {
    const auto Voters = std::ranges::count(Service_.log().members(), true,
                                           &consensus::Member::Voter_);
    return !Service_.isVoter() &&
           static_cast<std::size_t>(Voters) < Settings_.Voters_;
  }

  void join() {
    JoinAt_ = Clock::now() + JoinPeriod;
    const wire::JoinGroup Notice{.Id_ = Settings_.Replica_,
                                 .Store_ = Service_.log().store(),
                                 .Address_ = Listen_.text()};
    Leader_->call(Notice, JoinPeriod, [](const link::LeaderResult &) {});
    if (Clock::now() < AnnounceAt_)
      return;
    AnnounceAt_ = Clock::now() + AnnouncePeriod;
    Leader_->announce(Notice);
  }

  ControlServiceOptions serviceOptions() {
    ControlServiceOptions Options = optionsOf(Settings_);
    Options.Metrics_ = Counts_;
    Options.Log_.Send_ = [this](ReplicaId To, std::string Bytes) {
      Peers_.sendTraffic(To, std::move(Bytes));
    };
    Options.Log_.IsSending_ = [this](ReplicaId To) {
      return Peers_.isSending(To);
    };
    return Options;
  }

  void takeHeartbeat(const net::Endpoint &From, const wire::Message &Value) {
    const auto *Beat = std::get_if<wire::Heartbeat>(&Value);
    if (Beat == nullptr)
      return;
    if (const auto Ack = Service_.heartbeat(Clock::now(), *Beat))
      Heartbeats_.send(From, *Ack);
  }

  void takeTraffic(ReplicaId From, std::string_view Bytes) {
    Peers_.heardFrom(From);
    Service_.receivePeer(Clock::now(), From, Bytes);
    tickSoon();
  }

  void takeFrame(wire::Message Value, net::FrameReplier To) {
    if (const auto *Traffic = std::get_if<wire::ReplicaTraffic>(&Value)) {
      takeTraffic(Traffic->From_, Traffic->Bytes_);
      return;
    }
    if (auto *Part = std::get_if<wire::ReplicaPart>(&Value)) {
      const ReplicaId From = Part->From_;
      if (const auto Whole = Peers_.takePart(std::move(*Part)))
        takeTraffic(From, *Whole);
      else
        Peers_.heardFrom(From);
      return;
    }
    if (const auto *Doubt = std::get_if<wire::ReplicaUnheard>(&Value)) {
      Peers_.unheardBy(Doubt->From_);
      return;
    }
    if (const auto *Notice = std::get_if<wire::JoinGroup>(&Value))
      Peers_.announcedBy(Notice->Id_, Notice->Store_);
    if (Stopping_) {
      To.answer(wire::Refusal{.Reason_ = Reason::Draining});
      return;
    }
    if (auto *Hello = std::get_if<wire::WorkerHello>(&Value)) {
      Service_.attachWorker(
          Clock::now(), std::move(*Hello),
          {.SendPart_ = [To](const wire::Message &Part) { To.part(Part); },
           .SendEnd_ = [To](const wire::Message &End) { To.answer(End); },
           .IsConnected_ = [To] { return To.connected(); }});
      return;
    }
    ++OpenRequests_;
    Service_.handle(Clock::now(), std::move(Value),
                    [this, To = std::move(To)](const wire::Message &Answer) {
                      --OpenRequests_;
                      To.answer(Answer);
                    });
  }

  void takeOperator(const net::HttpRequest &Request,
                    const net::HttpReplier &To) {
    ++OperatorCalls_;
    Operators_.handle(Request, [this, To](net::HttpResponse Response) {
      --OperatorCalls_;
      To.reply(std::move(Response));
    });
  }

  /// One tick serves all peers' frames that have arrived together.
  void tickSoon() {
    if (std::exchange(TickPosted_, true))
      return;
    Loop_.post([this] {
      TickPosted_ = false;
      tick();
    });
  }

  void tick() {
    Peers_.tick(Clock::now());
    Service_.tick(Clock::now());
  }

  void stop(std::function<void(bool)> OnStopped,
            std::vector<net::StopPart> Others) {
    if (Stop_.hasBegun())
      return;
    Others.push_back(Http_.stopPart());
    Others.push_back(Frames_.stopPart("frames"));
    // Without frames a replica hears nobody; it must not ask for votes then.
    Others.push_back({.Name_ = "replica",
                      .Unfinished_ = [this] { return openWork(); },
                      .OnClosing_ = [this] { Ticks_.cancel(); }});
    std::ranges::for_each(
        Others, [this](net::StopPart &Part) { Stop_.add(std::move(Part)); });
    Stopping_ = true;
    Service_.transferLeadership();
    // What has not been answered by then is not going to be: its leader is
    // lost, and its sender must not be told either way.
    SettledAt_ = Clock::now() + Settings_.ElectionTimeout_;
    Stop_.begin([OnStopped = std::move(OnStopped)](net::StopResult Result) {
      OnStopped(Result == net::StopResult::Finished);
    });
  }

  std::size_t openWork() const {
    if (Clock::now() >= SettledAt_)
      return OperatorCalls_;
    const bool Leads = Service_.log().role() == consensus::RaftRole::Leader;
    return OperatorCalls_ + OpenRequests_ + (Leads ? 1 : 0);
  }

  net::EventLoop &Loop_;
  settings::ControlSettings Settings_;
  std::shared_ptr<Metrics> Counts_;
  Incarnation Self_;
  net::Endpoint Listen_;
  PeerAddresses Addresses_;
  PeerLinks Peers_;
  std::size_t OperatorCalls_ = 0;
  std::size_t OpenRequests_ = 0;
  bool TickPosted_ = false;
  bool Stopping_ = false;
  TimePoint SettledAt_;
  ControlService Service_;
  OperatorInterface Operators_;
  net::DatagramSocket Heartbeats_;
  net::FrameServer Frames_;
  net::HttpServer Http_;
  net::Timer Ticks_;
  std::optional<link::LeaderClient> Leader_;
  net::Timer Joins_;
  TimePoint JoinAt_;
  TimePoint AnnounceAt_;
  net::GracefulStop Stop_{Loop_, {.Bound_ = Settings_.Process_.StopBound_}};
};

Control::Control(net::EventLoop &Loop,
                 const settings::ControlSettings &Settings,
                 std::shared_ptr<Metrics> Counts)
    : Impl_(std::make_unique<Impl>(Loop, Settings, std::move(Counts))) {}

Control::~Control() = default;

link::LeaderClient *Control::leader() {
  return Impl_->Leader_ ? &*Impl_->Leader_ : nullptr;
}

void Control::stop(std::function<void(bool)> OnStopped,
                   std::vector<net::StopPart> Others) {
  Impl_->stop(std::move(OnStopped), std::move(Others));
}

} // namespace dragonfly::control
