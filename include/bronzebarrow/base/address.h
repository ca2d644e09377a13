// A numeric IPv4 address with a TCP port.
#ifndef BRONZEBARROW_BASE_ADDRESS_H_
#define BRONZEBARROW_BASE_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <string>

#include "bronzebarrow/base/failure.h"

namespace bronzebarrow {

struct Address {
  std::string m_host;
  std::uint16_t m_port = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted <=>.
  auto operator<=>(const Address&) const = default;

  /** @return "host:port". */
  std::string Text() const;

  /**
   * Parses "host:port" with a numeric IPv4 host.
   * @return the address, or kAddressInvalid; kUsage when the port is not an
   * integer.
   */
  static Result<Address> Parse(const std::string& text);
};

}  // namespace bronzebarrow

#endif  // BRONZEBARROW_BASE_ADDRESS_H_
