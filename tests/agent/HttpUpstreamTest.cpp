/// What an agent reads of its worker's bodies, over real connections.
#include "agent/HttpUpstream.h"

#include "dragonfly/base/Log.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/HttpServer.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace dragonfly::agent {

// Guards against a VM that never serves: one odd row in the list of its
// worker's tasks hid the list, so that the agent's ledger was never ready.
TEST_CASE("an odd row in a worker's list of tasks harms no other row",
          "[agent][upstream]") {
  configureLog({.Sink_ = [](std::string_view) {}});
  const std::string Deep = std::string(10000, '[') + std::string(10000, ']');
  const std::vector<std::string> OddRows{
      Deep,
      "7",
      "{}",
      "nonsense",
      "\"\xff\"",
      R"({"task":1e9999999999,"epoch":1})",
      R"({"task":-1,"epoch":1,"state":"running"})",
      R"({"task":18446744073709551616,"epoch":1,"state":"running"})",
      R"({"task":2,"epoch":"1","state":"running"})",
      R"({"task":2,"epoch":1,"state":"running","status":70000})",
      R"({"task":2,"epoch":1,"milli_processors":-1})",
      R"({"task":2,"epoch":1,"milli_processors":1e308})"};
  Clock::pause(TimePoint(std::chrono::seconds(100)));
  for (const std::string &Row : OddRows) {
    INFO(Row.substr(0, 80));
    net::EventLoop Loop;
    const net::HttpServer Worker(
        Loop, {.Listen_ = {.Address_ = "127.0.0.1", .Port_ = 0},
               .OnRequest_ = [&Row](const net::HttpRequest &,
                                    const net::HttpReplier &To) {
                 To.reply({.Body_ = R"({"tasks":[)" + Row +
                                    R"(,{"task":9,"epoch":4,)"
                                    R"("state":"running"}]})"});
               }});
    HttpUpstream Upstream(Loop, Worker.endpoint(), 1);
    std::optional<std::vector<WorkerTask>> Listed;
    bool HasEnded = false;
    Upstream.hooks().List_([&](std::optional<std::vector<WorkerTask>> Tasks) {
      Listed = std::move(Tasks);
      HasEnded = true;
    });
    constexpr int Polls = 2000;
    for (int I = 0; I < Polls && !HasEnded; ++I)
      Loop.poll();
    REQUIRE(Listed);
    REQUIRE(Listed->size() == 1);
    CHECK(Listed->front().Task_ == TaskId{9});
    CHECK(Listed->front().Epoch_ == Epoch{4});
  }
  Clock::resume();
}

} // namespace dragonfly::agent
