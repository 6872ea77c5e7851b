#include "Stage.h"

#include <boost/json.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <optional>
#include <thread>
#include <utility>

namespace dragonfly::review {

namespace {

namespace json = boost::json;
using soak::Fleet;
using std::chrono::milliseconds;

constexpr const char *ServiceName = "sorting";
constexpr Duration StartTime = milliseconds(20000);
constexpr Duration RetryDelay = milliseconds(200);
/// The programs pause no longer than this between looks at the sockets.
constexpr Duration PollPause = std::chrono::microseconds(200);

} // namespace

Stage::Stage(StageOptions Options)
    : Options_(std::move(Options)),
      Record_(Options_.CaseFolder_ + "/record.txt"), Judge_(Record_),
      Fleet_({.Program_ = "target/dragonfly-platform",
              .Folder_ = Options_.Folder_,
              .Network_ = Options_.Network_,
              .Controls_ = Controls,
              .Entries_ = Entries,
              .Agents_ = Options_.Workers_}) {
  for (std::size_t I = 1; I <= Entries; ++I)
    EntryClients_.push_back(std::make_unique<net::HttpClient>(
        Loop_,
        net::HttpClientOptions{
            .Peer_ = {Fleet_.ip(Fleet::Role::Entry, I), soak::CallerPort}}));
  for (std::size_t I = 1; I <= Controls; ++I)
    OperatorClients_.push_back(std::make_unique<net::HttpClient>(
        Loop_,
        net::HttpClientOptions{
            .Peer_ = {Fleet_.ip(Fleet::Role::Control, I), soak::ControlPort}}));
}

void Stage::runFor(Duration Length) {
  runUntil([] { return false; }, Length);
}

bool Stage::runUntil(const std::function<bool()> &Condition, Duration Longest) {
  const TimePoint End = Clock::now() + Longest;
  while (!Condition()) {
    if (Clock::now() >= End)
      return false;
    if (Loop_.poll() == 0)
      std::this_thread::sleep_for(PollPause);
  }
  return true;
}

net::HttpRequest Stage::request(std::string Method, std::string Path,
                                std::string Body) {
  return {.Method_ = std::move(Method),
          .Target_ = std::move(Path),
          .Headers_ = {{"Host", "a.example"},
                       {"Content-Type", "application/json"},
                       {"X-Dragonflyproxy-Deadline-Ms", "3000"}},
          .Body_ = std::move(Body)};
}

net::HttpResult Stage::call(net::HttpClient &Peer, net::HttpRequest Request,
                            Duration Timeout) {
  std::optional<net::HttpResult> Result;
  Peer.request(std::move(Request), Timeout,
               [&Result](const net::HttpResult &Value) { Result = Value; });
  runUntil([&Result] { return Result.has_value(); }, 2 * Timeout);
  if (!Result)
    throw CannotRun("a call of a stand-in did not end");
  return *Result;
}

void Stage::putConfiguration(std::uint64_t Version,
                             const std::vector<Route> &Routes) {
  json::array Rows;
  for (const Route &Row : Routes)
    Rows.push_back(json::object{{"Name", Row.Name_},
                                {"Host", "a.example"},
                                {"PathPrefix", Row.PathPrefix_},
                                {"Kind", "unsafe"},
                                {"TimeoutMs", 3000},
                                {"TargetLatencyMs", 1000},
                                {"Priority", 0},
                                {"Service", ServiceName},
                                {"MaxAttempts", 4},
                                {"SlackFactor", 2.0}});
  const std::string Body = json::serialize(json::object{
      {"Version", Version},
      {"Routes", Rows},
      {"Services", json::array{json::object{{"Name", ServiceName},
                                            {"HealthPath", "/healthz"},
                                            {"MaxConnections", 64},
                                            {"Protocol", "h1"},
                                            {"Tls", false},
                                            {"AdmissionCheck", false},
                                            {"Standby", false}}}},
      {"Limits", json::object{{"MaxHeaderBytes", 16384},
                              {"MaxBodyBytes", 262144},
                              {"HeaderTimeoutMs", 3000},
                              {"IdleTimeoutMs", 15000}}}});
  const TimePoint End = Clock::now() + StartTime;
  for (std::size_t I = 0; Clock::now() < End; ++I) {
    const net::HttpResult Result = call(*OperatorClients_[I % Controls],
                                        request("PUT", "/v1/config", Body));
    if (Result.Status_ == net::CallStatus::Answered &&
        Result.Response_.Status_ == 200) {
      Record_.write("configuration " + std::to_string(Version) +
                    " acknowledged");
      return;
    }
    runFor(RetryDelay);
  }
  throw CannotRun("no configuration was acknowledged");
}

std::string Stage::jobBody(std::size_t Tasks, std::int64_t MilliProcessors,
                           std::int64_t MemoryMb, std::int64_t RunMs) {
  return json::serialize(json::object{
      {"Spec", "ms=" + std::to_string(RunMs)},
      {"Steps", json::array{json::object{{"Count", Tasks},
                                         {"Cpu", MilliProcessors},
                                         {"MemMb", MemoryMb},
                                         {"EstimateMs", RunMs}}}}});
}

void Stage::submit(const std::string &Path, const std::string &Body) {
  const TimePoint End = Clock::now() + StartTime;
  for (std::size_t I = 0; Clock::now() < End; ++I) {
    const net::HttpResult Result =
        call(*EntryClients_[I % Entries], request("POST", Path, Body));
    const bool Answered = Result.Status_ == net::CallStatus::Answered;
    Record_.write(
        "POST " + Path + ": " +
        (Answered ? std::to_string(Result.Response_.Status_) : "no answer"));
    if (Answered && Result.Response_.Status_ == 200)
      return;
    runFor(RetryDelay);
  }
  throw CannotRun("the job was not accepted");
}

std::string Stage::stateOf(const std::string &Path) {
  const net::HttpResult Result = call(*EntryClients_[0], request("GET", Path));
  if (Result.Status_ != net::CallStatus::Answered)
    return "[no answer]";
  boost::system::error_code Fault;
  const json::value Body = json::parse(Result.Response_.Body_, Fault);
  if (Result.Response_.Status_ != 200 || Fault || !Body.is_object() ||
      !Body.get_object().contains("State"))
    return "[" + std::to_string(Result.Response_.Status_) + "]";
  return std::string(Body.at("State").as_string());
}

void Stage::begin() {
  for (std::size_t I = 0; I < Fleet_.size(); ++I)
    Fleet_.start(I);
  for (std::size_t I = 1; I <= Options_.Workers_; ++I) {
    WorkerOptions Each = Options_.Worker_;
    Each.Name_ = "i-" + std::to_string(I);
    Each.Service_ = ServiceName;
    Each.Listen_ = {Options_.Network_ + ".5." + std::to_string(I),
                    soak::WorkerPort};
    Each.Agent_ = {Fleet_.ip(Fleet::Role::Agent, I), soak::ControlPort};
    Workers_.push_back(
        std::make_unique<Worker>(Loop_, Record_, Judge_, std::move(Each)));
  }
  putConfiguration(1, {{"checks", "/checks/"}, {"other", "/other/"}});
  // A task per worker, as wide as a worker: all of them serve.
  const std::string Path = "/checks/00000000000000ff";
  submit(Path, jobBody(Options_.Workers_,
                       Options_.Worker_.MilliProcessors_ * 3 / 4, 100, 300));
  if (!runUntil([&] { return stateOf(Path) == "completed"; }, StartTime))
    throw CannotRun("the deployment does not serve");
  runFor(milliseconds(1000));
  if (Fleet_.reap() != 0)
    throw CannotRun("a program ended during the start");
  Record_.write("the deployment serves");
}

void Stage::killAndRestart(const std::vector<std::size_t> &Processes,
                           Duration Down) {
  for (const std::size_t I : Processes) {
    Record_.write(Fleet_.name(I) + " is killed");
    Fleet_.expectEnd(I);
    Fleet_.signal(I, SIGKILL);
  }
  const TimePoint Until = Clock::now() + Down;
  runUntil(
      [&] {
        Fleet_.reap();
        return Clock::now() >= Until &&
               std::ranges::none_of(Processes, [this](std::size_t I) {
                 return Fleet_.isRunning(I);
               });
      },
      Down + milliseconds(5000));
  for (const std::size_t I : Processes) {
    Fleet_.start(I);
    Record_.write(Fleet_.name(I) + " is started again");
  }
}

std::size_t Stage::leadingControl() const {
  std::string Newest;
  std::size_t Leader = 0;
  for (std::size_t I = 0; I < Controls; ++I) {
    std::ifstream Log(Options_.Folder_ + "/" + Fleet_.name(I) + ".log");
    for (std::string Line; std::getline(Log, Line);)
      if (Line.find("\"leader-elected\"") != std::string::npos) {
        // Each line begins with its time.
        const std::string Time = Line.substr(0, 40);
        if (Time >= Newest) {
          Newest = Time;
          Leader = I;
        }
      }
  }
  return Leader;
}

} // namespace dragonfly::review
