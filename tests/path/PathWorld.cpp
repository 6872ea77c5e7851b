#include "path/PathWorld.h"

#include <algorithm>
#include <utility>

namespace dragonfly::faults {
namespace {

using namespace std::chrono_literals;

constexpr Duration Step = std::chrono::milliseconds(2);
constexpr std::uint64_t StepsPerPoll = 4;
constexpr Resources VmCapacity{.MilliProcessors_ = 4000, .MemoryMib_ = 8192};
constexpr Resources TaskNeed{.MilliProcessors_ = 2000, .MemoryMib_ = 2048};

std::string controlAddress(std::size_t Number) {
  return "127.0.2." + std::to_string(Number + 1) + ":7000";
}

std::vector<settings::ReplicaSettings> replicaSettings() {
  std::vector<settings::ReplicaSettings> Rows;
  Rows.reserve(PathWorld::Replicas);
  for (std::size_t Number = 0; Number < PathWorld::Replicas; ++Number)
    Rows.push_back({.Id_ = {Number + 1}, .Address_ = controlAddress(Number)});
  return Rows;
}

} // namespace

settings::DeploymentSettings pathDeployment() {
  using settings::KindSettings;
  using settings::Urgency;
  return {.Name_ = "faults",
          .Kinds_ = {KindSettings{.Name_ = "check",
                                  .Deadline_ = 1s,
                                  .FloorPermille_ = 500},
                     KindSettings{.Name_ = "review",
                                  .Urgency_ = Urgency::Deadline,
                                  .NonIdempotent_ = true,
                                  .Deadline_ = 3s,
                                  .FloorPermille_ = 300},
                     KindSettings{.Name_ = "build",
                                  .Urgency_ = Urgency::Deadline,
                                  .Carrier_ = settings::Carrier::Task,
                                  .Deadline_ = 60s,
                                  .Need_ = TaskNeed,
                                  .ExpectedRunTime_ = 1500ms},
                     KindSettings{.Name_ = "wheel",
                                  .Urgency_ = Urgency::Deadline,
                                  .Carrier_ = settings::Carrier::Task,
                                  .NonIdempotent_ = true,
                                  .Deadline_ = 60s,
                                  .Need_ = TaskNeed,
                                  .ExpectedRunTime_ = 1500ms}},
          .LeaseTerm_ = 1s,
          .DriftMargin_ = 100ms,
          .HeartbeatPeriod_ = 200ms};
}

PathWorld::PathWorld(std::uint64_t Seed)
    : Seed_(Seed), Controls_(Replicas), Agents_(Agents), Entries_(Entries) {
  Clock::pause(Network_.now());
  Network_.OnArrival_ = [this](const RoutedMessage &Value, const Replier &Reply,
                               const Replier &OnPart) {
    arrived(Value, Reply, OnPart);
  };
  for (std::size_t Number = 0; Number < Replicas; ++Number) {
    Disks_.push_back(
        std::make_shared<bench::MemoryDisk>(StoreId{++LastStore_}));
    start({Site::Control, Number});
  }
  for (std::size_t Number = 0; Number < Agents; ++Number) {
    Workers_.push_back(std::make_unique<PathWorker>(
        PathWorkerOptions{.Agent_ = {Site::Agent, Number},
                          .Name_ = agentName(Number),
                          .Capacity_ = VmCapacity,
                          .Seed_ = Seed + Number,
                          .Network_ = &Network_,
                          .Evidence_ = &Evidence_}));
    start({Site::Agent, Number});
  }
  for (std::size_t Number = 0; Number < Entries; ++Number)
    start({Site::Entry, Number});
}

PathWorld::~PathWorld() { Clock::resume(); }

std::string PathWorld::agentName(std::size_t Number) {
  return "agent-" + std::to_string(Number + 1);
}

settings::ProcessSettings PathWorld::process(const std::string &Name,
                                             std::size_t Zone) const {
  return {.Name_ = Name,
          .AvailabilityZone_ = "az-" + std::to_string(Zone),
          .Rack_ = "rack-" + std::to_string(Zone),
          .StopBound_ = 10s,
          .Deployment_ = pathDeployment(),
          .Control_ = replicaSettings()};
}

void PathWorld::start(const Place &Where) {
  Network_.startProcess(Where);
  Clock::pause(Network_.localNow(Where));
  switch (Where.Site_) {
  case Site::Control:
    return startControl(Where.Number_);
  case Site::Agent:
    return startAgent(Where.Number_);
  case Site::Entry:
    return startEntry(Where.Number_);
  }
}

void PathWorld::startControl(std::size_t Number) {
  const Place Where{Site::Control, Number};
  std::vector<consensus::Member> Members;
  Members.reserve(Replicas);
  for (std::size_t Other = 0; Other < Replicas; ++Other)
    Members.push_back({.Id_ = {Other + 1}, .Address_ = controlAddress(Other)});
  const settings::DeploymentSettings Deployment = pathDeployment();
  Controls_[Number] = std::make_unique<control::ControlService>(
      control::ControlServiceOptions{
          .Log_ = {.Self_ = {Number + 1},
                   .FirstMembers_ = Members,
                   .ElectionTimeout_ = 300ms,
                   .HeartbeatPeriod_ = 60ms,
                   .SnapshotEveryRecords_ = 200,
                   .Seed_ = Seed_ * Replicas + Number,
                   .Send_ =
                       [this, Where](ReplicaId To, std::string Bytes) {
                         Network_.send(
                             Where, {Site::Control, To.Value_ - 1},
                             wire::ReplicaTraffic{.From_ = {Where.Number_ + 1},
                                                  .Bytes_ = std::move(Bytes)});
                       }},
          .Replicas_ = replicaSettings(),
          .LeaseTerm_ = Deployment.LeaseTerm_,
          .DriftMargin_ = Deployment.DriftMargin_,
          .Placement_ = {.Seed_ = Seed_},
          .Evictable_ = [](const std::string &) { return true; }},
      bench::openMemoryStorage(Disks_[Number]), Network_.localNow(Where));
}

link::ControlTransport PathWorld::transport(const Place &Where) {
  return {.Send_ =
              [this, Where](std::size_t Replica, const wire::Heartbeat &Beat) {
                Network_.send(Where, {Site::Control, Replica}, Beat);
              },
          .Call_ =
              [this, Where](std::size_t Replica, const wire::Message &Request,
                            Duration Timeout, net::FrameClient::Handler OnEnd) {
                Network_.call(Where, {Site::Control, Replica}, Request, Timeout,
                              std::move(OnEnd));
              }};
}

void PathWorld::startAgent(std::size_t Number) {
  const Place Where{Site::Agent, Number};
  Agents_[Number] = std::make_unique<AgentProcess>();
  AgentProcess &Process = *Agents_[Number];
  Process.Self_ = freshIncarnation();
  settings::AgentSettings Settings;
  Settings.Process_ = process(agentName(Number), Number);
  Settings.Listen_ = "127.0.3." + std::to_string(Number + 1) + ":7100";
  Settings.Capacity_ = VmCapacity;
  Process.Core_ = std::make_unique<agent::AgentCore>(
      Process.Loop_,
      agent::AgentCoreOptions{.Settings_ = Settings,
                              .Self_ = Process.Self_,
                              .Upstream_ = Workers_[Number]->hooks(),
                              .Transport_ = transport(Where)});
}

void PathWorld::startEntry(std::size_t Number) {
  const Place Where{Site::Entry, Number};
  Entries_[Number] = std::make_unique<EntryProcess>();
  EntryProcess &Process = *Entries_[Number];
  settings::EntrySettings Settings;
  Settings.Process_ = process("entry-" + std::to_string(Number + 1), Number);
  Settings.Listen_ = "127.0.1." + std::to_string(Number + 1) + ":8080";
  Process.Core_ = std::make_unique<entry::EntryCore>(
      Process.Loop_,
      entry::EntryCoreOptions{
          .Settings_ = Settings,
          .Self_ = freshIncarnation(),
          .Address_ = Settings.Listen_,
          .CallAgent_ =
              [this, Where](entry::AgentCall Call) {
                callAgent(Where, std::move(Call));
              },
          .TellAgent_ = [](const std::string &, const wire::Message &) {},
          .Transport_ = transport(Where)});
}

void PathWorld::callAgent(const Place &From, entry::AgentCall Call) {
  std::size_t Number = 0;
  while (Number < Agents && agentName(Number) != Call.Worker_)
    ++Number;
  Network_.call(From, {Site::Agent, Number}, std::move(Call.Request_),
                Call.Timeout_, std::move(Call.OnEnd_), std::move(Call.OnPart_));
}

void PathWorld::kill(const Place &Where) {
  if (!Network_.process(Where).Alive_)
    return;
  Network_.endProcess(Where);
  // The process may be in the middle of a call; it is taken apart afterwards.
  Network_.at(Network_.now(),
              [this, Where, Life = Network_.process(Where).Life_] {
                if (Network_.process(Where).Life_ == Life)
                  takeApart(Where);
              });
}

void PathWorld::takeApart(const Place &Where) {
  switch (Where.Site_) {
  case Site::Control:
    Controls_[Where.Number_].reset();
    Disks_[Where.Number_]->crash(/*Torn=*/false);
    return;
  case Site::Agent:
    Agents_[Where.Number_].reset();
    return;
  case Site::Entry:
    Entries_[Where.Number_].reset();
    return;
  }
}

void PathWorld::drain(const Place &Where) {
  Clock::pause(Network_.localNow(Where));
  if (Where.Site_ == Site::Agent && Agents_[Where.Number_])
    Agents_[Where.Number_]->Core_->stop([this, Where](bool Clean) {
      if (!Clean)
        Evidence_.Violations_.push_back("a graceful stop hit its bound");
      Stopped_.insert(Where);
    });
}

void PathWorld::loseDisk(std::size_t Replica) {
  Disks_[Replica] = std::make_shared<bench::MemoryDisk>(StoreId{++LastStore_});
}

void PathWorld::freeze(const Place &Where, Duration For) {
  Network_.process(Where).FrozenUntil_ = Network_.now() + For;
}

void PathWorld::arrived(const RoutedMessage &Value, const Replier &Reply,
                        const Replier &OnPart) {
  if (std::holds_alternative<wire::HeartbeatAck>(Value.Message_))
    acknowledged(Value);
  else if (Value.To_.Site_ == Site::Control)
    arrivedAtControl(Value, Reply);
  else if (Value.To_.Site_ == Site::Agent)
    arrivedAtAgent(Value, Reply, OnPart);
}

void PathWorld::arrivedAtControl(const RoutedMessage &Value,
                                 const Replier &Reply) {
  control::ControlService &Service = *Controls_[Value.To_.Number_];
  const TimePoint Now = Network_.localNow(Value.To_);
  if (const auto *Peer = std::get_if<wire::ReplicaTraffic>(&Value.Message_)) {
    Service.receivePeer(Now, Peer->From_, Peer->Bytes_);
  } else if (const auto *Beat = std::get_if<wire::Heartbeat>(&Value.Message_)) {
    if (const auto Ack = Service.heartbeat(Now, *Beat))
      Network_.send(Value.To_, Value.From_, *Ack);
  } else {
    Service.handle(Now, Value.Message_, Reply);
  }
}

void PathWorld::arrivedAtAgent(const RoutedMessage &Value, const Replier &Reply,
                               const Replier &OnPart) {
  if (const auto *Request = std::get_if<wire::Execute>(&Value.Message_))
    Agents_[Value.To_.Number_]->Core_->execute(
        *Request, {.OnEnd_ = Reply, .OnPart_ = OnPart});
}

void PathWorld::acknowledged(const RoutedMessage &Value) {
  const auto &Ack = std::get<wire::HeartbeatAck>(Value.Message_);
  if (Value.To_.Site_ == Site::Agent)
    Agents_[Value.To_.Number_]->Core_->link().acknowledged(Value.From_.Number_,
                                                           Ack);
  else if (Value.To_.Site_ == Site::Entry)
    Entries_[Value.To_.Number_]->Core_->link().acknowledged(Value.From_.Number_,
                                                            Ack);
}

void PathWorld::step() {
  Network_.step(Step);
  const auto Turn = [this](const Place &Where, const auto &Work) {
    if (!Network_.runs(Where))
      return;
    Clock::pause(Network_.localNow(Where));
    Work();
  };
  for (std::size_t Number = 0; Number < Replicas; ++Number)
    Turn({Site::Control, Number}, [&] {
      Controls_[Number]->tick(Network_.localNow({Site::Control, Number}));
    });
  for (std::size_t Number = 0; Number < Agents; ++Number)
    Workers_[Number]->tick();
  // Looking at a loop's timers costs system calls; they are coarser anyway.
  if (++Steps_ % StepsPerPoll != 0)
    return;
  for (std::size_t Number = 0; Number < Agents; ++Number)
    Turn({Site::Agent, Number}, [&] { Agents_[Number]->Loop_.poll(); });
  for (std::size_t Number = 0; Number < Entries; ++Number)
    Turn({Site::Entry, Number}, [&] { Entries_[Number]->Loop_.poll(); });
}

void PathWorld::run(Duration For) {
  const TimePoint End = Network_.now() + For;
  while (Network_.now() < End)
    step();
}

control::ControlService *PathWorld::control(std::size_t Number) {
  return Network_.process({Site::Control, Number}).Alive_
             ? Controls_.at(Number).get()
             : nullptr;
}

entry::EntryCore *PathWorld::entry(std::size_t Number) {
  return Network_.process({Site::Entry, Number}).Alive_
             ? Entries_.at(Number)->Core_.get()
             : nullptr;
}

agent::AgentCore *PathWorld::agent(std::size_t Number) {
  return Network_.process({Site::Agent, Number}).Alive_
             ? Agents_.at(Number)->Core_.get()
             : nullptr;
}

control::ControlService *PathWorld::leader() {
  for (std::size_t Number = 0; Number < Replicas; ++Number)
    if (Network_.runs({Site::Control, Number}) && Controls_[Number]->serving())
      return Controls_[Number].get();
  return nullptr;
}

} // namespace dragonfly::faults
