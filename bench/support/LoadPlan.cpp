#include "support/LoadPlan.h"

#include "dragonfly/settings/ReadSettings.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>

namespace dragonfly::load {
namespace {

namespace json = boost::json;
using settings::JsonFault;

constexpr std::array<std::string_view, 4> PlanKeys{"seconds", "seed",
                                                   "max_requests", "rows"};
constexpr std::array<std::string_view, 6> RowKeys{
    "customer",    "kind",       "rate_per_second",
    "concurrency", "body_bytes", "deadline_ms"};

/// Reads members of one object and collects every fault.
class Reader {
public:
  Reader(const json::object &Object, std::string Path,
         std::vector<JsonFault> &Faults)
      : Object_(Object), Path_(std::move(Path)), Faults_(Faults) {}

  void number(std::string_view Key, double &Target) {
    const json::value *Found = Object_.if_contains(Key);
    if (Found == nullptr)
      return;
    if (!Found->is_number() || Found->to_number<double>() < 0)
      fault(Key, "a number of at least 0", json::serialize(*Found));
    else
      Target = Found->to_number<double>();
  }

  template <typename Integer> void integer(std::string_view Key, Integer &To) {
    auto Value = static_cast<double>(To);
    number(Key, Value);
    To = static_cast<Integer>(Value);
  }

  void text(std::string_view Key, std::string &Target) {
    const json::value *Found = Object_.if_contains(Key);
    if (Found == nullptr || !Found->is_string() || Found->as_string().empty())
      fault(Key, "a name",
            Found == nullptr ? "nothing" : json::serialize(*Found));
    else
      Target = std::string(Found->as_string());
  }

  template <typename Keys> void refuseOthers(const Keys &Known) {
    for (const auto &Member : Object_)
      if (std::ranges::find(Known, std::string_view(Member.key())) ==
          Known.end())
        fault(Member.key(), "no such key", "a value");
  }

  void fault(std::string_view Key, std::string Expected, std::string Found) {
    Faults_.push_back({Path_ + "/" + std::string(Key), std::move(Expected),
                       std::move(Found)});
  }

private:
  const json::object &Object_;
  std::string Path_;
  std::vector<JsonFault> &Faults_;
};

LoadRow readRow(const json::value &Value, const std::string &Path,
                std::vector<JsonFault> &Faults) {
  LoadRow Row;
  if (!Value.is_object()) {
    Faults.push_back({Path, "an object", json::serialize(Value)});
    return Row;
  }
  Reader Fields(Value.as_object(), Path, Faults);
  Fields.text("customer", Row.Customer_);
  Fields.text("kind", Row.Kind_);
  Fields.number("rate_per_second", Row.RatePerSecond_);
  Fields.integer("concurrency", Row.Concurrency_);
  Fields.integer("body_bytes", Row.BodyBytes_);
  std::int64_t DeadlineMs = 0;
  Fields.integer("deadline_ms", DeadlineMs);
  Row.Deadline_ = std::chrono::milliseconds(DeadlineMs);
  Fields.refuseOthers(RowKeys);
  return Row;
}

void readRows(const json::object &Object, LoadPlan &Plan,
              std::vector<JsonFault> &Faults) {
  const json::value *Rows = Object.if_contains("rows");
  if (Rows == nullptr || !Rows->is_array() || Rows->as_array().empty()) {
    Faults.push_back({"/rows", "at least one row", "none"});
    return;
  }
  Plan.Rows_.clear();
  for (const json::value &Row : Rows->as_array())
    Plan.Rows_.push_back(
        readRow(Row, "/rows/" + std::to_string(Plan.Rows_.size()), Faults));
}

} // namespace

void readLoad(std::string_view Text, LoadPlan &Plan) {
  json::error_code Failure;
  const json::value Value =
      json::parse(json::string_view(Text.data(), Text.size()), Failure);
  if (Failure || !Value.is_object())
    throw settings::SettingsError(
        {JsonFault{"", "a JSON object", Failure.message()}});
  std::vector<JsonFault> Faults;
  Reader Fields(Value.as_object(), "", Faults);
  auto Seconds = std::chrono::duration<double>(Plan.Length_).count();
  Fields.number("seconds", Seconds);
  Plan.Length_ = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
  Fields.integer("seed", Plan.Seed_);
  Fields.integer("max_requests", Plan.MaxRequests_);
  readRows(Value.as_object(), Plan, Faults);
  Fields.refuseOthers(PlanKeys);
  if (!Faults.empty())
    throw settings::SettingsError(std::move(Faults));
}

std::string printLoadJson(const std::vector<LoadResult> &Rows) {
  json::array Printed;
  for (const LoadResult &Row : Rows)
    Printed.push_back({{"customer", Row.Customer_},
                       {"kind", Row.Kind_},
                       {"sent", Row.Sent_},
                       {"completed", Row.Completed_},
                       {"refused", Row.Refused_},
                       {"unknown", Row.Unknown_},
                       {"lost", Row.Lost_},
                       {"mismatched", Row.Mismatched_},
                       {"p50_ms", toMilliseconds(Row.P50_)},
                       {"p99_ms", toMilliseconds(Row.P99_)},
                       {"max_ms", toMilliseconds(Row.Max_)}});
  return json::serialize(json::object{{"rows", std::move(Printed)}});
}

std::string printLoadTable(const std::vector<LoadResult> &Rows) {
  std::array<char, 256> Line{};
  std::snprintf(Line.data(), Line.size(),
                "%-16s %-18s %9s %9s %8s %8s %6s %6s %9s %9s %9s\n", "customer",
                "kind", "sent", "completed", "refused", "unknown", "lost",
                "wrong", "p50 ms", "p99 ms", "max ms");
  std::string Result = Line.data();
  for (const LoadResult &Row : Rows) {
    std::snprintf(
        Line.data(), Line.size(),
        "%-16s %-18s %9llu %9llu %8llu %8llu %6llu %6llu %9.2f %9.2f %9.2f\n",
        Row.Customer_.c_str(), Row.Kind_.c_str(),
        static_cast<unsigned long long>(Row.Sent_),
        static_cast<unsigned long long>(Row.Completed_),
        static_cast<unsigned long long>(Row.Refused_),
        static_cast<unsigned long long>(Row.Unknown_),
        static_cast<unsigned long long>(Row.Lost_),
        static_cast<unsigned long long>(Row.Mismatched_),
        toMilliseconds(Row.P50_), toMilliseconds(Row.P99_),
        toMilliseconds(Row.Max_));
    Result += Line.data();
  }
  return Result;
}

bool nothingLost(const std::vector<LoadResult> &Rows) {
  return std::ranges::all_of(Rows, [](const LoadResult &Row) {
    return Row.Lost_ == 0 && Row.Mismatched_ == 0;
  });
}

} // namespace dragonfly::load
