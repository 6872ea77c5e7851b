/// Claims of non-idempotent requests, which keep a request from running twice.
#ifndef DRAGONFLY_CONTROL_CLAIMTABLE_H
#define DRAGONFLY_CONTROL_CLAIMTABLE_H

#include "dragonfly/control/Command.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace dragonfly::control {

/// Limits on how many claims are kept and for how long.
struct ClaimWindow {
  /// A claim is kept at least this long after it was made.
  Duration MinAge_ = std::chrono::minutes(10);
  /// A claim is dropped once it is older than this.
  Duration MaxAge_ = std::chrono::hours(24);
  /// Maximum number of claims, divided equally among the customers that have
  /// any. A customer that exceeds its share loses its oldest claim; if that is
  /// younger than `MinAge_`, the new claim is refused as outside the window.
  std::size_t MaxRows_ = 65536;
  /// Maximum number of bytes of answers, divided equally among the customers.
  /// A customer that exceeds its share loses its oldest answers: their outcome
  /// stays known, with status 410 and no body.
  std::size_t MaxAnswerBytes_ = 16U << 20U;
};

/// Claims of all customers. A claim is granted once. It is granted again only
/// to the same claimant and attempt (a resend of the claim itself), to the next
/// attempt of that claimant, or after a receipt of the claimant that says that
/// nothing was run.
class ClaimTable {
public:
  explicit ClaimTable(ClaimWindow Window = {}) : Window_(Window) {}

  /// Grants or refuses a claim at the log time \p At.
  ClaimOutcome claim(Duration At, const ClaimRow &Row);
  /// Settles or releases the claim that \p Row refers to, if there is one.
  void applyReceipt(const ReceiptRow &Row);
  /// Returns the number of claims of all customers.
  std::size_t size() const;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Customers_); }

private:
  enum class Phase : std::uint8_t { Pending, Settled, Released };

  struct ClaimRecord {
    Incarnation Target_;
    Incarnation Claimant_;
    std::uint32_t Attempt_ = 1;
    std::uint64_t BodyHash_ = 0;
    Duration ClaimedAt_{};
    Phase Phase_ = Phase::Pending;
    Outcome Outcome_ = Outcome::Unknown;
    Reason Reason_ = Reason::None;
    std::uint16_t Status_ = 0;
    std::string Body_;

    template <typename Archive> void serialize(Archive &Ar) {
      Ar(Target_, Claimant_, Attempt_, BodyHash_, ClaimedAt_, Phase_, Outcome_,
         Reason_, Status_, Body_);
    }
  };

  struct CustomerClaims {
    std::map<std::string, ClaimRecord> Rows_;
    /// Request ids in the order of their first claims.
    std::deque<std::string> ClaimOrder_;
    /// Request ids whose answers are kept, oldest answer first.
    std::deque<std::string> AnswerOrder_;
    std::size_t AnswerBytes_ = 0;

    template <typename Archive> void serialize(Archive &Ar) {
      Ar(Rows_, ClaimOrder_, AnswerOrder_, AnswerBytes_);
    }
  };

  static ClaimOutcome claimExisting(Duration At, ClaimRecord &Record,
                                    const ClaimRow &Row);
  /// Drops claims that are too old or beyond the customer's share. Returns
  /// false if a new claim finds no room.
  bool makeRoomForClaim(Duration At, CustomerClaims &Claims) const;
  void storeAnswer(CustomerClaims &Claims, const ReceiptRow &Row,
                   ClaimRecord &Record) const;

  /// Returns one customer's equal share of \p Total, at least 1.
  std::size_t sharePerCustomer(std::size_t Total) const;

  ClaimWindow Window_;
  std::map<std::string, CustomerClaims> Customers_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_CLAIMTABLE_H
