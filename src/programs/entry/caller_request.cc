// Parsing of callers' requests, forwarded requests and error responses.
#include "programs/entry/caller_request.h"

#include <xxhash.h>

#include <boost/beast/http.hpp>
#include <utility>

namespace bronzebarrow::programs {
namespace {

namespace http = boost::beast::http;

bool IsIdempotent(http::verb method) {
  return method == http::verb::get || method == http::verb::head ||
         method == http::verb::put || method == http::verb::delete_ ||
         method == http::verb::options;
}

std::string HeaderOf(const net::HttpRequest& request, const char* name) {
  const auto value = request[name];
  return {value.begin(), value.end()};
}

std::uint64_t DigestOf(const net::HttpRequest& request,
                       const CallerRequest& call) {
  const std::string head = call.m_plan + '\n' + call.m_pool + '\n' +
                           std::string(request.method_string()) + '\n' +
                           std::string(request.target()) + '\n';
  const std::uint64_t seed = XXH3_64bits(head.data(), head.size());
  return XXH3_64bits_withSeed(request.body().data(), request.body().size(),
                              seed);
}

http::status StatusOf(ErrorCode code, CallOutcome outcome) {
  if (outcome == CallOutcome::kUnknown) {
    return http::status::gateway_timeout;
  }
  switch (code) {
    case ErrorCode::kPlanMissing:
    case ErrorCode::kDeadlineInvalid:
    case ErrorCode::kKeyMissing:
    case ErrorCode::kKeyInvalid:
    case ErrorCode::kRequestMalformed:
      return http::status::bad_request;
    case ErrorCode::kPlanUnknown:
    case ErrorCode::kPoolUnknown:
      return http::status::forbidden;
    case ErrorCode::kKeyReused:
      return http::status::unprocessable_entity;
    case ErrorCode::kQuotaExhausted:
    case ErrorCode::kQueueFull:
      return http::status::too_many_requests;
    default:
      return http::status::service_unavailable;
  }
}

}  // namespace

Result<CallerRequest> CallerRequest::Parse(const net::HttpRequest& request,
                                           Duration max_deadline, Instant now) {
  CallerRequest call;
  call.m_received = now;
  call.m_plan = HeaderOf(request, kPlanHeader);
  call.m_pool = HeaderOf(request, kPoolHeader);
  call.m_key = HeaderOf(request, kKeyHeader);
  if (call.m_plan.empty()) {
    return Fail(ErrorCode::kPlanMissing, kPlanHeader);
  }
  if (!IsName(call.m_plan) || (!call.m_pool.empty() && !IsName(call.m_pool))) {
    return Fail(ErrorCode::kPlanUnknown, call.m_plan);
  }
  const std::string deadline = HeaderOf(request, kDeadlineHeader);
  const auto parsed =
      Capture<std::int64_t>([&] { return ParseInteger(deadline); });
  const auto* const millis = std::get_if<std::int64_t>(&parsed);
  const auto max_millis =
      std::chrono::duration_cast<Millis>(max_deadline).count();
  if (millis == nullptr || *millis <= 0 || *millis > max_millis) {
    return Fail(ErrorCode::kDeadlineInvalid, std::string(kDeadlineHeader) +
                                                 " must be from 1 to " +
                                                 std::to_string(max_millis));
  }
  call.m_deadline = now + Millis(*millis);
  if (!IsIdempotent(request.method()) && !call.HasKey()) {
    return Fail(ErrorCode::kKeyMissing, kKeyHeader);
  }
  call.m_digest = DigestOf(request, call);
  return call;
}

net::HttpRequest MakeTargetRequest(const net::HttpRequest& request,
                                   const CallerRequest& call,
                                   const std::string& request_id) {
  net::HttpRequest forwarded(request.method(), request.target(), 11);
  forwarded.set(http::field::host, "target");
  forwarded.set(kPlanHeader, call.m_plan);
  forwarded.set(kRequestIdHeader, request_id);
  if (call.HasKey()) {
    forwarded.set(kKeyHeader, call.m_key);
  }
  const auto content_type = request[http::field::content_type];
  if (!content_type.empty()) {
    forwarded.set(http::field::content_type, content_type);
  }
  forwarded.body() = request.body();
  forwarded.keep_alive(true);
  forwarded.prepare_payload();
  return forwarded;
}

net::HttpResponse MakeRefusal(ErrorCode code, CallOutcome outcome,
                              const std::string& context) {
  net::HttpResponse response =
      net::MakeErrorResponse(StatusOf(code, outcome), code, context);
  response.set(kOutcomeHeader, NameOf(outcome));
  return response;
}

}  // namespace bronzebarrow::programs
