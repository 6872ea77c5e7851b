#include "dragonfly/control/GroupDirectory.h"

#include "dragonfly/base/Random.h"

#include <algorithm>

namespace dragonfly::control {

GroupDirectory::GroupDirectory(net::EventLoop &Loop, const std::string &Address)
    : Server_(Loop, {.Listen_ = net::Endpoint::make(Address),
                     .Self_ = makeFreshId<Incarnation>(),
                     .OnMessage_ = [this](const wire::Message &Value,
                                          const net::FrameReplier &To) {
                       handleMessage(Value, To);
                     }}) {}

void GroupDirectory::handleMessage(const wire::Message &Value,
                                   const net::FrameReplier &To) {
  if (const auto *Join = std::get_if<wire::JoinGroup>(&Value))
    addMember({.Id_ = Join->Id_, .Address_ = Join->Address_});
  if (std::holds_alternative<wire::FetchGroup>(Value))
    To.answer(Known_);
  else
    To.answer(
        wire::Refusal{.Reason_ = Reason::NoQuorum, .Leader_ = Known_.Leader_});
}

void GroupDirectory::addMember(const wire::GroupRow &Row) {
  if (std::ranges::find(Known_.Rows_, Row.Id_, &wire::GroupRow::Id_) ==
      Known_.Rows_.end())
    Known_.Rows_.push_back(Row);
}

void GroupDirectory::learn(const wire::Group &Known) {
  // A process that does not know the group yet answers without rows, and one
  // that is cut off from it without a leader.
  if (Known.Rows_.empty())
    return;
  if (!Known.Leader_.empty()) {
    Known_ = Known;
    return;
  }
  Known_.Leader_.clear();
  std::ranges::for_each(Known.Rows_,
                        [this](const wire::GroupRow &Row) { addMember(Row); });
}

} // namespace dragonfly::control
