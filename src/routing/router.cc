// Admission, queueing, dispatch and quarantine of failing targets.
#include "bronzebarrow/routing/router.h"

#include <algorithm>
#include <utility>

#include "bronzebarrow/base/check.h"
#include "bronzebarrow/fleet/lifecycle.h"

namespace bronzebarrow::routing {
namespace {

// Maximum queued requests of a plan, per unit of its quota (which limits its
// requests in flight).
constexpr std::uint32_t kMaxWaitingPerQuotaUnit = 8;
// Consecutive failures after which a target is quarantined.
constexpr std::uint32_t kFailuresToQuarantine = 3;
constexpr Duration kQuarantineDuration = Millis(2000);

}  // namespace

void Router::SetLists(std::shared_ptr<const fleet::Lists> lists) {
  m_lists = std::move(lists);
}

void Router::SetStops(std::vector<wire::StopNoticeT> stops) {
  m_stops = std::move(stops);
}

AnnounceVerdict Router::Announce(const wire::AnnouncementT& announcement,
                                 Instant now) {
  return m_table.Announce(announcement, now);
}

RouteDecision Router::Submit(const RouteRequest& request, Instant now) {
  RouteDecision decision;
  const auto refuse = [&](ErrorCode code) {
    decision.m_code = code;
    return decision;
  };
  if (!m_lists) {
    return refuse(ErrorCode::kLeaseMissing);
  }
  const auto found = m_lists->m_plans.find(request.m_plan);
  if (found == m_lists->m_plans.end()) {
    return refuse(ErrorCode::kPlanUnknown);
  }
  const fleet::Plan& plan = found->second;
  const std::string& pool =
      request.m_pool.empty() ? plan.m_pool : request.m_pool;
  const fleet::Use* use = m_lists->FindUse(plan.m_name, pool);
  if (use == nullptr) {
    return refuse(ErrorCode::kPoolUnknown);
  }
  if (now >= request.m_deadline) {
    return refuse(ErrorCode::kDeadlineExceeded);
  }
  if (!HasAvailableTarget(*use, now)) {
    return refuse(ErrorCode::kNoTarget);
  }
  if (const auto dispatch = TryDispatch(request.m_id, plan, *use, now)) {
    decision.m_verdict = RouteVerdict::kDispatched;
    decision.m_dispatch = *dispatch;
    return decision;
  }
  return Enqueue(request, plan, pool);
}

RouteDecision Router::Enqueue(const RouteRequest& request,
                              const fleet::Plan& plan,
                              const std::string& pool) {
  RouteDecision decision;
  PlanLoad& load = m_plan_load[plan.m_name];
  if (load.m_waiting >= kMaxWaitingPerQuotaUnit * QuotaShare(plan)) {
    decision.m_code = ErrorCode::kQuotaExhausted;
    return decision;
  }
  const QueueKey key = MakeQueueKey(m_options.m_queue_policy, plan.m_class,
                                    request.m_deadline, request.m_id);
  Queue& queue = m_queues[pool];
  if (queue.size() >= m_options.m_max_queue) {
    const QueueKey last = *queue.rbegin();
    if (last.m_rank <= key.m_rank) {
      decision.m_code = ErrorCode::kQueueFull;
      return decision;
    }
    RemoveWaiting(last.m_request_id);
    decision.m_evicted = {last.m_request_id, ErrorCode::kQueueFull};
  }
  queue.insert(key);
  m_waiting[request.m_id] = {plan.m_name, pool, request.m_deadline, key};
  ++load.m_waiting;
  decision.m_verdict = RouteVerdict::kQueued;
  return decision;
}

std::optional<Dispatch> Router::TryDispatch(std::uint64_t request_id,
                                            const fleet::Plan& plan,
                                            const fleet::Use& use,
                                            Instant now) {
  PlanLoad& load = m_plan_load[plan.m_name];
  if (load.m_in_flight >= QuotaShare(plan)) {
    return std::nullopt;
  }
  std::vector<Candidate> candidates;
  std::vector<std::map<std::string, Target>::iterator> candidate_targets;
  auto& targets = m_table.targets();
  for (auto it = targets.begin(); it != targets.end(); ++it) {
    const Target& target = it->second;
    const bool is_eligible = target.m_pool == use.m_pool &&
                             use.Admits(target.m_zone, target.m_rack) &&
                             AcceptsNewWork(it->first, target, now);
    const std::uint32_t share =
        is_eligible ? TargetSlotShare(it->first, target) : 0;
    if (target.m_in_flight < share) {
      candidates.push_back({target.m_in_flight, share});
      candidate_targets.push_back(it);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const std::size_t chosen =
      ChooseTarget(m_options.m_balance_policy, candidates, m_rotation++);
  auto& [name, target] = *candidate_targets[chosen];
  BRONZEBARROW_INVARIANT(!IsLeaving(name, target));
  ++target.m_in_flight;
  BRONZEBARROW_INVARIANT(target.m_in_flight <= TargetSlotShare(name, target));
  ++load.m_in_flight;
  ++m_in_flight;
  m_plan_by_request[request_id] = plan.m_name;
  return Dispatch{request_id, name, target.m_address};
}

RouterActions Router::Finish(const Dispatch& dispatch, TargetOutcome outcome,
                             Instant now) {
  RouterActions actions;
  const auto plan = m_plan_by_request.find(dispatch.m_request_id);
  BRONZEBARROW_INVARIANT(plan != m_plan_by_request.end());
  --m_plan_load[plan->second].m_in_flight;
  m_plan_by_request.erase(plan);
  --m_in_flight;
  const auto found = m_table.targets().find(dispatch.m_instance);
  BRONZEBARROW_INVARIANT(found != m_table.targets().end());
  Target& target = found->second;
  BRONZEBARROW_INVARIANT(target.m_in_flight > 0);
  --target.m_in_flight;
  if (outcome == TargetOutcome::kAnswered) {
    target.m_failures = 0;
  } else if (outcome == TargetOutcome::kFailed) {
    RecordTargetFailure(target, now);
  }
  ServeQueue(target.m_pool, now, actions);
  return actions;
}

void Router::RecordTargetFailure(Target& target, Instant now) {
  if (++target.m_failures < kFailuresToQuarantine) {
    return;
  }
  std::size_t pool_size = 0;
  std::size_t quarantined = 0;
  for (const auto& [name, other] : m_table.targets()) {
    if (other.m_pool == target.m_pool) {
      ++pool_size;
      quarantined += now < other.m_quarantined_until ? 1 : 0;
    }
  }
  if (2 * (quarantined + 1) <= pool_size) {
    target.m_quarantined_until = now + kQuarantineDuration;
  }
}

void Router::RemoveWaiting(std::uint64_t request_id) {
  const auto found = m_waiting.find(request_id);
  if (found == m_waiting.end()) {
    return;
  }
  const QueuedRequest& waiting = found->second;
  m_queues[waiting.m_pool].erase(waiting.m_key);
  --m_plan_load[waiting.m_plan].m_waiting;
  m_waiting.erase(found);
}

RouterActions Router::Advance(Instant now) {
  RouterActions actions;
  std::vector<std::uint64_t> overdue;
  for (const auto& [id, waiting] : m_waiting) {
    if (now >= waiting.m_deadline) {
      overdue.push_back(id);
    }
  }
  for (const std::uint64_t id : overdue) {
    RemoveWaiting(id);
    actions.m_refusals.push_back({id, ErrorCode::kDeadlineExceeded});
  }
  m_table.Expire(now);
  for (auto& [pool, queue] : m_queues) {
    ServeQueue(pool, now, actions);
  }
  return actions;
}

void Router::ServeQueue(const std::string& pool, Instant now,
                        RouterActions& actions) {
  const auto queue = m_queues.find(pool);
  if (queue == m_queues.end() || !m_lists) {
    return;
  }
  std::set<std::string> blocked_plans;
  for (auto it = queue->second.begin(); it != queue->second.end();) {
    const std::uint64_t id = (it++)->m_request_id;
    const QueuedRequest waiting = m_waiting.at(id);
    if (blocked_plans.contains(waiting.m_plan)) {
      continue;
    }
    const auto plan = m_lists->m_plans.find(waiting.m_plan);
    const fleet::Use* use = m_lists->FindUse(waiting.m_plan, pool);
    if (plan == m_lists->m_plans.end() || use == nullptr) {
      RemoveWaiting(id);
      actions.m_refusals.push_back({id, ErrorCode::kPlanUnknown});
      continue;
    }
    const auto dispatch = TryDispatch(id, plan->second, *use, now);
    if (!dispatch) {
      blocked_plans.insert(waiting.m_plan);
      continue;
    }
    RemoveWaiting(id);
    actions.m_dispatches.push_back(*dispatch);
  }
}

std::uint32_t Router::QuotaShare(const fleet::Plan& plan) const {
  return EntryShare(plan.m_name, plan.m_quota, m_options.m_entry_index,
                    m_options.m_entry_count);
}

std::uint32_t Router::TargetSlotShare(const std::string& name,
                                      const Target& target) const {
  return EntryShare(name, target.m_slots, m_options.m_entry_index,
                    m_options.m_entry_count);
}

bool Router::IsLeaving(const std::string& name, const Target& target) const {
  return target.m_announced_leaving ||
         OpenStopOf(name, target.m_incarnation) != nullptr;
}

bool Router::AcceptsNewWork(const std::string& name, const Target& target,
                            Instant now) const {
  return now < target.m_expires && now >= target.m_quarantined_until &&
         !IsLeaving(name, target);
}

bool Router::HasAvailableTarget(const fleet::Use& use, Instant now) const {
  return std::any_of(m_table.targets().begin(), m_table.targets().end(),
                     [&](const auto& item) {
                       return item.second.m_pool == use.m_pool &&
                              use.Admits(item.second.m_zone,
                                         item.second.m_rack) &&
                              AcceptsNewWork(item.first, item.second, now) &&
                              TargetSlotShare(item.first, item.second) > 0;
                     });
}

std::vector<std::string> Router::DrainedStops() const {
  std::vector<std::string> drained;
  for (const wire::StopNoticeT& stop : m_stops) {
    const auto target = m_table.targets().find(stop.instance);
    const bool has_in_flight =
        target != m_table.targets().end() &&
        target->second.m_incarnation <= stop.incarnation &&
        target->second.m_in_flight > 0;
    if (static_cast<fleet::StopState>(stop.state) ==
            fleet::StopState::kDraining &&
        !has_in_flight) {
      drained.push_back(stop.stop_id);
    }
  }
  return drained;
}

std::vector<wire::ObservationT> Router::Observations() const {
  std::vector<wire::ObservationT> observations;
  for (const auto& [name, target] : m_table.targets()) {
    wire::ObservationT observation;
    observation.instance = name;
    observation.pool = target.m_pool;
    observation.zone = target.m_zone;
    observation.rack = target.m_rack;
    observation.incarnation = target.m_incarnation;
    observation.present = true;
    observations.push_back(std::move(observation));
  }
  return observations;
}

const wire::StopNoticeT* Router::OpenStopOf(const std::string& instance,
                                            std::uint64_t incarnation) const {
  for (const wire::StopNoticeT& stop : m_stops) {
    if (stop.instance == instance && incarnation <= stop.incarnation) {
      return &stop;
    }
  }
  return nullptr;
}

}  // namespace bronzebarrow::routing
