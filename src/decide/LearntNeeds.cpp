#include "decide/LearntNeeds.h"

#include <algorithm>
#include <cmath>

namespace dragonfly::decide {
namespace {

/// Ratios are recorded in thousandths.
constexpr double Permille = 1000;
constexpr std::uint32_t LeastSamples = 4;
constexpr double LeastShare = 0.1;
/// Memory cannot be throttled, so nearly all of it is reserved.
constexpr double MemoryQuantile = 0.8;
constexpr double RunTimeQuantile = 0.5;

void recordRatio(LogHistogram &Histogram, double Measured, double Declared) {
  if (Declared > 0)
    Histogram.record(Permille * Measured / Declared);
}

double ratio(const LogHistogram &Histogram, double Quantile) {
  if (Histogram.weight() < LeastSamples)
    return 1;
  return std::max(LeastShare, Histogram.quantile(Quantile) / Permille);
}

std::int64_t scaled(std::int64_t Value, double Ratio) {
  return static_cast<std::int64_t>(
      std::ceil(static_cast<double>(Value) * Ratio));
}

} // namespace

LearntNeeds::Ratios &LearntNeeds::ratios(GroupIndex Group) {
  if (Groups_.size() <= Group)
    Groups_.resize(Group + 1);
  return Groups_[Group];
}

void LearntNeeds::recordUsage(GroupIndex Group, const Resources &Declared,
                              const Resources &Usage) {
  Ratios &Row = ratios(Group);
  recordRatio(Row.Processors_, static_cast<double>(Usage.MilliProcessors_),
              static_cast<double>(Declared.MilliProcessors_));
  recordRatio(Row.Memory_, static_cast<double>(Usage.MemoryMib_),
              static_cast<double>(Declared.MemoryMib_));
}

void LearntNeeds::recordRunTime(GroupIndex Group, Duration Declared,
                                Duration Measured) {
  recordRatio(ratios(Group).RunTime_, static_cast<double>(Measured.count()),
              static_cast<double>(Declared.count()));
}

Resources LearntNeeds::corrected(GroupIndex Group,
                                 const Resources &Declared) const {
  if (Group >= Groups_.size())
    return Declared;
  const Ratios &Row = Groups_[Group];
  return {scaled(Declared.MilliProcessors_,
                 ratio(Row.Processors_, ProcessorQuantile_)),
          scaled(Declared.MemoryMib_, ratio(Row.Memory_, MemoryQuantile)),
          Declared.Accelerators_};
}

Duration LearntNeeds::corrected(GroupIndex Group, Duration Declared) const {
  if (Group >= Groups_.size())
    return Declared;
  const double Ratio = ratio(Groups_[Group].RunTime_, RunTimeQuantile);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(Declared.count()) * Ratio));
}

} // namespace dragonfly::decide
