/// Chooses the first members of control's group where only a few addresses are
/// known when a system starts for the first time.
#ifndef DRAGONFLY_CONTROL_GROUPFOUNDING_H
#define DRAGONFLY_CONTROL_GROUPFOUNDING_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/net/Endpoint.h"
#include "dragonfly/wire/Messages.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dragonfly::net {
class EventLoop;
} // namespace dragonfly::net

namespace dragonfly::control {

/// The choice itself. One process makes it for all.
class FounderChoice {
public:
  struct Options {
    /// Members that are wanted.
    std::size_t Wanted_ = 3;
    /// Fewer are taken once no other candidate has come for so long; several
    /// times the span in which all VMs start.
    Duration Patience_ = std::chrono::milliseconds(1500);
  };

  explicit FounderChoice(Options Options) : Options_(Options) {}

  void sighted(TimePoint Now, const wire::GroupRow &Candidate);
  /// Returns the members, or nothing while more candidates may come. Once made,
  /// the choice stays.
  const std::vector<wire::GroupRow> &decide(TimePoint Now);

private:
  Options Options_;
  std::vector<wire::GroupRow> Candidates_;
  std::vector<wire::GroupRow> Chosen_;
  TimePoint LastSightedAt_;
};

struct GroupFoundingOptions {
  /// This process, under the address where it takes frames.
  wire::GroupRow Self_;
  /// It has a disk and can be a member.
  bool IsCandidate_ = true;
  /// Frame addresses that every process of the system was given alike. The
  /// lowest one makes the choice.
  std::vector<std::string> Seeds_;
  FounderChoice::Options Choice_;
  /// Called once with the first members.
  std::function<void(std::vector<wire::GroupRow>)> OnFounded_;
};

/// The first minutes of a control process: it makes itself known to the seeds,
/// answers others, and ends once the first members are known.
class GroupFounding {
public:
  /// Throws NetError(CannotListen).
  GroupFounding(net::EventLoop &Loop, GroupFoundingOptions Options);
  ~GroupFounding();

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_GROUPFOUNDING_H
