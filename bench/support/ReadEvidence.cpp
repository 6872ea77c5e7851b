#include "support/CountCheck.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>

namespace dragonfly::check {
namespace {

namespace json = boost::json;

/// Returns the objects of the list called \p Key, or of the document itself.
std::vector<json::object> rowsOf(std::string_view Text, std::string_view Key) {
  json::error_code Failure;
  const json::value Document =
      json::parse(json::string_view(Text.data(), Text.size()), Failure);
  std::vector<json::object> Rows;
  const auto *Object = Failure ? nullptr : Document.if_object();
  const auto *Value = Object == nullptr
                          ? nullptr
                          : Object->if_contains({Key.data(), Key.size()});
  const auto *List = Value == nullptr ? nullptr : Value->if_array();
  if (List != nullptr)
    for (const json::value &Row : *List)
      if (Row.is_object())
        Rows.push_back(Row.get_object());
  return Rows;
}

std::string textOf(const json::object &Row, std::string_view Key) {
  const auto *Value = Row.if_contains({Key.data(), Key.size()});
  const auto *Text = Value == nullptr ? nullptr : Value->if_string();
  return Text == nullptr ? std::string()
                         : std::string(Text->data(), Text->size());
}

template <typename Number>
Number numberOf(const json::object &Row, std::string_view Key) {
  const auto *Value = Row.if_contains({Key.data(), Key.size()});
  return Value != nullptr && Value->is_number() ? Value->to_number<Number>()
                                                : Number{};
}

std::uint64_t countOf(const json::object &Row, std::string_view Key) {
  return numberOf<std::uint64_t>(Row, Key);
}

} // namespace

std::vector<ReportRow> readReport(std::string_view Text) {
  std::vector<ReportRow> Rows;
  for (const json::object &Row : rowsOf(Text, "rows"))
    Rows.push_back({.Customer_ = textOf(Row, "customer"),
                    .Kind_ = textOf(Row, "kind"),
                    .Sent_ = countOf(Row, "sent"),
                    .Completed_ = countOf(Row, "completed"),
                    .Refused_ = countOf(Row, "refused"),
                    .Unknown_ = countOf(Row, "unknown"),
                    .Lost_ = countOf(Row, "lost"),
                    .Mismatched_ = countOf(Row, "mismatched"),
                    .P50Ms_ = numberOf<double>(Row, "p50_ms"),
                    .P99Ms_ = numberOf<double>(Row, "p99_ms"),
                    .MaxMs_ = numberOf<double>(Row, "max_ms")});
  return Rows;
}

std::vector<CountedRow> readCounts(std::string_view Text) {
  std::vector<CountedRow> Rows;
  for (const json::object &Row : rowsOf(Text, "counts"))
    Rows.push_back({.Customer_ = textOf(Row, "customer"),
                    .Kind_ = textOf(Row, "kind"),
                    .Completed_ = countOf(Row, "completed")});
  return Rows;
}

std::vector<RunRow> readRuns(std::string_view Text) {
  std::vector<RunRow> Rows;
  for (const json::object &Row : rowsOf(Text, "runs"))
    Rows.push_back({.Customer_ = textOf(Row, "customer"),
                    .RequestId_ = textOf(Row, "request_id"),
                    .Kind_ = textOf(Row, "kind"),
                    .Count_ = countOf(Row, "count")});
  return Rows;
}

} // namespace dragonfly::check
