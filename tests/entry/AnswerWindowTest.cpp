#include "dragonfly/entry/AnswerWindow.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::entry;

namespace {

AnswerWindow::Row row(std::size_t BodyBytes) {
  return {.BodyHash_ = BodyBytes,
          .Answer_ = std::make_shared<const Answer>(
              Answer{.Body_ = std::string(BodyBytes, 'x')})};
}

} // namespace

TEST_CASE("the window drops its oldest answers beyond either bound",
          "[entry][window]") {
  AnswerWindow Window({.MaxAnswers_ = 3, .MaxBytes_ = 100});
  for (const std::string Id : {"a", "b", "c", "d"})
    Window.put({"acme", Id}, row(10));
  CHECK(Window.size() == 3);
  CHECK(Window.find({"acme", "a"}) == nullptr);
  REQUIRE(Window.find({"acme", "d"}) != nullptr);
  Window.put({"acme", "d"}, row(95));
  CHECK(Window.find({"acme", "b"}) == nullptr);
  CHECK(Window.find({"acme", "c"}) == nullptr);
  REQUIRE(Window.find({"acme", "d"}) != nullptr);
  CHECK(Window.find({"acme", "d"})->BodyHash_ == 95);
  Window.put({"acme", "e"}, row(101));
  CHECK(Window.size() == 0);
}

TEST_CASE("a request id belongs to its customer", "[entry][window]") {
  AnswerWindow Window({});
  Window.put({"acme", "a"}, row(1));
  CHECK(Window.find({"other", "a"}) == nullptr);
  CHECK(hashBody("check", "x") != hashBody("checkx", ""));
}
