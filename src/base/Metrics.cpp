#include "dragonfly/base/Metrics.h"

#include "dragonfly/base/Histogram.h"

#include <array>
#include <map>
#include <sstream>
#include <utility>

namespace dragonfly {
namespace {

using Key = std::pair<std::string, std::string>;

void printRow(std::ostream &Out, const Key &Row, std::string_view Suffix,
              double Value) {
  Out << Row.first << Suffix;
  if (!Row.second.empty())
    Out << "{label=\"" << Row.second << "\"}";
  Out << ' ' << Value << '\n';
}

} // namespace

struct Metrics::Impl {
  std::map<Key, std::uint64_t> Counters_;
  std::map<Key, double> Gauges_;
  std::map<Key, Histogram> Histograms_;
};

Metrics::Metrics() : Impl_(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

void Metrics::count(std::string_view Name, std::string_view Label,
                    std::uint64_t By) {
  Impl_->Counters_[{std::string(Name), std::string(Label)}] += By;
}

void Metrics::set(std::string_view Name, std::string_view Label, double Value) {
  Impl_->Gauges_[{std::string(Name), std::string(Label)}] = Value;
}

void Metrics::record(std::string_view Name, std::string_view Label,
                     Duration Value) {
  Impl_->Histograms_[{std::string(Name), std::string(Label)}].record(Value);
}

std::string Metrics::text() const {
  std::ostringstream Out;
  for (const auto &[Row, Value] : Impl_->Counters_)
    printRow(Out, Row, "_total", static_cast<double>(Value));
  for (const auto &[Row, Value] : Impl_->Gauges_)
    printRow(Out, Row, "", Value);
  for (const auto &[Row, Value] : Impl_->Histograms_) {
    const HistogramSummary Summary = Value.summary();
    printRow(Out, Row, "_count", static_cast<double>(Summary.Count_));
    const std::array<std::pair<std::string_view, Duration>, 4> Quantiles{
        {{"_p50_ms", Summary.P50_},
         {"_p90_ms", Summary.P90_},
         {"_p99_ms", Summary.P99_},
         {"_max_ms", Summary.Max_}}};
    for (const auto &[Suffix, Quantile] : Quantiles)
      printRow(Out, Row, Suffix, toMilliseconds(Quantile));
  }
  return Out.str();
}

} // namespace dragonfly
