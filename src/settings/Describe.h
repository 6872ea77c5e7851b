/// The fields of each settings type, named once.
#ifndef DRAGONFLY_SRC_SETTINGS_DESCRIBE_H
#define DRAGONFLY_SRC_SETTINGS_DESCRIBE_H

#include "dragonfly/settings/Lists.h"
#include "dragonfly/settings/Settings.h"
#include "settings/Fields.h"

namespace dragonfly::settings {

void describeResources(Fields &Visitor, Resources &Value);
/// The shared part: the deployment and the control replicas.
void describeDeployment(Fields &Visitor, ProcessSettings &Value);
/// Each names all fields but "deployment".
void describeEntry(Fields &Visitor, EntrySettings &Value);
void describeControl(Fields &Visitor, ControlSettings &Value);
void describeAgent(Fields &Visitor, AgentSettings &Value);

/// Reports a fault for each row whose name, as \p NameOf gives it, came
/// before.
template <typename Row, typename NameOf>
void checkUnique(Fields &Visitor, std::string_view Key,
                 const std::vector<Row> &Rows, NameOf Name) {
  for (std::size_t Index = 0; Index < Rows.size(); ++Index)
    for (std::size_t Before = 0; Before < Index; ++Before)
      if (Name(Rows[Before]) == Name(Rows[Index])) {
        Visitor.fault(Key, "names that differ",
                      std::string(Name(Rows[Index])) + " twice");
        break;
      }
}

} // namespace dragonfly::settings

#endif // DRAGONFLY_SRC_SETTINGS_DESCRIBE_H
