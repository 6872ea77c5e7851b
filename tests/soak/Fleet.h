/// The programs of one small deployment, as processes of their own.
#ifndef DRAGONFLY_TESTS_SOAK_FLEET_H
#define DRAGONFLY_TESTS_SOAK_FLEET_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/net/Endpoint.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace dragonfly::soak {

struct FleetOptions {
  /// Program to run.
  std::string Program_;
  /// Folder for settings, logs and disks.
  std::string Folder_;
  /// First two numbers of the loopback addresses, such as "127.77".
  std::string Network_;
  /// Preloaded into control's processes; their disks are full while a file is
  /// there (`setDiskFull`).
  std::string FullDiskLibrary_;
  /// Preloaded into all processes; makes their connections silent
  /// (`silenceConnections`).
  std::string SilentConnectionsLibrary_;
  std::size_t Controls_ = 3;
  std::size_t Entries_ = 2;
  std::size_t Agents_ = 4;
};

inline constexpr std::uint16_t CallerPort = 8161;
inline constexpr std::uint16_t ControlPort = 8166;
inline constexpr std::uint16_t WorkerPort = 9000;

/// Starts, signals and restarts its own processes, by their ids, and ends them
/// when it is destroyed.
class Fleet {
public:
  enum class Role : std::uint8_t { Control, Entry, Agent };

  explicit Fleet(FleetOptions Options);
  ~Fleet();

  std::size_t size() const { return Processes_.size(); }
  const std::string &name(std::size_t I) const { return Processes_[I].Name_; }
  bool isRunning(std::size_t I) const { return Processes_[I].Pid_ > 0; }
  void start(std::size_t I);
  void signal(std::size_t I, int Number);
  /// Tells a process to stop.
  void stop(std::size_t I);
  bool isStopping(std::size_t I) const {
    return Processes_[I].StopAskedAt_ != TimePoint::max();
  }
  /// True where the process was told to stop, has not been paused or killed
  /// since, and still runs after the stop time.
  bool isOverdue(std::size_t I) const;
  /// When it was last killed or paused.
  TimePoint harmedAt(std::size_t I) const { return Processes_[I].HarmedAt_; }
  /// It was killed and has not been started since. Until its sockets are gone,
  /// it still seems to take connections.
  bool isKilled(std::size_t I) const {
    return Processes_[I].KilledAt_ >= Processes_[I].StartedAt_;
  }
  /// The process at \p Ip; its number is below `size()`.
  std::size_t find(const std::string &Ip) const;
  /// True shortly after a start, when a signal may come before `main()`.
  bool isNew(std::size_t I) const;
  /// Files of the \p Index-th control process, from 1, take no more bytes.
  void setDiskFull(std::size_t Index, bool Full) const;
  /// A share of the connections that process \p I has open takes nothing any
  /// more. New ones work.
  void silenceConnections(std::size_t I, std::uint32_t Number,
                          std::uint32_t Percent) const;
  /// Rewrites the settings of a process with \p Seeds in place of its own.
  void writeSettings(std::size_t I, const std::string &Seeds) const;
  /// Seeds as the settings list them.
  std::string seeds() const;
  /// Notes which processes have ended. Returns how many of them ended by
  /// themselves or with an error.
  std::size_t reap();
  /// The process was told to end, so that its end is no fault of its own.
  void expectEnd(std::size_t I) {
    Processes_[I].Expected_ = true;
    Processes_[I].ExpectedAt_ = Clock::now();
  }

  const FleetOptions &options() const { return Options_; }
  /// Address of the \p Index-th process of a group, counted from 1.
  std::string ip(Role Kind, std::size_t Index) const;

private:
  struct Process {
    Role Role_ = Role::Control;
    std::size_t Index_ = 0;
    std::string Name_;
    bool HasRun_ = false;
    bool Expected_ = false;
    TimePoint ExpectedAt_;
    TimePoint StartedAt_;
    TimePoint HarmedAt_ = TimePoint::min();
    TimePoint KilledAt_ = TimePoint::min();
    TimePoint StopAskedAt_ = TimePoint::max();
    pid_t Pid_ = 0;
  };

  std::string settingsOf(const Process &Each, const std::string &Seeds) const;
  std::string pathOf(const Process &Each, const std::string &Ending) const;

  FleetOptions Options_;
  std::vector<Process> Processes_;
};

} // namespace dragonfly::soak

#endif // DRAGONFLY_TESTS_SOAK_FLEET_H
