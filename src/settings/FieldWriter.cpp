#include "settings/JsonFields.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace dragonfly::settings {
namespace {

constexpr std::int64_t ThousandthsPerUnit = 1000;

boost::json::string_view jsonKey(std::string_view Key) {
  return {Key.data(), Key.size()};
}

void print(const boost::json::value &Value, std::size_t Depth,
           std::string &Text) {
  const auto *Object = Value.if_object();
  const auto *List = Value.if_array();
  if (Object == nullptr && List == nullptr) {
    Text += boost::json::serialize(Value);
    return;
  }
  const std::string Indent(2 * (Depth + 1), ' ');
  std::string Separator = "\n";
  Text += Object != nullptr ? "{" : "[";
  if (Object != nullptr) {
    for (const auto &Entry : *Object) {
      Text += Separator + Indent;
      Text += boost::json::serialize(boost::json::value(Entry.key())) + ": ";
      print(Entry.value(), Depth + 1, Text);
      Separator = ",\n";
    }
  } else {
    for (const auto &Row : *List) {
      Text += Separator + Indent;
      print(Row, Depth + 1, Text);
      Separator = ",\n";
    }
  }
  Text += "\n" + std::string(2 * Depth, ' ');
  Text += Object != nullptr ? "}" : "]";
}

} // namespace

std::string printObject(const Fields::Describe &Describe) {
  FieldWriter Writer;
  Describe(Writer);
  std::string Text;
  print(Writer.take(), 0, Text);
  return Text + "\n";
}

void FieldWriter::text(std::string_view Key, std::string &Value, Presence,
                       TextRule) {
  Object_[jsonKey(Key)] = Value;
}

void FieldWriter::integer(std::string_view Key, std::int64_t &Value, Presence,
                          Range) {
  Object_[jsonKey(Key)] = Value;
}

void FieldWriter::thousandths(std::string_view Key, std::int64_t &Value,
                              Presence, Range) {
  if (Value % ThousandthsPerUnit == 0)
    Object_[jsonKey(Key)] = Value / ThousandthsPerUnit;
  else
    Object_[jsonKey(Key)] =
        static_cast<double>(Value) / static_cast<double>(ThousandthsPerUnit);
}

void FieldWriter::flag(std::string_view Key, bool &Value) {
  Object_[jsonKey(Key)] = Value;
}

void FieldWriter::object(std::string_view Key, Presence,
                         const Describe &Inner) {
  FieldWriter Writer;
  Inner(Writer);
  Object_[jsonKey(Key)] = Writer.take();
}

void FieldWriter::rows(std::string_view Key, std::size_t Count, Range,
                       const std::function<void(std::size_t)> &,
                       const DescribeRow &Row) {
  boost::json::array List;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    FieldWriter Writer;
    Row(Writer, Index);
    List.push_back(Writer.take());
  }
  Object_[jsonKey(Key)] = std::move(List);
}

void FieldWriter::choice(std::string_view Key, std::size_t &Position, Presence,
                         const std::vector<std::string_view> &Names) {
  Object_[jsonKey(Key)] = jsonKey(Names[Position]);
}

} // namespace dragonfly::settings
