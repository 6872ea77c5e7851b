/// Runs an entry, a control replica or an agent on the users' platform, whose
/// settings file the environment names.

#include "dragonfly/agent/WorkerAgent.h"
#include "dragonfly/base/Log.h"
#include "dragonfly/base/Metrics.h"
#include "dragonfly/base/Random.h"
#include "dragonfly/base/Signals.h"
#include "dragonfly/consensus/Storage.h"
#include "dragonfly/control/Control.h"
#include "dragonfly/control/GroupDirectory.h"
#include "dragonfly/control/GroupFounding.h"
#include "dragonfly/entry/JobGateway.h"
#include "dragonfly/link/LeaderClient.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/GracefulStop.h"
#include "dragonfly/net/HttpServer.h"
#include "dragonfly/settings/CommandLine.h"
#include "dragonfly/settings/Program.h"
#include "dragonfly/settings/ReadSettings.h"
#include "platform/CallerServer.h"
#include "platform/OperatorServer.h"
#include "platform/Settings.h"
#include "platform/WorkerClient.h"
#include "platform/WorkerServer.h"

#include <absl/flags/flag.h>

#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

ABSL_FLAG(std::string, role, "", "entry, control or agent");

namespace {

using namespace dragonfly;

/// How often the settings file is looked at; a change need not be signalled.
constexpr Duration SettingsPeriod = std::chrono::seconds(1);

/// Puts new seeds in use whenever the settings file names others.
class SeedWatch {
public:
  SeedWatch(net::EventLoop &Loop, link::LeaderClient &Leader,
            const platform::SiteSettings &Site)
      : Leader_(Leader), Seeds_(Site.seedAddresses()),
        Checks_(Loop.every(SettingsPeriod, [this] { check(); })) {
    Loop.onReload([this] { check(); });
  }

private:
  void check() {
    try {
      const auto Seeds = platform::readSettingsFile().seedAddresses();
      // A file that is cut while it is written may name none.
      if (Seeds == Seeds_ || Seeds.empty())
        return;
      Seeds_ = Seeds;
      Leader_.setSeeds(Seeds);
      logEvent(Event::SettingsChanged, {{"seeds", Seeds.size()}});
    } catch (const Error &Fault) {
      // The file may be half written; the next look finds it whole.
      logEvent(Event::SettingsRejected, {{"detail", Fault.what()}});
    }
  }

  link::LeaderClient &Leader_;
  std::vector<std::string> Seeds_;
  net::Timer Checks_;
};

/// How often a replica whose new data folder finds no room tries again.
constexpr Duration DiskRetryPeriod = std::chrono::milliseconds(500);

constexpr std::size_t MaxMetricsReaders = 64;

/// Records what the process has refused or closed for want of room.
void recordPressure(net::EventLoop &Loop, Metrics &Counts) {
  const auto Set = [&Counts](std::string_view Label, std::uint64_t Value) {
    Counts.set("clients_turned_away", Label, static_cast<double>(Value));
  };
  Set("displaced", Loop.connectionLimits().counts().Displaced_);
  Set("refused", Loop.connectionLimits().counts().Refused_);
  Set("memory-budget", Loop.memory().dropped());
  Counts.set("request_memory_bytes", {},
             static_cast<double>(Loop.memory().bytes()));
}

/// Serves a process's metrics as text.
class MetricsServer {
public:
  MetricsServer(net::EventLoop &Loop, const platform::SiteSettings &Site,
                std::uint16_t Port, std::shared_ptr<Metrics> Counts)
      : Server_(Loop,
                {.Name_ = "metrics",
                 .Listen_ = {.Address_ = Site.Ip_, .Port_ = Port},
                 .MaxConnections_ = MaxMetricsReaders,
                 .OnRequest_ = [Counts, &Loop](const net::HttpRequest &,
                                               const net::HttpReplier &To) {
                   recordPressure(Loop, *Counts);
                   To.reply(
                       {.ContentType_ = "text/plain", .Body_ = Counts->text()});
                 }}) {}

  net::StopPart stopPart() { return Server_.stopPart(); }

private:
  net::HttpServer Server_;
};

/// Named in deploy/system.toml too. The internal ports cannot be named there,
/// since they are drawn anew each day.
constexpr std::uint16_t ControlMetricsPort = 9464;
constexpr std::uint16_t EntryMetricsPort = 9465;
constexpr std::uint16_t AgentMetricsPort = 9466;

link::LeaderClientOptions leaderOptions(const platform::SiteSettings &Site) {
  return {.Self_ = makeFreshId<Incarnation>(), .Seeds_ = Site.seedAddresses()};
}

/// Two missed checks, a second apart, take an entry out of rotation; until then
/// the balancer sends new connections.
constexpr Duration EntryServeTime = std::chrono::milliseconds(2500);

void runEntry(net::EventLoop &Loop, const platform::SiteSettings &Site) {
  link::LeaderClient Leader(Loop, leaderOptions(Site));
  const SeedWatch Watch(Loop, Leader, Site);
  const auto Counts = std::make_shared<Metrics>();
  MetricsServer Numbers(Loop, Site, EntryMetricsPort, Counts);
  entry::JobGateway Jobs(Leader, *Counts, {});
  platform::CallerServer Server(Loop, Jobs, Site, Counts);
  net::GracefulStop Stop(
      Loop, {.ServeTime_ = EntryServeTime, .Bound_ = Site.stopBound()});
  for (net::StopPart &Part : Server.stopParts())
    Stop.add(std::move(Part));
  Stop.add(Numbers.stopPart());
  Loop.onTerminate([&] { Stop.begin([&](net::StopResult) { Loop.stop(); }); });
  Loop.run();
}

/// A VM with a disk serves as a replica.
class Replica {
public:
  Replica(net::EventLoop &Loop, const platform::SiteSettings &Site,
          const std::vector<wire::GroupRow> &FirstMembers,
          const std::shared_ptr<Metrics> &Counts)
      : Control_(Loop, platform::toControlSettings(Site, FirstMembers), Counts),
        Watch_(Loop, *Control_.leader(), Site),
        Server_(Loop, *Control_.leader(), Site, Counts) {}

  void stop(net::StopPart Numbers, std::function<void()> OnStopped) {
    Control_.stop([OnStopped = std::move(OnStopped)](bool) { OnStopped(); },
                  {Server_.stopPart(), std::move(Numbers)});
  }

private:
  control::Control Control_;
  SeedWatch Watch_;
  platform::OperatorServer Server_;
};

/// A VM without a disk passes operators' calls on and tells where the group is.
class Relay {
public:
  Relay(net::EventLoop &Loop, const platform::SiteSettings &Site,
        const std::vector<wire::GroupRow> &FirstMembers,
        const std::shared_ptr<Metrics> &Counts)
      : Directory_(Loop, Site.controlAddress()), Leader_(Loop, options(Site)),
        Watch_(Loop, Leader_, Site), Server_(Loop, Leader_, Site, Counts) {
    Directory_.learn({.Rows_ = FirstMembers});
  }

  std::vector<net::StopPart> stopParts() {
    return {Server_.stopPart(), Directory_.stopPart()};
  }

private:
  link::LeaderClientOptions options(const platform::SiteSettings &Site) {
    link::LeaderClientOptions Result = leaderOptions(Site);
    Result.OnGroup_ = [this](const wire::Group &Known) {
      Directory_.learn(Known);
    };
    return Result;
  }

  control::GroupDirectory Directory_;
  link::LeaderClient Leader_;
  SeedWatch Watch_;
  platform::OperatorServer Server_;
};

void runControl(net::EventLoop &Loop, const platform::SiteSettings &Site) {
  const auto Counts = std::make_shared<Metrics>();
  MetricsServer Numbers(Loop, Site, ControlMetricsPort, Counts);
  std::optional<control::GroupFounding> Founding;
  std::optional<Replica> Member;
  std::optional<Relay> Other;
  net::Timer Retry;
  std::function<void(const std::vector<wire::GroupRow> &)> Serve;
  net::GracefulStop Stop(Loop, {.Bound_ = Site.stopBound()});
  Serve = [&](const std::vector<wire::GroupRow> &FirstMembers) {
    if (Stop.hasBegun())
      return;
    Founding.reset();
    if (!Site.hasDisk()) {
      Other.emplace(Loop, Site, FirstMembers, Counts);
      return;
    }
    try {
      Member.emplace(Loop, Site, FirstMembers, Counts);
    } catch (const consensus::StorageError &Fault) {
      if (Fault.code() != consensus::StorageFault::DiskFull)
        throw;
      logEvent(Event::DiskFull,
               {{"replica", Site.Vm_}, {"detail", Fault.what()}});
      Retry = Loop.after(DiskRetryPeriod,
                         [&Serve, FirstMembers] { Serve(FirstMembers); });
    }
  };
  // The choice of the first members is this process's own, also after a
  // restart.
  const auto Unfinished = Site.hasDisk()
                              ? control::unfinishedChoice(Site.DataFolder_)
                              : std::nullopt;
  const bool HasChosen = Unfinished && !Unfinished->empty();
  if (!HasChosen && (Site.FirstStart_ || Unfinished))
    Founding.emplace(Loop,
                     control::GroupFoundingOptions{
                         .Self_ = platform::toGroupRow(Site),
                         .DataFolder_ = Site.DataFolder_,
                         .Seeds_ = Site.seedAddresses(),
                         .ResumesChoice_ = Unfinished.has_value(),
                         .Choice_ = {.Wanted_ = 2 * Site.LossesToBear_ + 1},
                         .OnFounded_ = Serve});
  else
    Serve(Unfinished.value_or(std::vector<wire::GroupRow>()));
  Loop.onTerminate([&] {
    if (Member) {
      Member->stop(Numbers.stopPart(), [&] { Loop.stop(); });
      return;
    }
    Retry.cancel();
    Stop.add(Numbers.stopPart());
    if (Founding)
      Stop.add(Founding->stopPart());
    if (Other)
      for (net::StopPart &Part : Other->stopParts())
        Stop.add(std::move(Part));
    Stop.begin([&](net::StopResult) { Loop.stop(); });
  });
  Loop.run();
}

void runAgent(net::EventLoop &Loop, const platform::SiteSettings &Site) {
  link::LeaderClient Leader(Loop, leaderOptions(Site));
  const SeedWatch Watch(Loop, Leader, Site);
  platform::WorkerClient Worker(Loop, Site.WorkerAddress_);
  const auto Counts = std::make_shared<Metrics>();
  MetricsServer Numbers(Loop, Site, AgentMetricsPort, Counts);
  agent::WorkerAgent Agent(Loop, Leader,
                           {.Calls_ = Worker.calls(),
                            .Vm_ = Site.Vm_,
                            .Metrics_ = Counts,
                            .HeartbeatPeriod_ = Site.HeartbeatPeriod_});
  platform::WorkerServer Server(Loop, Agent, Site, Counts);
  net::GracefulStop Stop(Loop, {.Bound_ = Site.stopBound()});
  Stop.add(Server.stopPart());
  Stop.add(Numbers.stopPart());
  bool Reported = false;
  Stop.add({.Name_ = "report",
            .OnRefusing_ = [&] { Agent.stop([&] { Reported = true; }); },
            .Unfinished_ = [&] { return std::size_t(Reported ? 0 : 1); }});
  Loop.onTerminate([&] { Stop.begin([&](net::StopResult) { Loop.stop(); }); });
  Loop.run();
}

const std::map<std::string,
               void (*)(net::EventLoop &, const platform::SiteSettings &)>
    Roles{{"entry", runEntry}, {"control", runControl}, {"agent", runAgent}};

} // namespace

int main(int Argc, char **Argv) {
  holdSignals();
  const auto Rest = settings::parseCommandLine(Argc, Argv, "--role=ROLE");
  const auto Role = Roles.find(absl::GetFlag(FLAGS_role));
  if (!Rest.empty() || Role == Roles.end()) {
    std::cerr << "usage: --role=entry|control|agent\n";
    return static_cast<int>(settings::ExitCode::BadUsage);
  }
  try {
    const platform::SiteSettings Site = platform::readSettingsFile();
    configureLog({.Process_ = Role->first + "@" + Site.Vm_});
    logEvent(Event::ProcessStarted,
             {{"availability_zone", Site.AvailabilityZone_},
              {"first_start", Site.FirstStart_ ? "yes" : "no"}});
    net::EventLoop Loop;
    if (const auto Bytes = settings::requestMemoryBytes(
            {.MemoryLimitMib_ = Site.MemoryLimitMib_}))
      Loop.memory().setLimit(*Bytes);
    Loop.connectionLimits().setDescriptorLimit(Site.DescriptorLimit_);
    Role->second(Loop, Site);
    logEvent(Event::ProcessStopped);
    return static_cast<int>(settings::ExitCode::Ok);
  } catch (const settings::SettingsError &Fault) {
    std::cerr << Fault.type() << ": " << Fault.what() << "\n";
    return static_cast<int>(settings::ExitCode::BadSettings);
  } catch (const Error &Fault) {
    logEvent(Event::ProcessFailed,
             {{"type", Fault.type()}, {"detail", Fault.what()}});
    return static_cast<int>(settings::ExitCode::CannotStart);
  } catch (const std::exception &Fault) {
    logEvent(Event::ProcessFailed,
             {{"type", "unexpected"}, {"detail", Fault.what()}});
    return static_cast<int>(settings::ExitCode::CannotStart);
  }
}
