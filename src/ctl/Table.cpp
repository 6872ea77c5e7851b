#include "ctl/Table.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <vector>

namespace dragonfly::ctl {
namespace {

namespace json = boost::json;

using Line = std::vector<std::string>;

std::string formatCell(const json::value &Value) {
  if (const auto *Text = Value.if_string())
    return {Text->data(), Text->size()};
  return Value.is_null() ? "-" : json::serialize(Value);
}

bool isTable(const json::value &Value) {
  const auto *Rows = Value.if_array();
  return Rows != nullptr && std::ranges::all_of(*Rows, [](const auto &Row) {
           return Row.is_object();
         });
}

Line columnsOf(const json::array &Rows) {
  Line Columns;
  for (const json::value &Row : Rows)
    for (const auto &Field : Row.get_object())
      if (std::ranges::find(Columns, std::string(Field.key())) == Columns.end())
        Columns.emplace_back(Field.key());
  return Columns;
}

Line cellsOf(const json::object &Row, const Line &Columns) {
  Line Cells;
  std::ranges::transform(Columns, std::back_inserter(Cells),
                         [&Row](const std::string &Column) {
                           const auto *Value = Row.if_contains(Column);
                           return Value == nullptr ? "-" : formatCell(*Value);
                         });
  return Cells;
}

std::string alignLines(const std::vector<Line> &Lines) {
  std::vector<std::size_t> Widths(Lines.front().size());
  for (const Line &Cells : Lines)
    for (std::size_t Column = 0; Column < Cells.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Cells[Column].size());
  std::string Text;
  for (const Line &Cells : Lines) {
    std::string Row;
    for (std::size_t Column = 0; Column < Cells.size(); ++Column)
      Row += Cells[Column] +
             std::string(Widths[Column] - Cells[Column].size() + 2, ' ');
    Text += Row.substr(0, Row.find_last_not_of(' ') + 1) + "\n";
  }
  return Text;
}

std::string formatRows(const json::array &Rows) {
  if (Rows.empty())
    return "(none)\n";
  const Line Columns = columnsOf(Rows);
  std::vector<Line> Lines{Columns};
  std::ranges::transform(Rows, std::back_inserter(Lines),
                         [&Columns](const json::value &Row) {
                           return cellsOf(Row.get_object(), Columns);
                         });
  return alignLines(Lines);
}

} // namespace

std::string formatTable(const json::value &Value) {
  if (isTable(Value))
    return formatRows(Value.get_array());
  const auto *Object = Value.if_object();
  if (Object == nullptr)
    return formatCell(Value) + "\n";
  std::string Fields;
  std::string Tables;
  for (const auto &Field : *Object) {
    const std::string Key(Field.key());
    if (isTable(Field.value()))
      Tables += "\n" + Key + "\n" + formatRows(Field.value().get_array());
    else if (Field.value().is_object())
      Tables += "\n" + Key + "\n" + formatTable(Field.value());
    else
      Fields += Key + ": " + formatCell(Field.value()) + "\n";
  }
  if (Fields.empty() && !Tables.empty())
    Tables.erase(0, 1);
  return Fields + Tables;
}

} // namespace dragonfly::ctl
