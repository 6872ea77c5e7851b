#include "soak/Fleet.h"

#include "dragonfly/base/Error.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <utility>

namespace dragonfly::soak {
namespace {

constexpr std::array<const char *, 3> RoleNames{"control", "entry", "agent"};
/// From the start of a process until it handles signals, on a busy machine.
constexpr Duration HandlerInstallTime = std::chrono::milliseconds(200);
/// As the settings say.
constexpr Duration StopTime = std::chrono::seconds(6);
/// How many processes that run as control stand in the list of seeds.
constexpr std::size_t MaxSeeds = 3;

} // namespace

Fleet::Fleet(FleetOptions Options) : Options_(std::move(Options)) {
  std::filesystem::create_directories(Options_.Folder_);
  const std::array<std::size_t, 3> Counts{Options_.Controls_, Options_.Entries_,
                                          Options_.Agents_};
  for (std::size_t Kind = 0; Kind < Counts.size(); ++Kind)
    for (std::size_t I = 1; I <= Counts[Kind]; ++I)
      Processes_.push_back(
          {.Role_ = static_cast<Role>(Kind),
           .Index_ = I,
           .Name_ = std::string(RoleNames[Kind]) + "-" + std::to_string(I)});
}

Fleet::~Fleet() {
  for (std::size_t I = 0; I < size(); ++I) {
    expectEnd(I);
    signal(I, SIGKILL);
    if (isRunning(I))
      waitpid(Processes_[I].Pid_, nullptr, 0);
  }
}

std::string Fleet::ip(Role Kind, std::size_t Index) const {
  return Options_.Network_ + "." + std::to_string(static_cast<int>(Kind) + 1) +
         "." + std::to_string(Index);
}

std::string Fleet::pathOf(const Process &Each,
                          const std::string &Ending) const {
  return Options_.Folder_ + "/" + Each.Name_ + Ending;
}

std::string Fleet::seeds() const {
  std::string Seeds;
  for (std::size_t I = 1; I <= std::min(MaxSeeds, Options_.Controls_); ++I)
    Seeds += (I > 1 ? "," : "") + ip(Role::Control, I) + ":" +
             std::to_string(ControlPort);
  return Seeds;
}

void Fleet::writeSettings(std::size_t I, const std::string &Seeds) const {
  std::ofstream(pathOf(Processes_[I], ".conf"))
      << settingsOf(Processes_[I], Seeds);
}

void Fleet::setDiskFull(std::size_t Index, bool Full) const {
  // Control's processes come first.
  const std::string Marker = pathOf(Processes_[Index - 1], "-disk.full");
  if (Full)
    std::ofstream(Marker).flush();
  else
    std::filesystem::remove(Marker);
}

void Fleet::silenceConnections(std::size_t I, std::uint32_t Number,
                               std::uint32_t Percent) const {
  // Renamed into place, so that the process reads it whole.
  const std::string Marker = pathOf(Processes_[I], ".silent");
  std::ofstream(Marker + ".new") << Number << " " << Percent << "\n";
  std::filesystem::rename(Marker + ".new", Marker);
}

std::string Fleet::settingsOf(const Process &Each,
                              const std::string &Seeds) const {
  const std::string Ip = ip(Each.Role_, Each.Index_);
  std::string Text = "Node=" + Each.Name_ + "\nIp=" + Ip +
                     "\nZone=zone-a\nInternalPorts=7720,7735\nSeeds=" + Seeds +
                     "\nBootstrap=" + (Each.HasRun_ ? "false" : "true") +
                     "\nFaultTolerance.Machines=1\nBounds.GraceS=6\n";
  if (Each.Role_ == Role::Entry)
    Text += "Bind.Frontend=" + Ip + ":" + std::to_string(CallerPort) +
            "\nBind.Readiness=" + Ip + ":8167\n";
  else
    Text += "Bind.Control=" + Ip + ":" + std::to_string(ControlPort) + "\n";
  if (Each.Role_ == Role::Control)
    Text += "DataDir=" + pathOf(Each, "-disk") + "\n";
  // Calls to the worker pass a proxy on an address of its own.
  if (Each.Role_ == Role::Agent)
    Text += "app=" + Options_.Network_ + ".5." + std::to_string(Each.Index_) +
            ":" + std::to_string(WorkerPort) + "\n";
  return Text;
}

void Fleet::start(std::size_t I) {
  Process &Each = Processes_[I];
  writeSettings(I, seeds());
  if (Each.Role_ == Role::Control)
    std::filesystem::create_directories(pathOf(Each, "-disk"));
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  const std::string Log = pathOf(Each, ".log");
  posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Files, STDOUT_FILENO, STDERR_FILENO);
  // The sockets of this process are not theirs.
  posix_spawn_file_actions_addclosefrom_np(&Files, STDERR_FILENO + 1);
  std::string Flag =
      std::string("--role=") + RoleNames[static_cast<std::size_t>(Each.Role_)];
  std::string Setting = "DRAGONFLYPROXY_SETTINGS=" + pathOf(Each, ".conf");
  std::string Preload = "LD_PRELOAD=" + Options_.SilentConnectionsLibrary_;
  if (Each.Role_ == Role::Control)
    Preload += ":" + Options_.FullDiskLibrary_;
  std::string FullDisk = "DRAGONFLY_FULL_DISK=" + pathOf(Each, "-disk.full");
  std::string Silent =
      "DRAGONFLY_SILENT_CONNECTIONS=" + pathOf(Each, ".silent");
  std::array<char *, 3> Arguments{Options_.Program_.data(), Flag.data(),
                                  nullptr};
  std::array<char *, 5> Environment{Setting.data(), Preload.data(),
                                    FullDisk.data(), Silent.data(), nullptr};
  const int Fault = posix_spawn(&Each.Pid_, Options_.Program_.c_str(), &Files,
                                nullptr, Arguments.data(), Environment.data());
  posix_spawn_file_actions_destroy(&Files);
  if (Fault != 0)
    throw std::runtime_error(Options_.Program_ + ": " + std::strerror(Fault));
  Each.StartedAt_ = Clock::now();
  Each.HasRun_ = true;
  Each.Expected_ = false;
  Each.StopAskedAt_ = TimePoint::max();
}

void Fleet::signal(std::size_t I, int Number) {
  if (!isRunning(I))
    return;
  Process &Each = Processes_[I];
  if (Number == SIGKILL || Number == SIGSTOP) {
    Each.HarmedAt_ = Clock::now();
    Each.StopAskedAt_ = TimePoint::max();
  }
  if (Number == SIGKILL)
    Each.KilledAt_ = Clock::now();
  kill(Each.Pid_, Number);
}

void Fleet::stop(std::size_t I) {
  expectEnd(I);
  Processes_[I].StopAskedAt_ = Clock::now();
  signal(I, SIGTERM);
}

bool Fleet::isOverdue(std::size_t I) const {
  const Process &Each = Processes_[I];
  return isRunning(I) && Each.StopAskedAt_ != TimePoint::max() &&
         Clock::now() - Each.StopAskedAt_ > StopTime;
}

std::size_t Fleet::find(const std::string &Ip) const {
  return static_cast<std::size_t>(
      std::ranges::find_if(Processes_,
                           [&](const Process &Each) {
                             return ip(Each.Role_, Each.Index_) == Ip;
                           }) -
      Processes_.begin());
}

bool Fleet::isNew(std::size_t I) const {
  return Clock::now() - Processes_[I].StartedAt_ < HandlerInstallTime;
}

std::size_t Fleet::reap() {
  std::size_t Faults = 0;
  for (Process &Each : Processes_) {
    int Status = 0;
    if (Each.Pid_ <= 0 || waitpid(Each.Pid_, &Status, WNOHANG) != Each.Pid_)
      continue;
    Each.Pid_ = 0;
    // A process that has only just been started cannot catch a signal yet.
    const bool IsNew = Each.ExpectedAt_ - Each.StartedAt_ < HandlerInstallTime;
    const int Signal = WIFSIGNALED(Status) ? WTERMSIG(Status) : 0;
    const bool EndsBySignal = Signal == SIGKILL || (Signal == SIGTERM && IsNew);
    const bool Clean =
        Each.Expected_ &&
        (WIFSIGNALED(Status) ? EndsBySignal : WEXITSTATUS(Status) == 0);
    if (Clean)
      continue;
    ++Faults;
    std::cout << Each.Name_ << " ended by itself, status " << Status << "\n";
  }
  return Faults;
}

} // namespace dragonfly::soak
