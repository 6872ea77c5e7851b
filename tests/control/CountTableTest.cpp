#include "control/MachineFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace dragonfly;
using namespace dragonfly::control;
using namespace std::chrono_literals;

namespace {

ReceiptRow receiptOf(std::string Id, Outcome Result, Duration Age = {}) {
  ReceiptRow Row;
  Row.Key_ = {"c", std::move(Id)};
  Row.Kind_ = "check";
  Row.Outcome_ = Result;
  Row.Age_ = Age;
  return Row;
}

using Counts = std::array<std::uint64_t, 3>;

} // namespace

TEST_CASE("receipts in any order merge to the same counts",
          "[control][counts]") {
  const bool Restart = GENERATE(false, true);
  // The same requests as reported by entry and agent, some of them twice.
  std::vector<ReceiptRow> Rows{receiptOf("1", Outcome::Completed),
                               receiptOf("1", Outcome::Completed),
                               receiptOf("2", Outcome::Unknown),
                               receiptOf("2", Outcome::Completed),
                               receiptOf("3", Outcome::RefusedNotRun),
                               receiptOf("3", Outcome::Unknown)};
  std::vector<std::size_t> Order{0, 1, 2, 3, 4, 5};
  do {
    MachineFixture Fixture(false);
    std::ranges::for_each(
        Order, [&](std::size_t I) { Fixture.apply(MergeReceipts{{Rows[I]}}); });
    if (Restart)
      Fixture.restart();
    Fixture.apply(MergeReceipts{Rows});
    const auto Table = Fixture.machine().counts().rows();
    if (Table.size() != 1 || Table[0].Requests_ != Counts{2, 0, 1})
      FAIL("unexpected counts");
  } while (std::ranges::next_permutation(Order).found);
}

TEST_CASE("a receipt that changes no count is redundant", "[control][counts]") {
  CountTable Table;
  const ReceiptRow Unknown = receiptOf("1", Outcome::Unknown);
  CHECK_FALSE(Table.isRedundant(Unknown));
  CHECK(Table.merge(0s, Unknown));
  CHECK(Table.isRedundant(Unknown));
  CHECK(Table.isRedundant(receiptOf("1", Outcome::RefusedNotRun)));
  CHECK_FALSE(Table.isRedundant(receiptOf("1", Outcome::Completed)));
}

TEST_CASE("a receipt from before the window counts as late, not twice",
          "[control][counts]") {
  CountTable Table({.MaxRows_ = 2, .MaxAge_ = 100s, .MaxReceiptSkew_ = 1s});
  for (int I = 0; I < 4; ++I)
    CHECK(
        Table.merge(10s * I, receiptOf(std::to_string(I), Outcome::Completed)));
  CHECK_FALSE(Table.merge(40s, receiptOf("0", Outcome::Completed, 40s)));
  CHECK_FALSE(Table.merge(40s, receiptOf("3", Outcome::Completed, 10s)));
  CHECK(Table.merge(40s, receiptOf("new", Outcome::Completed, 1s)));
  const auto Rows = Table.rows();
  REQUIRE(Rows.size() == 1);
  CHECK(Rows[0].Requests_ == Counts{5, 0, 0});
  CHECK(Rows[0].Late_ == 1);
}
