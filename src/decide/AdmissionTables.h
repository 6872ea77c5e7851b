/// The tables that admission's systems run over.
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

/// One kind, its queue and what is known of it.
struct KindRow {
  explicit KindRow(KindPolicy Policy)
      : Policy_(std::move(Policy)), Service_(Policy_.ExpectedServiceTime_) {}

  KindPolicy Policy_;
  std::uint32_t FloorSlots_ = 0;
  std::uint32_t InProgress_ = 0;
  KindQueue Queue_;
  ServiceEstimate Service_;
  DemandPeak Demand_;
  /// Requests that may still be given up, in the order of arrival.
  std::deque<RequestHandle> Young_;
};

struct KindTable {
  KindTable() = default;
  explicit KindTable(std::vector<KindPolicy> Policies);

  /// Turns the floors' shares into whole slots, never above \p Slots together.
  void setSlots(std::uint32_t Slots);
  std::optional<RowIndex> find(std::string_view Name) const;

  std::deque<KindRow> Rows_;
  std::vector<RowIndex> ByRank_;
};

/// One customer's limits and what it occupies.
struct CustomerRow {
  std::uint32_t MaxConcurrent_ = 0;
  std::uint32_t MaxWaiting_ = 0;
  std::uint32_t InProgress_ = 0;
  std::uint32_t Waiting_ = 0;
  /// False once the customer has left the lists.
  bool Listed_ = false;
};

struct CustomerTable {
  void replace(const std::vector<CustomerPolicy> &Policies);
  /// Returns the row of a customer that is listed.
  std::optional<RowIndex> find(std::string_view Name) const;

  std::vector<CustomerRow> Rows_;
  std::map<std::string, RowIndex, std::less<>> Index_;
};

enum class RequestState : std::uint8_t { Free, Offered, Waiting, InProgress };

struct RequestRow {
  static constexpr RowIndex NoKind = ~RowIndex{0};

  RequestState State_ = RequestState::Free;
  /// Counts the uses of this row; part of the handle.
  std::uint32_t Generation_ = 0;
  RowIndex Kind_ = NoKind;
  QueuedRequest Place_{};
  TimePoint OfferedAt_{};
};

/// Requests by handle; rows are used again under a new generation.
struct RequestTable {
  RowIndex add();
  void remove(RowIndex Index);
  RequestHandle handle(RowIndex Index) const;
  std::optional<RowIndex> find(RequestHandle Handle) const;

  std::vector<RequestRow> Rows_;
  std::vector<RowIndex> Free_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_ADMISSIONTABLES_H
