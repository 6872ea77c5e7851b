/// The programs of one small deployment, as processes of their own, started
/// with the commands of the deploy file.
#ifndef DRAGONFLY_REVIEW_STANDIN_PROGRAMS_H
#define DRAGONFLY_REVIEW_STANDIN_PROGRAMS_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace dragonfly::review {

inline constexpr std::uint16_t CallerPort = 8161;
inline constexpr std::uint16_t ControlPort = 8166;
inline constexpr std::uint16_t ReadinessPort = 8167;
inline constexpr std::uint16_t InternalPort = 7720;
inline constexpr std::uint16_t WorkerPort = 9000;

enum class Role : std::uint8_t { Control, Entry, Agent };

struct ProgramsOptions {
  /// Folder for settings, logs and disks.
  std::string Folder_;
  /// First two numbers of the loopback addresses, such as "127.77".
  std::string Network_;
  std::size_t Controls_ = 3;
  std::size_t Entries_ = 2;
  std::size_t Agents_ = 2;
  /// Entries and agents reach control over paths of their own.
  bool HasPaths_ = false;
};

/// Starts, signals and restarts its own processes, by their ids. They end with
/// this one.
class Programs {
public:
  explicit Programs(ProgramsOptions Options);
  ~Programs();
  Programs(const Programs &) = delete;
  Programs &operator=(const Programs &) = delete;

  std::size_t size() const { return Processes_.size(); }
  /// Number of the \p Index-th process of a role, counted from 1.
  std::size_t number(Role Kind, std::size_t Index) const;
  const std::string &name(std::size_t I) const { return Processes_[I].Name_; }
  Role role(std::size_t I) const { return Processes_[I].Role_; }
  bool isRunning(std::size_t I) const { return Processes_[I].Pid_ > 0; }
  void start(std::size_t I);
  void signal(std::size_t I, int Number) const;
  /// Notes which processes have ended; returns the names of those that were not
  /// told to.
  std::vector<std::string> reap();
  /// The process was told to end.
  void expectEnd(std::size_t I) { Processes_[I].IsExpected_ = true; }
  /// Empties the disk of a process.
  void wipe(std::size_t I) const;

  /// Address of the \p Index-th process of a role, counted from 1.
  std::string ip(Role Kind, std::size_t Index) const;
  /// Address at which process \p I finds the \p Index-th control process.
  std::string pathIp(std::size_t I, std::size_t Index) const;
  std::string workerIp(std::size_t Index) const;
  std::string logOf(std::size_t I) const;
  const ProgramsOptions &options() const { return Options_; }

private:
  struct Process {
    Role Role_ = Role::Control;
    std::size_t Index_ = 0;
    std::string Name_;
    bool HasRun_ = false;
    bool IsExpected_ = false;
    pid_t Pid_ = 0;
  };

  std::string settingsOf(std::size_t I) const;

  ProgramsOptions Options_;
  std::vector<Process> Processes_;
};

} // namespace dragonfly::review

#endif // DRAGONFLY_REVIEW_STANDIN_PROGRAMS_H
