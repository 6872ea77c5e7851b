#include "entry/CustomerLimits.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::entry;

TEST_CASE("a plan is divided among the entries and plans add up",
          "[entry][limits]") {
  const std::vector<settings::Plan> Plans{
      {.Name_ = "small", .ConcurrentRequests_ = 10, .WaitingRequests_ = 7},
      {.Name_ = "large", .ConcurrentRequests_ = 100, .WaitingRequests_ = 1}};
  const auto Rows = customerLimits(
      Plans, {{"acme", "small"}, {"bolt", "large"}, {"acme", "large"}}, 3);
  REQUIRE(Rows.size() == 2);
  CHECK(Rows[0].Name_ == "acme");
  CHECK(Rows[0].MaxConcurrent_ == 4 + 34);
  CHECK(Rows[0].MaxWaiting_ == 3 + 1);
  CHECK(Rows[1].MaxConcurrent_ == 34);
  CHECK(shareOf(10, 0) == 10);
  CHECK(shareOf(0, 3) == 0);
}
