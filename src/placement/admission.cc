// Predicts the end of new jobs and rejects those that would end too late.
#include "bronzebarrow/placement/admission.h"

#include <algorithm>
#include <array>

#include "bronzebarrow/placement/job_order.h"

namespace bronzebarrow::placement {
namespace {

// Longest prediction, for pools without any capacity.
constexpr std::int64_t kMaxDrainMs = 600'000;
// A pool whose waiting work takes less than this has room at once: about the
// time from the end of a task until the next one is assigned.
constexpr std::int64_t kRoomAtOnceMs = 50;

Work WorkOf(const wire::JobSpecT& spec) {
  Work work;
  for (const auto& step : spec.steps) {
    const std::int64_t step_work = step->count *
                                   jobs::ResourcesOf(*step).m_cpu_milli *
                                   std::int64_t{step->estimate_ms};
    work.m_all += step_work;
    work.m_startable += step->depends_on.empty() ? step_work : 0;
  }
  return work;
}

std::int64_t WidestStepMilli(const wire::JobSpecT& spec) {
  std::int64_t widest = 0;
  for (const auto& step : spec.steps) {
    widest =
        std::max(widest, step->count * jobs::ResourcesOf(*step).m_cpu_milli);
  }
  return widest;
}

// Work of the pool's jobs that are served before a new one of `priority`.
Work WorkBefore(const PoolOutlook& pool, std::uint32_t priority) {
  Work before;
  for (const auto& [other, work] : pool.m_waiting_work) {
    before += other <= priority ? work : Work();
  }
  return before;
}

}  // namespace

std::map<std::string, PoolOutlook> OutlookOf(const std::vector<PoolLoad>& pools,
                                             const BalanceOptions& options) {
  std::int64_t all_surplus = 0;
  for (const PoolLoad& pool : pools) {
    all_surplus += SurplusMachines(pool, options);
  }
  std::map<std::string, PoolOutlook> outlooks;
  for (const PoolLoad& pool : pools) {
    PoolOutlook& outlook = outlooks[pool.m_pool];
    outlook.m_capacity_milli =
        (pool.m_machines - pool.m_moving_here) * pool.m_machine_milli -
        pool.m_long_running_milli;
    outlook.m_free_milli = outlook.m_capacity_milli +
                           pool.m_long_running_milli - pool.m_used_milli -
                           pool.m_ready_milli - pool.m_late_milli;
    outlook.m_moving_milli = pool.m_moving_here * pool.m_machine_milli;
    outlook.m_available_milli =
        (all_surplus - SurplusMachines(pool, options)) * pool.m_machine_milli;
    outlook.m_waiting_work = pool.m_waiting_work;
    outlook.m_late_work = pool.m_late_work;
  }
  return outlooks;
}

std::int64_t DrainMs(const PoolOutlook& pool, std::int64_t work,
                     std::int64_t move_ms) {
  // Capacity from each time on.
  struct Phase {
    std::int64_t m_from_ms;
    std::int64_t m_milli;
  };
  const std::int64_t moved = pool.m_capacity_milli + pool.m_moving_milli;
  const std::array<Phase, 3> phases = {
      {{0, pool.m_capacity_milli},
       {move_ms / 2, moved},
       {move_ms, moved + pool.m_available_milli}}};
  for (std::size_t i = 0; i < phases.size(); ++i) {
    const auto [from_ms, milli] = phases.at(i);
    const bool is_last = i + 1 == phases.size();
    const std::int64_t done =
        is_last ? work : milli * (phases.at(i + 1).m_from_ms - from_ms);
    if (work <= done && (milli > 0 || work <= 0)) {
      return std::min(kMaxDrainMs,
                      work <= 0 ? from_ms : from_ms + work / milli);
    }
    work -= done;
  }
  return kMaxDrainMs;
}

void AdmissionControl::Clear() {
  m_typical.Clear();
  m_pools.clear();
  m_rejections.clear();
  m_first_rejected.clear();
  m_last_return.clear();
}

void AdmissionControl::Forget(Instant now) {
  while (!m_rejections.empty() &&
         now >= m_rejections.front().m_when + m_options.m_return_memory) {
    m_first_rejected.erase(m_rejections.front().m_job);
    m_rejections.pop_front();
  }
}

std::map<std::string, std::int64_t> AdmissionControl::RejectedMilli(
    Instant now) {
  Forget(now);
  std::map<std::string, std::int64_t> milli;
  for (auto rejection = m_rejections.rbegin();
       rejection != m_rejections.rend() &&
       now < rejection->m_when + m_options.m_demand_memory;
       ++rejection) {
    milli[rejection->m_pool] += rejection->m_milli;
  }
  return milli;
}

bool AdmissionControl::IsAcceptable(const PoolOutlook& pool,
                                    const wire::QueueSpecT& queue,
                                    const jobs::Job& job,
                                    AdmissionDecision& decision) const {
  if (pool.m_free_milli >= WidestStepMilli(job.m_spec)) {
    return true;
  }
  const Work before = WorkBefore(pool, queue.priority);
  const auto drain_ms = [&](std::int64_t work) {
    return DrainMs(pool, work, m_options.m_move_ms);
  };
  decision.m_wait_ms = drain_ms(before.m_all);
  const std::int64_t critical_path_ms = m_typical.CriticalPathMs(job);
  const std::int64_t end_ms = decision.m_wait_ms + critical_path_ms;
  if (decision.m_age_ms + end_ms <= ObjectiveMs(queue, critical_path_ms)) {
    return true;
  }
  return decision.m_age_ms > 0 &&
         drain_ms(before.m_startable + pool.m_late_work.m_startable) <=
             kRoomAtOnceMs;
}

std::uint32_t AdmissionControl::NextReturnMs(const PoolOutlook& pool,
                                             const wire::QueueSpecT& queue,
                                             const jobs::Job& job,
                                             Instant now) {
  const std::int64_t drain_ms = DrainMs(
      pool, WorkBefore(pool, queue.priority).m_all + pool.m_late_work.m_all,
      m_options.m_move_ms);
  const std::int64_t capacity = std::max(
      pool.m_capacity_milli + pool.m_moving_milli + pool.m_available_milli,
      std::int64_t{1});
  Instant& last = m_last_return[queue.pool];
  const Instant next =
      std::max(last, now + Millis(drain_ms)) +
      Millis(std::min(WorkOf(job.m_spec).m_all / capacity, kMaxDrainMs));
  const std::int64_t after_ms = std::clamp(
      std::chrono::duration_cast<Millis>(next - now).count(),
      m_options.m_min_retry_after_ms, m_options.m_max_retry_after_ms);
  last = now + Millis(after_ms);
  return static_cast<std::uint32_t>(after_ms);
}

AdmissionDecision AdmissionControl::Decide(const wire::QueueSpecT& queue,
                                           const jobs::Job& job, Instant now) {
  AdmissionDecision decision;
  const auto found = m_pools.find(queue.pool);
  if (found == m_pools.end() || job.m_spec.times != 0 || job.IsLongRunning()) {
    return decision;
  }
  Forget(now);
  const auto first_rejected = m_first_rejected.find(job.m_id);
  if (first_rejected == m_first_rejected.end()) {
    m_typical.Record(job);
  }
  if (first_rejected != m_first_rejected.end()) {
    decision.m_age_ms =
        std::chrono::duration_cast<Millis>(now - first_rejected->second)
            .count();
  }
  PoolOutlook& pool = found->second;
  decision.m_accepted = IsAcceptable(pool, queue, job, decision);
  if (decision.m_accepted) {
    pool.m_waiting_work[queue.priority] += WorkOf(job.m_spec);
    pool.m_free_milli -= WidestStepMilli(job.m_spec);
    return decision;
  }
  if (first_rejected == m_first_rejected.end()) {
    m_first_rejected[job.m_id] = now;
    m_rejections.push_back(
        {now, job.m_id, queue.pool, WidestStepMilli(job.m_spec)});
  }
  decision.m_retry_after_ms = NextReturnMs(pool, queue, job, now);
  return decision;
}

}  // namespace bronzebarrow::placement
