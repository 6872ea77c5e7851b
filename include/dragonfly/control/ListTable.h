/// The two lists that operators edit, with their versions and change ids.
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

/// Returns the faults of \p Content, which would replace \p List while the
/// other list holds \p Other. Deterministic.
using ListValidator = std::function<std::vector<settings::JsonFault>(
    settings::ListName List, const std::string &Content,
    const std::string &Other)>;

/// Checks with the parsers of settings/Lists.h.
std::vector<settings::JsonFault> validateList(settings::ListName List,
                                              const std::string &Content,
                                              const std::string &Other);

/// One list as it is in force.
struct VersionedList {
  ListVersion Version_{1};
  std::string Content_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Version_, Content_);
  }
};

/// Holds both lists. An accepted change raises the version by one. A change id
/// is remembered for the next `MaxChangeIds` changes, conflicts included;
/// within that window a resend returns the first outcome. A rejected change is
/// not remembered, since it changed nothing, and is checked again.
class ListTable {
public:
  static constexpr std::size_t MaxChangeIds = 8192;

  explicit ListTable(ListValidator Validator);

  PutOutcome put(const PutList &Change);
  const VersionedList &list(settings::ListName Name) const;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Lists_, Changes_, Order_);
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

  PutOutcome decide(const PutList &Change);
  void remember(const PutList &Change, const PutOutcome &Result);

  ListValidator Validator_;
  std::array<VersionedList, 2> Lists_;
  std::map<std::string, ChangeRecord> Changes_;
  std::deque<std::string> Order_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_LISTTABLE_H
