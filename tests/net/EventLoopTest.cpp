#include "dragonfly/net/EventLoop.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <functional>

using namespace dragonfly::net;

// Guards against requests that are cut off because a supervisor repeats
// SIGTERM.
TEST_CASE("a repeated signal to stop changes nothing", "[net][stop]") {
  EventLoop Loop;
  int Stops = 0;
  bool Finished = false;
  std::function<void(int)> Work = [&](int Turns) {
    if (Turns > 0) {
      Loop.post([&, Turns] { Work(Turns - 1); });
      return;
    }
    Finished = true;
    Loop.stop();
  };
  Loop.onTerminate([&] {
    ++Stops;
    raise(SIGTERM);
    raise(SIGINT);
    Work(1000);
  });
  raise(SIGTERM);
  Loop.run();
  CHECK(Stops == 1);
  CHECK(Finished);
}
