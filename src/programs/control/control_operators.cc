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
constexpr Duration kAcceptWait = Millis(8000);
constexpr Duration kAcceptPoll = Millis(5);
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

net::HttpResponse Json(http::status status, const json::object& body) {
  return net::MakeResponse(status, "application/json",
                           json::serialize(body) + "\n");
}

}  // namespace

struct ControlNode::Route {
  const char* m_path;
  asio::awaitable<net::HttpResponse> (ControlNode::*m_handle)(
      const json::object&);
};

const std::vector<ControlNode::Route>& ControlNode::Routes() {
  static const std::vector<Route> routes = {
      {"/v1/apply", &ControlNode::HandleApply},
      {"/v1/stop", &ControlNode::HandleStop},
      {"/v1/stop/cancel", &ControlNode::HandleCancel},
      {"/v1/wave", &ControlNode::HandleWave},
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
      co_return m_core.LeadsReady() ? Json(http::status::ok, json::object())
                                    : RefuseNotLeader();
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
    if (!m_core.LeadsReady()) {
      co_return RefuseNotLeader();
    }
    co_return co_await (this->*route.m_handle)(body.as_object());
  }
  co_return net::MakeErrorResponse(http::status::not_found,
                                   ErrorCode::kRequestMalformed, path);
}

net::HttpResponse ControlNode::RefuseNotLeader() const {
  const std::string leader = m_core.replica().leader()
                                 ? m_core.replica().leader()->m_name
                                 : std::string();
  return net::MakeErrorResponse(http::status::misdirected_request,
                                leader.empty() || leader == m_settings.m_name
                                    ? ErrorCode::kUnavailable
                                    : ErrorCode::kNotLeader,
                                leader);
}

asio::awaitable<ControlNode::CallResult> ControlNode::Call(
    wire::CommandBodyUnion body) {
  const auto result = std::make_shared<CallResult>();
  const auto waiter = std::make_shared<asio::steady_timer>(m_strand);
  waiter->expires_after(kCallTimeout);
  const bool proposed =
      m_core.Propose(std::move(body), CurrentMoment(),
                     [result, waiter](const control::ApplyResult* applied) {
                       if (applied != nullptr) {
                         result->m_done = true;
                         result->m_result = *applied;
                       }
                       waiter->cancel();
                     });
  if (proposed) {
    Flush();
    if (!result->m_done) {
      boost::system::error_code ignored;
      co_await waiter->async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
    }
  }
  co_return *result;
}

asio::awaitable<bool> ControlNode::Prove() {
  const auto proven = std::make_shared<bool>(false);
  const auto done = std::make_shared<bool>(false);
  const auto waiter = std::make_shared<asio::steady_timer>(m_strand);
  waiter->expires_after(kCallTimeout);
  m_core.RequestProof(CurrentMoment(), [proven, done, waiter](bool ok) {
    *proven = ok;
    *done = true;
    waiter->cancel();
  });
  Flush();
  if (!*done) {
    boost::system::error_code ignored;
    co_await waiter->async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  co_return *proven;
}

net::HttpResponse ControlNode::AnswerOutcome(const CallResult& result) const {
  if (!result.m_done) {
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
  return Json(http::status::ok, body);
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
  const CallResult result = co_await Call(std::move(command));
  if (!result.m_done || !result.m_result.m_outcome.ok()) {
    EventLine(Event::kChangeRefused)
        .Field("change", change_id)
        .Field("code", result.m_done ? result.m_result.m_outcome.m_code
                                     : ErrorCode::kUnavailable);
    co_return AnswerOutcome(result);
  }
  const std::uint64_t version = result.m_result.m_config_version;
  const Instant limit = Now() + kAcceptWait;
  asio::steady_timer pause(m_strand);
  std::vector<std::string> waiting_for = {"leader"};
  while (Now() < limit && m_core.LeadsReady()) {
    waiting_for = m_core.keeper()->NotInForce(version, Now());
    if (waiting_for.empty()) {
      break;
    }
    boost::system::error_code ignored;
    pause.expires_after(kAcceptPoll);
    co_await pause.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  json::object answer;
  answer["state"] = waiting_for.empty() ? "accepted" : "pending";
  answer["version"] = version;
  answer["change_id"] = change_id;
  answer["waiting_for"] = ToArray(waiting_for);
  EventLine(Event::kChangeAccepted)
      .Field("change", change_id)
      .Field("version", version)
      .Field("state", waiting_for.empty() ? "accepted" : "pending");
  co_return Json(
      waiting_for.empty() ? http::status::ok : http::status::accepted, answer);
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
  const CallResult result = co_await Call(std::move(command));
  const bool announced = result.m_done && result.m_result.m_outcome.ok();
  EventLine(announced ? Event::kStopAnnounced : Event::kStopRefused)
      .Field("stop", stop_id)
      .Field("instance", instance)
      .Field("code", result.m_done ? result.m_result.m_outcome.m_code
                                   : ErrorCode::kUnavailable)
      .Field("context", result.m_result.m_outcome.m_context);
  co_return AnswerOutcome(result);
}

asio::awaitable<net::HttpResponse> ControlNode::HandleCancel(
    const json::object& body) {
  wire::UpdateStopT update;
  update.stop_id = TextOf(body, "stop_id");
  update.kind = wire::StopUpdateKind::Cancel;
  wire::CommandBodyUnion command;
  command.Set(std::move(update));
  co_return AnswerOutcome(co_await Call(std::move(command)));
}

asio::awaitable<net::HttpResponse> ControlNode::HandleWave(
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
  co_return AnswerOutcome(co_await Call(std::move(command)));
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
  co_return AnswerOutcome(co_await Call(std::move(command)));
}

asio::awaitable<net::HttpResponse> ControlNode::HandleStatus() {
  const bool proven = co_await Prove();
  if (!proven || !m_core.LeadsReady()) {
    co_return RefuseNotLeader();
  }
  co_return Json(http::status::ok, StatusJson(Now()));
}

}  // namespace bronzebarrow::programs
