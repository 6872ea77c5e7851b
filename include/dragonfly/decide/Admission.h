/// Decides which requests an entry dispatches, keeps waiting or refuses.
///
/// A table of kinds with guaranteed floors, a table of customers with limits
/// and a table of requests; `tick()` runs over them and returns commands. The
/// caller owns what the handles stand for.
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

/// How one kind shares the slots.
struct KindPolicy {
  std::string Name_;
  /// Guaranteed share of the slots, in thousandths; idle capacity of others
  /// may be used beyond it.
  std::uint32_t FloorPermille_ = 0;
  /// Lower goes first where floors are met; 0 is the most urgent.
  std::uint32_t Rank_ = 0;
  std::size_t QueueLimit_ = 1000;
  /// First guess at the service time, until measured.
  Duration ExpectedServiceTime_ = std::chrono::milliseconds(5);
};

/// What one customer's plan allows at this entry.
struct CustomerPolicy {
  std::string Name_;
  /// Requests in progress at once.
  std::uint32_t MaxConcurrent_ = 0;
  /// Requests that may wait at once.
  std::uint32_t MaxWaiting_ = 0;
};

/// Stands for one offered request until its end; never reused.
using RequestHandle = std::uint64_t;

struct AdmissionRequest {
  std::string_view Customer_;
  std::string_view Kind_;
  TimePoint Deadline_;
};

enum class AdmissionVerdict : std::uint8_t { Dispatch, Refuse };

struct AdmissionCommand {
  RequestHandle Request_ = 0;
  AdmissionVerdict Verdict_ = AdmissionVerdict::Dispatch;
  Reason Reason_ = Reason::None;
  /// When a refused caller may try again.
  Duration RetryAfter_{};
};

struct AdmissionOptions {
  std::vector<KindPolicy> Kinds_;
};

/// Admission of one entry.
class Admission {
public:
  explicit Admission(AdmissionOptions Options);
  Admission(Admission &&) noexcept;
  Admission &operator=(Admission &&) noexcept;
  ~Admission();

  /// Sets the number of slots that this entry may occupy.
  void setCapacity(std::uint32_t Slots);
  /// Replaces the table of customers; requests already admitted go on.
  void setCustomers(std::vector<CustomerPolicy> Customers);

  /// Takes a request into the table. Its verdict comes from this or a later
  /// `tick()`.
  RequestHandle offer(TimePoint Now, const AdmissionRequest &Request);
  /// Tells that a dispatched request has ended after \p Service.
  void finish(TimePoint Now, RequestHandle Request, Duration Service);
  /// Removes a request whose caller has gone; no command follows for it. While
  /// an attempt is still on its way, call `finish()` at its end instead: the
  /// upstream's slot is taken until then.
  void cancel(RequestHandle Request);
  /// Lets a dispatched request wait again that no upstream had room for and
  /// that certainly did not run. Its slot stays unused for a moment.
  void requeue(TimePoint Now, RequestHandle Request);

  /// Returns the verdicts that are due; valid until the next call.
  const std::vector<AdmissionCommand> &tick(TimePoint Now);

  std::size_t waiting() const;
  std::size_t inProgress() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_ADMISSION_H
