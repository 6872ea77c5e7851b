/// One task of a job's step, as workers name it.
#ifndef DRAGONFLY_TESTS_SOAK_TASKID_H
#define DRAGONFLY_TESTS_SOAK_TASKID_H

#include <cstdint>
#include <string>

namespace dragonfly::soak {

struct TaskId {
  std::string Job_;
  std::uint32_t Step_ = 0;
  std::uint32_t Index_ = 0;

  auto operator<=>(const TaskId &) const = default;
  std::string text() const {
    return Job_ + ".0." + std::to_string(Step_) + "." + std::to_string(Index_);
  }
};

} // namespace dragonfly::soak

#endif // DRAGONFLY_TESTS_SOAK_TASKID_H
