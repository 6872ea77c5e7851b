#include "dragonfly/jobs/Configuration.h"

#include <algorithm>
#include <set>
#include <utility>

namespace dragonfly::jobs {

const Queue *Configuration::findQueue(std::string_view Host,
                                      std::string_view Path) const {
  const Queue *Longest = nullptr;
  for (const Queue &Row : Queues_)
    if (Row.Host_ == Host && Path.starts_with(Row.PathPrefix_) &&
        (Longest == nullptr ||
         Row.PathPrefix_.size() > Longest->PathPrefix_.size()))
      Longest = &Row;
  return Longest;
}

void validate(const Configuration &Value) {
  std::set<std::pair<std::string_view, std::string_view>> Places;
  for (const Queue &Row : Value.Queues_) {
    if (std::ranges::find(Value.Services_, Row.Service_, &Service::Name_) ==
        Value.Services_.end())
      throw ConfigurationError(ConfigurationFault::UnknownService,
                               "queue " + Row.Name_ + " names service " +
                                   Row.Service_);
    if (!Places.emplace(Row.Host_, Row.PathPrefix_).second)
      throw ConfigurationError(ConfigurationFault::DuplicateQueue,
                               Row.Host_ + Row.PathPrefix_);
  }
}

} // namespace dragonfly::jobs
