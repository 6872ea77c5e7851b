/// Limits retries and hedges to a share of the requests.
#ifndef DRAGONFLY_DECIDE_RETRYBUDGET_H
#define DRAGONFLY_DECIDE_RETRYBUDGET_H

#include <algorithm>
#include <cstdint>

namespace dragonfly::decide {

/// A token bucket to which each request adds a fraction of a token.
class RetryBudget {
public:
  /// Allows \p Permille retries per thousand requests.
  explicit RetryBudget(std::uint32_t Permille) : Permille_(Permille) {}

  /// Credits one request to the budget.
  void countRequest() { Level_ = std::min(Level_ + Permille_, MaxLevel); }

  /// Removes one token; returns false if there is none.
  bool tryConsume() {
    if (Level_ < LevelPerToken)
      return false;
    Level_ -= LevelPerToken;
    return true;
  }

private:
  /// Levels are in thousandths of a token.
  static constexpr std::uint32_t LevelPerToken = 1000;
  static constexpr std::uint32_t InitialLevel = 10 * LevelPerToken;
  static constexpr std::uint32_t MaxLevel = 100 * LevelPerToken;

  std::uint32_t Permille_;
  std::uint32_t Level_ = InitialLevel;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_RETRYBUDGET_H
