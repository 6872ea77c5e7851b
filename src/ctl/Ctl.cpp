#include "dragonfly/ctl/Ctl.h"

#include "ctl/Context.h"
#include "dragonfly/base/Event.h"
#include "dragonfly/net/EventLoop.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <ostream>

namespace dragonfly::ctl {
namespace {

namespace json = boost::json;

constexpr std::uint16_t Ok = 200;
constexpr std::array<std::string_view, 4> SeverityNames{"debug", "info",
                                                        "warning", "failure"};

/// One command: the words that name it and what it does with the rest.
struct Command {
  std::vector<std::string_view> Words_;
  std::string_view Operands_;
  std::string_view Meaning_;
  std::function<CtlExit(const Context &, const Operands &)> Run_;
};

/// Makes a command that prints what control answers at \p Target.
std::function<CtlExit(const Context &, const Operands &)>
showTarget(const std::string &Target) {
  return [Target](const Context &With, const Operands &) {
    CtlExit Exit = CtlExit::Ok;
    if (const auto Answer = readControl(With, Target, Exit))
      print(With, *Answer);
    return Exit;
  };
}

CtlExit showEvents(const Context &With, const Operands &) {
  json::array Rows;
  for (const EventRow &Row : eventCatalogue()) {
    const std::string_view Level =
        SeverityNames[static_cast<std::size_t>(Row.Severity_)];
    Rows.push_back(
        json::object{{"number", static_cast<std::uint16_t>(Row.Event_)},
                     {"name", std::string(Row.Name_)},
                     {"severity", std::string(Level)},
                     {"meaning", std::string(Row.Meaning_)}});
  }
  print(With, Rows);
  return CtlExit::Ok;
}

CtlExit showHistograms(const Context &With, const Operands &) {
  if (With.Options_.Sources_.empty()) {
    With.Err_ << "bad-usage: name entries or agents, --from=ADDRESS,...\n";
    return CtlExit::BadUsage;
  }
  json::object Answers;
  CtlExit Exit = CtlExit::Ok;
  for (const net::Endpoint &Source : With.Options_.Sources_) {
    ControlClientOptions Only = With.Options_.Control_;
    Only.Control_ = {Source};
    Only.MaxTries_ = 1;
    ControlClient Client(With.Loop_, Only);
    const ControlAnswer Answer = Client.call({.Target_ = "/v1/histograms"});
    if (Answer.End_ == CallEnd::Answered && Answer.Response_.Status_ == Ok)
      Answers[Source.text()] = parseJson(Answer.Response_.Body_);
    else
      Exit = CtlExit::Unavailable;
  }
  if (Exit != CtlExit::Ok)
    With.Err_ << enumName(Exit) << ": not every address answered\n";
  print(With, Answers);
  return Exit;
}

/// Makes a command that sends one change of the membership.
std::function<CtlExit(const Context &, const Operands &)>
changeMember(const std::string &Action) {
  return [Action](const Context &With, const Operands &) {
    const CtlOptions &Options = With.Options_;
    if (Options.MemberId_ == 0) {
      With.Err_ << "bad-usage: name the replica, --id=N\n";
      return CtlExit::BadUsage;
    }
    const ControlAnswer Answer = With.Control_.call(
        {.Method_ = "POST",
         .Target_ = "/operator/v1/members",
         .Headers_ = {{"Content-Type", "application/json"}},
         .Body_ =
             json::serialize(json::object{{"action", Action},
                                          {"id", Options.MemberId_},
                                          {"address", Options.MemberAddress_},
                                          {"store", Options.MemberStore_}})});
    if (Answer.End_ != CallEnd::Answered || Answer.Response_.Status_ != Ok)
      return reportFailure(With, Answer);
    print(With, parseJson(Answer.Response_.Body_));
    return CtlExit::Ok;
  };
}

/// Makes a command that evacuates a zone or takes it back.
std::function<CtlExit(const Context &, const Operands &)>
changeEvacuation(const std::string &Method) {
  return [Method](const Context &With, const Operands &Rest) {
    if (Rest.size() != 1) {
      With.Err_ << "bad-usage: name one availability zone\n";
      return CtlExit::BadUsage;
    }
    const ControlAnswer Answer = With.Control_.call(
        {.Method_ = Method,
         .Target_ = "/operator/v1/evacuations/" + Rest.front()});
    if (Answer.End_ != CallEnd::Answered || Answer.Response_.Status_ != Ok)
      return reportFailure(With, Answer);
    print(With, parseJson(Answer.Response_.Body_));
    return CtlExit::Ok;
  };
}

const std::vector<Command> &commands() {
  static const std::vector<Command> Commands{
      {{"lists", "get"}, "NAME", "print a list and its version", getList},
      {{"lists", "put"},
       "NAME FILE",
       "replace version --version=N of a list; --change-id=ID resends",
       putList},
      {{"lists", "diff"}, "NAME FILE", "compare a list with a file", diffList},
      {{"lists", "check"},
       "NAME FILE",
       "check a file offline; --plans=FILE for purchases",
       checkList},
      {{"status"},
       "",
       "print the replicas, entries and upstreams",
       showTarget("/operator/v1/status")},
      {{"tasks"}, "", "print the tasks", showTarget("/operator/v1/tasks")},
      {{"counts"},
       "",
       "print completions per customer and kind",
       showTarget("/operator/v1/counts")},
      {{"histograms"},
       "",
       "print latencies of --from=ADDRESS,...",
       showHistograms},
      {{"events"}, "", "print the catalogue of events", showEvents},
      {{"evacuations", "list"},
       "",
       "print the evacuated availability zones",
       showTarget("/operator/v1/evacuations")},
      {{"evacuations", "start"},
       "ZONE",
       "give the workers of a zone no more runs",
       changeEvacuation("PUT")},
      {{"evacuations", "end"},
       "ZONE",
       "take a zone back",
       changeEvacuation("DELETE")},
      {{"members", "add"},
       "",
       "add replica --id=N --address=A:P --store=N as a learner",
       changeMember("add")},
      {{"members", "promote"},
       "",
       "let learner --id=N vote",
       changeMember("promote")},
      {{"members", "remove"},
       "",
       "remove replica --id=N",
       changeMember("remove")},
      {{"members"},
       "",
       "print the replicas of the log",
       showTarget("/operator/v1/members")},
  };
  return Commands;
}

bool matches(const Command &Row, const std::vector<std::string> &Arguments) {
  return Arguments.size() >= Row.Words_.size() &&
         std::equal(Row.Words_.begin(), Row.Words_.end(), Arguments.begin());
}

} // namespace

std::string describeCommands() {
  std::string Text = "commands, NAME being plans or purchases:\n";
  for (const Command &Row : commands()) {
    std::string Line = " ";
    for (const std::string_view Word : Row.Words_)
      Line.append(" ").append(Word);
    if (!Row.Operands_.empty())
      Line.append(" ").append(Row.Operands_);
    constexpr std::size_t MeaningColumn = 28;
    Line.resize(std::max(Line.size() + 1, MeaningColumn), ' ');
    Text.append(Line).append(Row.Meaning_).append("\n");
  }
  return Text;
}

CtlExit runCtl(net::EventLoop &Loop, const CtlOptions &Options,
               const std::vector<std::string> &Arguments, std::ostream &Out,
               std::ostream &Err) {
  const auto Row = std::ranges::find_if(commands(), [&](const Command &Each) {
    return matches(Each, Arguments);
  });
  const bool Known = Row != commands().end();
  const Operands Rest =
      Known ? Operands(Arguments.begin() +
                           static_cast<std::ptrdiff_t>(Row->Words_.size()),
                       Arguments.end())
            : Operands();
  if (!Known || (Row->Operands_.empty() && !Rest.empty())) {
    Err << describeCommands();
    return CtlExit::BadUsage;
  }
  ControlClient Control(Loop, Options.Control_);
  return Row->Run_({.Loop_ = Loop,
                    .Options_ = Options,
                    .Control_ = Control,
                    .Out_ = Out,
                    .Err_ = Err},
                   Rest);
}

} // namespace dragonfly::ctl
