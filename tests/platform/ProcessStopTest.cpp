#include "platform/RealProcess.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <string>
#include <vector>

using namespace dragonfly::platform;

namespace {

constexpr std::uint16_t CallerPort = 8161;
constexpr std::uint16_t ControlPort = 8166;
constexpr std::uint16_t ReadinessPort = 8167;
constexpr std::uint16_t FirstMetricsPort = 9464;

/// Processes of one test have addresses of their own, so that tests may run
/// beside each other. Nothing answers at the seed.
std::string addressOf(int Number) {
  return "127.201.7." + std::to_string(Number);
}

std::string settingsOf(const std::string &Ip) {
  return "Node=n\nIp=" + Ip +
         "\nZone=z\nInternalPorts=7720,7735\nSeeds=127.201.8.1:8166\n"
         "Bootstrap=false\nFaultTolerance.Machines=1\nBounds.GraceS=6\n";
}

std::string entrySettings(const std::string &Ip) {
  return settingsOf(Ip) + "Bind.Frontend=" + Ip +
         ":8161\nBind.Readiness=" + Ip + ":8167\n";
}

std::string controlSettings(const std::string &Ip) {
  return settingsOf(Ip) + "Bind.Control=" + Ip + ":8166\n";
}

std::string agentSettings(const std::string &Ip) {
  return controlSettings(Ip) + "app=127.201.8.2:9000\n";
}

std::string request(const std::string &Method, const std::string &Target) {
  return Method + " " + Target +
         " HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n"
         "X-Dragonflyproxy-Deadline-Ms: 1500\r\n\r\n";
}

/// One server of one program, and a request that it answers or holds.
struct ServerRow {
  std::string Name_;
  std::string Role_;
  std::string Settings_;
  std::string Ip_;
  std::uint16_t Port_;
  std::string Request_;
  /// Begins the answer to the request where there is no leader.
  std::string Answer_;
  bool HasDisk_ = false;
};

std::vector<ServerRow> servers() {
  std::vector<ServerRow> Rows;
  int Next = 0;
  const auto Add = [&](const std::string &Name, const std::string &Role,
                       auto Settings, std::uint16_t Port,
                       const std::string &Target, const std::string &Answer) {
    const std::string Ip = addressOf(++Next);
    Rows.push_back({.Name_ = Name,
                    .Role_ = Role,
                    .Settings_ = Settings(Ip),
                    .Ip_ = Ip,
                    .Port_ = Port,
                    .Request_ = request("GET", Target),
                    .Answer_ = Answer});
  };
  const std::string Job = "/checks/0123456789abcdef";
  Add("callers", "entry", entrySettings, CallerPort, Job, "HTTP/1.1 50");
  Add("readiness", "entry", entrySettings, ReadinessPort, "/v1/readyz",
      "HTTP/1.1 503");
  Add("metrics", "entry", entrySettings, FirstMetricsPort + 1, "/metrics",
      "HTTP/1.1 200");
  Add("operators of a relay", "control", controlSettings, ControlPort,
      "/v1/config", "HTTP/1.1 50");
  Add("operators of a replica", "control", controlSettings, ControlPort,
      "/v1/config", "HTTP/1.1 50");
  Rows.back().HasDisk_ = true;
  Add("workers", "agent", agentSettings, ControlPort, "/v1/instances/i-1",
      "HTTP/1.1 ");
  return Rows;
}

std::string withDisk(const ServerRow &Row) {
  return Row.HasDisk_ ? Row.Settings_ + "DataDir={folder}/disk\n"
                      : Row.Settings_;
}

} // namespace

// Guards against calls that are cut off in a server whose requests the stop of
// its process does not count, and by signals that are repeated.
TEST_CASE("a process that stops answers what each of its servers has read",
          "[platform][stop]") {
  for (const ServerRow &Row : servers()) {
    INFO(Row.Name_);
    RealProcess Program(Row.Role_, withDisk(Row));
    const Peer Caller(Row.Ip_, Row.Port_);
    // The first answer shows that the connection has been accepted: what is
    // sent on it before the signal has to be read.
    Caller.send(Row.Request_);
    REQUIRE(Caller.readUntil("\r\n\r\n").starts_with(Row.Answer_));
    Caller.send(Row.Request_);
    Program.signal(SIGTERM);
    Program.signal(SIGHUP);
    Program.signal(SIGINT);
    const std::string Received = Caller.readToEnd();
    INFO(Program.log());
    const std::size_t Begin = Received.find("HTTP/1.1");
    REQUIRE(Begin != std::string::npos);
    const std::string Answer =
        Received.substr(Begin, Received.find("HTTP/1.1", Begin + 1) - Begin);
    CHECK(Answer.starts_with(Row.Answer_));
    // An agent leaves what its worker says during a stop to its successor.
    CHECK(
        (Row.Role_ == "agent" || Answer.find("stopping") == std::string::npos));
    CHECK(Received.find("Connection: close") != std::string::npos);
    CHECK(Program.wait() == 0);
  }
}

// Guards against requests that leave on idle connections as a process stops.
TEST_CASE("a process that stops tells each idle caller that it does",
          "[platform][stop]") {
  for (const ServerRow &Row : servers()) {
    INFO(Row.Name_);
    RealProcess Program(Row.Role_, withDisk(Row));
    const Peer Caller(Row.Ip_, Row.Port_);
    Caller.send(request("GET", "/v1/none"));
    const std::string First = Caller.readUntil("\r\n\r\n");
    REQUIRE(First.starts_with("HTTP/1.1"));
    Program.signal(SIGTERM);
    const std::string Received = Caller.readToEnd();
    INFO(Program.log());
    CHECK(Received.find("HTTP/1.1 503") != std::string::npos);
    CHECK(Received.find("Retry-After") != std::string::npos);
    CHECK(Received.find("Connection: close") != std::string::npos);
    CHECK(Program.wait() == 0);
  }
}

// Guards against signals that kill a process as it starts.
TEST_CASE("a process that is told to stop as it starts stops gracefully",
          "[platform][stop]") {
  struct Row {
    std::string Role_;
    std::string (*Settings_)(const std::string &);
  };
  const std::vector<Row> Rows{{"agent", agentSettings},
                              {"control", controlSettings}};
  int Number = 100;
  for (const Row &Case : Rows) {
    INFO(Case.Role_);
    HeldProcess Program(Case.Role_);
    Program.waitForReader();
    Program.signal(SIGHUP);
    Program.signal(SIGTERM);
    Program.release(Case.Settings_(addressOf(++Number)));
    CHECK(Program.wait() == 0);
    CHECK(Program.log().find("process-stopped") != std::string::npos);
  }
}
