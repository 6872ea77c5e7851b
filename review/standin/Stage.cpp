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
      Programs_({.Folder_ = Options_.Folder_,
                 .Network_ = Options_.Network_,
                 .Controls_ = Controls,
                 .Entries_ = Entries,
                 .Agents_ = Options_.Workers_,
                 .HasPaths_ = Options_.HasPaths_}) {
  for (std::size_t I = 1; I <= Entries; ++I)
    EntryClients_.push_back(std::make_unique<net::HttpClient>(
        Loop_, net::HttpClientOptions{
                   .Peer_ = {Programs_.ip(Role::Entry, I), CallerPort}}));
  for (std::size_t I = 1; I <= Controls; ++I)
    OperatorClients_.push_back(std::make_unique<net::HttpClient>(
        Loop_, net::HttpClientOptions{
                   .Peer_ = {Programs_.ip(Role::Control, I), ControlPort}}));
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

void Stage::reap() {
  for (const std::string &Name : Programs_.reap()) {
    OwnEnds_.push_back(Name);
    Record_.write(Name + " ended by itself");
  }
}

void Stage::openPaths() {
  for (std::size_t I = 0; I < Programs_.size(); ++I) {
    if (Programs_.role(I) == Role::Control)
      continue;
    FramePath::Addresses Translated;
    const auto At = [](const std::string &Ip) {
      return Ip + ":" + std::to_string(InternalPort);
    };
    for (std::size_t Index = 1; Index <= Controls; ++Index)
      Translated[At(Programs_.ip(Role::Control, Index))] =
          At(Programs_.pathIp(I, Index));
    for (std::size_t Index = 1; Index <= Controls; ++Index)
      Paths_[I].push_back(std::make_unique<FramePath>(
          Loop_, net::Endpoint{Programs_.pathIp(I, Index), InternalPort},
          net::Endpoint{Programs_.ip(Role::Control, Index), InternalPort},
          Translated));
  }
}

void Stage::harmPaths(std::size_t I, const FramePath::Harm &Value) {
  for (const auto &Path : Paths_.at(I))
    Path->setHarm(Value);
}

void Stage::resetPaths(std::size_t I) {
  for (const auto &Path : Paths_.at(I))
    Path->reset();
}

void Stage::begin() {
  if (Options_.HasPaths_)
    openPaths();
  for (std::size_t I = 0; I < Programs_.size(); ++I)
    Programs_.start(I);
  for (std::size_t I = 1; I <= Options_.Workers_; ++I) {
    WorkerOptions Each = Options_.Worker_;
    Each.Name_ = "i-" + std::to_string(I);
    Each.Service_ = ServiceName;
    Each.Listen_ = {Programs_.workerIp(I), WorkerPort};
    Each.Agent_ = {Programs_.ip(Role::Agent, I), ControlPort};
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
  reap();
  if (!OwnEnds_.empty())
    throw CannotRun("a program ended during the start");
  Record_.write("the deployment serves");
}

void Stage::killAndRestart(const std::vector<std::size_t> &Processes,
                           Duration Down) {
  for (const std::size_t I : Processes) {
    Record_.write(Programs_.name(I) + " is killed");
    Programs_.expectEnd(I);
    Programs_.signal(I, SIGKILL);
  }
  const TimePoint Until = Clock::now() + Down;
  runUntil(
      [&] {
        reap();
        return Clock::now() >= Until &&
               std::ranges::none_of(Processes, [this](std::size_t I) {
                 return Programs_.isRunning(I);
               });
      },
      Down + milliseconds(5000));
  for (const std::size_t I : Processes) {
    Programs_.start(I);
    Record_.write(Programs_.name(I) + " is started again");
  }
}

void Stage::stopAndRestart(std::size_t I, Duration Down) {
  Record_.write(Programs_.name(I) + " is told to stop");
  Programs_.expectEnd(I);
  Programs_.signal(I, SIGTERM);
  runUntil(
      [&] {
        reap();
        return !Programs_.isRunning(I);
      },
      milliseconds(6000));
  runFor(Down);
  Programs_.start(I);
  Record_.write(Programs_.name(I) + " is started again");
}

std::size_t Stage::leadingControl() const {
  std::string Newest;
  std::size_t Leader = 0;
  for (std::size_t I = 0; I < Controls; ++I) {
    std::ifstream Log(Programs_.logOf(control(I)));
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
