/// Admission control of an entry: dispatches, queues or refuses requests.
///
/// Holds a table of request kinds with guaranteed shares of the slots, a table
/// of customers with limits, and a table of requests. `tick()` evaluates them
/// and returns commands. The caller owns the requests that the handles refer
/// to.
#ifndef DRAGONFLY_DECIDE_ADMISSION_H
#define DRAGONFLY_DECIDE_ADMISSION_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Outcome.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace dragonfly::decide {

/// Scheduling parameters of one request kind.
struct KindPolicy {
  std::string Name_;
  /// Guaranteed share of the slots, in thousandths. The kind may use idle
  /// slots of other kinds beyond it.
  std::uint32_t FloorPermille_ = 0;
  /// Priority; 0 is the most urgent. Kinds are dispatched in this order, first
  /// up to their floors and then beyond.
  std::uint32_t Rank_ = 0;
  /// Most requests of the kind that may wait at once.
  std::size_t QueueLimit_ = 1000;
  /// Initial estimate of the service time; measured times replace it.
  Duration ExpectedServiceTime_ = std::chrono::milliseconds(5);
};

/// Limits of one customer's plan at this entry.
struct CustomerPolicy {
  std::string Name_;
  /// Most requests in progress at once; at 0 every request is refused.
  std::uint32_t MaxConcurrent_ = 0;
  /// Most requests that may wait at once.
  std::uint32_t MaxWaiting_ = 0;
};

/// Identifies one offered request; a handle is not reused after its end.
using RequestHandle = std::uint64_t;

/// A request that asks for admission.
struct AdmissionRequest {
  std::string_view Customer_;
  std::string_view Kind_;
  TimePoint Deadline_;
};

/// Decision on one request.
enum class AdmissionVerdict : std::uint8_t { Dispatch, Refuse };

/// Tells the caller to dispatch or to refuse one request.
struct AdmissionCommand {
  RequestHandle Request_ = 0;
  AdmissionVerdict Verdict_ = AdmissionVerdict::Dispatch;
  /// Why the request is refused; `None` for a dispatch.
  Reason Reason_ = Reason::None;
  /// Time after which a refused caller may try again.
  Duration RetryAfter_{};
};

struct AdmissionOptions {
  std::vector<KindPolicy> Kinds_;
};

/// Admission control of one entry.
class Admission {
public:
  explicit Admission(AdmissionOptions Options);
  Admission(Admission &&) noexcept;
  Admission &operator=(Admission &&) noexcept;
  ~Admission();

  /// Sets the number of slots that this entry may occupy.
  void setCapacity(std::uint32_t Slots);
  /// Replaces the table of customers. Waiting requests of customers that are
  /// no longer listed are refused; dispatched requests continue.
  void setCustomers(std::vector<CustomerPolicy> Customers);

  /// Adds a request to the table. The next `tick()` or a later one returns its
  /// verdict.
  RequestHandle offer(TimePoint Now, const AdmissionRequest &Request);
  /// Records the end of a dispatched request that took \p Service and frees its
  /// slot.
  void finish(TimePoint Now, RequestHandle Request, Duration Service);
  /// Removes a request whose caller has disconnected; no command follows for
  /// it. While an attempt is still in flight, call `finish()` at its end
  /// instead: the attempt occupies the upstream's slot until then.
  void cancel(RequestHandle Request);
  /// Returns a dispatched request to the queue after no upstream had room for
  /// it. The request must certainly not have run. Its slot stays unused for a
  /// short backoff.
  void requeue(TimePoint Now, RequestHandle Request);

  /// Expires and dispatches waiting requests and returns the commands due. The
  /// reference is valid until the next call.
  const std::vector<AdmissionCommand> &tick(TimePoint Now);

  /// Returns the number of waiting requests.
  std::size_t waiting() const;
  /// Returns the number of dispatched requests that have not ended.
  std::size_t inProgress() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_ADMISSION_H
