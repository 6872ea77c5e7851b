/// Reads and checks settings; every fault of a file is reported in one pass.
#ifndef DRAGONFLY_SETTINGS_READSETTINGS_H
#define DRAGONFLY_SETTINGS_READSETTINGS_H

#include "dragonfly/base/Error.h"
#include "dragonfly/settings/Settings.h"

#include <string>
#include <string_view>
#include <vector>

namespace dragonfly::settings {

/// One fault of a JSON document.
struct JsonFault {
  /// JSON pointer of the value, such as "/kinds/0/deadline_ms".
  std::string Path_;
  std::string Expected_;
  std::string Found_;
};

/// Thrown with every fault that a file of settings holds.
class SettingsError : public Error {
public:
  explicit SettingsError(std::vector<JsonFault> Faults);

  std::string_view type() const noexcept override {
    return "settings-rejected";
  }
  const std::vector<JsonFault> &faults() const noexcept { return Faults_; }

private:
  std::vector<JsonFault> Faults_;
};

/// Each reads the text of one file. A string "deployment" names another file
/// that holds the shared part, relative to \p Folder; an object is that part
/// itself. Throws SettingsError.
EntrySettings readEntrySettings(std::string_view Text,
                                const std::string &Folder);
ControlSettings readControlSettings(std::string_view Text,
                                    const std::string &Folder);
AgentSettings readAgentSettings(std::string_view Text,
                                const std::string &Folder);

/// Return the effective settings, defaults included, as JSON text.
std::string printSettings(const EntrySettings &Value);
std::string printSettings(const ControlSettings &Value);
std::string printSettings(const AgentSettings &Value);

} // namespace dragonfly::settings

#endif // DRAGONFLY_SETTINGS_READSETTINGS_H
