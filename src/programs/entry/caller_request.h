// A caller's request: its parsed headers, the request forwarded to a target,
// and the response when no target served it.
#ifndef BRONZEBARROW_SRC_PROGRAMS_ENTRY_CALLER_REQUEST_H_
#define BRONZEBARROW_SRC_PROGRAMS_ENTRY_CALLER_REQUEST_H_

#include <cstdint>
#include <string>

#include "bronzebarrow/base.h"
#include "bronzebarrow/net.h"

namespace bronzebarrow::programs {

/** Whether a target executed the request, as reported to the caller. */
enum class CallOutcome { kExecuted, kNotExecuted, kUnknown };

constexpr const char* kPlanHeader = "Bronzebarrow-Plan";
constexpr const char* kPoolHeader = "Bronzebarrow-Pool";
constexpr const char* kDeadlineHeader = "Bronzebarrow-Deadline-Ms";
constexpr const char* kKeyHeader = "Idempotency-Key";
constexpr const char* kOutcomeHeader = "Bronzebarrow-Outcome";
constexpr const char* kRequestIdHeader = "Bronzebarrow-Request-Id";
constexpr const char* kInstanceHeader = "Bronzebarrow-Instance";

struct CallerRequest {
  std::uint64_t m_id = 0;  // Unique within the entry.
  std::string m_plan;
  std::string m_pool;
  std::string m_key;  // Empty for an idempotent request.
  // Hash of plan, pool, method, path and body; detects a key that is reused for
  // a different request.
  std::uint64_t m_digest = 0;
  Instant m_received;
  Instant m_deadline;

  bool HasKey() const { return !m_key.empty(); }

  /**
   * Parses and validates the headers of a request received at `now`.
   * @param max_deadline longest deadline that is admitted
   * @return the request, without m_id; fails when a header is missing or
   * invalid
   */
  static Result<CallerRequest> Parse(const net::HttpRequest& request,
                                     Duration max_deadline, Instant now);
};

/** @return the request to forward to a target. */
net::HttpRequest MakeTargetRequest(const net::HttpRequest& request,
                                   const CallerRequest& call,
                                   const std::string& request_id);

/** @return the error response for a request without a target's response. */
net::HttpResponse MakeRefusal(ErrorCode code, CallOutcome outcome,
                              const std::string& context);

}  // namespace bronzebarrow::programs

template <>
struct bronzebarrow::EnumNames<bronzebarrow::programs::CallOutcome> {
  static constexpr std::array<std::string_view, 3> kNames = {"ran", "not-run",
                                                             "unknown"};
};

#endif  // BRONZEBARROW_SRC_PROGRAMS_ENTRY_CALLER_REQUEST_H_
