/// Compares what callers were told with what control counted and what the
/// upstreams really ran.
#ifndef DRAGONFLY_BENCH_SUPPORT_COUNTCHECK_H
#define DRAGONFLY_BENCH_SUPPORT_COUNTCHECK_H

#include "dragonfly/base/EnumTable.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dragonfly::check {

/// What the callers of one customer and kind were told.
struct ReportRow {
  std::string Customer_;
  std::string Kind_;
  std::uint64_t Sent_ = 0;
  std::uint64_t Completed_ = 0;
  std::uint64_t Refused_ = 0;
  std::uint64_t Unknown_ = 0;
  std::uint64_t Lost_ = 0;
  std::uint64_t Mismatched_ = 0;
  double P50Ms_ = 0;
  double P99Ms_ = 0;
  double MaxMs_ = 0;
};

/// What control counted as completed.
struct CountedRow {
  std::string Customer_;
  std::string Kind_;
  std::uint64_t Completed_ = 0;
};

/// How often upstreams ran one request, over all of them.
struct RunRow {
  std::string Customer_;
  std::string RequestId_;
  std::string Kind_;
  std::uint64_t Count_ = 0;
};

enum class Promise : std::uint8_t {
  CountsEqualCompletions, ///< Requests of unknown outcome may count or not.
  AtMostOnce,
  CompletedRan,
  WholeAnswer,
  NothingFailed ///< Asked for by planned restarts only.
};

/// One promise that does not hold.
struct Mismatch {
  Promise Promise_ = Promise::CountsEqualCompletions;
  std::string Customer_;
  std::string Kind_;
  std::string Detail_;
};

struct Evidence {
  std::vector<ReportRow> Reports_;
  std::vector<CountedRow> Counts_;
  std::vector<RunRow> Runs_;
  std::vector<std::string> NonIdempotent_;
  /// Kinds whose runs a worker knows by task and not by request.
  std::vector<std::string> Tasks_;
  /// True where no request may have failed.
  bool NothingFailed_ = false;
};

/// Adds rows of the same customer and kind together; quantiles keep the
/// largest.
std::vector<ReportRow> mergeReports(const std::vector<ReportRow> &Rows);

/// Returns every promise that \p Found contradicts.
std::vector<Mismatch> findMismatches(const Evidence &Found);

/// Returns the outcomes, quantiles and counts per customer and kind.
std::string printEvidence(const Evidence &Found);

/// Each reads one JSON document; rows that are none are passed over.
std::vector<ReportRow> readReport(std::string_view Text);
std::vector<CountedRow> readCounts(std::string_view Text);
std::vector<RunRow> readRuns(std::string_view Text);

} // namespace dragonfly::check

template <> struct dragonfly::EnumTable<dragonfly::check::Promise> {
  using Promise = check::Promise;
  static constexpr std::array<EnumName<Promise>, 5> Rows{{
      {Promise::CountsEqualCompletions, "counts-equal-completions"},
      {Promise::AtMostOnce, "at-most-once"},
      {Promise::CompletedRan, "completed-ran"},
      {Promise::WholeAnswer, "whole-answer"},
      {Promise::NothingFailed, "nothing-failed"},
  }};
};

#endif // DRAGONFLY_BENCH_SUPPORT_COUNTCHECK_H
