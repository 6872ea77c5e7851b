#include "dragonfly/base/Histogram.h"

#include "dragonfly/base/Random.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>
#include <string>
#include <vector>

using namespace dragonfly;
using namespace std::chrono_literals;

namespace {

using Draw = std::function<double(RandomEngine &)>;

struct Shape {
  std::string Name_;
  Draw Draw_;
};

const std::vector<Shape> &shapes() {
  static const std::vector<Shape> Shapes{
      {"uniform",
       [](RandomEngine &Engine) {
         return std::uniform_real_distribution<>(1e6, 9e6)(Engine);
       }},
      {"log-normal",
       [](RandomEngine &Engine) {
         return std::lognormal_distribution<>(15, 0.6)(Engine);
       }},
      {"exponential",
       [](RandomEngine &Engine) {
         return std::exponential_distribution<>(1.0 / 5e6)(Engine);
       }},
  };
  return Shapes;
}

double relativeError(Duration Estimate, Duration Exact) {
  return std::abs(static_cast<double>((Estimate - Exact).count())) /
         static_cast<double>(Exact.count());
}

Duration exactQuantile(const std::vector<Duration> &Sorted, double P) {
  return Sorted[static_cast<std::size_t>(
      P * static_cast<double>(Sorted.size() - 1))];
}

} // namespace

TEST_CASE("an empty histogram is all zero", "[base][histogram]") {
  CHECK(Histogram().summary().Count_ == 0);
  CHECK(Histogram().summary().P99_ == 0ns);
}

TEST_CASE("few durations give exact quantiles", "[base][histogram]") {
  Histogram Values;
  for (int Count = 1; Count <= 10; ++Count)
    Values.record(Count * 1ms);
  CHECK(Values.summary().P50_ == 5ms);
  CHECK(Values.summary().P99_ == 10ms);
  CHECK(Values.summary().Max_ == 10ms);
  CHECK(Values.summary().Mean_ == 5500us);
}

TEST_CASE("quantiles stay within the stated accuracy", "[base][histogram]") {
  const std::size_t Index = GENERATE(0U, 1U, 2U);
  const Shape &Form = shapes()[Index];
  RandomEngine Engine(7);
  Histogram Values;
  std::vector<Duration> Sorted;
  for (int Count = 0; Count < 20000; ++Count) {
    Sorted.emplace_back(std::llround(Form.Draw_(Engine)));
    Values.record(Sorted.back());
  }
  std::ranges::sort(Sorted);
  const HistogramSummary Summary = Values.summary();
  INFO(Form.Name_);
  CHECK(Summary.Count_ == 20000);
  CHECK(relativeError(Summary.P50_, exactQuantile(Sorted, 0.5)) < 0.02);
  CHECK(relativeError(Summary.P90_, exactQuantile(Sorted, 0.9)) < 0.02);
  CHECK(relativeError(Summary.P99_, exactQuantile(Sorted, 0.99)) < 0.05);
  CHECK(relativeError(Summary.P999_, exactQuantile(Sorted, 0.999)) < 0.15);
  CHECK(Summary.Max_ == Sorted.back());
}

TEST_CASE("customers beyond the bound share a row", "[base][histogram]") {
  HistogramTable Table(2);
  Table.record({.Customer_ = "a", .Kind_ = "k"}, 1ms);
  Table.record({.Customer_ = "b", .Kind_ = "k"}, 1ms);
  Table.record({.Customer_ = "c", .Kind_ = "k"}, 1ms);
  Table.record({.Customer_ = "d", .Kind_ = "k"}, 1ms);
  Table.record({.Customer_ = "a", .Kind_ = "k"}, 1ms);
  const auto Rows = Table.rows();
  REQUIRE(Rows.size() == 3);
  CHECK(Rows[0].second.Count_ == 2);
  CHECK(Rows[2].first.Customer_ == "other");
  CHECK(Rows[2].second.Count_ == 2);
}

TEST_CASE("a table is printed as rows of JSON", "[base][histogram]") {
  HistogramTable Table;
  Table.record({"alnarp", "belt-check"}, std::chrono::milliseconds(4));
  const std::string Text = printHistograms(Table);
  REQUIRE(Text.find(R"("customer":"alnarp","kind":"belt-check","count":1)") !=
          std::string::npos);
  REQUIRE(Text.find(R"("max_ms":4E0)") != std::string::npos);
}
