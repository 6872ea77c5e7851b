#include "settings/JsonFields.h"

#include <boost/asio/ip/address.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>

namespace dragonfly::settings {
namespace {

constexpr std::size_t MaxShownBytes = 60;
constexpr double ThousandthsPerUnit = 1000;

std::string join(const std::vector<std::string_view> &Names) {
  std::string Text = "one of";
  for (const std::string_view Name : Names)
    Text += (Text.back() == 'f' && Text.size() == 6 ? " " : ", ") +
            std::string(Name);
  return Text;
}

std::string describeBounds(std::string_view What, Range Bounds) {
  constexpr Range Unbounded;
  std::string Text =
      std::string(What) + " from " + std::to_string(Bounds.Least_);
  if (Bounds.Most_ != Unbounded.Most_)
    Text += " to " + std::to_string(Bounds.Most_);
  return Text;
}

bool inRange(std::int64_t Value, Range Bounds) {
  return Value >= Bounds.Least_ && Value <= Bounds.Most_;
}

std::string_view describeRule(TextRule Rule) {
  if (Rule == TextRule::Address)
    return "an IP number and port, such as \"127.0.0.1:8080\"";
  return Rule == TextRule::NonEmpty ? "a text that is not empty" : "a text";
}

bool isAddress(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return false;
  boost::system::error_code Failure;
  boost::asio::ip::make_address(std::string(Text.substr(0, Colon)), Failure);
  const std::string_view Port = Text.substr(Colon + 1);
  std::uint16_t Number = 0;
  const auto Parsed =
      std::from_chars(Port.data(), Port.data() + Port.size(), Number);
  return !Failure && Parsed.ec == std::errc() &&
         Parsed.ptr == Port.data() + Port.size();
}

bool follows(std::string_view Text, TextRule Rule) {
  if (Rule == TextRule::Address)
    return isAddress(Text);
  return Rule == TextRule::Any || !Text.empty();
}

std::optional<std::int64_t> toInteger(const boost::json::value &Value) {
  if (Value.is_int64())
    return Value.get_int64();
  return std::nullopt;
}

std::optional<std::int64_t> toThousandths(const boost::json::value &Value) {
  if (!Value.is_number())
    return std::nullopt;
  const double Scaled = Value.to_number<double>() * ThousandthsPerUnit;
  constexpr double Largest = 9e15;
  if (std::abs(Scaled) > Largest ||
      std::abs(Scaled - std::round(Scaled)) > 1e-6)
    return std::nullopt;
  return std::llround(Scaled);
}

/// Escapes a key as RFC 6901 says.
std::string pointerStep(std::string_view Key) {
  std::string Text = "/";
  for (const char C : Key) {
    if (C == '~')
      Text += "~0";
    else if (C == '/')
      Text += "~1";
    else
      Text += C;
  }
  return Text;
}

} // namespace

std::string showValue(const boost::json::value &Value) {
  std::string Text = boost::json::serialize(Value);
  if (Text.size() > MaxShownBytes)
    Text = Text.substr(0, MaxShownBytes) + "...";
  return Text;
}

std::optional<boost::json::object> parseObject(std::string_view Text,
                                               const std::string &Path,
                                               std::vector<JsonFault> &Faults) {
  boost::json::error_code Failure;
  boost::json::value Value = boost::json::parse(
      boost::json::string_view(Text.data(), Text.size()), Failure);
  if (Failure) {
    Faults.push_back({Path, "a JSON document", Failure.message()});
    return std::nullopt;
  }
  if (!Value.is_object()) {
    Faults.push_back({Path, "an object", showValue(Value)});
    return std::nullopt;
  }
  return std::move(Value.get_object());
}

void readObject(const boost::json::object &Object, const std::string &Path,
                std::vector<JsonFault> &Faults,
                const Fields::Describe &Describe) {
  FieldReader Reader(Object, Path, Faults);
  Describe(Reader);
  Reader.finish();
}

FieldReader::FieldReader(const boost::json::object &Object, std::string Path,
                         std::vector<JsonFault> &Faults)
    : Object_(Object), Path_(std::move(Path)), Faults_(Faults) {}

const boost::json::value *FieldReader::find(std::string_view Key, Presence Need,
                                            std::string_view Expected) {
  Asked_.emplace(Key);
  const auto *Value = Object_.if_contains({Key.data(), Key.size()});
  if (Value == nullptr && Need == Presence::Required)
    fault(Key, std::string(Expected), "nothing");
  return Value;
}

void FieldReader::fault(std::string_view Key, std::string Expected,
                        std::string Found) {
  Faults_.push_back({Path_ + (Key.empty() ? "" : pointerStep(Key)),
                     std::move(Expected), std::move(Found)});
}

void FieldReader::text(std::string_view Key, std::string &Value, Presence Need,
                       TextRule Rule) {
  const auto *Found = find(Key, Need, describeRule(Rule));
  if (Found == nullptr)
    return;
  const auto *Text = Found->if_string();
  if (Text == nullptr || !follows({Text->data(), Text->size()}, Rule)) {
    fault(Key, std::string(describeRule(Rule)), showValue(*Found));
    return;
  }
  Value.assign(Text->data(), Text->size());
}

void FieldReader::integer(std::string_view Key, std::int64_t &Value,
                          Presence Need, Range Bounds) {
  const std::string Expected = describeBounds("a whole number", Bounds);
  const auto *Found = find(Key, Need, Expected);
  if (Found == nullptr)
    return;
  const auto Number = toInteger(*Found);
  if (Number && inRange(*Number, Bounds))
    Value = *Number;
  else
    fault(Key, Expected, showValue(*Found));
}

void FieldReader::thousandths(std::string_view Key, std::int64_t &Value,
                              Presence Need, Range Bounds) {
  const std::string Expected =
      describeBounds("a number with up to three decimals,",
                     {.Least_ = Bounds.Least_, .Most_ = Bounds.Most_});
  const auto *Found = find(Key, Need, Expected);
  if (Found == nullptr)
    return;
  const auto Number = toThousandths(*Found);
  constexpr std::int64_t Scale = 1000;
  if (Number && inRange(*Number, {.Least_ = Bounds.Least_ * Scale,
                                  .Most_ = Bounds.Most_ * Scale}))
    Value = *Number;
  else
    fault(Key, Expected, showValue(*Found));
}

void FieldReader::flag(std::string_view Key, bool &Value) {
  const auto *Found = find(Key, Presence::Optional, "true or false");
  if (Found == nullptr)
    return;
  if (Found->is_bool())
    Value = Found->get_bool();
  else
    fault(Key, "true or false", showValue(*Found));
}

void FieldReader::object(std::string_view Key, Presence Need,
                         const Describe &Inner) {
  const auto *Found = find(Key, Need, "an object");
  if (Found == nullptr)
    return;
  if (const auto *Object = Found->if_object())
    readObject(*Object, Path_ + pointerStep(Key), Faults_, Inner);
  else
    fault(Key, "an object", showValue(*Found));
}

void FieldReader::rows(std::string_view Key, std::size_t, Range Bounds,
                       const std::function<void(std::size_t)> &Resize,
                       const DescribeRow &Row) {
  const std::string Expected = describeBounds("a list with a length", Bounds);
  const auto *Found = find(Key, Presence::Required, Expected);
  if (Found == nullptr)
    return;
  const auto *List = Found->if_array();
  if (List == nullptr ||
      !inRange(static_cast<std::int64_t>(List->size()), Bounds)) {
    fault(Key, Expected, showValue(*Found));
    return;
  }
  Resize(List->size());
  for (std::size_t Index = 0; Index < List->size(); ++Index) {
    const std::string Path =
        Path_ + pointerStep(Key) + "/" + std::to_string(Index);
    if (const auto *Object = (*List)[Index].if_object())
      readObject(*Object, Path, Faults_,
                 [&Row, Index](Fields &Inner) { Row(Inner, Index); });
    else
      Faults_.push_back({Path, "an object", showValue((*List)[Index])});
  }
}

void FieldReader::choice(std::string_view Key, std::size_t &Position,
                         Presence Need,
                         const std::vector<std::string_view> &Names) {
  const auto *Found = find(Key, Need, join(Names));
  if (Found == nullptr)
    return;
  const auto *Text = Found->if_string();
  const auto Match =
      Text == nullptr
          ? Names.end()
          : std::ranges::find(Names,
                              std::string_view(Text->data(), Text->size()));
  if (Match == Names.end())
    fault(Key, join(Names), showValue(*Found));
  else
    Position = static_cast<std::size_t>(Match - Names.begin());
}

void FieldReader::finish() {
  for (const auto &Entry : Object_) {
    const std::string_view Key(Entry.key().data(), Entry.key().size());
    if (!Asked_.contains(Key))
      fault(Key, "no such key", showValue(Entry.value()));
  }
}

} // namespace dragonfly::settings
