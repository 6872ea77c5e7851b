#include "dragonfly/jobs/Configuration.h"

#include "dragonfly/base/HeldBytes.h"

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

std::size_t heldBytes(const Queue &Row) {
  return dragonfly::heldBytes(Row.Name_) + dragonfly::heldBytes(Row.Host_) +
         dragonfly::heldBytes(Row.PathPrefix_) +
         dragonfly::heldBytes(Row.Service_);
}

std::size_t heldBytes(const Configuration &Value) {
  std::size_t Bytes = dragonfly::heldBytes(Value.Queues_) +
                      dragonfly::heldBytes(Value.Services_) +
                      dragonfly::heldBytes(Value.Document_);
  for (const Queue &Row : Value.Queues_)
    Bytes += heldBytes(Row);
  for (const Service &Row : Value.Services_)
    Bytes += dragonfly::heldBytes(Row.Name_);
  return Bytes;
}

void validate(const Configuration &Value) {
  std::set<std::string_view> Services;
  for (const Service &Row : Value.Services_)
    Services.insert(Row.Name_);
  std::set<std::pair<std::string_view, std::string_view>> Places;
  for (const Queue &Row : Value.Queues_) {
    if (!Services.contains(Row.Service_))
      throw ConfigurationError(ConfigurationFault::UnknownService,
                               "queue " + Row.Name_ + " names service " +
                                   Row.Service_);
    if (!Places.emplace(Row.Host_, Row.PathPrefix_).second)
      throw ConfigurationError(ConfigurationFault::DuplicateQueue,
                               Row.Host_ + Row.PathPrefix_);
  }
}

} // namespace dragonfly::jobs
