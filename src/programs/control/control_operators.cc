// ControlNode: HTTP interface of the operators.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "programs/control/control_node.h"

namespace bronzebarrow::programs {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr Duration kCallTimeout = Millis(5000);
// Time that an apply waits until the new version is in force at every entry;
// after it the response is "pending".
constexpr Duration kAcceptTimeout = Millis(8000);
constexpr Duration kAcceptPollInterval = Millis(5);
constexpr std::uint64_t kDefaultStopDeadlineMs = 120'000;

std::string TextOf(const json::object& body, const char* key) {
  const auto* const value = body.if_contains(key);
  return value != nullptr && value->is_string()
             ? std::string(value->as_string())
             : std::string();
}

std::uint64_t NumberOf(const json::object& body, const char* key,
                       std::uint64_t fallback) {
  const auto* const value = body.if_contains(key);
  return value != nullptr && value->is_int64() && value->as_int64() >= 0
             ? static_cast<std::uint64_t>(value->as_int64())
             : fallback;
}

json::array ToArray(const std::vector<std::string>& texts) {
  json::array array;
  for (const std::string& text : texts) {
    array.emplace_back(text);
  }
  return array;
}

net::HttpResponse JsonResponse(http::status status, const json::object& body) {
  return net::MakeResponse(status, "application/json",
                           json::serialize(body) + "\n");
}

}  // namespace

struct ControlNode::Route {
  const char* m_path;
  asio::awaitable<net::HttpResponse> (ControlNode::*m_handler)(
      const json::object&);
};

const std::vector<ControlNode::Route>& ControlNode::Routes() {
  static const std::vector<Route> routes = {
      {"/v1/apply", &ControlNode::HandleApply},
      {"/v1/stop", &ControlNode::HandleStop},
      {"/v1/stop/cancel", &ControlNode::HandleStopCancel},
      {"/v1/wave", &ControlNode::HandleWaveStart},
      {"/v1/wave/update", &ControlNode::HandleWaveUpdate},
  };
  return routes;
}

asio::awaitable<net::HttpResponse> ControlNode::Handle(
    const net::HttpRequest& request) {
  co_return co_await asio::co_spawn(m_strand, HandleOnStrand(request),
                                    asio::use_awaitable);
}

asio::awaitable<net::HttpResponse> ControlNode::HandleOnStrand(
    net::HttpRequest request) {
  const std::string path(request.target());
  if (request.method() == http::verb::get) {
    if (path == "/healthz") {
      co_return net::MakeResponse(http::status::ok, "text/plain", "ok\n");
    }
    if (path == "/metrics") {
      co_return net::MakeResponse(http::status::ok, "text/plain; version=0.0.4",
                                  MetricsText());
    }
    if (path == "/v1/leader") {
      co_return m_core.IsReadyLeader()
          ? JsonResponse(http::status::ok, json::object())
          : MakeNotLeaderResponse();
    }
    if (path == "/v1/status") {
      co_return co_await HandleStatus();
    }
  }
  for (const Route& route : Routes()) {
    if (path != route.m_path) {
      continue;
    }
    if (request.method() != http::verb::post) {
      co_return net::MakeErrorResponse(http::status::method_not_allowed,
                                       ErrorCode::kRequestMalformed,
                                       "use POST");
    }
    boost::system::error_code error;
    const json::value body = json::parse(request.body(), error);
    if (error || !body.is_object()) {
      co_return net::MakeErrorResponse(http::status::bad_request,
                                       ErrorCode::kRequestMalformed,
                                       "the body is not a JSON object");
    }
    if (!m_core.IsReadyLeader()) {
      co_return MakeNotLeaderResponse();
    }
    co_return co_await (this->*route.m_handler)(body.as_object());
  }
  co_return net::MakeErrorResponse(http::status::not_found,
                                   ErrorCode::kRequestMalformed, path);
}

net::HttpResponse ControlNode::MakeNotLeaderResponse() const {
  const std::string leader = m_core.replica().leader()
                                 ? m_core.replica().leader()->m_name
                                 : std::string();
  return net::MakeErrorResponse(http::status::misdirected_request,
                                leader.empty() || leader == m_settings.m_name
                                    ? ErrorCode::kUnavailable
                                    : ErrorCode::kNotLeader,
                                leader);
}

asio::awaitable<ControlNode::CommandResult> ControlNode::ProposeAndWait(
    wire::CommandBodyUnion body) {
  const auto result = std::make_shared<CommandResult>();
  const auto wait_timer = std::make_shared<asio::steady_timer>(m_strand);
  wait_timer->expires_after(kCallTimeout);
  const bool proposed =
      m_core.Propose(std::move(body), CurrentMoment(),
                     [result, wait_timer](const control::ApplyResult* applied) {
                       if (applied != nullptr) {
                         result->m_is_applied = true;
                         result->m_result = *applied;
                       }
                       wait_timer->cancel();
                     });
  if (proposed) {
    Flush();
    if (!result->m_is_applied) {
      boost::system::error_code ignored;
      co_await wait_timer->async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
    }
  }
  co_return *result;
}

asio::awaitable<bool> ControlNode::ConfirmLeadership() {
  const auto is_confirmed = std::make_shared<bool>(false);
  const auto done = std::make_shared<bool>(false);
  const auto wait_timer = std::make_shared<asio::steady_timer>(m_strand);
  wait_timer->expires_after(kCallTimeout);
  m_core.RequestLeadershipConfirmation(
      CurrentMoment(), [is_confirmed, done, wait_timer](bool ok) {
        *is_confirmed = ok;
        *done = true;
        wait_timer->cancel();
      });
  Flush();
  if (!*done) {
    boost::system::error_code ignored;
    co_await wait_timer->async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return *is_confirmed;
}

net::HttpResponse ControlNode::MakeOutcomeResponse(
    const CommandResult& result) const {
  if (!result.m_is_applied) {
    return net::MakeErrorResponse(
        http::status::service_unavailable, ErrorCode::kUnavailable,
        "the outcome is not known; resend with the same id");
  }
  const fleet::Outcome& outcome = result.m_result.m_outcome;
  if (!outcome.ok()) {
    return net::MakeErrorResponse(http::status::conflict, outcome.m_code,
                                  outcome.m_context);
  }
  json::object body;
  body["state"] = "committed";
  return JsonResponse(http::status::ok, body);
}

asio::awaitable<net::HttpResponse> ControlNode::HandleApply(
    const json::object& body) {
  wire::ApplyListsT change;
  change.change_id = TextOf(body, "change_id");
  change.operator_name = TextOf(body, "operator");
  change.plans = TextOf(body, "plans");
  change.uses = TextOf(body, "uses");
  change.expect_version = NumberOf(body, "expect_version", 0);
  const std::string change_id = change.change_id;
  wire::CommandBodyUnion command;
  command.Set(std::move(change));
  const CommandResult result = co_await ProposeAndWait(std::move(command));
  if (!result.m_is_applied || !result.m_result.m_outcome.ok()) {
    EventLine(Event::kChangeRefused)
        .Field("change", change_id)
        .Field("code", result.m_is_applied ? result.m_result.m_outcome.m_code
                                           : ErrorCode::kUnavailable);
    co_return MakeOutcomeResponse(result);
  }
  const std::uint64_t version = result.m_result.m_config_version;
  const Instant deadline = Now() + kAcceptTimeout;
  asio::steady_timer poll_timer(m_strand);
  std::vector<std::string> waiting_for = {"leader"};
  while (Now() < deadline && m_core.IsReadyLeader()) {
    waiting_for = m_core.lease_keeper()->EntriesNotInForce(version, Now());
    if (waiting_for.empty()) {
      break;
    }
    boost::system::error_code ignored;
    poll_timer.expires_after(kAcceptPollInterval);
    co_await poll_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  json::object response_body;
  response_body["state"] = waiting_for.empty() ? "accepted" : "pending";
  response_body["version"] = version;
  response_body["change_id"] = change_id;
  response_body["waiting_for"] = ToArray(waiting_for);
  EventLine(Event::kChangeAccepted)
      .Field("change", change_id)
      .Field("version", version)
      .Field("state", waiting_for.empty() ? "accepted" : "pending");
  co_return JsonResponse(
      waiting_for.empty() ? http::status::ok : http::status::accepted,
      response_body);
}

asio::awaitable<net::HttpResponse> ControlNode::HandleStop(
    const json::object& body) {
  wire::AnnounceStopT stop;
  stop.stop_id = TextOf(body, "stop_id");
  stop.instance = TextOf(body, "instance");
  stop.deadline_ms = NumberOf(body, "deadline_ms", kDefaultStopDeadlineMs);
  stop.reason = TextOf(body, "reason") == "drill" ? wire::StopReason::Drill
                                                  : wire::StopReason::Planned;
  if (!IsName(stop.stop_id)) {
    co_return net::MakeErrorResponse(
        http::status::bad_request, ErrorCode::kUsage, "stop_id is not a name");
  }
  const std::string stop_id = stop.stop_id;
  const std::string instance = stop.instance;
  wire::CommandBodyUnion command;
  command.Set(std::move(stop));
  const CommandResult result = co_await ProposeAndWait(std::move(command));
  const bool announced = result.m_is_applied && result.m_result.m_outcome.ok();
  EventLine(announced ? Event::kStopAnnounced : Event::kStopRefused)
      .Field("stop", stop_id)
      .Field("instance", instance)
      .Field("code", result.m_is_applied ? result.m_result.m_outcome.m_code
                                         : ErrorCode::kUnavailable)
      .Field("context", result.m_result.m_outcome.m_context);
  co_return MakeOutcomeResponse(result);
}

asio::awaitable<net::HttpResponse> ControlNode::HandleStopCancel(
    const json::object& body) {
  wire::UpdateStopT update;
  update.stop_id = TextOf(body, "stop_id");
  update.kind = wire::StopUpdateKind::Cancel;
  wire::CommandBodyUnion command;
  command.Set(std::move(update));
  co_return MakeOutcomeResponse(co_await ProposeAndWait(std::move(command)));
}

asio::awaitable<net::HttpResponse> ControlNode::HandleWaveStart(
    const json::object& body) {
  wire::StartWaveT wave;
  wave.wave_id = TextOf(body, "wave_id");
  wave.pool = TextOf(body, "pool");
  wave.max_width =
      static_cast<std::uint32_t>(NumberOf(body, "max_width", 4) & 0xFFFF);
  if (!IsName(wave.wave_id)) {
    co_return net::MakeErrorResponse(
        http::status::bad_request, ErrorCode::kUsage, "wave_id is not a name");
  }
  EventLine(Event::kWaveStarted)
      .Field("wave", wave.wave_id)
      .Field("pool", wave.pool);
  wire::CommandBodyUnion command;
  command.Set(std::move(wave));
  co_return MakeOutcomeResponse(co_await ProposeAndWait(std::move(command)));
}

asio::awaitable<net::HttpResponse> ControlNode::HandleWaveUpdate(
    const json::object& body) {
  const std::string action = TextOf(body, "action");
  if (action != "halt" && action != "resume") {
    co_return net::MakeErrorResponse(http::status::bad_request,
                                     ErrorCode::kUsage,
                                     "action is neither halt nor resume");
  }
  wire::UpdateWaveT update;
  update.wave_id = TextOf(body, "wave_id");
  update.kind = action == "halt" ? wire::WaveUpdateKind::Halt
                                 : wire::WaveUpdateKind::Resume;
  wire::CommandBodyUnion command;
  command.Set(std::move(update));
  co_return MakeOutcomeResponse(co_await ProposeAndWait(std::move(command)));
}

asio::awaitable<net::HttpResponse> ControlNode::HandleStatus() {
  const bool is_confirmed = co_await ConfirmLeadership();
  if (!is_confirmed || !m_core.IsReadyLeader()) {
    co_return MakeNotLeaderResponse();
  }
  co_return JsonResponse(http::status::ok, StatusJson(Now()));
}

}  // namespace bronzebarrow::programs
