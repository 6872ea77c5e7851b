/// Bootstraps the control group at the first start of a system, when only the
/// seed addresses are known.
#ifndef DRAGONFLY_CONTROL_GROUPFOUNDING_H
#define DRAGONFLY_CONTROL_GROUPFOUNDING_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/net/Endpoint.h"
#include "dragonfly/net/GracefulStop.h"
#include "dragonfly/wire/Messages.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonfly::control {

/// Chooses the first members from the candidates. Only one process, the lowest
/// seed, makes the choice.
class FounderChoice {
public:
  struct Options {
    /// Target number of members.
    std::size_t Wanted_ = 3;
    /// Fewer members are chosen if no new candidate appears for this long;
    /// several times the interval within which all VMs start.
    Duration GracePeriod_ = std::chrono::milliseconds(1500);
  };

  explicit FounderChoice(Options Options) : Options_(Options) {}

  /// Adds \p Candidate unless its id is already known.
  void addCandidate(TimePoint Now, const wire::GroupRow &Candidate);
  /// Returns the first members, or an empty list while waiting for candidates.
  /// The choice is final.
  const std::vector<wire::GroupRow> &decide(TimePoint Now);

private:
  Options Options_;
  std::vector<wire::GroupRow> Candidates_;
  std::vector<wire::GroupRow> Chosen_;
  TimePoint LastAddedAt_;
};

struct GroupFoundingOptions {
  /// This process and the address where its frame server listens.
  wire::GroupRow Self_;
  /// Empty where this process has no disk and cannot be a member.
  std::string DataFolder_;
  /// Frame addresses, the same list in every process. The process at the lowest
  /// one chooses the members.
  std::vector<std::string> Seeds_;
  /// Whether this process was choosing the members when it ended, so that no
  /// other process does, whatever the seeds are now.
  bool ResumesChoice_ = false;
  FounderChoice::Options Choice_;
  /// Called once with the first members.
  std::function<void(std::vector<wire::GroupRow>)> OnFounded_;
};

/// Returns the first members that a process with \p DataFolder has chosen and
/// may not have told, none of them if it ended before the choice, or nothing if
/// it has no choice to make. Throws StorageError.
std::optional<std::vector<wire::GroupRow>>
unfinishedChoice(const std::string &DataFolder);

/// Bootstrap phase of a control process: announces itself to the seeds and
/// answers other processes until the first members are known.
class GroupFounding {
public:
  /// Throws NetError(CannotListen) or StorageError.
  GroupFounding(net::EventLoop &Loop, GroupFoundingOptions Options);
  ~GroupFounding();

  net::StopPart stopPart();

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_GROUPFOUNDING_H
