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

struct CountWindow {
  /// Request ids kept, in equal shares for the customers that have any; beyond
  /// its share a customer's oldest ids are forgotten.
  std::size_t MaxRows_ = 131072;
  /// Request ids older than this are forgotten.
  Duration MaxAge_ = std::chrono::minutes(10);
  /// Longest time from the merge of one holder's receipt until the other
  /// holder sees the same request end.
  Duration MaxReceiptSkew_ = std::chrono::minutes(1);
};

/// One row of the counts.
struct CountRow {
  std::string Customer_;
  std::string Kind_;
  /// Indexed by Outcome.
  std::array<std::uint64_t, 3> Requests_{};
  /// Receipts so old that they may have been counted before; not counted.
  std::uint64_t Late_ = 0;
};

/// Merges receipts as a set. A request counts once, under the highest of the
/// outcomes told: completed over unknown over refused-not-run. A receipt whose
/// request ended before ids were forgotten is late: it is not counted, and the
/// row says so.
class CountTable {
public:
  explicit CountTable(CountWindow Window = {}) : Window_(Window) {}

  /// Returns true where the receipt changed the counts.
  bool merge(Duration At, const ReceiptRow &Row);
  /// True where merging \p Row would change nothing.
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

  struct Merged {
    Duration At_{};
    std::string RequestId_;

    template <typename Archive> void serialize(Archive &Ar) {
      Ar(At_, RequestId_);
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
    std::deque<Merged> Order_;
    std::map<std::string, KindCounts> Kinds_;
    /// Requests that ended before this may have been forgotten.
    Duration ForgottenUntil_{};

    template <typename Archive> void serialize(Archive &Ar) {
      Ar(Requests_, Order_, Kinds_, ForgottenUntil_);
    }
  };

  void forget(Duration At, CustomerCounts &Counts) const;

  CountWindow Window_;
  std::map<std::string, CustomerCounts> Customers_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_COUNTTABLE_H
