#include "control/MachineFixture.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::control;
using settings::ListName;

namespace {

/// One change and its expected outcome.
struct PutStep {
  const char *Name_;
  ListName List_;
  std::uint64_t Expected_;
  const char *ChangeId_;
  const char *Content_;
  PutStatus Status_;
  std::uint64_t Version_;
  std::uint64_t CurrentVersion_;
};

const std::vector<PutStep> Steps{
    {"first change", ListName::Plans, 1, "a", "gold", PutStatus::Accepted, 2,
     2},
    {"concurrent change of the same version", ListName::Plans, 1, "b", "silver",
     PutStatus::Conflict, 0, 2},
    {"resend of the accepted change", ListName::Plans, 1, "a", "gold",
     PutStatus::Accepted, 2, 2},
    {"same id with other content", ListName::Plans, 1, "a", "tin",
     PutStatus::ChangeIdReused, 0, 2},
    {"same id for the other list", ListName::Purchases, 1, "a", "gold",
     PutStatus::ChangeIdReused, 0, 1},
    {"faulty content", ListName::Plans, 2, "c", "bad", PutStatus::Rejected, 0,
     2},
    {"purchase of a known plan", ListName::Purchases, 1, "d", "needs gold",
     PutStatus::Accepted, 2, 2},
    {"removal of a plan in use", ListName::Plans, 2, "e", "silver",
     PutStatus::Rejected, 0, 2},
    {"version above the current one", ListName::Plans, 3, "f", "gold",
     PutStatus::Conflict, 0, 2},
    {"second change", ListName::Plans, 2, "g", "gold", PutStatus::Accepted, 3,
     3},
    {"conflict resent once its version is current", ListName::Plans, 3, "f",
     "gold", PutStatus::Conflict, 0, 2},
    {"first change resent after the second", ListName::Plans, 1, "a", "gold",
     PutStatus::Accepted, 2, 2},
};

} // namespace

TEST_CASE("list changes compare versions, and resends return the first outcome",
          "[control][lists]") {
  MachineFixture Fixture(GENERATE(false, true));
  for (const PutStep &Step : Steps) {
    INFO(Step.Name_);
    const auto Result = std::get<PutOutcome>(Fixture.apply(
        PutList{Step.List_, {Step.Expected_}, Step.ChangeId_, Step.Content_}));
    CHECK(Result.Status_ == Step.Status_);
    CHECK(Result.Version_ == ListVersion{Step.Version_});
    CHECK(Result.CurrentVersion_ == ListVersion{Step.CurrentVersion_});
    CHECK(Result.Faults_.empty() == (Step.Status_ != PutStatus::Rejected));
  }
  const ListTable &Lists = Fixture.machine().lists();
  CHECK(Lists.list(ListName::Plans).Content_ == "gold");
  CHECK(Lists.list(ListName::Plans).Version_ == ListVersion{3});
  CHECK(Lists.list(ListName::Purchases).Content_ == "needs gold");
}

TEST_CASE("a change id is forgotten after the maximum number of changes",
          "[control][lists]") {
  ListTable Lists(validateWords);
  const PutList First{ListName::Plans, {1}, "first", "gold"};
  REQUIRE(Lists.put(First).Status_ == PutStatus::Accepted);
  for (std::size_t I = 1; I < ListTable::MaxChangeIds; ++I)
    Lists.put({ListName::Plans, {I + 1}, "id" + std::to_string(I), "gold"});
  CHECK(Lists.put(First).Version_ == ListVersion{2});
  Lists.put({ListName::Plans, {1}, "last", "gold"});
  CHECK(Lists.put(First).Status_ == PutStatus::Conflict);
}
