#include "untrusted/Group.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <iomanip>
#include <sstream>
#include <utility>

namespace dragonfly::untrusted {

using platform::Peer;
using platform::RealProcess;

namespace {

constexpr std::uint16_t CallerPort = 8161;
constexpr std::uint16_t OperatorPort = 8166;
/// Each try takes as long as the process takes to answer.
constexpr int MaxTries = 2000;

std::string nextNetwork() {
  static int Number = 20;
  return "127.201." + std::to_string(++Number);
}

std::string withBody(std::string Head, const std::string &Body) {
  return std::move(Head) +
         "Host: a.example\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\nX-Dragonflyproxy-Deadline-Ms: 3000\r\n\r\n" + Body;
}

} // namespace

Answer parseAnswer(const std::string &Bytes) {
  constexpr std::size_t StatusAt = sizeof("HTTP/1.1 ") - 1;
  constexpr std::string_view HeadEnd = "\r\n\r\n";
  const std::size_t End = Bytes.find(HeadEnd);
  if (End == std::string::npos)
    return {};
  return {.Status_ = std::stoi(Bytes.substr(StatusAt, 3)),
          .Head_ = Bytes.substr(0, End),
          .Body_ = Bytes.substr(End + HeadEnd.size())};
}

std::string jobBody(std::size_t Steps, std::size_t Tasks,
                    std::size_t PayloadBytes) {
  std::string Body =
      R"({"Spec":")" + std::string(PayloadBytes, 'x') + R"(","Steps":[)";
  for (std::size_t I = 0; I < Steps; ++I) {
    Body += (I > 0 ? "," : "") + std::string(R"({"Count":)") +
            std::to_string(Tasks) + R"(,"Cpu":1000)";
    Body += I > 0 ? R"(,"DependsOn":[)" + std::to_string(I - 1) + "]}" : "}";
  }
  return Body + "]}";
}

std::string jobId(std::size_t Number) {
  std::ostringstream Text;
  Text << std::hex << std::setfill('0') << std::setw(16) << Number;
  return Text.str();
}

std::string jobRequest(std::string_view Method, const std::string &Id,
                       const std::string &Body) {
  return withBody(std::string(Method) + " /checks/" + Id + " HTTP/1.1\r\n",
                  Body);
}

Group::Group(Machine Limits) : Limits_(Limits), Network_(nextNetwork()) {
  for (std::size_t I = 0; I < Controls; ++I)
    Controls_.push_back(
        std::make_unique<RealProcess>("control", controlSettings(I, true)));
  Entry_ = std::make_unique<RealProcess>(
      "entry", sharedSettings(entryIp(), seeds(), Limits_) +
                   "Bootstrap=true\nBind.Frontend=" + entryIp() +
                   ":8161\nBind.Readiness=" + entryIp() + ":8167\n");
  configure();
}

std::string Group::ip(std::size_t Number) const {
  return Network_ + "." + std::to_string(Number);
}

std::string Group::seeds() const {
  return ip(1) + ":8166," + ip(2) + ":8166," + ip(3);
}

std::string Group::controlSettings(std::size_t Index, bool IsFirstStart) const {
  const std::string Ip = controlIp(Index);
  return sharedSettings(Ip, seeds(), Limits_) +
         "Bootstrap=" + (IsFirstStart ? "true" : "false") +
         "\nBind.Control=" + Ip + ":8166\nDataDir={folder}/disk\n";
}

void Group::configure() const {
  const std::string Body =
      R"({"Version":1,"Routes":[{"Name":"checks","Host":"a.example",)"
      R"("PathPrefix":"/checks/","Kind":"unsafe","TimeoutMs":3000,)"
      R"("TargetLatencyMs":250,"Service":"sorting","MaxAttempts":4,)"
      R"("SlackFactor":2.0}],"Services":[{"Name":"sorting"}],"Limits":{}})";
  const std::string Request = withBody("PUT /v1/config HTTP/1.1\r\n", Body);
  int Status = 0;
  for (int Try = 0; Try < MaxTries && Status != 200; ++Try) {
    const Peer Operator(controlIp(static_cast<std::size_t>(Try) % Controls),
                        OperatorPort);
    Operator.send(Request);
    Status = parseAnswer(Operator.readAnswer()).Status_;
  }
  REQUIRE(Status == 200);
  REQUIRE(callUntil(jobRequest("GET", jobId(0)), 410).Status_ == 410);
}

Answer Group::call(const std::string &Request) const {
  const Peer Caller(entryIp(), CallerPort);
  Caller.send(Request);
  return parseAnswer(Caller.readAnswer());
}

Answer Group::callUntil(const std::string &Request, int Status) const {
  Answer Last;
  for (int Try = 0; Try < MaxTries && Last.Status_ != Status; ++Try)
    Last = call(Request);
  return Last;
}

void Group::restartControl() {
  for (const auto &Each : Controls_)
    Each->signal(SIGKILL);
  for (const auto &Each : Controls_)
    Each->wait();
  for (std::size_t I = 0; I < Controls; ++I)
    Controls_[I]->restart(controlSettings(I, false));
}

void Group::freezeControl() const {
  for (const auto &Each : Controls_)
    Each->signal(SIGSTOP);
}

void Group::thawControl() const {
  for (const auto &Each : Controls_)
    Each->signal(SIGCONT);
}

void Group::check(std::size_t Callers) const {
  for (std::size_t I = 0; I < Controls; ++I) {
    INFO("control " << I);
    checkMemory(*Controls_[I], Limits_);
  }
  INFO("entry");
  checkMemory(*Entry_, Limits_);
  checkDescriptors(*Entry_, Limits_, Callers);
}

} // namespace dragonfly::untrusted
