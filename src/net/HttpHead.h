/// What the head of a request must hold so that everyone on its way agrees
/// where it ends and whom it is for.
#ifndef DRAGONFLY_SRC_NET_HTTPHEAD_H
#define DRAGONFLY_SRC_NET_HTTPHEAD_H

#include "net/HttpRefusal.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

#include <optional>

namespace dragonfly::net {

inline constexpr unsigned Http11 = 11;

/// Returns the refusal of a head whose length or host another server on the way
/// may read in another way, or nothing. \p Head is a Beast message.
template <typename Message>
std::optional<HttpResponse> refuseHead(const Message &Head) {
  using boost::beast::http::field;
  constexpr std::uint16_t BadRequest = 400;
  constexpr std::uint16_t NotImplemented = 501;
  const auto Hosts = Head.count(field::host);
  if (Hosts > 1 || (Hosts == 0 && Head.version() >= Http11))
    return makeRefusal(BadRequest, "not-one-host");
  const auto Codings = Head.count(field::transfer_encoding);
  if (Codings == 0)
    return std::nullopt;
  if (Codings > 1 ||
      !boost::beast::iequals(Head[field::transfer_encoding], "chunked"))
    return makeRefusal(NotImplemented, "unknown-transfer-coding");
  if (Head.version() < Http11)
    return makeRefusal(BadRequest, "transfer-coding-before-http-1.1");
  return std::nullopt;
}

/// Returns whether the caller waits for an interim answer before it sends the
/// body.
template <typename Message> bool expectsContinue(const Message &Head) {
  return Head.version() >= Http11 &&
         boost::beast::iequals(Head[boost::beast::http::field::expect],
                               "100-continue");
}

} // namespace dragonfly::net

#endif // DRAGONFLY_SRC_NET_HTTPHEAD_H
