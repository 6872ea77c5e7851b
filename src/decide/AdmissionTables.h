/// The tables of kinds, customers and requests that admission works on.
#ifndef DRAGONFLY_SRC_DECIDE_ADMISSIONTABLES_H
#define DRAGONFLY_SRC_DECIDE_ADMISSIONTABLES_H

#include "decide/DemandPeak.h"
#include "decide/KindQueue.h"
#include "decide/ServiceEstimate.h"
#include "dragonfly/decide/Admission.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonfly::decide {

/// One request kind, its queue and its measured load.
struct KindRow {
  explicit KindRow(KindPolicy Policy)
      : Policy_(std::move(Policy)), ServiceTime_(Policy_.ExpectedServiceTime_) {
  }

  KindPolicy Policy_;
  std::uint32_t FloorSlots_ = 0;
  std::uint32_t InProgress_ = 0;
  KindQueue Queue_;
  ServiceEstimate ServiceTime_;
  DemandPeak SlotDemand_;
  /// Requests not yet checked at `MaxRefusalAge`, in order of arrival.
  std::deque<RequestHandle> RefusableRequests_;
};

struct KindTable {
  KindTable() = default;
  explicit KindTable(std::vector<KindPolicy> Policies);

  /// Converts the floors from shares of \p Slots to whole slots; their sum
  /// never exceeds \p Slots.
  void assignFloorSlots(std::uint32_t Slots);
  std::optional<RowIndex> find(std::string_view Name) const;

  std::deque<KindRow> Rows_;
  std::vector<RowIndex> IndicesByRank_;
};

/// One customer's limits and its current usage.
struct CustomerRow {
  std::uint32_t MaxConcurrent_ = 0;
  std::uint32_t MaxWaiting_ = 0;
  std::uint32_t InProgress_ = 0;
  std::uint32_t Waiting_ = 0;
  /// False once the customer is missing from the newest table. Its row stays,
  /// because requests refer to it by index.
  bool Listed_ = false;
};

struct CustomerTable {
  void replace(const std::vector<CustomerPolicy> &Policies);
  /// Returns the row of a listed customer, or nothing.
  std::optional<RowIndex> find(std::string_view Name) const;

  std::vector<CustomerRow> Rows_;
  std::map<std::string, RowIndex, std::less<>> IndexByName_;
};

enum class RequestState : std::uint8_t { Free, Offered, Waiting, InProgress };

struct RequestRow {
  static constexpr RowIndex NoKind = ~RowIndex{0};

  RequestState State_ = RequestState::Free;
  /// Number of times this row has been allocated; part of the handle.
  std::uint32_t Generation_ = 0;
  RowIndex Kind_ = NoKind;
  QueuedRequest QueueEntry_{};
  TimePoint OfferedAt_{};
};

/// Requests by handle. A row is reused under a new generation, so that old
/// handles don't match.
struct RequestTable {
  RowIndex add();
  void remove(RowIndex Index);
  RequestHandle handle(RowIndex Index) const;
  std::optional<RowIndex> find(RequestHandle Handle) const;

  std::vector<RequestRow> Rows_;
  std::vector<RowIndex> FreeIndices_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_ADMISSIONTABLES_H
