// HTTP client of the operators' command line, which finds the leader of the
// control group.
#ifndef BRONZEBARROW_SRC_PROGRAMS_OPERATOR_CONTROL_CLIENT_H_
#define BRONZEBARROW_SRC_PROGRAMS_OPERATOR_CONTROL_CLIENT_H_

#include <boost/json/object.hpp>
#include <string>
#include <vector>

#include "bronzebarrow/base.h"

namespace bronzebarrow::programs {

/** A response of the control group: HTTP status and JSON body. */
struct ControlResponse {
  unsigned m_status = 0;
  boost::json::object m_body;

  bool IsSuccess() const { return m_status >= 200 && m_status < 300; }
};

/** Calls the leader of the control group over HTTP. */
class ControlClient {
 public:
  explicit ControlClient(std::vector<Address> members)
      : m_members(std::move(members)) {}

  /**
   * Sends one request, trying the members in turn until a leader answers. A
   * request may reach the leader twice; change, stop and wave ids make it
   * idempotent.
   * @param body sent with POST; null sends a GET
   * @return the response, or kUnavailable if no leader answers in time
   */
  Result<ControlResponse> Call(const std::string& path,
                               const boost::json::object* body);

 private:
  Result<ControlResponse> CallMember(const Address& member,
                                     const std::string& path,
                                     const boost::json::object* body,
                                     Duration timeout);

  std::vector<Address> m_members;
  // Index of the member that answered last; tried first.
  std::size_t m_last_leader_index = 0;
};

}  // namespace bronzebarrow::programs

#endif  // BRONZEBARROW_SRC_PROGRAMS_OPERATOR_CONTROL_CLIENT_H_
