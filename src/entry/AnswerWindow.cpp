#include "dragonfly/entry/AnswerWindow.h"

#include "dragonfly/base/Hash.h"

#include <boost/container_hash/hash.hpp>

#include <utility>

namespace dragonfly::entry {
std::uint64_t hashBody(std::string_view Kind, std::string_view Body) {
  return stableHash({Kind, Body});
}

std::size_t
RequestKeyHash::operator()(const wire::RequestKey &Key) const noexcept {
  std::size_t Hash = 0;
  boost::hash_combine(Hash, Key.Customer_);
  boost::hash_combine(Hash, Key.RequestId_);
  return Hash;
}

AnswerWindow::AnswerWindow(AnswerWindowOptions Options) : Options_(Options) {}

void AnswerWindow::put(const wire::RequestKey &Key, Row Value) {
  const std::size_t Added = Value.Answer_->Body_.size();
  const auto [It, Inserted] = Rows_.try_emplace(Key);
  if (Inserted)
    Order_.push_back(Key);
  else
    Bytes_ -= It->second.Answer_->Body_.size();
  It->second = std::move(Value);
  Bytes_ += Added;
  while (Rows_.size() > Options_.MaxAnswers_ || Bytes_ > Options_.MaxBytes_)
    dropOldest();
}

const AnswerWindow::Row *AnswerWindow::find(const wire::RequestKey &Key) const {
  const auto Found = Rows_.find(Key);
  return Found == Rows_.end() ? nullptr : &Found->second;
}

void AnswerWindow::dropOldest() {
  const auto Oldest = Rows_.find(Order_.front());
  Bytes_ -= Oldest->second.Answer_->Body_.size();
  Rows_.erase(Oldest);
  Order_.pop_front();
}

} // namespace dragonfly::entry
