#include "decide/WorkerIndex.h"

#include <algorithm>
#include <cmath>

namespace dragonfly::decide {
namespace {

constexpr double BucketsPerDoubling = 3.5;

} // namespace

std::size_t WorkerIndex::bucketOf(std::int64_t MilliProcessors) {
  if (MilliProcessors <= 0)
    return 0;
  const double Position =
      std::log2(static_cast<double>(MilliProcessors)) * BucketsPerDoubling;
  return std::min(static_cast<std::size_t>(Position), Buckets - 1);
}

void WorkerIndex::set(WorkerIndexValue Worker, const Resources &Free) {
  const std::size_t Bucket =
      bucketOf(Free.MilliProcessors_) + (Free.Accelerators_ > 0 ? Buckets : 0);
  if (Places_.size() <= Worker)
    Places_.resize(Worker + 1);
  if (Places_[Worker].Bucket_ == Bucket)
    return;
  remove(Worker);
  Places_[Worker] = {Bucket, Rows_[Bucket].size()};
  Rows_[Bucket].push_back(Worker);
}

void WorkerIndex::remove(WorkerIndexValue Worker) {
  if (Worker >= Places_.size() || Places_[Worker].Bucket_ == Nowhere)
    return;
  const Place Old = Places_[Worker];
  std::vector<WorkerIndexValue> &Row = Rows_[Old.Bucket_];
  Row[Old.Position_] = Row.back();
  Places_[Row.back()].Position_ = Old.Position_;
  Row.pop_back();
  Places_[Worker].Bucket_ = Nowhere;
}

void WorkerIndex::visit(
    const Resources &Need, RandomEngine &Random, std::size_t Limit,
    const std::function<bool(WorkerIndexValue)> &Visit) const {
  const std::size_t First = bucketOf(Need.MilliProcessors_);
  const std::size_t Span = Buckets - First;
  const std::size_t Offset = Random() % Span;
  std::size_t Inspected = 0;
  for (std::size_t Half = Need.Accelerators_ > 0 ? 1 : 0; Half < 2; ++Half)
    for (std::size_t Step = 0; Step < Span; ++Step) {
      const std::size_t Bucket = First + (Offset + Step) % Span;
      const auto &Row = Rows_[Half * Buckets + Bucket];
      const std::size_t Start = Row.empty() ? 0 : Random() % Row.size();
      for (std::size_t At = 0; At < Row.size(); ++At) {
        if (++Inspected > Limit || !Visit(Row[(Start + At) % Row.size()]))
          return;
      }
    }
}

} // namespace dragonfly::decide
