#include "decide/LearntNeeds.h"

#include <algorithm>
#include <cmath>

namespace dragonfly::decide {
namespace {

/// Ratios are recorded in thousandths.
constexpr double Permille = 1000;
/// Declared values are used as they are until a group has this many samples.
constexpr std::uint32_t MinSamples = 4;
constexpr double MinRatio = 0.1;
/// Memory cannot be throttled, so a high quantile of its usage is reserved.
constexpr double MemoryQuantile = 0.8;
constexpr double RunTimeQuantile = 0.5;

void recordRatio(LogHistogram &Histogram, double Measured, double Declared) {
  if (Declared > 0)
    Histogram.record(Permille * Measured / Declared);
}

double correctionRatio(const LogHistogram &Histogram, double Quantile) {
  if (Histogram.weight() < MinSamples)
    return 1;
  return std::max(MinRatio, Histogram.quantile(Quantile) / Permille);
}

std::int64_t scaled(std::int64_t Value, double Ratio) {
  return static_cast<std::int64_t>(
      std::ceil(static_cast<double>(Value) * Ratio));
}

} // namespace

LearntNeeds::Ratios &LearntNeeds::ratiosFor(GroupIndex Group) {
  if (Groups_.size() <= Group)
    Groups_.resize(Group + 1);
  return Groups_[Group];
}

void LearntNeeds::recordUsage(GroupIndex Group, const Resources &Declared,
                              const Resources &Usage) {
  Ratios &Row = ratiosFor(Group);
  recordRatio(Row.Processors_, static_cast<double>(Usage.MilliProcessors_),
              static_cast<double>(Declared.MilliProcessors_));
  recordRatio(Row.Memory_, static_cast<double>(Usage.MemoryMib_),
              static_cast<double>(Declared.MemoryMib_));
}

void LearntNeeds::recordRunTime(GroupIndex Group, Duration Declared,
                                Duration Measured) {
  recordRatio(ratiosFor(Group).RunTime_, static_cast<double>(Measured.count()),
              static_cast<double>(Declared.count()));
}

Resources LearntNeeds::corrected(GroupIndex Group,
                                 const Resources &Declared) const {
  if (Group >= Groups_.size())
    return Declared;
  const Ratios &Row = Groups_[Group];
  return {
      scaled(Declared.MilliProcessors_,
             correctionRatio(Row.Processors_, ProcessorQuantile_)),
      scaled(Declared.MemoryMib_, correctionRatio(Row.Memory_, MemoryQuantile)),
      Declared.Accelerators_};
}

Duration LearntNeeds::corrected(GroupIndex Group, Duration Declared) const {
  if (Group >= Groups_.size())
    return Declared;
  const double Ratio =
      correctionRatio(Groups_[Group].RunTime_, RunTimeQuantile);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(Declared.count()) * Ratio));
}

} // namespace dragonfly::decide
