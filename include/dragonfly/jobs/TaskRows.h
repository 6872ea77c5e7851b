/// The rows of the tasks of one step.
#ifndef DRAGONFLY_JOBS_TASKROWS_H
#define DRAGONFLY_JOBS_TASKROWS_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonfly::jobs {

enum class TaskPhase : std::uint8_t { Waiting, OnWorker, Finished };

struct TaskRow {
  TaskPhase Phase_ = TaskPhase::Waiting;
  /// Number of the newest run; 0 before the first.
  std::uint32_t Run_ = 0;
  std::uint32_t Failures_ = 0;
  /// Where the newest run is or was.
  std::string Worker_;
  std::string Checkpoint_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Phase_, Run_, Failures_, Worker_, Checkpoint_);
  }
};

/// Only tasks that have begun and not finished hold a row; a finished one holds
/// a bit, and one that has not begun holds nothing. What a step costs follows
/// from the work that was done for it, not from the number of tasks that its
/// submitter names.
class TaskRows {
public:
  TaskRows() = default;
  explicit TaskRows(std::uint32_t Count) : Count_(Count) {}

  /// Number of tasks, begun or not.
  std::uint32_t size() const { return Count_; }
  /// Sets the number of tasks, which the encoding leaves out.
  void resize(std::uint32_t Count) { Count_ = Count; }
  const TaskRow &operator[](std::uint32_t Index) const;
  void set(std::uint32_t Index, TaskRow Row);
  /// Rows of the tasks that have begun and not finished, by index.
  const std::map<std::uint32_t, TaskRow> &begun() const { return Begun_; }
  /// Returns the first waiting task from \p From on.
  std::optional<std::uint32_t> nextWaiting(std::uint32_t From) const;
  /// Memory held for the rows, in bytes.
  std::size_t heldBytes() const;

  template <typename Archive> void save(Archive &Ar) const {
    const std::uint32_t Known = knownTasks();
    Ar(Known);
    for (std::uint32_t Index = 0; Index < Known; ++Index)
      Ar((*this)[Index]);
  }
  /// Reads rows up to the last task that has begun.
  template <typename Archive> void load(Archive &Ar) {
    *this = TaskRows();
    std::uint32_t Known = 0;
    Ar(Known);
    for (std::uint32_t Index = 0; Index < Known; ++Index) {
      TaskRow Row;
      Ar(Row);
      if (Row.Phase_ != TaskPhase::Waiting || Row.Run_ > 0)
        set(Index, std::move(Row));
    }
  }

private:
  bool isFinished(std::uint32_t Index) const {
    return Index < Finished_.size() && Finished_[Index];
  }
  /// Number of tasks up to the last one that has begun.
  std::uint32_t knownTasks() const;

  std::uint32_t Count_ = 0;
  std::map<std::uint32_t, TaskRow> Begun_;
  /// By index, up to the last finished task.
  std::vector<bool> Finished_;
  /// Memory of the rows in `Begun_`.
  std::size_t BegunBytes_ = 0;
};

} // namespace dragonfly::jobs

#endif // DRAGONFLY_JOBS_TASKROWS_H
