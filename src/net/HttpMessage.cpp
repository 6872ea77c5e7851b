#include "dragonfly/net/HttpMessage.h"

#include <algorithm>

namespace dragonfly::net {
namespace {

char lowered(char Letter) {
  return Letter >= 'A' && Letter <= 'Z' ? static_cast<char>(Letter + 32)
                                        : Letter;
}

std::string_view findHeader(const std::vector<HttpHeader> &Headers,
                            std::string_view Name) {
  const auto Found =
      std::ranges::find_if(Headers, [Name](const HttpHeader &Header) {
        return std::ranges::equal(Header.Name_, Name, {}, lowered, lowered);
      });
  return Found == Headers.end() ? std::string_view{} : Found->Value_;
}

} // namespace

std::string_view HttpRequest::header(std::string_view Name) const {
  return findHeader(Headers_, Name);
}

std::string_view HttpResponse::header(std::string_view Name) const {
  return findHeader(Headers_, Name);
}

} // namespace dragonfly::net
