#include "dragonfly/settings/ReadSettings.h"

#include "settings/Describe.h"
#include "settings/JsonFields.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace dragonfly::settings {
namespace {

constexpr std::string_view DeploymentKey = "deployment";
constexpr std::string_view DeploymentPath = "/deployment";

std::string showFaults(const std::vector<JsonFault> &Faults) {
  std::string Text;
  for (const JsonFault &Fault : Faults)
    Text += (Text.empty() ? "" : "\n") +
            (Fault.Path_.empty() ? std::string("/") : Fault.Path_) +
            ": expected " + Fault.Expected_ + ", found " + Fault.Found_;
  return Text;
}

std::optional<boost::json::object>
readSharedFile(const std::string &Folder, std::string_view Name,
               std::vector<JsonFault> &Faults) {
  std::ifstream In(std::filesystem::path(Folder) / Name);
  if (!In) {
    Faults.push_back({std::string(DeploymentPath), "a file that can be read",
                      std::string(Name)});
    return std::nullopt;
  }
  const std::string Text{std::istreambuf_iterator<char>(In), {}};
  return parseObject(Text, std::string(DeploymentPath), Faults);
}

/// Takes the shared part out of \p Object, from the object itself or the file
/// that it names.
std::optional<boost::json::object> takeShared(boost::json::object &Object,
                                              const std::string &Folder,
                                              std::vector<JsonFault> &Faults) {
  const auto Found = Object.find({DeploymentKey.data(), DeploymentKey.size()});
  if (Found == Object.end()) {
    Faults.push_back({std::string(DeploymentPath),
                      "an object or the name of a file", "nothing"});
    return std::nullopt;
  }
  const boost::json::value Value = Found->value();
  Object.erase(Found);
  if (const auto *Shared = Value.if_object())
    return *Shared;
  if (const auto *Name = Value.if_string())
    return readSharedFile(Folder, {Name->data(), Name->size()}, Faults);
  Faults.push_back({std::string(DeploymentPath),
                    "an object or the name of a file", showValue(Value)});
  return std::nullopt;
}

template <typename Settings, typename DescribeOwn>
std::vector<JsonFault> readInto(Settings &Value, std::string_view Text,
                                const std::string &Folder, DescribeOwn Own) {
  std::vector<JsonFault> Faults;
  auto Object = parseObject(Text, "", Faults);
  if (!Object)
    return Faults;
  if (const auto Shared = takeShared(*Object, Folder, Faults))
    readObject(*Shared, std::string(DeploymentPath), Faults,
               [&Value](Fields &Visitor) {
                 describeDeployment(Visitor, Value.Process_);
               });
  readObject(*Object, "", Faults,
             [&Value, &Own](Fields &Visitor) { Own(Visitor, Value); });
  return Faults;
}

template <typename Settings, typename DescribeOwn>
std::string print(Settings Value, DescribeOwn Own) {
  return printObject([&Value, &Own](Fields &Visitor) {
    Own(Visitor, Value);
    Visitor.object(DeploymentKey, Presence::Required, [&Value](Fields &Inner) {
      describeDeployment(Inner, Value.Process_);
    });
  });
}

void throwIfAny(std::vector<JsonFault> Faults) {
  if (!Faults.empty())
    throw SettingsError(std::move(Faults));
}

} // namespace

SettingsError::SettingsError(std::vector<JsonFault> Faults)
    : Error(showFaults(Faults)), Faults_(std::move(Faults)) {}

EntrySettings readEntrySettings(std::string_view Text,
                                const std::string &Folder) {
  EntrySettings Value;
  throwIfAny(readInto(Value, Text, Folder, describeEntry));
  return Value;
}

ControlSettings readControlSettings(std::string_view Text,
                                    const std::string &Folder) {
  ControlSettings Value;
  std::vector<JsonFault> Faults =
      readInto(Value, Text, Folder, describeControl);
  const bool Listed =
      std::ranges::find(Value.Process_.Control_, Value.Replica_,
                        &ReplicaSettings::Id_) != Value.Process_.Control_.end();
  if (Faults.empty() && !Listed)
    Faults.push_back({"/replica", "an id that /deployment/control lists",
                      std::to_string(Value.Replica_.Value_)});
  throwIfAny(std::move(Faults));
  return Value;
}

AgentSettings readAgentSettings(std::string_view Text,
                                const std::string &Folder) {
  AgentSettings Value;
  throwIfAny(readInto(Value, Text, Folder, describeAgent));
  return Value;
}

std::string printSettings(const EntrySettings &Value) {
  return print(Value, describeEntry);
}

std::string printSettings(const ControlSettings &Value) {
  return print(Value, describeControl);
}

std::string printSettings(const AgentSettings &Value) {
  return print(Value, describeAgent);
}

} // namespace dragonfly::settings
