#include "dragonfly/net/Endpoint.h"

#include "dragonfly/net/NetError.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace dragonfly::net {

Endpoint Endpoint::make(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    throw NetError(NetFault::BadEndpoint, std::string(Text));
  Endpoint Value{.Address_ = std::string(Text.substr(0, Colon))};
  const std::string_view Port = Text.substr(Colon + 1);
  const auto [End, Fault] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Value.Port_);
  boost::system::error_code BadAddress;
  boost::asio::ip::make_address(Value.Address_, BadAddress);
  if (Fault != std::errc() || End != Port.data() + Port.size() || BadAddress)
    throw NetError(NetFault::BadEndpoint, std::string(Text));
  return Value;
}

bool Endpoint::isValid(std::string_view Text) {
  try {
    make(Text);
    return true;
  } catch (const NetError &) {
    return false;
  }
}

std::string Endpoint::text() const {
  return Address_ + ":" + std::to_string(Port_);
}

} // namespace dragonfly::net
