#include "dragonfly/control/ListTable.h"

#include "dragonfly/base/Hash.h"

#include <utility>

namespace dragonfly::control {
namespace {

std::size_t indexOf(settings::ListName Name) {
  return Name == settings::ListName::Plans ? 0 : 1;
}

/// Returns a hash of the list, expected version and content of a change, which
/// detects the use of a change id for another change.
std::uint64_t hashOfChange(const PutList &Change) {
  return stableHash({Change.Content_}) + 2 * Change.ExpectedVersion_.Value_ +
         indexOf(Change.List_);
}

} // namespace

ListTable::ListTable(ListValidator Validator)
    : Validator_(std::move(Validator)) {
  Lists_[0].Content_ = R"({"plans":[]})";
  Lists_[1].Content_ = R"({"purchases":[]})";
}

const VersionedList &ListTable::list(settings::ListName Name) const {
  return Lists_[indexOf(Name)];
}

PutOutcome ListTable::put(const PutList &Change) {
  if (const auto Found = Changes_.find(Change.ChangeId_);
      Found != Changes_.end()) {
    const ChangeRecord &First = Found->second;
    if (First.ContentHash_ != hashOfChange(Change))
      return {.Status_ = PutStatus::ChangeIdReused,
              .Version_ = {},
              .CurrentVersion_ = list(Change.List_).Version_,
              .Faults_ = {}};
    return {.Status_ = First.Status_,
            .Version_ = First.Version_,
            .CurrentVersion_ = First.CurrentVersion_,
            .Faults_ = {}};
  }
  PutOutcome Result = applyChange(Change);
  if (Result.Status_ != PutStatus::Rejected)
    rememberOutcome(Change, Result);
  return Result;
}

PutOutcome ListTable::applyChange(const PutList &Change) {
  const std::size_t Index = indexOf(Change.List_);
  VersionedList &Target = Lists_[Index];
  if (Target.Version_ != Change.ExpectedVersion_)
    return {.Status_ = PutStatus::Conflict,
            .Version_ = {},
            .CurrentVersion_ = Target.Version_,
            .Faults_ = {}};
  std::vector<settings::JsonFault> Faults =
      Validator_(Change.List_, Change.Content_, Lists_[1 - Index].Content_);
  if (!Faults.empty())
    return {.Status_ = PutStatus::Rejected,
            .Version_ = {},
            .CurrentVersion_ = Target.Version_,
            .Faults_ = std::move(Faults)};
  ++Target.Version_.Value_;
  Target.Content_ = Change.Content_;
  return {.Status_ = PutStatus::Accepted,
          .Version_ = Target.Version_,
          .CurrentVersion_ = Target.Version_,
          .Faults_ = {}};
}

void ListTable::rememberOutcome(const PutList &Change,
                                const PutOutcome &Result) {
  Changes_.emplace(Change.ChangeId_,
                   ChangeRecord{.ContentHash_ = hashOfChange(Change),
                                .Status_ = Result.Status_,
                                .Version_ = Result.Version_,
                                .CurrentVersion_ = Result.CurrentVersion_});
  ChangeOrder_.push_back(Change.ChangeId_);
  if (ChangeOrder_.size() > MaxChangeIds) {
    Changes_.erase(ChangeOrder_.front());
    ChangeOrder_.pop_front();
  }
}

} // namespace dragonfly::control
