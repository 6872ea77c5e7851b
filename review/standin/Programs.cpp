#include "Programs.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace dragonfly::review {

namespace {

constexpr const char *Program = "target/dragonfly-platform";
constexpr std::array<const char *, 3> RoleNames{"control", "entry", "agent"};
constexpr std::size_t MaxSeeds = 3;
/// Third number of the address of a process's first path.
constexpr std::size_t FirstPath = 20;

} // namespace

Programs::Programs(ProgramsOptions Options) : Options_(std::move(Options)) {
  std::filesystem::remove_all(Options_.Folder_);
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

Programs::~Programs() {
  for (std::size_t I = 0; I < size(); ++I) {
    signal(I, SIGKILL);
    if (isRunning(I))
      waitpid(Processes_[I].Pid_, nullptr, 0);
  }
}

std::size_t Programs::number(Role Kind, std::size_t Index) const {
  const auto It = std::ranges::find_if(Processes_, [&](const Process &Each) {
    return Each.Role_ == Kind && Each.Index_ == Index;
  });
  return static_cast<std::size_t>(It - Processes_.begin());
}

std::string Programs::ip(Role Kind, std::size_t Index) const {
  return Options_.Network_ + "." + std::to_string(static_cast<int>(Kind) + 1) +
         "." + std::to_string(Index);
}

std::string Programs::pathIp(std::size_t I, std::size_t Index) const {
  return Options_.Network_ + "." + std::to_string(FirstPath + I) + "." +
         std::to_string(Index);
}

std::string Programs::workerIp(std::size_t Index) const {
  return Options_.Network_ + ".5." + std::to_string(Index);
}

std::string Programs::logOf(std::size_t I) const {
  return Options_.Folder_ + "/" + Processes_[I].Name_ + ".log";
}

std::string Programs::settingsOf(std::size_t I) const {
  const Process &Each = Processes_[I];
  const std::string Ip = ip(Each.Role_, Each.Index_);
  const bool UsesPaths = Options_.HasPaths_ && Each.Role_ != Role::Control;
  std::string Seeds;
  for (std::size_t Seed = 1; Seed <= std::min(MaxSeeds, Options_.Controls_);
       ++Seed)
    Seeds += (Seed > 1 ? "," : "") +
             (UsesPaths ? pathIp(I, Seed) : ip(Role::Control, Seed)) + ":" +
             std::to_string(ControlPort);
  std::string Text =
      "Node=" + Each.Name_ + "\nIp=" + Ip +
      "\nZone=zone-a\nRegion=region-a\nInternalPorts=7720,7735\nSeeds=" +
      Seeds + "\nBootstrap=" + (Each.HasRun_ ? "false" : "true") +
      "\nLossCounts=" + (Each.Role_ == Role::Control ? "true" : "false") +
      "\nHeartbeatMs=1500\nFaultTolerance.Machines=1\nFaultTolerance.Zones=0\n"
      "Bounds.ContactMs=3000\nBounds.AckTimeoutMs=4000\nBounds.DrainMs=2000\n"
      "Bounds.GraceS=6\nBounds.ConfigApplyMs=2000\nBounds.HoldMaxMs=10000\n"
      "Bounds.StopTimeoutMs=900\nBounds.cancel_ms=3000\n"
      "Bounds.visible_ms=3000\nBounds.FencingEnabled=true\nOrders=push\n";
  if (Each.Role_ == Role::Entry)
    Text += "Bind.Frontend=" + Ip + ":" + std::to_string(CallerPort) +
            "\nBind.Readiness=" + Ip + ":" + std::to_string(ReadinessPort) +
            "\n";
  else
    Text += "Bind.Control=" + Ip + ":" + std::to_string(ControlPort) + "\n";
  if (Each.Role_ == Role::Control)
    Text += "DataDir=" + Options_.Folder_ + "/" + Each.Name_ + "-disk\n";
  if (Each.Role_ == Role::Agent)
    Text += "app=" + workerIp(Each.Index_) + ":" + std::to_string(WorkerPort) +
            "\n";
  return Text;
}

void Programs::start(std::size_t I) {
  Process &Each = Processes_[I];
  const std::string Base = Options_.Folder_ + "/" + Each.Name_;
  std::ofstream(Base + ".conf") << settingsOf(I);
  if (Each.Role_ == Role::Control)
    std::filesystem::create_directories(Base + "-disk");
  const std::string Flag =
      std::string("--role=") + RoleNames[static_cast<std::size_t>(Each.Role_)];
  const std::string Setting = "DRAGONFLYPROXY_SETTINGS=" + Base + ".conf";
  const std::string Log = logOf(I);
  const pid_t Parent = ::getpid();
  const pid_t Child = ::fork();
  if (Child < 0)
    throw std::runtime_error("cannot start a process");
  if (Child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Out =
        ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (Out < 0 || ::getppid() != Parent)
      ::_exit(1);
    ::dup2(Out, STDOUT_FILENO);
    ::dup2(Out, STDERR_FILENO);
    // The sockets of this process are not theirs.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    std::string Path = Program;
    std::string Argument = Flag;
    std::string Variable = Setting;
    std::array<char *, 3> Arguments{Path.data(), Argument.data(), nullptr};
    std::array<char *, 2> Environment{Variable.data(), nullptr};
    ::execve(Program, Arguments.data(), Environment.data());
    ::_exit(1);
  }
  Each.Pid_ = Child;
  Each.HasRun_ = true;
  Each.IsExpected_ = false;
}

void Programs::signal(std::size_t I, int Number) const {
  if (isRunning(I))
    ::kill(Processes_[I].Pid_, Number);
}

std::vector<std::string> Programs::reap() {
  std::vector<std::string> Ended;
  for (Process &Each : Processes_) {
    int Status = 0;
    if (Each.Pid_ <= 0 || ::waitpid(Each.Pid_, &Status, WNOHANG) != Each.Pid_)
      continue;
    Each.Pid_ = 0;
    if (!Each.IsExpected_)
      Ended.push_back(Each.Name_ + " (status " + std::to_string(Status) + ")");
  }
  return Ended;
}

void Programs::wipe(std::size_t I) const {
  const std::string Disk =
      Options_.Folder_ + "/" + Processes_[I].Name_ + "-disk";
  std::filesystem::remove_all(Disk);
  std::filesystem::create_directories(Disk);
}

} // namespace dragonfly::review
