#include "support/CountCheck.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>

namespace dragonfly::check {
namespace {

/// Names a row of any table.
struct RowKey {
  std::string Customer_;
  std::string Kind_;

  auto operator<=>(const RowKey &) const = default;
};

template <typename Row> RowKey keyOf(const Row &Value) {
  return {.Customer_ = Value.Customer_, .Kind_ = Value.Kind_};
}

std::uint64_t countedFor(const Evidence &Found, const RowKey &Key) {
  std::uint64_t Sum = 0;
  for (const CountedRow &Row : Found.Counts_)
    if (keyOf(Row) == Key)
      Sum += Row.Completed_;
  return Sum;
}

bool isTask(const Evidence &Found, const std::string &Kind) {
  return std::ranges::find(Found.Tasks_, Kind) != Found.Tasks_.end();
}

/// Returns the number of requests that ran at least once; that of a kind which
/// tasks carry is known for all customers together only.
std::uint64_t ranFor(const Evidence &Found, RowKey Key) {
  if (isTask(Found, Key.Kind_))
    Key.Customer_.clear();
  std::set<std::string> Ids;
  for (const RunRow &Row : Found.Runs_)
    if (keyOf(Row) == Key && Row.Count_ > 0)
      Ids.insert(Row.RequestId_);
  return Ids.size();
}

void add(std::vector<Mismatch> &Rows, Promise Broken, const RowKey &Key,
         std::string Detail) {
  Rows.push_back({.Promise_ = Broken,
                  .Customer_ = Key.Customer_,
                  .Kind_ = Key.Kind_,
                  .Detail_ = std::move(Detail)});
}

void checkRow(const Evidence &Found, const ReportRow &Row,
              std::vector<Mismatch> &Rows) {
  const RowKey Key = keyOf(Row);
  const std::uint64_t Counted = countedFor(Found, Key);
  const std::uint64_t Undecided = Row.Unknown_ + Row.Lost_;
  if (Counted < Row.Completed_ || Counted > Row.Completed_ + Undecided)
    add(Rows, Promise::CountsEqualCompletions, Key,
        "completed " + std::to_string(Row.Completed_) + ", undecided " +
            std::to_string(Undecided) + ", counted " + std::to_string(Counted));
  const std::uint64_t Ran = ranFor(Found, Key);
  if (!isTask(Found, Row.Kind_) && Ran < Row.Completed_)
    add(Rows, Promise::CompletedRan, Key,
        "completed " + std::to_string(Row.Completed_) + ", ran " +
            std::to_string(Ran));
  if (Row.Mismatched_ > 0)
    add(Rows, Promise::WholeAnswer, Key,
        "mismatched " + std::to_string(Row.Mismatched_));
  if (Found.NothingFailed_ && Row.Completed_ != Row.Sent_)
    add(Rows, Promise::NothingFailed, Key,
        "sent " + std::to_string(Row.Sent_) + ", completed " +
            std::to_string(Row.Completed_));
}

void checkCountsReported(const Evidence &Found,
                         const std::vector<ReportRow> &Reports,
                         std::vector<Mismatch> &Rows) {
  for (const CountedRow &Row : Found.Counts_) {
    const bool Reported =
        std::ranges::any_of(Reports, [&Row](const ReportRow &Report) {
          return keyOf(Report) == keyOf(Row);
        });
    if (!Reported && Row.Completed_ > 0)
      add(Rows, Promise::CountsEqualCompletions, keyOf(Row),
          "nothing sent, counted " + std::to_string(Row.Completed_));
  }
}

void checkTaskTotals(const Evidence &Found,
                     const std::vector<ReportRow> &Reports,
                     std::vector<Mismatch> &Rows) {
  for (const std::string &Kind : Found.Tasks_) {
    std::uint64_t Completed = 0;
    for (const ReportRow &Row : Reports)
      if (Row.Kind_ == Kind)
        Completed += Row.Completed_;
    const RowKey Key{.Customer_ = "", .Kind_ = Kind};
    if (const std::uint64_t Ran = ranFor(Found, Key); Ran < Completed)
      add(Rows, Promise::CompletedRan, Key,
          "completed " + std::to_string(Completed) + ", ran " +
              std::to_string(Ran));
  }
}

void checkRuns(const Evidence &Found, std::vector<Mismatch> &Rows) {
  std::map<std::pair<RowKey, std::string>, std::uint64_t> Totals;
  for (const RunRow &Row : Found.Runs_)
    if (std::ranges::find(Found.NonIdempotent_, Row.Kind_) !=
        Found.NonIdempotent_.end())
      Totals[{keyOf(Row), Row.RequestId_}] += Row.Count_;
  for (const auto &[Request, Count] : Totals)
    if (Count > 1)
      add(Rows, Promise::AtMostOnce, Request.first,
          "request " + Request.second + " ran " + std::to_string(Count) +
              " times");
}

} // namespace

std::vector<ReportRow> mergeReports(const std::vector<ReportRow> &Rows) {
  std::map<RowKey, ReportRow> Merged;
  for (const ReportRow &Row : Rows) {
    ReportRow &Sum = Merged[keyOf(Row)];
    Sum = {.Customer_ = Row.Customer_,
           .Kind_ = Row.Kind_,
           .Sent_ = Sum.Sent_ + Row.Sent_,
           .Completed_ = Sum.Completed_ + Row.Completed_,
           .Refused_ = Sum.Refused_ + Row.Refused_,
           .Unknown_ = Sum.Unknown_ + Row.Unknown_,
           .Lost_ = Sum.Lost_ + Row.Lost_,
           .Mismatched_ = Sum.Mismatched_ + Row.Mismatched_,
           .P50Ms_ = std::max(Sum.P50Ms_, Row.P50Ms_),
           .P99Ms_ = std::max(Sum.P99Ms_, Row.P99Ms_),
           .MaxMs_ = std::max(Sum.MaxMs_, Row.MaxMs_)};
  }
  std::vector<ReportRow> Result;
  Result.reserve(Merged.size());
  for (auto &[Key, Row] : Merged)
    Result.push_back(std::move(Row));
  return Result;
}

std::vector<Mismatch> findMismatches(const Evidence &Found) {
  std::vector<Mismatch> Rows;
  const std::vector<ReportRow> Reports = mergeReports(Found.Reports_);
  for (const ReportRow &Row : Reports)
    checkRow(Found, Row, Rows);
  checkCountsReported(Found, Reports, Rows);
  checkTaskTotals(Found, Reports, Rows);
  checkRuns(Found, Rows);
  return Rows;
}

std::string printEvidence(const Evidence &Found) {
  constexpr std::size_t LineBytes = 256;
  constexpr const char *Head =
      "%-14s %-18s %8s %9s %7s %7s %5s %8s %8s %8s %8s %8s\n";
  constexpr const char *Row =
      "%-14s %-18s %8llu %9llu %7llu %7llu %5llu %8llu %8llu %8.2f %8.2f "
      "%8.2f\n";
  std::array<char, LineBytes> Line{};
  std::snprintf(Line.data(), Line.size(), Head, "customer", "kind", "sent",
                "completed", "refused", "unknown", "lost", "counted", "ran",
                "p50 ms", "p99 ms", "max ms");
  std::string Text = Line.data();
  for (const ReportRow &Each : mergeReports(Found.Reports_)) {
    const auto Wide = [](std::uint64_t Value) {
      return static_cast<unsigned long long>(Value);
    };
    std::snprintf(Line.data(), Line.size(), Row, Each.Customer_.c_str(),
                  Each.Kind_.c_str(), Wide(Each.Sent_), Wide(Each.Completed_),
                  Wide(Each.Refused_), Wide(Each.Unknown_), Wide(Each.Lost_),
                  Wide(countedFor(Found, keyOf(Each))),
                  Wide(ranFor(Found, keyOf(Each))), Each.P50Ms_, Each.P99Ms_,
                  Each.MaxMs_);
    Text += Line.data();
  }
  return Text;
}

} // namespace dragonfly::check
