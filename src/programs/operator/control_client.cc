// Finds the leader with a short probe, then sends it the request.
#include "programs/operator/control_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <thread>

namespace bronzebarrow::programs {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;

constexpr Duration kCallTimeout = Millis(15'000);
constexpr Duration kConnectTimeout = Millis(500);
// Short, because a suspended member still accepts connections and must not
// delay the search for the leader.
constexpr Duration kProbeTimeout = Millis(500);
constexpr Duration kFindLeaderTimeout = Millis(20'000);
constexpr const char* kProbePath = "/v1/leader";
constexpr Duration kRetryInterval = Millis(100);
constexpr std::size_t kMaxResponseBytes = 64 << 20;

// Whether the request should be retried at another member, or at the same
// member later.
bool ShouldRetry(const ControlResponse& response) {
  return response.m_status ==
             static_cast<unsigned>(http::status::misdirected_request) ||
         response.m_status ==
             static_cast<unsigned>(http::status::service_unavailable);
}

// Runs `io` until the operation that was started on the stream has completed.
void RunPendingOperation(asio::io_context& io) {
  io.restart();
  io.run();
}

}  // namespace

Result<ControlResponse> ControlClient::Call(const std::string& path,
                                            const json::object* body) {
  const Instant deadline = Now() + kFindLeaderTimeout;
  Failure last_failure{ErrorCode::kUnavailable, "no member answered"};
  while (Now() < deadline) {
    for (std::size_t i = 0; i < m_members.size(); ++i) {
      const std::size_t index = (m_last_leader_index + i) % m_members.size();
      const Address& member = m_members[index];
      auto call_result =
          Capture<ControlResponse>([&]() -> Result<ControlResponse> {
            BOOST_LEAF_AUTO(
                probe, CallMember(member, kProbePath, nullptr, kProbeTimeout));
            if (ShouldRetry(probe)) {
              return probe;
            }
            return CallMember(member, path, body, kCallTimeout);
          });
      if (const auto* failure = std::get_if<Failure>(&call_result)) {
        last_failure = *failure;
        continue;
      }
      auto& response = std::get<ControlResponse>(call_result);
      if (!ShouldRetry(response)) {
        m_last_leader_index = index;
        return std::move(response);
      }
      last_failure = {ErrorCode::kUnavailable,
                      member.Text() + " is not leading"};
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
  return Fail(ErrorCode::kUnavailable, last_failure.m_context);
}

Result<ControlResponse> ControlClient::CallMember(const Address& member,
                                                  const std::string& path,
                                                  const json::object* body,
                                                  Duration timeout) {
  asio::io_context io;
  beast::tcp_stream stream(io);
  beast::error_code error;
  const auto store_error = [&error](const beast::error_code& result,
                                    auto&&...) { error = result; };
  stream.expires_after(kConnectTimeout);
  stream.async_connect({asio::ip::make_address(member.m_host), member.m_port},
                       store_error);
  RunPendingOperation(io);
  if (error) {
    return Fail(ErrorCode::kConnectionFailed,
                member.Text() + ": " + error.message());
  }
  http::request<http::string_body> request(
      body == nullptr ? http::verb::get : http::verb::post, path, 11);
  request.set(http::field::host, member.Text());
  if (body != nullptr) {
    request.set(http::field::content_type, "application/json");
    request.body() = json::serialize(*body);
  }
  request.keep_alive(false);
  request.prepare_payload();
  stream.expires_after(timeout);
  http::async_write(stream, request, store_error);
  RunPendingOperation(io);
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxResponseBytes);
  if (!error) {
    http::async_read(stream, buffer, parser, store_error);
    RunPendingOperation(io);
  }
  if (error) {
    return Fail(ErrorCode::kConnectionFailed,
                member.Text() + ": " + error.message());
  }
  ControlResponse response;
  response.m_status = parser.get().result_int();
  const json::value parsed_body = json::parse(parser.get().body(), error);
  if (error || !parsed_body.is_object()) {
    return Fail(ErrorCode::kConnectionFailed,
                member.Text() + ": the answer is not a JSON object");
  }
  response.m_body = parsed_body.as_object();
  return response;
}

}  // namespace bronzebarrow::programs
