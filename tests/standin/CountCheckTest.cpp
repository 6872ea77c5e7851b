#include "support/CountCheck.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace dragonfly;
using namespace dragonfly::check;

namespace {

Evidence consistent() {
  return {.Reports_ = readReport(
              R"({"rows":[{"customer":"a","kind":"review","sent":2,
                "completed":2,"p50_ms":1.5}]})"),
          .Counts_ = readCounts(
              R"({"counts":[{"customer":"a","kind":"review","completed":2}]})"),
          .Runs_ = readRuns(
              R"({"runs":[{"customer":"a","kind":"review","request_id":"1",
                "count":1},{"customer":"a","kind":"review","request_id":"2",
                "count":1}]})"),
          .NonIdempotent_ = {"review"},
          .NothingFailed_ = true};
}

struct BrokenCase {
  std::function<void(Evidence &)> Break_;
  Promise Promise_;
};

} // namespace

TEST_CASE("consistent evidence breaks no promise", "[standin][counts]") {
  CHECK(findMismatches(consistent()).empty());
  CHECK(printEvidence(consistent()).find("1.50") != std::string::npos);
}

TEST_CASE("each broken promise is found", "[standin][counts]") {
  const auto Case = GENERATE(values<BrokenCase>({
      {[](Evidence &Found) { Found.Counts_[0].Completed_ = 1; },
       Promise::CountsEqualCompletions},
      {[](Evidence &Found) { Found.Counts_[0].Completed_ = 3; },
       Promise::CountsEqualCompletions},
      {[](Evidence &Found) { Found.Counts_.push_back({"b", "review", 1}); },
       Promise::CountsEqualCompletions},
      {[](Evidence &Found) { Found.Runs_[0].Count_ = 2; }, Promise::AtMostOnce},
      {[](Evidence &Found) { Found.Runs_.push_back(Found.Runs_[0]); },
       Promise::AtMostOnce},
      {[](Evidence &Found) { Found.Runs_.pop_back(); }, Promise::CompletedRan},
      {[](Evidence &Found) { Found.Reports_[0].Mismatched_ = 1; },
       Promise::WholeAnswer},
      {[](Evidence &Found) { Found.Reports_[0].Sent_ = 3; },
       Promise::NothingFailed},
  }));
  Evidence Found = consistent();
  Case.Break_(Found);
  const auto Broken = findMismatches(Found);
  REQUIRE(Broken.size() == 1);
  CHECK(Broken[0].Promise_ == Case.Promise_);
}

TEST_CASE("a request of unknown outcome may count or not",
          "[standin][counts]") {
  Evidence Found = consistent();
  Found.NothingFailed_ = false;
  Found.Reports_.push_back(
      {.Customer_ = "a", .Kind_ = "review", .Sent_ = 1, .Unknown_ = 1});
  CHECK(findMismatches(Found).empty());
  Found.Counts_[0].Completed_ = 3;
  CHECK(findMismatches(Found).empty());
  Found.Counts_[0].Completed_ = 4;
  CHECK(findMismatches(Found).size() == 1);
}

TEST_CASE("tasks are compared over all customers", "[standin][counts]") {
  Evidence Found = consistent();
  Found.Tasks_ = {"review"};
  for (RunRow &Run : Found.Runs_)
    Run.Customer_.clear();
  CHECK(findMismatches(Found).empty());
  Found.Runs_[0].Count_ = 2;
  CHECK(findMismatches(Found)[0].Promise_ == Promise::AtMostOnce);
  Found.Runs_.erase(Found.Runs_.begin());
  CHECK(findMismatches(Found)[0].Promise_ == Promise::CompletedRan);
}
