/// The commands of dragonflyctl.
#ifndef DRAGONFLY_CTL_CTL_H
#define DRAGONFLY_CTL_CTL_H

#include "dragonfly/base/EnumTable.h"
#include "dragonfly/ctl/ControlClient.h"

#include <array>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace dragonfly::ctl {

/// Exit codes of dragonflyctl; 1 is left to faulty flags.
enum class CtlExit : std::uint8_t {
  Ok = 0,
  BadUsage = 2,
  ListRejected = 3,    ///< The list holds faults; nothing changed.
  VersionConflict = 4, ///< The list has another version; nothing changed.
  Unavailable = 5,     ///< No replica that leads was reached; nothing changed.
  OutcomeUnknown = 6,  ///< Run the same put again with the same change id.
  Differs = 7,         ///< `lists diff` found a difference.
  Refused = 8          ///< Control refused the call for another reason.
};

struct CtlOptions {
  ControlClientOptions Control_;
  /// HTTP addresses that `histograms` reads.
  std::vector<net::Endpoint> Sources_;
  /// Prints JSON in place of tables.
  bool Json_ = false;
  /// Version that `lists put` replaces.
  std::optional<std::uint64_t> Version_;
  /// Names a change for good; made by `lists put` where empty.
  std::string ChangeId_;
  /// File of plans that `lists check purchases` checks against.
  std::string PlansFile_;
  /// Member that `members add|promote|remove` names.
  std::uint64_t MemberId_ = 0;
  std::string MemberAddress_;
  std::uint64_t MemberStore_ = 0;
};

/// Runs one command, such as {"lists", "get", "plans"}. Writes what was asked
/// for to \p Out and what went wrong to \p Err.
CtlExit runCtl(net::EventLoop &Loop, const CtlOptions &Options,
               const std::vector<std::string> &Arguments, std::ostream &Out,
               std::ostream &Err);

/// Returns the commands, one a line.
std::string describeCommands();

} // namespace dragonfly::ctl

template <> struct dragonfly::EnumTable<dragonfly::ctl::CtlExit> {
  using Exit = ctl::CtlExit;
  static constexpr std::array<EnumName<Exit>, 8> Rows{{
      {Exit::Ok, "ok"},
      {Exit::BadUsage, "bad-usage"},
      {Exit::ListRejected, "list-rejected"},
      {Exit::VersionConflict, "version-conflict"},
      {Exit::Unavailable, "unavailable"},
      {Exit::OutcomeUnknown, "outcome-unknown"},
      {Exit::Differs, "differs"},
      {Exit::Refused, "refused"},
  }};
};

#endif // DRAGONFLY_CTL_CTL_H
