#include "net/HttpText.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>

namespace dragonfly::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned HttpVersion = 11;
using TextBody = http::span_body<const char>;

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
  http::response<TextBody> Message;
  fillResponse(Message, Response, Kept);
  Message.body() = TextBody::value_type(Response.Body_);
  Message.content_length(Response.Body_.size());
  http::response_serializer<TextBody> Serializer(Message);
  appendAll(Out, Serializer);
}

void appendChunkedHead(std::string &Out, const HttpResponse &Head,
                       KeepAlive Kept) {
  http::response<http::empty_body> Message;
  fillResponse(Message, Head, Kept);
  Message.chunked(true);
  http::response_serializer<http::empty_body> Serializer(Message);
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
  http::request<TextBody> Message;
  Message.version(HttpVersion);
  Message.method_string(Request.Method_);
  Message.target(Request.Target_);
  Message.set(http::field::host, Host);
  setHeaders(Message, Request.Headers_);
  Message.body() = TextBody::value_type(Request.Body_);
  if (!Request.Body_.empty() || Request.Method_ != "GET")
    Message.content_length(Request.Body_.size());
  http::request_serializer<TextBody> Serializer(Message);
  appendAll(Out, Serializer);
}

} // namespace dragonfly::net
