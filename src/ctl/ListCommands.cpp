#include "ctl/Context.h"
#include "ctl/Table.h"
#include "dragonfly/base/Random.h"
#include "dragonfly/settings/Lists.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <map>
#include <ostream>

namespace dragonfly::ctl {
namespace {

namespace json = boost::json;
using settings::ListName;

constexpr std::uint16_t Ok = 200;

/// A list's content and the version that it was read at, if known.
struct ListDocument {
  json::value Content_;
  std::optional<std::uint64_t> Version_;
};

/// A list that was named and read from a file.
struct GivenList {
  ListName List_ = ListName::Plans;
  ListDocument Document_;
};

/// Rows by the name that stands once in a list.
using NamedRows = std::map<std::string, json::value>;

std::string targetOf(ListName List) {
  return "/operator/v1/lists/" + std::string(enumName(List));
}

std::string_view rowKey(ListName List) {
  return List == ListName::Plans ? "name" : "customer";
}

/// Reports an operand that is missing or unknown.
std::optional<ListName> parseName(const Context &With, const Operands &Rest,
                                  std::size_t Count) {
  const auto List =
      Rest.empty() ? std::nullopt : enumFromName<ListName>(Rest.front());
  if (List && Rest.size() == Count)
    return List;
  With.Err_ << describeCommands();
  return std::nullopt;
}

/// Accepts a bare content and what `lists get --json` prints.
ListDocument openDocument(const json::value &Value) {
  const auto *Object = Value.if_object();
  const auto *Content =
      Object == nullptr ? nullptr : Object->if_contains("content");
  if (Content == nullptr)
    return {.Content_ = Value, .Version_ = std::nullopt};
  ListDocument Document{.Content_ = *Content, .Version_ = std::nullopt};
  if (const auto *Text = Content->if_string())
    Document.Content_ = parseJson({Text->data(), Text->size()});
  const auto *Version = Object->if_contains("version");
  if (Version != nullptr && Version->is_number())
    Document.Version_ = Version->to_number<std::uint64_t>();
  return Document;
}

/// Reads and checks a file; reports what is wrong with it.
std::optional<ListDocument> openFile(const Context &With, ListName List,
                                     const std::string &Name, CtlExit &Exit) {
  const auto Text = readFile(Name);
  if (!Text) {
    With.Err_ << "cannot-read: " << Name << "\n";
    Exit = CtlExit::BadUsage;
    return std::nullopt;
  }
  ListDocument Document = openDocument(parseJson(*Text));
  const std::string Content = Document.Content_.is_object()
                                  ? json::serialize(Document.Content_)
                                  : *Text;
  try {
    if (List == ListName::Plans)
      settings::parsePlans(Content);
    else
      settings::parsePurchases(Content);
    Exit = CtlExit::Ok;
    return Document;
  } catch (const settings::SettingsError &Failure) {
    Exit = reportFaults(With, Failure.faults());
    return std::nullopt;
  }
}

/// Reads the operands "NAME FILE"; reports what is wrong with them.
std::optional<GivenList> openOperands(const Context &With, const Operands &Rest,
                                      CtlExit &Exit) {
  const auto List = parseName(With, Rest, 2);
  if (!List) {
    Exit = CtlExit::BadUsage;
    return std::nullopt;
  }
  auto Document = openFile(With, *List, Rest[1], Exit);
  if (!Document)
    return std::nullopt;
  return GivenList{.List_ = *List, .Document_ = std::move(*Document)};
}

NamedRows rowsOf(ListName List, const json::value &Content) {
  NamedRows Rows;
  const auto *Object = Content.if_object();
  const auto *Listed = Object == nullptr
                           ? nullptr
                           : Object->if_contains(std::string(enumName(List)));
  if (Listed == nullptr || !Listed->is_array())
    return Rows;
  for (const json::value &Row : Listed->get_array())
    if (const auto *Fields = Row.if_object())
      if (const auto *Name = Fields->if_contains(std::string(rowKey(List))))
        Rows[json::serialize(*Name)] = Row;
  return Rows;
}

json::object toRow(std::string_view Change, const std::string &Name,
                   const json::value &Before, const json::value &After) {
  return {{"change", json::string_view(Change.data(), Change.size())},
          {"name", Name},
          {"before", Before},
          {"after", After}};
}

json::array compare(const NamedRows &Before, const NamedRows &After) {
  json::array Changes;
  for (const auto &[Name, Row] : Before) {
    const auto Match = After.find(Name);
    if (Match == After.end())
      Changes.push_back(toRow("removed", Name, Row, nullptr));
    else if (Match->second != Row)
      Changes.push_back(toRow("changed", Name, Row, Match->second));
  }
  for (const auto &[Name, Row] : After)
    if (!Before.contains(Name))
      Changes.push_back(toRow("added", Name, nullptr, Row));
  return Changes;
}

std::string makeChangeId() { return "ctl-" + std::to_string(freshRandom()); }

} // namespace

CtlExit getList(const Context &With, const Operands &Rest) {
  const auto List = parseName(With, Rest, 1);
  if (!List)
    return CtlExit::BadUsage;
  CtlExit Exit = CtlExit::Ok;
  const auto Answer = readControl(With, targetOf(*List), Exit);
  if (!Answer)
    return Exit;
  const ListDocument Document = openDocument(*Answer);
  print(With, json::object{{"list", Rest.front()},
                           {"version", Document.Version_.value_or(0)},
                           {"content", Document.Content_}});
  return Exit;
}

CtlExit putList(const Context &With, const Operands &Rest) {
  CtlExit Exit = CtlExit::Ok;
  const auto Given = openOperands(With, Rest, Exit);
  if (!Given)
    return Exit;
  const auto Version = With.Options_.Version_ ? With.Options_.Version_
                                              : Given->Document_.Version_;
  if (!Version) {
    With.Err_ << "bad-usage: name the version that was read, --version=N\n";
    return CtlExit::BadUsage;
  }
  const std::string ChangeId = With.Options_.ChangeId_.empty()
                                   ? makeChangeId()
                                   : With.Options_.ChangeId_;
  With.Err_ << "change id: " << ChangeId << "\n";
  const ControlAnswer Answer =
      With.Control_.call({.Method_ = "PUT",
                          .Target_ = targetOf(Given->List_),
                          .Headers_ = {{"Content-Type", "application/json"}},
                          .Body_ = json::serialize(json::object{
                              {"expected_version", *Version},
                              {"change_id", ChangeId},
                              {"content", Given->Document_.Content_}})});
  if (Answer.End_ != CallEnd::Answered || Answer.Response_.Status_ != Ok)
    return reportFailure(With, Answer);
  print(With, parseJson(Answer.Response_.Body_));
  return CtlExit::Ok;
}

CtlExit diffList(const Context &With, const Operands &Rest) {
  CtlExit Exit = CtlExit::Ok;
  const auto Given = openOperands(With, Rest, Exit);
  if (!Given)
    return Exit;
  const auto Answer = readControl(With, targetOf(Given->List_), Exit);
  if (!Answer)
    return Exit;
  const ListDocument Present = openDocument(*Answer);
  const json::array Changes =
      compare(rowsOf(Given->List_, Present.Content_),
              rowsOf(Given->List_, Given->Document_.Content_));
  print(With, json::object{{"version", Present.Version_.value_or(0)},
                           {"changes", Changes}});
  return Changes.empty() ? CtlExit::Ok : CtlExit::Differs;
}

CtlExit checkList(const Context &With, const Operands &Rest) {
  CtlExit Exit = CtlExit::Ok;
  const auto Given = openOperands(With, Rest, Exit);
  if (!Given)
    return Exit;
  if (Given->List_ == ListName::Purchases &&
      !With.Options_.PlansFile_.empty()) {
    const auto Plans =
        openFile(With, ListName::Plans, With.Options_.PlansFile_, Exit);
    if (!Plans)
      return Exit;
    try {
      settings::checkPurchases(
          settings::parsePurchases(json::serialize(Given->Document_.Content_)),
          settings::parsePlans(json::serialize(Plans->Content_)));
    } catch (const settings::SettingsError &Failure) {
      return reportFaults(With, Failure.faults());
    }
  }
  print(With, json::object{{"faults", json::array()}});
  return CtlExit::Ok;
}

} // namespace dragonfly::ctl
