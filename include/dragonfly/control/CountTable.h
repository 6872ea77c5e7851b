/// Counts of requests per customer, kind and outcome, merged from receipts.
#ifndef DRAGONFLY_CONTROL_COUNTTABLE_H
#define DRAGONFLY_CONTROL_COUNTTABLE_H

#include "dragonfly/control/Command.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace dragonfly::control {

/// Limits on how many request ids are kept and for how long.
struct CountWindow {
  /// Maximum number of request ids, divided equally among the customers that
  /// have any. A customer that exceeds its share loses its oldest ids.
  std::size_t MaxRows_ = 131072;
  /// Request ids are dropped once they are older than this.
  Duration MaxAge_ = std::chrono::minutes(10);
  /// Maximum time between the merge of one receipt (of the entry or of the
  /// agent) and the moment at which the other of the two sees the same request
  /// end.
  Duration MaxReceiptSkew_ = std::chrono::minutes(1);
};

/// Counts of one customer and kind.
struct CountRow {
  std::string Customer_;
  std::string Kind_;
  /// Number of requests, indexed by Outcome.
  std::array<std::uint64_t, 3> Requests_{};
  /// Number of receipts that were not counted because they are so old that
  /// their requests may have been counted before.
  std::uint64_t Late_ = 0;
};

/// Merges receipts as a set. A request counts once, under the highest outcome
/// that was reported: completed over unknown over refused-not-run. A receipt is
/// late if the id of its request may have been dropped already. It is then not
/// counted as a request but in `CountRow::Late_`.
class CountTable {
public:
  explicit CountTable(CountWindow Window = {}) : Window_(Window) {}

  /// Merges a receipt at the log time \p At. Returns true if the number of
  /// requests of an outcome changed.
  bool merge(Duration At, const ReceiptRow &Row);
  /// True if merging \p Row would change nothing.
  bool isRedundant(const ReceiptRow &Row) const;
  /// Returns the counts in ascending order of customer and kind.
  std::vector<CountRow> rows() const;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Customers_); }

private:
  struct RequestRecord {
    std::string Kind_;
    Outcome Outcome_ = Outcome::Unknown;

    template <typename Archive> void serialize(Archive &Ar) {
      Ar(Kind_, Outcome_);
    }
  };

  struct MergedRequest {
    Duration MergedAt_{};
    std::string RequestId_;

    template <typename Archive> void serialize(Archive &Ar) {
      Ar(MergedAt_, RequestId_);
    }
  };

  struct KindCounts {
    std::array<std::uint64_t, 3> Requests_{};
    std::uint64_t Late_ = 0;

    template <typename Archive> void serialize(Archive &Ar) {
      Ar(Requests_, Late_);
    }
  };

  struct CustomerCounts {
    std::map<std::string, RequestRecord> Requests_;
    std::deque<MergedRequest> MergeOrder_;
    std::map<std::string, KindCounts> Kinds_;
    /// Ids of requests that ended before this log time may have been dropped.
    Duration ForgottenBefore_{};

    template <typename Archive> void serialize(Archive &Ar) {
      Ar(Requests_, MergeOrder_, Kinds_, ForgottenBefore_);
    }
  };

  void forgetOldRequests(Duration At, CustomerCounts &Counts) const;

  CountWindow Window_;
  std::map<std::string, CustomerCounts> Customers_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_COUNTTABLE_H
