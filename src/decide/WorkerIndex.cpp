#include "decide/WorkerIndex.h"

#include <algorithm>
#include <cmath>

namespace dragonfly::decide {
namespace {

constexpr double BucketsPerDoubling = 3.5;

} // namespace

std::size_t WorkerIndex::bucketFor(std::int64_t MilliProcessors) {
  if (MilliProcessors <= 0)
    return 0;
  const double Position =
      std::log2(static_cast<double>(MilliProcessors)) * BucketsPerDoubling;
  return std::min(static_cast<std::size_t>(Position), BucketCount - 1);
}

void WorkerIndex::update(WorkerNumber Worker, const Resources &Free) {
  const std::size_t Bucket = bucketFor(Free.MilliProcessors_) +
                             (Free.Accelerators_ > 0 ? BucketCount : 0);
  if (Locations_.size() <= Worker)
    Locations_.resize(Worker + 1);
  if (Locations_[Worker].Bucket_ == Bucket)
    return;
  remove(Worker);
  Locations_[Worker] = {Bucket, Buckets_[Bucket].size()};
  Buckets_[Bucket].push_back(Worker);
}

void WorkerIndex::remove(WorkerNumber Worker) {
  if (Worker >= Locations_.size() || Locations_[Worker].Bucket_ == NoBucket)
    return;
  const Location Old = Locations_[Worker];
  std::vector<WorkerNumber> &Workers = Buckets_[Old.Bucket_];
  Workers[Old.Position_] = Workers.back();
  Locations_[Workers.back()].Position_ = Old.Position_;
  Workers.pop_back();
  Locations_[Worker].Bucket_ = NoBucket;
}

void WorkerIndex::visit(const Resources &Need, RandomEngine &Random,
                        std::size_t Limit,
                        const std::function<bool(WorkerNumber)> &Visit) const {
  const std::size_t FirstBucket = bucketFor(Need.MilliProcessors_);
  const std::size_t BucketsInRange = BucketCount - FirstBucket;
  const std::size_t Offset = Random() % BucketsInRange;
  std::size_t Inspected = 0;
  // Part 0 holds workers without free accelerators, part 1 those with.
  for (std::size_t Part = Need.Accelerators_ > 0 ? 1 : 0; Part < 2; ++Part)
    for (std::size_t Step = 0; Step < BucketsInRange; ++Step) {
      const std::size_t Bucket = FirstBucket + (Offset + Step) % BucketsInRange;
      const auto &Workers = Buckets_[Part * BucketCount + Bucket];
      const std::size_t Start = Workers.empty() ? 0 : Random() % Workers.size();
      for (std::size_t Position = 0; Position < Workers.size(); ++Position) {
        if (++Inspected > Limit ||
            !Visit(Workers[(Start + Position) % Workers.size()]))
          return;
      }
    }
}

} // namespace dragonfly::decide
