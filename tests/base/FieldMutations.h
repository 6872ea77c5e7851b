/// Bodies that differ from a whole one in a single field.
#ifndef DRAGONFLY_TESTS_BASE_FIELDMUTATIONS_H
#define DRAGONFLY_TESTS_BASE_FIELDMUTATIONS_H

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dragonfly {

/// Returns the JSON pointer of each field of each object in \p Value, and of
/// each element of a list.
inline std::vector<std::string> findFields(const boost::json::value &Value,
                                           const std::string &Path = {}) {
  std::vector<std::string> Found;
  const auto Add = [&Found, &Path](std::string_view Step,
                                   const boost::json::value &Field) {
    const std::string Here = Path + "/" + std::string(Step);
    Found.push_back(Here);
    for (std::string &Inner : findFields(Field, Here))
      Found.push_back(std::move(Inner));
  };
  if (const auto *Object = Value.if_object())
    for (const auto &Field : *Object)
      Add(Field.key(), Field.value());
  if (const auto *List = Value.if_array())
    for (std::size_t Index = 0; Index < List->size(); ++Index)
      Add(std::to_string(Index), (*List)[Index]);
  return Found;
}

/// Returns the name of the field at \p Pointer.
inline std::string nameOf(const std::string &Pointer) {
  return Pointer.substr(Pointer.rfind('/') + 1);
}

/// Returns what the field at \p Pointer stands in.
inline boost::json::value &parentOf(boost::json::value &Value,
                                    const std::string &Pointer) {
  const std::size_t Step = Pointer.rfind('/');
  return Step == 0 ? Value : Value.at_pointer(Pointer.substr(0, Step));
}

/// Returns \p Whole with \p Value at \p Pointer, where a field may be new.
inline std::string replaceField(const std::string &Whole,
                                const std::string &Pointer,
                                const boost::json::value &Value) {
  boost::json::value Copy = boost::json::parse(Whole);
  auto &Parent = parentOf(Copy, Pointer);
  if (auto *Object = Parent.if_object())
    (*Object)[nameOf(Pointer)] = Value;
  else
    Copy.at_pointer(Pointer) = Value;
  return boost::json::serialize(Copy);
}

/// Returns \p Whole without the field at \p Pointer.
inline std::string removeField(const std::string &Whole,
                               const std::string &Pointer) {
  boost::json::value Copy = boost::json::parse(Whole);
  parentOf(Copy, Pointer).as_object().erase(nameOf(Pointer));
  return boost::json::serialize(Copy);
}

/// Returns a value of each type that \p Value does not have.
inline std::vector<boost::json::value>
otherTypes(const boost::json::value &Value) {
  std::vector<boost::json::value> Values{nullptr};
  if (!Value.is_string())
    Values.insert(Values.end(), {"", "lots"});
  if (!Value.is_number())
    Values.insert(Values.end(), {0, 7});
  if (!Value.is_bool())
    Values.insert(Values.end(), {false, true});
  if (!Value.is_array())
    Values.emplace_back(boost::json::array());
  if (!Value.is_object())
    Values.emplace_back(boost::json::object());
  return Values;
}

/// Returns \p Whole once for each field and each type that the field does not
/// have, with such a value in its place.
inline std::vector<std::string> spoilEachField(const std::string &Whole) {
  std::vector<std::string> Bodies;
  const boost::json::value Value = boost::json::parse(Whole);
  for (const std::string &Pointer : findFields(Value))
    for (const boost::json::value &Odd : otherTypes(Value.at_pointer(Pointer)))
      Bodies.push_back(replaceField(Whole, Pointer, Odd));
  return Bodies;
}

/// Returns the names of the fields without which \p IsTaken still takes \p
/// Whole.
template <typename Reader>
std::set<std::string> findOptional(const std::string &Whole, Reader IsTaken) {
  std::set<std::string> Names;
  const boost::json::value Value = boost::json::parse(Whole);
  for (const std::string &Pointer : findFields(Value)) {
    const bool IsElement =
        nameOf(Pointer).find_first_not_of("0123456789") == std::string::npos;
    if (!IsElement && IsTaken(removeField(Whole, Pointer)))
      Names.insert(nameOf(Pointer));
  }
  return Names;
}

/// Returns each field of \p Whole with each value of another type, or negative
/// number, that \p IsTaken takes in its place.
template <typename Reader>
std::vector<std::string> findUnchecked(const std::string &Whole,
                                       Reader IsTaken) {
  std::vector<std::string> Found;
  const boost::json::value Value = boost::json::parse(Whole);
  for (const std::string &Pointer : findFields(Value)) {
    const boost::json::value &Field = Value.at_pointer(Pointer);
    std::vector<boost::json::value> Odd = otherTypes(Field);
    if (Field.is_number())
      Odd.insert(Odd.end(), {-1, -0.5});
    for (const boost::json::value &Each : Odd)
      if (IsTaken(replaceField(Whole, Pointer, Each)))
        Found.push_back(Pointer + " = " + boost::json::serialize(Each));
  }
  return Found;
}

} // namespace dragonfly

#endif // DRAGONFLY_TESTS_BASE_FIELDMUTATIONS_H
