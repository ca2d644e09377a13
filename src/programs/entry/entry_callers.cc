// EntryNode: admission, routing, idempotency and response of callers' requests.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <utility>

#include "programs/entry/entry_node.h"

namespace bronzebarrow::programs {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr int kMaxAttempts = 4;
// Time limit of a background ledger call that records a response or a refusal.
constexpr Duration kBackgroundCallTimeout = Millis(10'000);
// How long past the request's deadline the ledger may take to record a refusal.
constexpr Duration kRefusalGrace = Millis(1'000);

// Error code and outcome reported for a ledger verdict that does not grant
// execution to this attempt.
struct VerdictResult {
  ErrorCode m_code;
  CallOutcome m_outcome;
};

VerdictResult ResultOf(wire::LedgerVerdict verdict) {
  switch (verdict) {
    case wire::LedgerVerdict::InProgress:
      return {ErrorCode::kInProgress, CallOutcome::kUnknown};
    case wire::LedgerVerdict::Refused:
      return {ErrorCode::kUnavailable, CallOutcome::kNotExecuted};
    case wire::LedgerVerdict::DigestMismatch:
      return {ErrorCode::kKeyReused, CallOutcome::kNotExecuted};
    case wire::LedgerVerdict::Expired:
      return {ErrorCode::kKeyExpired, CallOutcome::kUnknown};
    case wire::LedgerVerdict::KeyInvalid:
      return {ErrorCode::kKeyInvalid, CallOutcome::kNotExecuted};
    case wire::LedgerVerdict::Full:
      return {ErrorCode::kLedgerFull, CallOutcome::kUnknown};
    default:
      return {ErrorCode::kUnavailable, CallOutcome::kUnknown};
  }
}

net::HttpResponse MakeExecutedResponse(unsigned status, const std::string& body,
                                       const std::string& content_type) {
  net::HttpResponse response(static_cast<http::status>(status), 11);
  if (!content_type.empty()) {
    response.set(http::field::content_type, content_type);
  }
  response.set(kOutcomeHeader, NameOf(CallOutcome::kExecuted));
  response.body() = body;
  return response;
}

}  // namespace

asio::awaitable<net::HttpResponse> EntryNode::ServeCaller(
    const net::HttpRequest& request) {
  auto parsed = Capture<CallerRequest>([&] {
    return CallerRequest::Parse(request, m_settings.m_max_deadline, Now());
  });
  if (const auto* failure = std::get_if<Failure>(&parsed)) {
    const bool has_key = !request[kKeyHeader].empty();
    co_return MakeRefusal(
        failure->m_code,
        has_key ? CallOutcome::kUnknown : CallOutcome::kNotExecuted,
        failure->m_context);
  }
  RequestState state;
  state.m_call = std::move(std::get<CallerRequest>(parsed));
  state.m_call.m_id = m_next_request++;
  state.m_request_id =
      m_settings.m_name + "-" + std::to_string(state.m_call.m_id);
  const CallerRequest call = state.m_call;
  const std::string request_id = state.m_request_id;
  net::HttpResponse response = co_await ServeRequest(request, std::move(state));
  response.set(kRequestIdHeader, request_id);
  CountCall(call, response);
  co_return response;
}

asio::awaitable<net::HttpResponse> EntryNode::ServeRequest(
    const net::HttpRequest& request, RequestState state) {
  if (!HoldsLease()) {
    co_return co_await Refuse(state, ErrorCode::kLeaseMissing);
  }
  while (true) {
    ++state.m_attempts;
    AttemptResult attempt = co_await AttemptRequest(request, state);
    if (attempt.m_response) {
      co_return std::move(*attempt.m_response);
    }
    if (state.m_call.HasKey() && attempt.m_may_have_executed) {
      EventLine(Event::kRequestUnknown, Severity::kWarning)
          .Field("request", state.m_request_id)
          .Field("key", state.m_call.m_key)
          .Field("code", attempt.m_code);
      co_return MakeRefusal(attempt.m_code, CallOutcome::kUnknown, "");
    }
    const bool is_transient = attempt.m_code == ErrorCode::kTargetUnreachable ||
                              attempt.m_code == ErrorCode::kTargetTimeout ||
                              attempt.m_code == ErrorCode::kTargetAnswerInvalid;
    const bool should_retry = is_transient && state.m_attempts < kMaxAttempts &&
                              Now() < state.m_call.m_deadline &&
                              TryConsumeRetry(state.m_call.m_plan);
    if (!should_retry) {
      if (attempt.m_may_have_executed) {
        co_return MakeRefusal(attempt.m_code, CallOutcome::kUnknown, "");
      }
      co_return co_await Refuse(state, attempt.m_code);
    }
  }
}

asio::awaitable<EntryNode::AttemptResult> EntryNode::AttemptRequest(
    const net::HttpRequest& request, RequestState& state) {
  AttemptResult attempt;
  const CallerRequest& call = state.m_call;
  const RouteResult route = co_await RouteCall(call);
  if (!route.m_dispatch) {
    attempt.m_code = route.m_code;
    co_return attempt;
  }
  const routing::Dispatch& dispatch = *route.m_dispatch;
  auto connection = co_await m_target_connections.Acquire(dispatch.m_address,
                                                          call.m_deadline);
  if (!connection) {
    FinishDispatch(dispatch, routing::TargetOutcome::kFailed);
    attempt.m_code = ErrorCode::kTargetUnreachable;
    co_return attempt;
  }
  if (call.HasKey()) {
    attempt.m_response = co_await RequestGrant(state);
  }
  const bool holds_lease = HoldsLease();
  if (attempt.m_response || !holds_lease) {
    m_target_connections.Release(dispatch.m_address, std::move(connection));
    FinishDispatch(dispatch, routing::TargetOutcome::kNotSent);
    attempt.m_code = ErrorCode::kLeaseMissing;
    co_return attempt;
  }
  net::ExchangeResult exchange = co_await m_target_connections.Exchange(
      std::move(connection), dispatch.m_address,
      MakeTargetRequest(request, call, state.m_request_id), call.m_deadline);
  const bool answered = exchange.m_verdict == net::ExchangeVerdict::kAnswered;
  FinishDispatch(dispatch, answered ? routing::TargetOutcome::kAnswered
                                    : routing::TargetOutcome::kFailed);
  if (answered) {
    const net::HttpResponse& target_response = exchange.m_response;
    const auto content_type = target_response[http::field::content_type];
    attempt.m_response = MakeExecutedResponse(
        target_response.result_int(), target_response.body(),
        {content_type.begin(), content_type.end()});
    attempt.m_response->set(kInstanceHeader, dispatch.m_instance);
    RecordResponse(state, *attempt.m_response);
    co_return attempt;
  }
  attempt.m_may_have_executed = true;
  attempt.m_code = exchange.m_verdict == net::ExchangeVerdict::kTimeout
                       ? ErrorCode::kTargetTimeout
                       : ErrorCode::kTargetAnswerInvalid;
  co_return attempt;
}

asio::awaitable<EntryNode::RouteResult> EntryNode::RouteCall(
    const CallerRequest& call) {
  const auto executor = co_await asio::this_coro::executor;
  const auto waiting = std::make_shared<WaitingCall>(executor);
  routing::RouteDecision decision;
  {
    const std::lock_guard lock(m_routing_mutex);
    m_retry_budgets[call.m_plan].OnRequest();
    decision = m_router.Submit(
        {call.m_id, call.m_plan, call.m_pool, call.m_deadline}, Now());
    if (decision.m_verdict == routing::RouteVerdict::kQueued) {
      waiting->m_wait_timer.expires_at(Instant::max());
      m_waiting[call.m_id] = waiting;
    }
  }
  if (decision.m_evicted) {
    ResumeWaiting(decision.m_evicted->m_request_id, std::nullopt,
                  decision.m_evicted->m_code);
  }
  RouteResult result;
  const Instant queued = Now();
  if (decision.m_verdict == routing::RouteVerdict::kDispatched) {
    ObserveQueueTime(call, queued);
    result.m_dispatch = decision.m_dispatch;
    co_return result;
  }
  if (decision.m_verdict == routing::RouteVerdict::kRefused) {
    result.m_code = decision.m_code;
    co_return result;
  }
  while (!waiting->m_dispatch && !waiting->m_refusal) {
    boost::system::error_code ignored;
    co_await waiting->m_wait_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  ObserveQueueTime(call, queued);
  result.m_dispatch = waiting->m_dispatch;
  result.m_code = waiting->m_refusal.value_or(ErrorCode::kOk);
  co_return result;
}

void EntryNode::ResumeWaiting(std::uint64_t request_id,
                              std::optional<routing::Dispatch> dispatch,
                              std::optional<ErrorCode> refusal) {
  std::shared_ptr<WaitingCall> waiting;
  {
    const std::lock_guard lock(m_routing_mutex);
    const auto found = m_waiting.find(request_id);
    BRONZEBARROW_INVARIANT(found != m_waiting.end());
    waiting = found->second;
    m_waiting.erase(found);
  }
  asio::post(waiting->m_wait_timer.get_executor(),
             [waiting, dispatch, refusal] {
               waiting->m_dispatch = dispatch;
               waiting->m_refusal = refusal;
               waiting->m_wait_timer.expires_at(Instant::min());
             });
}

void EntryNode::ApplyActions(const routing::RouterActions& actions) {
  for (const routing::Dispatch& dispatch : actions.m_dispatches) {
    ResumeWaiting(dispatch.m_request_id, dispatch, std::nullopt);
  }
  for (const routing::Refusal& refusal : actions.m_refusals) {
    ResumeWaiting(refusal.m_request_id, std::nullopt, refusal.m_code);
  }
}

void EntryNode::FinishDispatch(const routing::Dispatch& dispatch,
                               routing::TargetOutcome outcome) {
  routing::RouterActions actions;
  {
    const std::lock_guard lock(m_routing_mutex);
    actions = m_router.Finish(dispatch, outcome, Now());
  }
  ApplyActions(actions);
}

bool EntryNode::TryConsumeRetry(const std::string& plan) {
  const std::lock_guard lock(m_routing_mutex);
  return m_retry_budgets[plan].TryRetry();
}

wire::LedgerCommandT EntryNode::MakeLedgerCommand(
    wire::LedgerOp op, const RequestState& state) const {
  wire::LedgerCommandT command;
  command.op = op;
  command.key = state.m_call.m_key;
  command.plan = state.m_call.m_plan;
  command.digest = state.m_call.m_digest;
  command.holder = m_settings.m_name + "/" + std::to_string(m_boot_id);
  command.attempt = state.m_call.m_id;
  return command;
}

// Returns a response if this attempt did not get the grant.
asio::awaitable<std::optional<net::HttpResponse>> EntryNode::RequestGrant(
    RequestState& state) {
  const wire::LedgerReplyT reply = co_await m_control_link->CallLedger(
      MakeLedgerCommand(wire::LedgerOp::Grant, state), state.m_call.m_deadline);
  if (reply.verdict == wire::LedgerVerdict::Granted) {
    state.m_granted = true;
    co_return std::nullopt;
  }
  if (reply.verdict == wire::LedgerVerdict::Unavailable) {
    // The grant may still be recorded. Nothing was sent to a target, so a
    // recorded refusal withdraws the grant.
    RecordInBackground(MakeLedgerCommand(wire::LedgerOp::Refuse, state));
  }
  co_return ResponseFromLedger(reply);
}

net::HttpResponse EntryNode::ResponseFromLedger(
    const wire::LedgerReplyT& reply) const {
  if (reply.verdict == wire::LedgerVerdict::Completed) {
    net::HttpResponse response = MakeExecutedResponse(
        reply.status, std::string(reply.body.begin(), reply.body.end()), "");
    response.set("Bronzebarrow-Replayed", "true");
    return response;
  }
  const VerdictResult result = ResultOf(reply.verdict);
  return MakeRefusal(result.m_code, result.m_outcome, "");
}

// A request with a key is reported as not executed only after the ledger has
// recorded the refusal, so that no other attempt with the key can execute it.
asio::awaitable<net::HttpResponse> EntryNode::Refuse(const RequestState& state,
                                                     ErrorCode code) {
  EventLine(Event::kRequestRefused)
      .Field("request", state.m_request_id)
      .Field("plan", state.m_call.m_plan)
      .Field("code", code);
  if (!state.m_call.HasKey()) {
    co_return MakeRefusal(code, CallOutcome::kNotExecuted, "");
  }
  const wire::LedgerReplyT reply = co_await m_control_link->CallLedger(
      MakeLedgerCommand(wire::LedgerOp::Refuse, state),
      std::max(state.m_call.m_deadline, Now()) + kRefusalGrace);
  if (reply.verdict == wire::LedgerVerdict::Refused) {
    co_return MakeRefusal(code, CallOutcome::kNotExecuted, "");
  }
  co_return ResponseFromLedger(reply);
}

void EntryNode::RecordResponse(const RequestState& state,
                               const net::HttpResponse& response) {
  if (!state.m_granted) {
    return;
  }
  wire::LedgerCommandT command =
      MakeLedgerCommand(wire::LedgerOp::Complete, state);
  command.status = static_cast<std::uint16_t>(response.result_int());
  command.body.assign(response.body().begin(), response.body().end());
  RecordInBackground(std::move(command));
}

void EntryNode::RecordInBackground(wire::LedgerCommandT command) {
  ++m_background_calls;
  const auto record = [self = shared_from_this(),
                       command =
                           std::move(command)]() -> asio::awaitable<void> {
    co_await self->m_control_link->CallLedger(command,
                                              Now() + kBackgroundCallTimeout);
    --self->m_background_calls;
  };
  asio::co_spawn(m_executor, record, asio::detached);
}

std::string EntryNode::LabelsOf(const std::string& plan) const {
  const std::lock_guard lock(m_routing_mutex);
  const auto found = m_class_of_plan.find(plan);
  return found == m_class_of_plan.end()
             ? std::string()
             : "plan=\"" + plan + "\",class=\"" + found->second + "\"";
}

void EntryNode::ObserveQueueTime(const CallerRequest& call, Instant queued) {
  const std::string labels = LabelsOf(call.m_plan);
  if (!labels.empty()) {
    m_metrics.Observe("bronzebarrow_queue_seconds", labels,
                      std::chrono::duration<double>(Now() - queued).count());
  }
}

void EntryNode::CountCall(const CallerRequest& call,
                          const net::HttpResponse& response) {
  const std::string labels = LabelsOf(call.m_plan);
  if (labels.empty()) {
    m_metrics.Count("bronzebarrow_requests_of_unknown_plans_total", "");
    return;
  }
  const auto header = response[kOutcomeHeader];
  const std::string outcome(header.begin(), header.end());
  m_metrics.Count("bronzebarrow_requests_total",
                  labels + ",outcome=\"" + outcome + "\"");
  m_metrics.Observe(
      "bronzebarrow_request_seconds", labels,
      std::chrono::duration<double>(Now() - call.m_received).count());
}

}  // namespace bronzebarrow::programs
