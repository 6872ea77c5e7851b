/// The life of each request at an entry: admission, claim, attempts, outcome.
///
/// It has no sockets: agents and control are reached through hooks, and time
/// is an argument, so that tests drive it on the paused clock.
#ifndef DRAGONFLY_ENTRY_GATEWAY_H
#define DRAGONFLY_ENTRY_GATEWAY_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Ids.h"
#include "dragonfly/decide/Admission.h"
#include "dragonfly/decide/Router.h"
#include "dragonfly/entry/Answer.h"
#include "dragonfly/entry/AnswerWindow.h"
#include "dragonfly/net/FrameClient.h"
#include "dragonfly/settings/Settings.h"
#include "dragonfly/wire/Messages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dragonfly::entry {

/// One call to the agent of an upstream.
struct AgentCall {
  std::string Worker_;
  wire::Message Request_;
  Duration Timeout_{};
  net::FrameClient::Handler OnEnd_;
  net::FrameClient::PartHandler OnPart_;
};

/// How a gateway reaches the rest of the system. Handlers given to hooks may
/// be called from within the hook or later, each once.
struct GatewayHooks {
  std::function<void(AgentCall)> CallAgent_;
  /// Sends a frame that has no answer.
  std::function<void(const std::string &Worker, const wire::Message &)>
      TellAgent_;
  /// Calls whichever replica leads. The result is NeverSent where certainly
  /// nothing was done, and Lost or TimedOut where that is not known.
  std::function<void(wire::Message, Duration Timeout,
                     net::FrameClient::Handler OnEnd)>
      CallControl_;
  /// Keeps a receipt until control has it durably.
  std::function<void(wire::Receipt)> KeepReceipt_;
  /// True while the configuration lease is fresh and receipts can be kept.
  std::function<bool(TimePoint Now)> MayTakeWork_;
  /// Called with the latency of each completed request.
  std::function<void(const std::string &Customer, const std::string &Kind,
                     Duration Latency)>
      OnCompleted_;
};

struct GatewayOptions {
  Incarnation Self_;
  std::string AvailabilityZone_;
  std::vector<settings::KindSettings> Kinds_;
  std::uint32_t RetryPermille_ = 100;
  std::uint64_t Seed_ = 1;
  AnswerWindowOptions Window_;
  GatewayHooks Hooks_;
};

/// Names one caller that waits for an answer.
using WaiterId = std::uint64_t;

/// The requests of one entry.
class Gateway {
public:
  explicit Gateway(GatewayOptions Options);
  ~Gateway();

  /// Replaces the customers and their limits at this entry.
  void setCustomers(std::vector<decide::CustomerPolicy> Customers);
  /// Replaces the entries among which the upstreams' slots are divided from the
  /// next `setUpstreams()` on; \p Own is this entry's name.
  void setEntries(const std::vector<wire::LiveEntry> &Entries, std::string Own);
  /// Replaces the upstreams; \p Slots is what this entry may occupy where it is
  /// not among the entries.
  void setUpstreams(const std::vector<wire::Upstream> &Rows,
                    std::uint32_t Slots);

  /// Takes a request, or joins a caller to one with the same key that is in
  /// progress or has ended inside the window. Returns a number for
  /// `callerGone()`; 0 where the answer has been given already.
  WaiterId submit(TimePoint Now, CallerRequest Request, AnswerHooks Hooks);
  /// Tells that a caller no longer waits. What nobody waits for and has not
  /// begun is dropped; a stream that nobody follows is cancelled.
  void callerGone(TimePoint Now, WaiterId Waiter);
  /// Asks for a request's end. It still gets its one outcome.
  RequestStatus cancel(TimePoint Now, const wire::RequestKey &Key);
  RequestStatus status(const wire::RequestKey &Key) const;

  /// Runs what is due: verdicts, polls and deadlines.
  void tick(TimePoint Now);

  /// Refuses new requests from now on; those in progress go on.
  void drain();
  /// Requests without an outcome yet.
  std::size_t inProgress() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace dragonfly::entry

#endif // DRAGONFLY_ENTRY_GATEWAY_H
