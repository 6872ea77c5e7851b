#include "dragonfly/jobs/Job.h"

namespace dragonfly::jobs {

std::string printRun(const RunName &Run) {
  return Run.Task_.Job_ + "." + std::to_string(Run.Task_.Step_) + "." +
         std::to_string(Run.Task_.Index_) + "#" + std::to_string(Run.Run_);
}

std::string printSteps(const JobSpec &Spec) {
  std::string Text;
  for (const StepSpec &Step : Spec.Steps_) {
    const char *Kind = Step.TailTarget_ > Duration::zero() ? "serving"
                       : Step.UsesSpareProcessors_         ? "batch"
                                                           : "short";
    Text += (Text.empty() ? "" : ",") + std::to_string(Step.Count_) + "x" +
            std::to_string(Step.Need_.MilliProcessors_) + ":" + Kind;
    char Separator = '<';
    for (const std::uint32_t Dependency : Step.DependsOn_) {
      Text += Separator + std::to_string(Dependency);
      Separator = '+';
    }
  }
  return Text;
}

} // namespace dragonfly::jobs
