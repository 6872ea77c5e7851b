#include "dragonfly/base/Histogram.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>

namespace dragonfly {
namespace {

namespace acc = boost::accumulators;

/// The estimated quantiles; those between the reported ones hold the markers of
/// the tail apart.
constexpr std::array<double, 9> Probabilities{0.25, 0.5,  0.75,  0.9,  0.95,
                                              0.98, 0.99, 0.995, 0.999};

/// Up to this many durations the quantiles are exact.
constexpr std::size_t ExactSamples = 64;

using Estimates = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max,
                       acc::tag::extended_p_square>>;

Duration toDuration(double Nanoseconds) {
  return Duration(std::llround(Nanoseconds));
}

std::size_t positionOf(double Probability) {
  return static_cast<std::size_t>(
      std::ranges::find(Probabilities, Probability) - Probabilities.begin());
}

} // namespace

struct Histogram::Impl {
  Estimates Estimates_{acc::extended_p_square_probabilities = Probabilities};
  std::vector<double> First_;

  double exact(double Probability) const {
    std::vector<double> Sorted = First_;
    std::ranges::sort(Sorted);
    const auto Rank = static_cast<std::size_t>(
        std::ceil(Probability * static_cast<double>(Sorted.size())));
    return Sorted[std::max<std::size_t>(Rank, 1) - 1];
  }

  Duration quantile(double Probability) const {
    if (acc::count(Estimates_) <= ExactSamples)
      return toDuration(exact(Probability));
    const double Estimate =
        acc::extended_p_square(Estimates_)[positionOf(Probability)];
    return toDuration(std::min(Estimate, acc::max(Estimates_)));
  }
};

Histogram::Histogram() : Impl_(std::make_unique<Impl>()) {}
Histogram::Histogram(Histogram &&) noexcept = default;
Histogram &Histogram::operator=(Histogram &&) noexcept = default;
Histogram::~Histogram() = default;

void Histogram::record(Duration Value) {
  const auto Nanoseconds = static_cast<double>(Value.count());
  if (Impl_->First_.size() < ExactSamples)
    Impl_->First_.push_back(Nanoseconds);
  Impl_->Estimates_(Nanoseconds);
}

HistogramSummary Histogram::summary() const {
  const Estimates &Values = Impl_->Estimates_;
  if (acc::count(Values) == 0)
    return {};
  return {.Count_ = acc::count(Values),
          .Mean_ = toDuration(acc::mean(Values)),
          .Max_ = toDuration(acc::max(Values)),
          .P50_ = Impl_->quantile(0.5),
          .P90_ = Impl_->quantile(0.9),
          .P99_ = Impl_->quantile(0.99),
          .P999_ = Impl_->quantile(0.999)};
}

struct HistogramTable::Impl {
  std::size_t MaxRows_;
  std::map<HistogramKey, Histogram> Rows_;
};

HistogramTable::HistogramTable(std::size_t MaxRows)
    : Impl_(std::make_unique<Impl>(Impl{.MaxRows_ = MaxRows, .Rows_ = {}})) {}
HistogramTable::~HistogramTable() = default;

void HistogramTable::record(const HistogramKey &Key, Duration Value) {
  auto &Rows = Impl_->Rows_;
  const auto Row = Rows.find(Key);
  if (Row != Rows.end())
    Row->second.record(Value);
  else if (Rows.size() < Impl_->MaxRows_)
    Rows[Key].record(Value);
  else
    Rows[{.Customer_ = "other", .Kind_ = Key.Kind_}].record(Value);
}

std::vector<std::pair<HistogramKey, HistogramSummary>>
HistogramTable::rows() const {
  std::vector<std::pair<HistogramKey, HistogramSummary>> Result;
  Result.reserve(Impl_->Rows_.size());
  for (const auto &[Key, Values] : Impl_->Rows_)
    Result.emplace_back(Key, Values.summary());
  return Result;
}

std::string printHistograms(const HistogramTable &Table) {
  boost::json::array Printed;
  for (const auto &[Key, Summary] : Table.rows())
    Printed.push_back({{"customer", Key.Customer_},
                       {"kind", Key.Kind_},
                       {"count", Summary.Count_},
                       {"mean_ms", toMilliseconds(Summary.Mean_)},
                       {"p50_ms", toMilliseconds(Summary.P50_)},
                       {"p90_ms", toMilliseconds(Summary.P90_)},
                       {"p99_ms", toMilliseconds(Summary.P99_)},
                       {"p999_ms", toMilliseconds(Summary.P999_)},
                       {"max_ms", toMilliseconds(Summary.Max_)}});
  return boost::json::serialize(
      boost::json::object{{"rows", std::move(Printed)}});
}

} // namespace dragonfly
