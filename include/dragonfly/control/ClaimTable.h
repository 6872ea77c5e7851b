/// Claims of non-idempotent requests: what keeps them from running twice.
#ifndef DRAGONFLY_CONTROL_CLAIMTABLE_H
#define DRAGONFLY_CONTROL_CLAIMTABLE_H

#include "dragonfly/control/Command.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace dragonfly::control {

struct ClaimWindow {
  /// A claim is never forgotten sooner than this after it was made.
  Duration MinAge_ = std::chrono::minutes(10);
  /// A claim is forgotten once it is older than this.
  Duration MaxAge_ = std::chrono::hours(24);
  /// Claims kept, in equal shares for the customers that have any. Beyond its
  /// share a customer's oldest claim is forgotten, or, where that is younger
  /// than `MinAge_`, the new one is refused as outside the window.
  std::size_t MaxRows_ = 65536;
  /// Bytes of answers kept, in equal shares. Beyond its share a customer's
  /// oldest answers are dropped: their outcome stays known, with status 410 and
  /// no body.
  std::size_t MaxAnswerBytes_ = 16U << 20U;
};

/// The claims of every customer. A claim is granted once: again only to the
/// same claimant and attempt (a resend of the claim itself), to its next
/// attempt, or after a receipt of the claimant that nothing was run.
class ClaimTable {
public:
  explicit ClaimTable(ClaimWindow Window = {}) : Window_(Window) {}

  ClaimOutcome claim(Duration At, const ClaimRow &Row);
  /// Settles or releases the claim that \p Row belongs to, if there is one.
  void applyReceipt(const ReceiptRow &Row);
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
    std::deque<std::string> Order_;
    /// Request ids whose answers are kept, oldest first.
    std::deque<std::string> Answers_;
    std::size_t AnswerBytes_ = 0;

    template <typename Archive> void serialize(Archive &Ar) {
      Ar(Rows_, Order_, Answers_, AnswerBytes_);
    }
  };

  static ClaimOutcome claimAgain(Duration At, ClaimRecord &Record,
                                 const ClaimRow &Row);
  bool makeRoom(Duration At, CustomerClaims &Claims) const;
  void keepAnswer(CustomerClaims &Claims, const ReceiptRow &Row,
                  ClaimRecord &Record) const;

  /// A customer's part of what all may hold.
  std::size_t shareOf(std::size_t Total) const;

  ClaimWindow Window_;
  std::map<std::string, CustomerClaims> Customers_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_CLAIMTABLE_H
