#include "dragonfly/entry/AnswerWindow.h"

#include <functional>
#include <utility>

namespace dragonfly::entry {
namespace {

constexpr std::uint64_t FnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t FnvPrime = 1099511628211ULL;

std::uint64_t mix(std::uint64_t Hash, std::string_view Text) {
  for (const char Letter : Text)
    Hash = (Hash ^ static_cast<unsigned char>(Letter)) * FnvPrime;
  return Hash;
}

} // namespace

std::uint64_t hashBody(std::string_view Kind, std::string_view Body) {
  constexpr std::string_view Separator("\0", 1);
  return mix(mix(mix(FnvOffset, Kind), Separator), Body);
}

std::size_t
RequestKeyHash::operator()(const wire::RequestKey &Key) const noexcept {
  const std::size_t Customer = std::hash<std::string>{}(Key.Customer_);
  return std::hash<std::string>{}(Key.RequestId_) ^ (Customer * FnvPrime);
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
