/// Turns HTTP messages into bytes through Boost.Beast's serializers.
#ifndef DRAGONFLY_SRC_NET_HTTPTEXT_H
#define DRAGONFLY_SRC_NET_HTTPTEXT_H

#include "dragonfly/net/HttpMessage.h"

#include <string>
#include <string_view>

namespace dragonfly::net {

/// Whether the connection stays open behind a message.
enum class KeepAlive : std::uint8_t { No, Yes };

/// Appends a whole response with its length to \p Out.
void appendResponse(std::string &Out, const HttpResponse &Response,
                    KeepAlive Kept);

/// Appends the head of a chunked response to \p Out.
void appendChunkedHead(std::string &Out, const HttpResponse &Head,
                       KeepAlive Kept);

/// Appends one chunk, or the last one where \p Bytes is empty.
void appendChunk(std::string &Out, std::string_view Bytes);

/// Appends a whole request to \p Out.
void appendRequest(std::string &Out, const HttpRequest &Request,
                   std::string_view Host);

} // namespace dragonfly::net

#endif // DRAGONFLY_SRC_NET_HTTPTEXT_H
