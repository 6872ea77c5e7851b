/// HTTP requests and responses as plain values.
#ifndef DRAGONFLY_NET_HTTPMESSAGE_H
#define DRAGONFLY_NET_HTTPMESSAGE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dragonfly::net {

struct HttpHeader {
  std::string Name_;
  std::string Value_;
};

struct HttpRequest {
  std::string Method_ = "GET";
  /// Path and query, such as "/v1/requests?wait=1".
  std::string Target_ = "/";
  std::vector<HttpHeader> Headers_;
  std::string Body_;

  /// Returns the first header called \p Name, case ignored, or empty.
  std::string_view header(std::string_view Name) const;
};

struct HttpResponse {
  std::uint16_t Status_ = 200;
  std::string ContentType_ = "application/json";
  std::vector<HttpHeader> Headers_;
  std::string Body_;

  std::string_view header(std::string_view Name) const;
};

} // namespace dragonfly::net

#endif // DRAGONFLY_NET_HTTPMESSAGE_H
