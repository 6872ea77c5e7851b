#include "dragonfly/control/OperatorInterface.h"

#include "control/OperatorViews.h"
#include "dragonfly/control/ControlService.h"
#include "dragonfly/net/Endpoint.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>
#include <utility>

namespace dragonfly::control {

using consensus::ProposeStatus;
using net::HttpRequest;
using net::HttpResponse;
using settings::ListName;

namespace {

namespace json = boost::json;

constexpr std::uint16_t TemporaryRedirect = 307;
constexpr std::uint16_t BadRequest = 400;
constexpr std::uint16_t NotFound = 404;
constexpr std::uint16_t MethodNotAllowed = 405;
constexpr std::uint16_t ConflictStatus = 409;
constexpr std::uint16_t Unprocessable = 422;
constexpr std::uint16_t Unavailable = 503;
constexpr std::uint16_t OutcomeUnknown = 504;
/// Longest change id, in bytes.
constexpr std::size_t MaxChangeIdBytes = 128;

constexpr std::string_view ListsPrefix = "/operator/v1/lists/";
constexpr std::string_view EvacuationsPath = "/operator/v1/evacuations";
/// Longest name of an availability zone, in bytes.
constexpr std::size_t MaxZoneBytes = 128;

/// Returns the zone that a path of evacuations names, or an empty string.
std::string zoneFromPath(std::string_view Target) {
  if (!Target.starts_with(EvacuationsPath))
    return {};
  Target.remove_prefix(EvacuationsPath.size());
  if (!Target.starts_with('/') || Target.size() > MaxZoneBytes)
    return {};
  return std::string(Target.substr(1));
}

std::optional<ListName> listNameFromPath(std::string_view Target) {
  if (!Target.starts_with(ListsPrefix))
    return std::nullopt;
  return enumFromName<ListName>(Target.substr(ListsPrefix.size()));
}

/// Reads the members of a JSON request body and collects the faults found.
class BodyReader {
public:
  explicit BodyReader(const std::string &Text) {
    json::error_code Failure;
    Value_ = json::parse(Text, Failure);
    if (Failure || !Value_.is_object()) {
      addFault("", "an object", Failure ? Failure.message() : "another value");
      Value_ = json::object();
    }
  }

  /// Reads a whole number, written as a JSON number or as a string of decimal
  /// digits, because some JSON libraries cannot represent all 64-bit integers.
  /// Returns 0 if the member is invalid, or absent and not required.
  std::uint64_t readNumber(std::string_view Key, bool Required = true) {
    const json::value *Found = find(Key);
    if (Found == nullptr && !Required)
      return 0;
    std::uint64_t Result = 0;
    if (Found != nullptr && Found->is_string()) {
      const json::string &Text = Found->get_string();
      const auto [End, Failure] =
          std::from_chars(Text.data(), Text.data() + Text.size(), Result);
      if (Failure == std::errc() && End == Text.data() + Text.size())
        return Result;
    } else if (Found != nullptr && Found->is_number()) {
      json::error_code Failure;
      Result = Found->to_number<std::uint64_t>(Failure);
      if (!Failure)
        return Result;
    }
    addFault(Key, "a whole number", Found);
    return 0;
  }

  /// Reads a string of 1 to \p MaxBytes bytes; returns an empty string if the
  /// member is missing or invalid.
  std::string readText(std::string_view Key, std::size_t MaxBytes) {
    const json::value *Found = find(Key);
    const auto *Text = Found != nullptr ? Found->if_string() : nullptr;
    if (Text != nullptr && !Text->empty() && Text->size() <= MaxBytes)
      return {Text->data(), Text->size()};
    addFault(Key, "text of 1 to " + std::to_string(MaxBytes) + " bytes", Found);
    return {};
  }

  /// Reads an object and returns it as serialized JSON; returns an empty string
  /// if the member is missing or not an object.
  std::string readObject(std::string_view Key) {
    const json::value *Found = find(Key);
    if (Found != nullptr && Found->is_object())
      return json::serialize(*Found);
    addFault(Key, "an object", Found);
    return {};
  }

  const std::vector<settings::JsonFault> &faults() const { return Faults_; }

  void addFault(std::string_view Key, std::string Expected, std::string Found) {
    Faults_.push_back(
        {.Path_ = Key.empty() ? std::string() : "/" + std::string(Key),
         .Expected_ = std::move(Expected),
         .Found_ = std::move(Found)});
  }

private:
  const json::value *find(std::string_view Key) const {
    return Value_.get_object().if_contains({Key.data(), Key.size()});
  }

  void addFault(std::string_view Key, std::string Expected,
                const json::value *Found) {
    addFault(Key, std::move(Expected),
             Found != nullptr ? json::serialize(*Found)
                              : std::string("nothing"));
  }

  json::value Value_;
  std::vector<settings::JsonFault> Faults_;
};

HttpResponse putListResponse(const PutList &Change, const PutOutcome &Result) {
  switch (Result.Status_) {
  case PutStatus::Accepted:
    return jsonResponse(
        {{"version", Result.Version_.Value_}, {"change_id", Change.ChangeId_}});
  case PutStatus::Rejected:
    return problemResponse(Unprocessable, enumName(Result.Status_),
                           Result.Faults_);
  case PutStatus::Conflict:
  case PutStatus::ChangeIdReused:
    break;
  }
  return problemResponse(ConflictStatus, enumName(Result.Status_),
                         {{"current_version", Result.CurrentVersion_.Value_}});
}

enum class MemberAction : std::uint8_t { Add, Promote, Remove };

} // namespace
} // namespace dragonfly::control

template <> struct dragonfly::EnumTable<dragonfly::control::MemberAction> {
  using MemberAction = control::MemberAction;
  static constexpr std::array<EnumName<MemberAction>, 3> Rows{{
      {MemberAction::Add, "add"},
      {MemberAction::Promote, "promote"},
      {MemberAction::Remove, "remove"},
  }};
};

namespace dragonfly::control {

void OperatorInterface::handle(const HttpRequest &Request,
                               const Reply &Answer) {
  const std::string_view Path =
      std::string_view(Request.Target_)
          .substr(0,
                  std::min(Request.Target_.find('?'), Request.Target_.size()));
  const bool Get = Request.Method_ == "GET";
  const std::optional<ListName> List = listNameFromPath(Path);
  if (Get && Path == "/healthz")
    Answer(jsonResponse({{"healthy", true}}));
  else if (Get && Path == "/operator/v1/status")
    Answer(viewStatus(Service_));
  else if (Get && List)
    readState(Request, Answer,
              [this, List] { return viewList(Service_, *List); });
  else if (Get && Path == "/operator/v1/tasks")
    readState(Request, Answer, [this] { return viewTasks(Service_); });
  else if (Get && Path == "/operator/v1/counts")
    readState(Request, Answer, [this] { return viewCounts(Service_); });
  else if (Get && Path == "/operator/v1/members")
    readState(Request, Answer, [this] { return viewMembers(Service_); });
  else if (Get && Path == EvacuationsPath)
    readState(Request, Answer, [this] { return viewEvacuations(Service_); });
  else if ((Request.Method_ == "PUT" || Request.Method_ == "DELETE") &&
           !zoneFromPath(Path).empty())
    changeEvacuation(Request, zoneFromPath(Path), Answer);
  else if (Request.Method_ == "PUT" && List)
    putList(Request, Answer);
  else if (Request.Method_ == "POST" && Path == "/operator/v1/members")
    changeMember(Request, Answer);
  else
    Answer(problemResponse(Get ? NotFound : MethodNotAllowed, "no-such-call"));
}

void OperatorInterface::readState(const HttpRequest &Request,
                                  const Reply &Answer,
                                  std::function<HttpResponse()> Read) {
  if (!Service_.serving()) {
    Answer(redirect(Request));
    return;
  }
  Service_.readBarrier(
      [this, Request, Answer, Read = std::move(Read)](bool Passed) {
        Answer(Passed ? Read() : redirect(Request));
      });
}

void OperatorInterface::putList(const HttpRequest &Request,
                                const Reply &Answer) {
  if (!Service_.serving()) {
    Answer(redirect(Request));
    return;
  }
  BodyReader Body(Request.Body_);
  PutList Change;
  Change.List_ = listNameFromPath(Request.Target_).value_or(ListName::Plans);
  Change.ExpectedVersion_ = {Body.readNumber("expected_version")};
  Change.ChangeId_ = Body.readText("change_id", MaxChangeIdBytes);
  Change.Content_ = Body.readObject("content");
  if (!Body.faults().empty()) {
    Answer(problemResponse(BadRequest, "bad-request", Body.faults()));
    return;
  }
  Service_.putList(Change, [this, Request, Answer, Change](
                               ProposeStatus Status, const PutOutcome &Result) {
    if (Status == ProposeStatus::Committed)
      Answer(putListResponse(Change, Result));
    else if (Status == ProposeStatus::NotLeader)
      Answer(redirect(Request));
    else
      Answer(problemResponse(OutcomeUnknown, "outcome-unknown"));
  });
}

void OperatorInterface::changeMember(const HttpRequest &Request,
                                     const Reply &Answer) {
  if (!Service_.serving()) {
    Answer(redirect(Request));
    return;
  }
  constexpr std::size_t MaxFieldBytes = 64;
  BodyReader Body(Request.Body_);
  const auto Action =
      enumFromName<MemberAction>(Body.readText("action", MaxFieldBytes));
  if (!Action)
    Body.addFault("action", "add, promote or remove", "another text");
  consensus::Member Target;
  Target.Id_ = {Body.readNumber("id")};
  Target.Store_ = {Body.readNumber("store", false)};
  Target.Voter_ = Action == MemberAction::Promote;
  if (!Target.Id_)
    Body.addFault("id", "a whole number above 0", "0");
  if (Action == MemberAction::Add) {
    Target.Address_ = Body.readText("address", MaxFieldBytes);
    if (!net::Endpoint::isValid(Target.Address_))
      Body.addFault("address", "an IP number and port", Target.Address_);
  }
  if (!Body.faults().empty()) {
    Answer(problemResponse(BadRequest, "bad-request", Body.faults()));
    return;
  }
  // A promotion keeps the store and address that the learner was added with.
  for (const consensus::Member &Row : Service_.log().members())
    if (Row.Id_ == Target.Id_ && Action == MemberAction::Promote) {
      Target.Store_ = Row.Store_;
      Target.Address_ = Row.Address_;
    }
  Service_.changeMember(
      Target, Action == MemberAction::Remove,
      [this, Request, Answer](ProposeStatus Status) {
        if (Status == ProposeStatus::Committed)
          Answer(viewMembers(Service_));
        else if (Status == ProposeStatus::NotLeader)
          Answer(redirect(Request));
        else if (Status == ProposeStatus::Refused)
          Answer(problemResponse(ConflictStatus, "change-not-allowed"));
        else
          Answer(problemResponse(OutcomeUnknown, "outcome-unknown"));
      });
}

void OperatorInterface::changeEvacuation(const HttpRequest &Request,
                                         std::string Zone,
                                         const Reply &Answer) {
  if (!Service_.serving()) {
    Answer(redirect(Request));
    return;
  }
  const jobs::ZoneEvacuation Current =
      Service_.state().evacuations().find(Zone);
  Service_.setEvacuation(
      {.Zone_ = std::move(Zone),
       .Evacuated_ = Request.Method_ == "PUT",
       .ExpectedRevision_ = Current.Revision_},
      [this, Request, Answer](ProposeStatus Status,
                              jobs::EvacuationStatus Result) {
        if (Status == ProposeStatus::NotLeader)
          Answer(redirect(Request));
        else if (Status != ProposeStatus::Committed)
          Answer(problemResponse(OutcomeUnknown, "outcome-unknown"));
        else if (Result == jobs::EvacuationStatus::Applied)
          Answer(viewEvacuations(Service_));
        else
          Answer(problemResponse(ConflictStatus, enumName(Result)));
      });
}

HttpResponse OperatorInterface::redirect(const HttpRequest &Request) const {
  const settings::ReplicaSettings *Leader = Service_.leader();
  HttpResponse Response = problemResponse(
      Leader != nullptr ? TemporaryRedirect : Unavailable, "not-leader");
  if (Leader != nullptr)
    Response.Headers_.push_back(
        {"Location", "http://" + Leader->OperatorAddress_ + Request.Target_});
  else
    Response.Headers_.push_back({"Retry-After", "1"});
  return Response;
}

} // namespace dragonfly::control
