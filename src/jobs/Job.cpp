#include "dragonfly/jobs/Job.h"

namespace dragonfly::jobs {

std::string printRun(const RunName &Run) {
  return Run.Task_.Job_ + "." + std::to_string(Run.Task_.Step_) + "." +
         std::to_string(Run.Task_.Index_) + "#" + std::to_string(Run.Run_);
}

} // namespace dragonfly::jobs
