#include "net/HttpText.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>

#include <array>
#include <cstddef>
#include <memory_resource>
#include <tuple>
#include <utility>

namespace dragonfly::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned HttpVersion = 11;
/// Bytes that a usual head takes.
constexpr std::size_t HeadBytes = 256;
using TextBody = http::span_body<const char>;
using PoolAllocator = std::pmr::polymorphic_allocator<char>;
using PoolFields = http::basic_fields<PoolAllocator>;
template <typename Body> using PoolResponse = http::response<Body, PoolFields>;
template <typename Body> using PoolRequest = http::request<Body, PoolFields>;

/// Memory for the headers of one message; more comes from the heap.
class HeaderPool {
public:
  PoolAllocator allocator() { return PoolAllocator(&Resource_); }

private:
  static constexpr std::size_t StackBytes = 2048;

  std::array<std::byte, StackBytes> Memory_;
  std::pmr::monotonic_buffer_resource Resource_{Memory_.data(), Memory_.size()};
};

/// Returns an empty message whose headers lie in \p Pool.
template <typename Message> Message makeIn(HeaderPool &Pool) {
  return Message(std::piecewise_construct, std::make_tuple(),
                 std::make_tuple(Pool.allocator()));
}

template <typename Buffers>
void appendBuffers(std::string &Out, const Buffers &Source) {
  for (auto It = asio::buffer_sequence_begin(Source);
       It != asio::buffer_sequence_end(Source); ++It) {
    const asio::const_buffer Piece(*It);
    Out.append(static_cast<const char *>(Piece.data()), Piece.size());
  }
}

template <typename Serializer>
void appendAll(std::string &Out, Serializer &Source) {
  beast::error_code Failure;
  while (!Source.is_done() && !Failure)
    Source.next(Failure, [&](beast::error_code &, const auto &Buffers) {
      appendBuffers(Out, Buffers);
      Source.consume(asio::buffer_size(Buffers));
    });
}

template <typename Message>
void setHeaders(Message &Target, const std::vector<HttpHeader> &Headers) {
  for (const HttpHeader &Header : Headers)
    Target.insert(Header.Name_, Header.Value_);
}

template <typename Message>
void fillResponse(Message &Target, const HttpResponse &Source, KeepAlive Kept) {
  Target.version(HttpVersion);
  Target.result(Source.Status_);
  if (!Source.ContentType_.empty())
    Target.set(http::field::content_type, Source.ContentType_);
  setHeaders(Target, Source.Headers_);
  Target.keep_alive(Kept == KeepAlive::Yes);
}

} // namespace

void appendResponse(std::string &Out, const HttpResponse &Response,
                    KeepAlive Kept) {
  HeaderPool Pool;
  auto Message = makeIn<PoolResponse<TextBody>>(Pool);
  fillResponse(Message, Response, Kept);
  Message.body() = TextBody::value_type(Response.Body_);
  Message.content_length(Response.Body_.size());
  http::response_serializer<TextBody, PoolFields> Serializer(Message);
  Out.reserve(Out.size() + HeadBytes + Response.Body_.size());
  appendAll(Out, Serializer);
}

void appendChunkedHead(std::string &Out, const HttpResponse &Head,
                       KeepAlive Kept) {
  HeaderPool Pool;
  auto Message = makeIn<PoolResponse<http::empty_body>>(Pool);
  fillResponse(Message, Head, Kept);
  Message.chunked(true);
  http::response_serializer<http::empty_body, PoolFields> Serializer(Message);
  Serializer.split(true);
  beast::error_code Failure;
  while (!Serializer.is_header_done() && !Failure)
    Serializer.next(Failure, [&](beast::error_code &, const auto &Buffers) {
      appendBuffers(Out, Buffers);
      Serializer.consume(asio::buffer_size(Buffers));
    });
}

void appendChunk(std::string &Out, std::string_view Bytes) {
  if (Bytes.empty())
    appendBuffers(Out, http::make_chunk_last());
  else
    appendBuffers(Out, http::make_chunk(asio::buffer(Bytes)));
}

void appendRequest(std::string &Out, const HttpRequest &Request,
                   std::string_view Host) {
  HeaderPool Pool;
  auto Message = makeIn<PoolRequest<TextBody>>(Pool);
  Message.version(HttpVersion);
  Message.method_string(Request.Method_);
  Message.target(Request.Target_);
  // A request may name a host of its own, behind a shared address.
  if (Request.header("Host").empty())
    Message.set(http::field::host, Host);
  setHeaders(Message, Request.Headers_);
  Message.body() = TextBody::value_type(Request.Body_);
  if (!Request.Body_.empty() || Request.Method_ != "GET")
    Message.content_length(Request.Body_.size());
  http::request_serializer<TextBody, PoolFields> Serializer(Message);
  Out.reserve(Out.size() + HeadBytes + Request.Body_.size());
  appendAll(Out, Serializer);
}

} // namespace dragonfly::net
