/// The lists of plans and purchases that operators edit, with their versions
/// and change ids.
#ifndef DRAGONFLY_CONTROL_LISTTABLE_H
#define DRAGONFLY_CONTROL_LISTTABLE_H

#include "dragonfly/control/Command.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace dragonfly::control {

/// Returns the faults of \p Content as the new content of \p List, while the
/// other list has \p OtherContent. Must be deterministic, since every replica
/// runs it.
using ListValidator = std::function<std::vector<settings::JsonFault>(
    settings::ListName List, const std::string &Content,
    const std::string &OtherContent)>;

/// Default validator, which uses the parsers of settings/Lists.h.
std::vector<settings::JsonFault> validateList(settings::ListName List,
                                              const std::string &Content,
                                              const std::string &OtherContent);

/// Content of one list and its version.
struct VersionedList {
  ListVersion Version_{1};
  std::string Content_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Version_, Content_);
  }
};

/// Holds both lists. An accepted change increments the version by one. A change
/// id is kept for the next `MaxChangeIds` changes, including conflicts. While
/// it is kept, a resend of the change returns the first outcome. The id of a
/// rejected change is not kept, since the change had no effect; a resend is
/// validated again.
class ListTable {
public:
  static constexpr std::size_t MaxChangeIds = 8192;

  explicit ListTable(ListValidator Validator);

  /// Replaces the content of a list if its version is the expected one and the
  /// new content is valid.
  PutOutcome put(const PutList &Change);
  const VersionedList &list(settings::ListName Name) const;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Lists_, Changes_, ChangeOrder_);
  }

private:
  struct ChangeRecord {
    std::uint64_t ContentHash_ = 0;
    PutStatus Status_ = PutStatus::Accepted;
    ListVersion Version_;
    ListVersion CurrentVersion_;

    template <typename Archive> void serialize(Archive &Ar) {
      Ar(ContentHash_, Status_, Version_, CurrentVersion_);
    }
  };

  PutOutcome applyChange(const PutList &Change);
  void rememberOutcome(const PutList &Change, const PutOutcome &Result);

  ListValidator Validator_;
  std::array<VersionedList, 2> Lists_;
  std::map<std::string, ChangeRecord> Changes_;
  std::deque<std::string> ChangeOrder_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_LISTTABLE_H
