/// An upstream that records what reaches it and answers when told to.
#ifndef DRAGONFLY_TESTS_AGENT_FAKEUPSTREAM_H
#define DRAGONFLY_TESTS_AGENT_FAKEUPSTREAM_H

#include "dragonfly/agent/UpstreamHooks.h"

#include <functional>
#include <utility>
#include <vector>

namespace dragonfly::agent {

struct FakeUpstream {
  std::vector<wire::Execute> Runs_;
  std::vector<std::function<void(RunResult)>> Ends_;
  std::vector<std::function<void(std::string)>> Parts_;
  std::vector<std::uint64_t> Cancelled_;
  std::vector<wire::TaskDirective> Orders_;
  std::vector<std::function<void(OrderResult)>> OrderEnds_;

  UpstreamHooks hooks() {
    return {.Run_ =
                [this](const wire::Execute &Request, Duration, auto OnEnd,
                       auto OnPart) {
                  Runs_.push_back(Request);
                  Ends_.push_back(std::move(OnEnd));
                  Parts_.push_back(std::move(OnPart));
                  return Runs_.size();
                },
            .Cancel_ =
                [this](std::uint64_t Number) { Cancelled_.push_back(Number); },
            .Order_ =
                [this](const wire::TaskDirective &Order, auto OnEnd) {
                  Orders_.push_back(Order);
                  OrderEnds_.push_back(std::move(OnEnd));
                }};
  }
};

} // namespace dragonfly::agent

#endif // DRAGONFLY_TESTS_AGENT_FAKEUPSTREAM_H
