/// Runs one cell of the fault matrix of the whole path: load, the message that
/// is waited for, the fault, the repair and the check of every promise.
#ifndef DRAGONFLY_TESTS_PATH_PATHSCENARIO_H
#define DRAGONFLY_TESTS_PATH_PATHSCENARIO_H

#include "dragonfly/base/EnumTable.h"
#include "dragonfly/base/Random.h"
#include "dragonfly/entry/Answer.h"
#include "path/PathWorld.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonfly::faults {

/// What the fault does to the message, its sender or its receiver.
enum class PathFault : std::uint8_t {
  SenderKilled,
  ReceiverKilledBefore,
  ReceiverKilledAfter,
  ReceiverFrozen, ///< Past its lease, then thawed.
  MessageLost,
  MessageDoubled,
  MessageDelayed, ///< Past the next leader's election.
  OneWayCut,      ///< From sender to receiver.
  TwoWayCut,      ///< The receiver is cut off from everyone.
  DiskLost,       ///< The leader of control is killed and its folder lost.
  ClockFast,      ///< The receiver's clock runs 2% fast.
  ClockSlow,
  LeaderToo, ///< The receiver is killed, and the leader during the repair.
  SameTwice  ///< The receiver is killed, and again after its repair.
};

/// One row: a message that carries a step of some protocol.
struct PathStep {
  std::string_view Name_;
  /// Number of the message's type in `wire::Message`.
  std::size_t Type_;
  Site Receiver_;
};

struct PathSettings {
  PathStep Step_;
  PathFault Fault_ = PathFault::MessageLost;
  std::uint64_t Seed_ = 1;
  /// True where the first agent is stopped gracefully and started again.
  bool Drain_ = false;
};

class PathScenario {
public:
  explicit PathScenario(PathSettings Settings);

  /// Returns what was found broken, one line each.
  std::vector<std::string> run();
  bool struck() const { return Strikes_ > 0; }

private:
  /// A caller's request through all of its tries.
  struct CallerRow {
    wire::RequestKey Key_;
    std::string Kind_;
    std::uint32_t Tries_ = 0;
    std::uint32_t Refused_ = 0;
    std::uint32_t Answers_ = 0;
    bool Completed_ = false;
  };
  struct Edit {
    TimePoint AcceptedAt_;
    ListVersion Version_;
  };

  bool matches(const RoutedMessage &Value) const;
  std::vector<Duration> route(const RoutedMessage &Value);
  void delivered(const RoutedMessage &Value, bool After);
  void strike(const RoutedMessage &Value);
  void killFor(const Place &Where, Duration Down);
  void healLater();
  bool atRest();
  void load();
  void submit(CallerRow &Row);
  void cancelSoon(const wire::RequestKey &Key);
  void answered(CallerRow &Row, const entry::Answer &End);
  void edit();
  void drain();
  void checkDrain();
  void checkConfiguration();
  void checkRequests();
  void checkCounts();
  void checkTasks();
  void broken(const std::string &Detail);

  PathSettings Settings_;
  RandomEngine Random_;
  PathWorld World_;
  std::uint64_t Skip_ = 0;
  std::uint32_t Strikes_ = 0;
  bool Armed_ = false;
  std::uint64_t Steps_ = 0;
  std::map<wire::RequestKey, CallerRow> Callers_;
  std::vector<Edit> Edits_;
  bool EditPending_ = false;
  std::map<Place, std::pair<std::uint64_t, ListVersion>> Seen_;
  /// Runs on the draining VM when its stop began.
  std::optional<std::uint64_t> RunsAtDrain_;
  std::uint64_t DrainLife_ = 0;
  std::vector<std::string> Broken_;
};

} // namespace dragonfly::faults

namespace dragonfly {

template <> struct EnumTable<faults::PathFault> {
  using Fault = faults::PathFault;
  static constexpr std::array<EnumName<Fault>, 14> Rows{{
      {Fault::SenderKilled, "sender killed"},
      {Fault::ReceiverKilledBefore, "receiver killed before"},
      {Fault::ReceiverKilledAfter, "receiver killed after"},
      {Fault::ReceiverFrozen, "receiver frozen past its lease"},
      {Fault::MessageLost, "message lost"},
      {Fault::MessageDoubled, "message doubled"},
      {Fault::MessageDelayed, "message delayed past the next leader"},
      {Fault::OneWayCut, "one-way cut"},
      {Fault::TwoWayCut, "two-way cut"},
      {Fault::DiskLost, "disk lost"},
      {Fault::ClockFast, "clock 2% fast"},
      {Fault::ClockSlow, "clock 2% slow"},
      {Fault::LeaderToo, "leader killed during the repair"},
      {Fault::SameTwice, "same fault twice"},
  }};
};

} // namespace dragonfly

#endif // DRAGONFLY_TESTS_PATH_PATHSCENARIO_H
