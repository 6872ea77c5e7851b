/// Drives a state machine through encoded commands. With `RestartEachStep`, a
/// machine restored from the snapshot replaces it after each command.
#ifndef DRAGONFLY_TESTS_CONTROL_MACHINEFIXTURE_H
#define DRAGONFLY_TESTS_CONTROL_MACHINEFIXTURE_H

#include "dragonfly/control/StateMachine.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::control {

/// Validator for tests. Rejects the content "bad", and any pair of lists in
/// which the purchases are "needs gold" and the plans are not "gold".
inline std::vector<settings::JsonFault>
validateWords(settings::ListName List, const std::string &Content,
              const std::string &OtherContent) {
  const bool IsPurchases = List == settings::ListName::Purchases;
  const bool Dangling =
      (IsPurchases ? Content : OtherContent) == "needs gold" &&
      (IsPurchases ? OtherContent : Content) != "gold";
  if (Content == "bad" || Dangling)
    return {{.Path_ = "/x", .Expected_ = "good", .Found_ = Content}};
  return {};
}

class MachineFixture {
public:
  explicit MachineFixture(
      bool RestartEachStep,
      StateMachineOptions Options = {.Validator_ = validateWords,
                                     .Claims_ = {},
                                     .Counts_ = {},
                                     .Tasks_ = {},
                                     .OnTaskChange_ = {},
                                     .OnRestore_ = {}})
      : RestartEachStep_(RestartEachStep), Options_(std::move(Options)),
        Machine_(std::make_unique<StateMachine>(Options_)) {}

  CommandOutput apply(CommandBody Body, Duration At = {}) {
    const std::string Bytes =
        encodeCommand({.At_ = At, .Body_ = std::move(Body)});
    const CommandOutput Output =
        decodeOutput(Machine_->hooks().Apply_(LogIndex{++Index_}, Bytes));
    if (RestartEachStep_)
      restart();
    return Output;
  }

  void restart() {
    auto Next = std::make_unique<StateMachine>(Options_);
    Next->restore(Machine_->snapshot());
    Machine_ = std::move(Next);
  }

  StateMachine &machine() { return *Machine_; }
  const TaskRecord &task(std::uint64_t Id) {
    return *Machine_->tasks().find(TaskId{Id});
  }

private:
  bool RestartEachStep_;
  StateMachineOptions Options_;
  std::unique_ptr<StateMachine> Machine_;
  std::uint64_t Index_ = 0;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_TESTS_CONTROL_MACHINEFIXTURE_H
