// Parsing and formatting of addresses.
#include "bronzebarrow/base/address.h"

#include <boost/asio/ip/address_v4.hpp>

#include "bronzebarrow/base/settings.h"

namespace bronzebarrow {

std::string Address::Text() const {
  return m_host + ":" + std::to_string(m_port);
}

Result<Address> Address::Parse(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return Fail(ErrorCode::kAddressInvalid, text);
  }
  Address address;
  address.m_host = text.substr(0, colon);
  boost::system::error_code error;
  boost::asio::ip::make_address_v4(address.m_host, error);
  if (error) {
    return Fail(ErrorCode::kAddressInvalid, text);
  }
  BOOST_LEAF_AUTO(port, ParseInteger(text.substr(colon + 1)));
  if (port < 0 || port > 65535) {
    return Fail(ErrorCode::kAddressInvalid, text);
  }
  address.m_port = static_cast<std::uint16_t>(port);
  return address;
}

}  // namespace bronzebarrow
