/// Admits requests from entries against the VM's ledger and passes them to the
/// upstream.
#ifndef DRAGONFLY_AGENT_REQUESTRUNNER_H
#define DRAGONFLY_AGENT_REQUESTRUNNER_H

#include "dragonfly/agent/UpstreamHooks.h"
#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Ids.h"
#include "dragonfly/wire/Messages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace dragonfly::agent {

class Ledger;

struct RequestRunnerOptions {
  Incarnation Self_;
  Ledger *Ledger_ = nullptr;
  /// Asked before each request; anything but None refuses it.
  std::function<Reason()> MayAccept_;
  /// Receives one receipt per completed request.
  std::function<void(wire::Receipt)> OnReceipt_;
  UpstreamHooks Upstream_;
};

/// What the entry that asked is told.
struct ExecuteHooks {
  std::function<void(wire::ExecuteResult)> OnEnd_;
  std::function<void(wire::ExecutePart)> OnPart_;
};

/// The requests in progress on one VM. A result says refused-not-run only
/// where the upstream was never given the request.
class RequestRunner {
public:
  explicit RequestRunner(RequestRunnerOptions Options);

  void execute(wire::Execute Request, ExecuteHooks Hooks);
  /// Gives up an idempotent request that nobody waits for; a non-idempotent
  /// one runs to its end, so that its outcome is known.
  void cancel(const wire::RequestKey &Key);

  std::size_t inProgress() const { return Rows_.size(); }
  /// Calls \p Handler once nothing is in progress.
  void whenIdle(std::function<void()> Handler);

private:
  struct Row {
    wire::RequestKey Key_;
    std::string Kind_;
    bool NonIdempotent_ = false;
    bool Streamed_ = false;
    TimePoint StartedAt_;
    std::uint64_t Parts_ = 0;
    std::uint64_t UpstreamCall_ = 0;
    ExecuteHooks Hooks_;
  };

  Reason admit(const wire::Execute &Request);
  void refuse(const ExecuteHooks &Hooks, Reason Why) const;
  void takePart(std::uint64_t Number, std::string Body);
  void ended(std::uint64_t Number, RunResult Result);
  void finish(std::uint64_t Number, wire::ExecuteResult Result);

  RequestRunnerOptions Options_;
  std::map<std::uint64_t, Row> Rows_;
  std::uint64_t LastNumber_ = 0;
  std::function<void()> OnIdle_;
};

} // namespace dragonfly::agent

#endif // DRAGONFLY_AGENT_REQUESTRUNNER_H
