/// Operators' calls at a process that does not lead, over a narrow link.
#include "platform/OperatorServer.h"
#include "platform/HttpStatus.h"

#include "dragonfly/base/Log.h"
#include "dragonfly/net/FrameServer.h"
#include "dragonfly/net/HttpClient.h"
#include "net/HttpPeers.h"
#include "net/PausedLoop.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

namespace dragonfly::platform {
namespace {

using namespace std::chrono_literals;

/// Longest wait of an operator for an acknowledgement in steady state.
constexpr Duration AckTimeout = 4s;
constexpr std::size_t LargeBytes = 280'000;
/// Time that `LargeBytes` take on a link of 2 Mbit/s.
constexpr Duration TransferTime = 1120ms;
constexpr std::uint16_t OperatorPort = 8166;
const std::string LeaderIp = "127.201.5.1";
const std::string OtherIp = "127.201.5.2";

std::string configuration(std::size_t Bytes) {
  std::string Text =
      R"({"Version":7,"Routes":[],"Services":[{"Name":"s"}],"Limits":{},"Padding":")";
  return Text + std::string(Bytes, 'x') + "\"}";
}

SiteSettings otherSite() {
  return parseSettings("Node=c\nIp=" + OtherIp +
                       "\nZone=z\nInternalPorts=7720,7735\nSeeds=" + LeaderIp +
                       ":8166\nBind.Control=" + OtherIp + ":8166\n");
}

/// A process that does not lead. What the leader and it send each other takes
/// `TransferTime` where it holds a large configuration; operators reach the
/// leader over a wide link.
class NarrowProcess {
public:
  explicit NarrowProcess(bool HasLeader = true) {
    configureLog({.Sink_ = [](std::string_view) {}});
    if (HasLeader)
      Frames_.emplace(Loop_,
                      net::FrameServerOptions{
                          .Listen_ = {.Address_ = LeaderIp, .Port_ = 7720},
                          .Self_ = {1},
                          .OnMessage_ = [this](const wire::Message &Value,
                                               const net::FrameReplier &To) {
                            answer(Value, To);
                          }});
    run(2s);
  }

  void run(Duration For) {
    constexpr Duration Step = 5ms;
    for (Duration Past{}; Past < For; Past += Step) {
      net::pollSome(Loop_);
      Clock::advance(Step);
    }
  }

  /// Calls as an operator does, who follows redirects, and returns the status.
  std::uint16_t call(const std::string &Method, const std::string &Body) {
    net::Endpoint At{.Address_ = OtherIp, .Port_ = OperatorPort};
    for (int Follows = 0;; ++Follows) {
      const net::HttpResponse Response = callOnce(At, Method, Body);
      if (Response.Status_ != TemporaryRedirect || Follows == 2)
        return Response.Status_;
      const std::string_view Location = Response.header("Location");
      REQUIRE(Location == "http://127.201.5.1:8166/v1/config");
      At.Address_ = LeaderIp;
    }
  }

  /// Calls the process itself, without following redirects.
  net::HttpResponse callOther(const std::string &Method,
                              const std::string &Body) {
    return callOnce({.Address_ = OtherIp, .Port_ = OperatorPort}, Method, Body);
  }

  net::EventLoop &loop() { return Loop_; }
  int forwarded() const { return Forwarded_; }
  std::string metrics() const { return Counts_->text(); }

private:
  net::HttpResponse callOnce(const net::Endpoint &At, const std::string &Method,
                             const std::string &Body) {
    net::HttpClient Caller(Loop_, {.Peer_ = At});
    std::optional<net::HttpResponse> Response;
    Caller.request({.Method_ = Method,
                    .Target_ = "/v1/config",
                    .Headers_ = {},
                    .Body_ = Body},
                   AckTimeout, [&](net::HttpResult Result) {
                     Response = std::move(Result.Response_);
                   });
    for (const TimePoint Began = Clock::now();
         !Response && Clock::now() - Began <= AckTimeout;)
      run(5ms);
    REQUIRE(Response);
    return *Response;
  }

  void answer(const wire::Message &Value, const net::FrameReplier &To) {
    if (std::holds_alternative<wire::FetchGroup>(Value)) {
      const std::string Self = LeaderIp + ":7720";
      To.answer(wire::Group{.Rows_ = {{.Id_ = {1}, .Address_ = Self}},
                            .Leader_ = Self});
      return;
    }
    ++Forwarded_;
    const auto *Change = std::get_if<wire::PutConfiguration>(&Value);
    if (Change != nullptr && Change->Value_.Document_.size() < LargeBytes) {
      To.answer(wire::PutConfigurationAck{Change->Value_.Version_});
      return;
    }
    // A change carries the queues beside the document.
    Delays_ = Loop_.after(
        Change != nullptr ? 2 * TransferTime : TransferTime,
        [To, IsChange = Change != nullptr] {
          if (IsChange)
            To.answer(wire::PutConfigurationAck{7});
          else
            To.answer(wire::CurrentConfiguration{
                .Version_ = 7, .Document_ = configuration(LargeBytes)});
        });
  }

  net::PausedClock Clock_;
  net::EventLoop Loop_;
  std::optional<net::FrameServer> Frames_;
  net::Timer Delays_;
  int Forwarded_ = 0;
  /// The leader's own interface for operators.
  net::HttpServer AtLeader_{
      Loop_,
      {.Listen_ = {.Address_ = LeaderIp, .Port_ = OperatorPort},
       .OnRequest_ = [](const net::HttpRequest &, const net::HttpReplier &To) {
         To.reply({.Body_ = "{}"});
       }}};
  link::LeaderClient Leader_{
      Loop_, {.Self_ = {2}, .Seeds_ = otherSite().seedAddresses()}};
  std::shared_ptr<Metrics> Counts_ = std::make_shared<Metrics>();
  OperatorServer Server_{Loop_, Leader_, otherSite(), Counts_};
};

} // namespace

// Guards against time limits that do not know how many bytes they wait for: a
// process on a narrow link answered no read of a large configuration, and no
// change of it.
TEST_CASE("a large configuration is read and changed by way of any process",
          "[platform][operator]") {
  NarrowProcess Process;
  CHECK(Process.call("GET", "") == Ok);
  CHECK(Process.call("PUT", configuration(LargeBytes)) == Ok);
}

TEST_CASE("an operator is redirected before a large body has arrived",
          "[platform][operator]") {
  NarrowProcess Process;
  net::RawCaller Caller(Process.loop(),
                        {.Address_ = OtherIp, .Port_ = OperatorPort});
  const std::string Body = configuration(LargeBytes);
  Caller.write("PUT /v1/config HTTP/1.1\r\nHost: h\r\nContent-Length: " +
               std::to_string(Body.size()) + "\r\n\r\n" + Body.substr(0, 1000));
  Process.run(50ms);
  CHECK(Caller.received().starts_with("HTTP/1.1 307 "));
  // The rest takes longer than the connection lingers; it is not reset.
  for (std::size_t Sent = 1000; Sent < Body.size(); Sent += 30'000) {
    Caller.write(std::string_view(Body).substr(Sent, 30'000));
    Process.run(500ms);
  }
  CHECK(Caller.received().ends_with("\"}"));
  CHECK(Process.forwarded() == 0);
}

TEST_CASE("a small change is passed on", "[platform][operator]") {
  NarrowProcess Process;
  CHECK(Process.call("PUT", configuration(100)) == Ok);
  CHECK(Process.forwarded() == 1);
}

// Guards against a refused change whose reason nobody can look up: the answer
// may be lost on its way.
TEST_CASE("a refused change names its field in the answer, the log and a "
          "counter",
          "[platform][operator]") {
  NarrowProcess Process;
  std::string Lines;
  configureLog({.Sink_ = [&Lines](std::string_view Line) { Lines += Line; }});
  const auto Response = Process.callOther(
      "PUT", R"({"Version":9,"Routes":[{"Name":"r"}],"Services":[]})");
  configureLog({.Sink_ = [](std::string_view) {}});
  CHECK(Response.Status_ == BadRequest);
  CHECK(Response.Body_ == R"({"Error":"missing-field: Routes[0].Host"})");
  CHECK(Lines.find("message-rejected") != std::string::npos);
  CHECK(Lines.find(R"("version":"9")") != std::string::npos);
  CHECK(Lines.find("missing-field: Routes[0].Host") != std::string::npos);
  CHECK(
      Process.metrics().find(
          R"(bodies_rejected_total{label="configuration/missing-field"} 1)") !=
      std::string::npos);
  CHECK(Process.forwarded() == 0);
}

// Guards against a verdict that depends on the daemon, or on when a copy
// arrives: an operator that is refused once gives up, one that isn't sends on.
TEST_CASE("an invalid change is refused whoever leads and whatever is in force",
          "[platform][operator]") {
  const std::string Body =
      R"({"Version":1,"Routes":[],"Services":[],"Limits":{"MaxBodyBytes":"lots"}})";
  for (const bool HasLeader : {true, false}) {
    NarrowProcess Process(HasLeader);
    for (int Copy = 0; Copy < 2; ++Copy) {
      // The leader holds version 7.
      const net::HttpResponse Response = Process.callOther("PUT", Body);
      CHECK(Response.Status_ == BadRequest);
      CHECK(Response.Body_ == R"({"Error":"wrong-type: Limits.MaxBodyBytes"})");
    }
    CHECK(Process.forwarded() == 0);
  }
}

TEST_CASE("without a leader an operator is told to ask elsewhere",
          "[platform][operator]") {
  NarrowProcess Process(false);
  CHECK(Process.call("GET", "") == Unavailable);
}

} // namespace dragonfly::platform
