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
constexpr Duration kRecordTimeout = Millis(10'000);
// How long past the request's deadline the ledger may take to record a refusal.
constexpr Duration kRefusalGrace = Millis(1'000);

// Error code and outcome reported for a ledger verdict that does not grant
// execution to this attempt.
struct VerdictAnswer {
  ErrorCode m_code;
  CallOutcome m_outcome;
};

VerdictAnswer AnswerTo(wire::LedgerVerdict verdict) {
  switch (verdict) {
    case wire::LedgerVerdict::InProgress:
      return {ErrorCode::kInProgress, CallOutcome::kUnknown};
    case wire::LedgerVerdict::Refused:
      return {ErrorCode::kUnavailable, CallOutcome::kNotRun};
    case wire::LedgerVerdict::DigestMismatch:
      return {ErrorCode::kKeyReused, CallOutcome::kNotRun};
    case wire::LedgerVerdict::Expired:
      return {ErrorCode::kKeyExpired, CallOutcome::kUnknown};
    case wire::LedgerVerdict::KeyInvalid:
      return {ErrorCode::kKeyInvalid, CallOutcome::kNotRun};
    case wire::LedgerVerdict::Full:
      return {ErrorCode::kLedgerFull, CallOutcome::kUnknown};
    default:
      return {ErrorCode::kUnavailable, CallOutcome::kUnknown};
  }
}

net::HttpResponse MakeRanResponse(unsigned status, const std::string& body,
                                  const std::string& content_type) {
  net::HttpResponse response(static_cast<http::status>(status), 11);
  if (!content_type.empty()) {
    response.set(http::field::content_type, content_type);
  }
  response.set(kOutcomeHeader, NameOf(CallOutcome::kRan));
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
        failure->m_code, has_key ? CallOutcome::kUnknown : CallOutcome::kNotRun,
        failure->m_context);
  }
  Serving serving;
  serving.m_call = std::move(std::get<CallerRequest>(parsed));
  serving.m_call.m_id = m_next_request++;
  serving.m_request_id =
      m_settings.m_name + "-" + std::to_string(serving.m_call.m_id);
  const CallerRequest call = serving.m_call;
  const std::string request_id = serving.m_request_id;
  net::HttpResponse answer = co_await ServeParsed(request, std::move(serving));
  answer.set(kRequestIdHeader, request_id);
  CountCall(call, answer);
  co_return answer;
}

asio::awaitable<net::HttpResponse> EntryNode::ServeParsed(
    const net::HttpRequest& request, Serving serving) {
  if (!HoldsLease()) {
    co_return co_await Refuse(serving, ErrorCode::kLeaseMissing);
  }
  while (true) {
    ++serving.m_attempts;
    Attempt attempt = co_await TryOnce(request, serving);
    if (attempt.m_answer) {
      co_return std::move(*attempt.m_answer);
    }
    if (serving.m_call.HasKey() && attempt.m_may_have_run) {
      EventLine(Event::kRequestUnknown, Severity::kWarning)
          .Field("request", serving.m_request_id)
          .Field("key", serving.m_call.m_key)
          .Field("code", attempt.m_code);
      co_return MakeRefusal(attempt.m_code, CallOutcome::kUnknown, "");
    }
    const bool is_transient = attempt.m_code == ErrorCode::kTargetUnreachable ||
                              attempt.m_code == ErrorCode::kTargetTimeout ||
                              attempt.m_code == ErrorCode::kTargetAnswerInvalid;
    const bool again = is_transient && serving.m_attempts < kMaxAttempts &&
                       Now() < serving.m_call.m_deadline &&
                       MayRetry(serving.m_call.m_plan);
    if (!again) {
      if (attempt.m_may_have_run) {
        co_return MakeRefusal(attempt.m_code, CallOutcome::kUnknown, "");
      }
      co_return co_await Refuse(serving, attempt.m_code);
    }
  }
}

asio::awaitable<EntryNode::Attempt> EntryNode::TryOnce(
    const net::HttpRequest& request, Serving& serving) {
  Attempt attempt;
  const CallerRequest& call = serving.m_call;
  const RouteResult route = co_await RouteCall(call);
  if (!route.m_dispatch) {
    attempt.m_code = route.m_code;
    co_return attempt;
  }
  const routing::Dispatch& dispatch = *route.m_dispatch;
  auto connection =
      co_await m_targets.Acquire(dispatch.m_address, call.m_deadline);
  if (!connection) {
    FinishDispatch(dispatch, routing::TargetOutcome::kFailed);
    attempt.m_code = ErrorCode::kTargetUnreachable;
    co_return attempt;
  }
  if (call.HasKey()) {
    attempt.m_answer = co_await TakeGrant(serving);
  }
  const bool holds_lease = HoldsLease();
  if (attempt.m_answer || !holds_lease) {
    m_targets.Release(dispatch.m_address, std::move(connection));
    FinishDispatch(dispatch, routing::TargetOutcome::kUnused);
    attempt.m_code = ErrorCode::kLeaseMissing;
    co_return attempt;
  }
  net::ExchangeResult exchange = co_await m_targets.Exchange(
      std::move(connection), dispatch.m_address,
      MakeTargetRequest(request, call, serving.m_request_id), call.m_deadline);
  const bool answered = exchange.m_verdict == net::ExchangeVerdict::kAnswered;
  FinishDispatch(dispatch, answered ? routing::TargetOutcome::kAnswered
                                    : routing::TargetOutcome::kFailed);
  if (answered) {
    const net::HttpResponse& from = exchange.m_response;
    const auto content_type = from[http::field::content_type];
    attempt.m_answer =
        MakeRanResponse(from.result_int(), from.body(),
                        {content_type.begin(), content_type.end()});
    attempt.m_answer->set(kInstanceHeader, dispatch.m_instance);
    RecordAnswer(serving, *attempt.m_answer);
    co_return attempt;
  }
  attempt.m_may_have_run = true;
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
      waiting->m_wake.expires_at(Instant::max());
      m_waiting[call.m_id] = waiting;
    }
  }
  if (decision.m_displaced) {
    Wake(decision.m_displaced->m_request_id, std::nullopt,
         decision.m_displaced->m_code);
  }
  RouteResult result;
  const Instant queued = Now();
  if (decision.m_verdict == routing::RouteVerdict::kDispatched) {
    ObserveQueueing(call, queued);
    result.m_dispatch = decision.m_dispatch;
    co_return result;
  }
  if (decision.m_verdict == routing::RouteVerdict::kRefused) {
    result.m_code = decision.m_code;
    co_return result;
  }
  while (!waiting->m_dispatch && !waiting->m_refusal) {
    boost::system::error_code ignored;
    co_await waiting->m_wake.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  ObserveQueueing(call, queued);
  result.m_dispatch = waiting->m_dispatch;
  result.m_code = waiting->m_refusal.value_or(ErrorCode::kOk);
  co_return result;
}

void EntryNode::Wake(std::uint64_t request_id,
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
  asio::post(waiting->m_wake.get_executor(), [waiting, dispatch, refusal] {
    waiting->m_dispatch = dispatch;
    waiting->m_refusal = refusal;
    waiting->m_wake.expires_at(Instant::min());
  });
}

void EntryNode::Perform(const routing::RouterActions& actions) {
  for (const routing::Dispatch& dispatch : actions.m_dispatches) {
    Wake(dispatch.m_request_id, dispatch, std::nullopt);
  }
  for (const routing::Refusal& refusal : actions.m_refusals) {
    Wake(refusal.m_request_id, std::nullopt, refusal.m_code);
  }
}

void EntryNode::FinishDispatch(const routing::Dispatch& dispatch,
                               routing::TargetOutcome outcome) {
  routing::RouterActions actions;
  {
    const std::lock_guard lock(m_routing_mutex);
    actions = m_router.Finish(dispatch, outcome, Now());
  }
  Perform(actions);
}

bool EntryNode::MayRetry(const std::string& plan) {
  const std::lock_guard lock(m_routing_mutex);
  return m_retry_budgets[plan].TryRetry();
}

wire::LedgerCommandT EntryNode::MakeLedgerCommand(
    wire::LedgerOp op, const Serving& serving) const {
  wire::LedgerCommandT command;
  command.op = op;
  command.key = serving.m_call.m_key;
  command.plan = serving.m_call.m_plan;
  command.digest = serving.m_call.m_digest;
  command.holder = m_settings.m_name + "/" + std::to_string(m_boot_id);
  command.attempt = serving.m_call.m_id;
  return command;
}

// Returns a response if this attempt did not get the grant.
asio::awaitable<std::optional<net::HttpResponse>> EntryNode::TakeGrant(
    Serving& serving) {
  const wire::LedgerReplyT reply =
      co_await m_control->Ask(MakeLedgerCommand(wire::LedgerOp::Grant, serving),
                              serving.m_call.m_deadline);
  if (reply.verdict == wire::LedgerVerdict::Granted) {
    serving.m_granted = true;
    co_return std::nullopt;
  }
  if (reply.verdict == wire::LedgerVerdict::Unavailable) {
    // The grant may still be recorded. Nothing was sent to a target, so a
    // recorded refusal withdraws the grant.
    Record(MakeLedgerCommand(wire::LedgerOp::Refuse, serving));
  }
  co_return AnswerFromRecord(reply);
}

net::HttpResponse EntryNode::AnswerFromRecord(
    const wire::LedgerReplyT& reply) const {
  if (reply.verdict == wire::LedgerVerdict::Completed) {
    net::HttpResponse response = MakeRanResponse(
        reply.status, std::string(reply.body.begin(), reply.body.end()), "");
    response.set("Bronzebarrow-Replayed", "true");
    return response;
  }
  const VerdictAnswer answer = AnswerTo(reply.verdict);
  return MakeRefusal(answer.m_code, answer.m_outcome, "");
}

// A request with a key is reported as not executed only after the ledger has
// recorded the refusal, so that no other attempt with the key can execute it.
asio::awaitable<net::HttpResponse> EntryNode::Refuse(const Serving& serving,
                                                     ErrorCode code) {
  EventLine(Event::kRequestRefused)
      .Field("request", serving.m_request_id)
      .Field("plan", serving.m_call.m_plan)
      .Field("code", code);
  if (!serving.m_call.HasKey()) {
    co_return MakeRefusal(code, CallOutcome::kNotRun, "");
  }
  const wire::LedgerReplyT reply = co_await m_control->Ask(
      MakeLedgerCommand(wire::LedgerOp::Refuse, serving),
      std::max(serving.m_call.m_deadline, Now()) + kRefusalGrace);
  if (reply.verdict == wire::LedgerVerdict::Refused) {
    co_return MakeRefusal(code, CallOutcome::kNotRun, "");
  }
  co_return AnswerFromRecord(reply);
}

void EntryNode::RecordAnswer(const Serving& serving,
                             const net::HttpResponse& answer) {
  if (!serving.m_granted) {
    return;
  }
  wire::LedgerCommandT command =
      MakeLedgerCommand(wire::LedgerOp::Complete, serving);
  command.status = static_cast<std::uint16_t>(answer.result_int());
  command.body.assign(answer.body().begin(), answer.body().end());
  Record(std::move(command));
}

void EntryNode::Record(wire::LedgerCommandT command) {
  ++m_pending_records;
  const auto record = [self = shared_from_this(),
                       command =
                           std::move(command)]() -> asio::awaitable<void> {
    co_await self->m_control->Ask(command, Now() + kRecordTimeout);
    --self->m_pending_records;
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

void EntryNode::ObserveQueueing(const CallerRequest& call, Instant queued) {
  const std::string labels = LabelsOf(call.m_plan);
  if (!labels.empty()) {
    m_metrics.Observe("bronzebarrow_queue_seconds", labels,
                      std::chrono::duration<double>(Now() - queued).count());
  }
}

void EntryNode::CountCall(const CallerRequest& call,
                          const net::HttpResponse& answer) {
  const std::string labels = LabelsOf(call.m_plan);
  if (labels.empty()) {
    m_metrics.Count("bronzebarrow_requests_of_unknown_plans_total", "");
    return;
  }
  const auto header = answer[kOutcomeHeader];
  const std::string outcome(header.begin(), header.end());
  m_metrics.Count("bronzebarrow_requests_total",
                  labels + ",outcome=\"" + outcome + "\"");
  m_metrics.Observe(
      "bronzebarrow_request_seconds", labels,
      std::chrono::duration<double>(Now() - call.m_received).count());
}

}  // namespace bronzebarrow::programs
