/// Messages under way between the processes of a test, on its own time.
#ifndef DRAGONFLY_TESTS_PATH_PATHNETWORK_H
#define DRAGONFLY_TESTS_PATH_PATHNETWORK_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/net/FrameClient.h"
#include "dragonfly/wire/Messages.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace dragonfly::faults {

enum class Site : std::uint8_t { Control, Agent, Entry };

/// A process's place; a restarted process keeps it.
struct Place {
  Site Site_ = Site::Control;
  std::size_t Number_ = 0;

  auto operator<=>(const Place &) const = default;
};

/// What the network knows of a process.
struct ProcessState {
  bool Alive_ = false;
  /// Grows with each start; connections do not outlive it.
  std::uint64_t Life_ = 0;
  TimePoint FrozenUntil_;
  /// Rate of its clock, in thousandths of the true one.
  std::int64_t ClockPermille_ = 1000;
};

/// A message under way.
struct RoutedMessage {
  Place From_;
  Place To_;
  wire::Message Message_;
};

/// Answers one call. Has no effect once either end has died.
using Replier = std::function<void(wire::Message)>;

/// Delivers messages in the order of their times. Nothing is delivered to a
/// process that is dead, and to a frozen one only after it thaws.
class PathNetwork {
public:
  TimePoint now() const { return Now_; }
  ProcessState &process(const Place &Where) { return Processes_[Where]; }
  /// The time that a process's own clock shows.
  TimePoint localNow(const Place &Where);
  bool runs(const Place &Where);

  void startProcess(const Place &Where);
  /// Breaks the process's connections; its calls end without their handlers.
  void endProcess(const Place &Where);

  /// Sends a message that has no answer.
  void send(const Place &From, const Place &To, wire::Message Value);
  /// Calls \p To, as over a connection.
  void call(const Place &From, const Place &To, wire::Message Request,
            Duration Timeout, net::FrameClient::Handler OnEnd,
            net::FrameClient::PartHandler OnPart = {});
  /// Runs \p Work at \p At on the true clock, as part of no process.
  void at(TimePoint At, std::function<void()> Work);
  /// Runs \p Work as part of the process as soon as it runs, if it is still
  /// the same one.
  void within(const Place &Where, Duration After, std::function<void()> Work);

  void cut(const Place &From, const Place &To) { Cut_.insert({From, To}); }
  /// Cuts a process off from all others, in both directions.
  void isolate(const Place &Where) { Isolated_.insert(Where); }
  void heal();

  /// Moves time by one step and delivers what is due.
  void step(Duration By);

  /// Takes each message as it arrives; set by the owner.
  std::function<void(const RoutedMessage &, const Replier &,
                     const Replier &OnPart)>
      OnArrival_;
  /// Returns the delays after which a message arrives, one per copy.
  std::function<std::vector<Duration>(const RoutedMessage &)> Route_;
  /// Called before a message is handed over and after it.
  std::function<void(const RoutedMessage &, bool After)> OnDelivery_;

private:
  struct Call;

  void post(RoutedMessage Value,
            std::function<void(const RoutedMessage &)> Deliver);
  void arrive(const std::shared_ptr<Call> &Pending,
              const RoutedMessage &Request);
  void answer(const std::shared_ptr<Call> &Pending, wire::Message Value,
              bool Last);
  void end(const std::shared_ptr<Call> &Pending, const net::CallResult &Result);
  void handOver(const RoutedMessage &Value, std::function<void()> Work);

  TimePoint Now_{std::chrono::seconds(1000)};
  std::map<Place, ProcessState> Processes_;
  std::multimap<TimePoint, std::function<void()>> Due_;
  bool isCut(const Place &From, const Place &To) const;

  std::set<std::pair<Place, Place>> Cut_;
  std::set<Place> Isolated_;
  std::vector<std::weak_ptr<Call>> Calls_;
};

} // namespace dragonfly::faults

#endif // DRAGONFLY_TESTS_PATH_PATHNETWORK_H
