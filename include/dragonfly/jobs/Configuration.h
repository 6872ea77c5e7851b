/// The queues that jobs are submitted to and the services that run them. One
/// change replaces the whole configuration.
#ifndef DRAGONFLY_JOBS_CONFIGURATION_H
#define DRAGONFLY_JOBS_CONFIGURATION_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Error.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dragonfly::jobs {

/// One queue, reached by host and path prefix.
struct Queue {
  std::string Name_;
  std::string Host_;
  std::string PathPrefix_;
  /// Whose workers run the queue's tasks.
  std::string Service_;
  Duration TargetLatency_{};
  /// 0 comes first and may preempt others.
  std::uint32_t Priority_ = 0;
  /// Failed runs of one task before its job fails.
  std::uint32_t MaxAttempts_ = 1;
  /// A job is on time within this times its chain of work, plus the target.
  double SlackFactor_ = 1.0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Name_, Host_, PathPrefix_, Service_, TargetLatency_, Priority_,
       MaxAttempts_, SlackFactor_);
  }
};

struct Service {
  std::string Name_;
  /// Workers of the service refuse what does not fit.
  bool ChecksAdmission_ = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Name_, ChecksAdmission_);
  }
};

struct Configuration {
  /// Chosen by the operator; 0 means that there is none yet.
  std::uint64_t Version_ = 0;
  std::vector<Queue> Queues_;
  std::vector<Service> Services_;
  /// The configuration as the operator wrote it, to be read back.
  std::string Document_;

  /// Returns the queue of \p Host with the longest prefix of \p Path, or null.
  const Queue *findQueue(std::string_view Host, std::string_view Path) const;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Version_, Queues_, Services_, Document_);
  }
};

/// Returns the memory that \p Row holds beside the object itself, in bytes.
std::size_t heldBytes(const Queue &Row);
/// Returns the memory that \p Value holds beside the object itself, in bytes.
std::size_t heldBytes(const Configuration &Value);

enum class ConfigurationFault : std::uint8_t {
  Unreadable,
  UnknownService,
  DuplicateQueue,
  ZeroTimeout
};

using ConfigurationError = TypedError<ConfigurationFault>;

/// Throws ConfigurationError where a queue names a service that is not listed
/// or two queues share host and prefix.
void validate(const Configuration &Value);

} // namespace dragonfly::jobs

template <> struct dragonfly::EnumTable<dragonfly::jobs::ConfigurationFault> {
  using Fault = jobs::ConfigurationFault;
  static constexpr std::array<EnumName<Fault>, 4> Rows{{
      {Fault::Unreadable, "unreadable"},
      {Fault::UnknownService, "unknown-service"},
      {Fault::DuplicateQueue, "duplicate-queue"},
      {Fault::ZeroTimeout, "zero-timeout"},
  }};
};

#endif // DRAGONFLY_JOBS_CONFIGURATION_H
