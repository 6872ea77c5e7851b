#include "ctl/Context.h"

#include "ctl/Table.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <fstream>
#include <iterator>
#include <ostream>

namespace dragonfly::ctl {
namespace {

namespace json = boost::json;

constexpr std::uint16_t Ok = 200;
constexpr std::uint16_t Conflict = 409;
constexpr std::uint16_t Unprocessable = 422;

/// Returns the type of a problem, or empty text.
std::string typeOf(const net::HttpResponse &Response) {
  const json::value Body = parseJson(Response.Body_);
  const auto *Object = Body.if_object();
  const auto *Type = Object == nullptr ? nullptr : Object->if_contains("type");
  const auto *Text = Type == nullptr ? nullptr : Type->if_string();
  return Text == nullptr ? std::string()
                         : std::string(Text->data(), Text->size());
}

CtlExit toExit(const ControlAnswer &Answer) {
  if (Answer.End_ == CallEnd::Unavailable)
    return CtlExit::Unavailable;
  if (Answer.End_ == CallEnd::Unknown)
    return CtlExit::OutcomeUnknown;
  if (Answer.Response_.Status_ == Conflict &&
      typeOf(Answer.Response_) == "version-conflict")
    return CtlExit::VersionConflict;
  return Answer.Response_.Status_ == Unprocessable ? CtlExit::ListRejected
                                                   : CtlExit::Refused;
}

} // namespace

void print(const Context &With, const json::value &Value) {
  if (With.Options_.Json_)
    With.Out_ << json::serialize(Value) << "\n";
  else
    With.Out_ << formatTable(Value);
}

CtlExit reportFailure(const Context &With, const ControlAnswer &Answer) {
  const CtlExit Exit = toExit(Answer);
  With.Err_ << enumName(Exit);
  if (Answer.End_ == CallEnd::Answered) {
    With.Err_ << " (HTTP " << Answer.Response_.Status_ << ")\n";
    const json::value Body = parseJson(Answer.Response_.Body_);
    if (With.Options_.Json_)
      With.Out_ << Answer.Response_.Body_ << "\n";
    else if (Body.is_object())
      With.Err_ << formatTable(Body);
  } else {
    With.Err_ << "\n";
  }
  return Exit;
}

CtlExit reportFaults(const Context &With,
                     const std::vector<settings::JsonFault> &Faults) {
  json::array Rows;
  for (const settings::JsonFault &Fault : Faults)
    Rows.push_back(json::object{{"path", Fault.Path_},
                                {"expected", Fault.Expected_},
                                {"found", Fault.Found_}});
  With.Err_ << enumName(CtlExit::ListRejected) << "\n";
  if (With.Options_.Json_)
    With.Out_ << json::serialize(json::object{{"faults", Rows}}) << "\n";
  else
    With.Err_ << formatTable(Rows);
  return CtlExit::ListRejected;
}

std::optional<json::value>
readControl(const Context &With, const std::string &Target, CtlExit &Exit) {
  const ControlAnswer Answer = With.Control_.call({.Target_ = Target});
  if (Answer.End_ == CallEnd::Answered && Answer.Response_.Status_ == Ok) {
    Exit = CtlExit::Ok;
    return parseJson(Answer.Response_.Body_);
  }
  Exit = reportFailure(With, Answer);
  // A read that was not answered has changed nothing.
  if (Exit == CtlExit::OutcomeUnknown)
    Exit = CtlExit::Unavailable;
  return std::nullopt;
}

std::optional<std::string> readFile(const std::string &Name) {
  std::ifstream In(Name);
  if (!In)
    return std::nullopt;
  return std::string{std::istreambuf_iterator<char>(In), {}};
}

json::value parseJson(const std::string &Text) {
  json::error_code Failure;
  json::value Value = json::parse(Text, Failure);
  return Failure ? json::value() : Value;
}

} // namespace dragonfly::ctl
