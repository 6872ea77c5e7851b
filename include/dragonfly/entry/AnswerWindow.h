/// Keeps the answers of ended requests for callers that ask again.
#ifndef DRAGONFLY_ENTRY_ANSWERWINDOW_H
#define DRAGONFLY_ENTRY_ANSWERWINDOW_H

#include "dragonfly/entry/Answer.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace dragonfly::entry {

/// Hashes request keys.
struct RequestKeyHash {
  std::size_t operator()(const wire::RequestKey &Key) const noexcept;
};

struct AnswerWindowOptions {
  std::size_t MaxAnswers_ = 16384;
  /// Bytes of the answers' bodies together.
  std::size_t MaxBytes_ = 16U << 20U;
};

/// The newest answers within both bounds; the oldest leave first.
class AnswerWindow {
public:
  struct Row {
    std::uint64_t BodyHash_ = 0;
    AnswerPtr Answer_;
  };

  explicit AnswerWindow(AnswerWindowOptions Options);

  void put(const wire::RequestKey &Key, Row Value);
  /// Returns the answer, or nothing where it is not kept.
  const Row *find(const wire::RequestKey &Key) const;
  std::size_t size() const { return Rows_.size(); }

private:
  void dropOldest();

  AnswerWindowOptions Options_;
  std::unordered_map<wire::RequestKey, Row, RequestKeyHash> Rows_;
  std::deque<wire::RequestKey> Order_;
  std::size_t Bytes_ = 0;
};

} // namespace dragonfly::entry

#endif // DRAGONFLY_ENTRY_ANSWERWINDOW_H
