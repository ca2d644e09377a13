// Encoding of the HTTP calls to runners, to the machines' platform and to the
// adviser. Their content is decided elsewhere; an implementation only
// translates it to and from the formats that these services use.
#ifndef BRONZEBARROW_NODE_PROTOCOL_CODEC_H_
#define BRONZEBARROW_NODE_PROTOCOL_CODEC_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bronzebarrow/fleet/machine.h"
#include "bronzebarrow/net.h"
#include "bronzebarrow/runs.h"

namespace bronzebarrow::node {

/** The adviser's answer for a step: a ticket per runner that may run it. */
struct Advice {
  std::map<std::string, std::string> m_tickets;  // By runner.
  std::uint32_t m_valid_ms = 0;
};

class ProtocolCodec {
 public:
  virtual ~ProtocolCodec() = default;

  virtual net::HttpRequest Encode(const runs::RunnerCall& call) const = 0;
  /** @return the runner's answer; kInvalid when it cannot be decoded. */
  virtual runs::RunnerAnswer Decode(
      const runs::RunnerCall& call,
      const net::HttpResponse& response) const = 0;

  /** @param page token of the page to read; empty for the first page */
  virtual net::HttpRequest EncodeInventoryRequest(
      const std::string& page) const = 0;
  /**
   * Appends the machines of one page of the machine inventory.
   * @return the token of the next page, empty after the last page; nothing when
   * the response cannot be decoded
   */
  virtual std::optional<std::string> DecodeInventoryPage(
      const net::HttpResponse& response,
      std::vector<fleet::Machine>& machines) const = 0;
  virtual net::HttpRequest Encode(
      const fleet::MachineRequest& request) const = 0;
  virtual fleet::MachineResponse Decode(
      const net::HttpResponse& response) const = 0;

  virtual net::HttpRequest EncodeAdvice(
      const std::string& step,
      const std::vector<std::string>& runners) const = 0;
  /** @return nothing when the response cannot be decoded. */
  virtual std::optional<Advice> DecodeAdvice(
      const net::HttpResponse& response) const = 0;
};

}  // namespace bronzebarrow::node

#endif  // BRONZEBARROW_NODE_PROTOCOL_CODEC_H_
