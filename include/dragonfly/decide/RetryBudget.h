/// Bounds retries and hedges to a share of the requests.
#ifndef DRAGONFLY_DECIDE_RETRYBUDGET_H
#define DRAGONFLY_DECIDE_RETRYBUDGET_H

#include <algorithm>
#include <cstdint>

namespace dragonfly::decide {

/// A token bucket that each request fills by a share of one token.
class RetryBudget {
public:
  explicit RetryBudget(std::uint32_t Permille) : Permille_(Permille) {}

  void countRequest() { Level_ = std::min(Level_ + Permille_, MostLevel); }

  bool tryConsume() {
    if (Level_ < PerToken)
      return false;
    Level_ -= PerToken;
    return true;
  }

private:
  /// Thousandths of a token.
  static constexpr std::uint32_t PerToken = 1000;
  static constexpr std::uint32_t FirstLevel = 10 * PerToken;
  static constexpr std::uint32_t MostLevel = 100 * PerToken;

  std::uint32_t Permille_;
  std::uint32_t Level_ = FirstLevel;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_RETRYBUDGET_H
