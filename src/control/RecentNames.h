/// A set of the names inserted most recently, in bounded memory.
#ifndef DRAGONFLY_SRC_CONTROL_RECENTNAMES_H
#define DRAGONFLY_SRC_CONTROL_RECENTNAMES_H

#include <cstddef>
#include <deque>
#include <set>
#include <string>

namespace dragonfly::control {

class RecentNames {
public:
  /// Inserts \p Name; returns false if it is in the set already.
  bool insert(const std::string &Name) {
    if (!Names_.insert(Name).second)
      return false;
    Order_.push_back(Name);
    if (Order_.size() > MaxNames) {
      Names_.erase(Order_.front());
      Order_.pop_front();
    }
    return true;
  }

private:
  static constexpr std::size_t MaxNames = 4096;
  std::set<std::string> Names_;
  std::deque<std::string> Order_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_RECENTNAMES_H
