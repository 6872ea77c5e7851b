#include "net/HttpRefusal.h"

#include <string>

namespace dragonfly::net {

static constexpr std::uint16_t UnavailableStatus = 503;

HttpResponse makeRefusal(std::uint16_t Status, std::string_view Type) {
  return {.Status_ = Status,
          .ContentType_ = "application/problem+json",
          .Headers_ = {{"Dragonfly-Outcome", "refused-not-run"}},
          .Body_ = R"({"type":")" + std::string(Type) +
                   R"(","outcome":"refused-not-run"})"};
}

HttpResponse makeUnavailable(std::string_view Type,
                             std::chrono::seconds RetryAfter) {
  HttpResponse Answer = makeRefusal(UnavailableStatus, Type);
  Answer.Headers_.push_back(
      {"Retry-After", std::to_string(RetryAfter.count())});
  return Answer;
}

HttpResponse makeMemoryRefusal() {
  return makeUnavailable("memory-budget", std::chrono::seconds(1));
}

} // namespace dragonfly::net
