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

// Resources of the job's widest step, in each dimension.
Resources WidestStep(const wire::JobSpecT& spec) {
  Resources widest;
  for (const auto& step : spec.steps) {
    Resources need;
    need.Add(jobs::ResourcesOf(*step), step->count);
    widest.m_cpu_milli = std::max(widest.m_cpu_milli, need.m_cpu_milli);
    widest.m_memory_mb = std::max(widest.m_memory_mb, need.m_memory_mb);
    widest.m_gpu = std::max(widest.m_gpu, need.m_gpu);
  }
  return widest;
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
    outlook.m_work_by_organisation = pool.m_work_by_organisation;
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
  m_recent_work.clear();
  m_recent_by_organisation.clear();
}

void AdmissionControl::Forget(Instant now) {
  while (!m_rejections.empty() &&
         now >= m_rejections.front().m_when + m_options.m_return_memory) {
    m_first_rejected.erase(m_rejections.front().m_job);
    m_rejections.pop_front();
  }
  while (!m_recent_work.empty() &&
         now >= m_recent_work.front().m_when + m_options.m_rate_window) {
    const RecentWork& oldest = m_recent_work.front();
    auto& works = m_recent_by_organisation[oldest.m_room];
    Work& work = works[oldest.m_organisation];
    work.m_all -= oldest.m_work.m_all;
    work.m_startable -= oldest.m_work.m_startable;
    if (work.m_all <= 0) {
      works.erase(oldest.m_organisation);
    }
    m_recent_work.pop_front();
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

std::string GangOverCap(const jobs::Job& job, const Resources& cap) {
  for (std::size_t number = 0; number < job.m_spec.steps.size(); ++number) {
    const wire::StepSpecT& step = *job.m_spec.steps[number];
    Resources need;
    need.Add(jobs::ResourcesOf(step), step.count);
    if (step.gang && organisations::ExceedsCap(cap, need)) {
      return "step " + std::to_string(number) +
             " is a gang that needs more at once than the organisation's cap";
    }
  }
  return {};
}

Work AdmissionControl::WorkBefore(const PoolOutlook& pool,
                                  const wire::QueueSpecT& queue,
                                  const jobs::Job& job,
                                  std::int64_t horizon_ms) const {
  Work before;
  for (const auto& [other, work] : pool.m_waiting_work) {
    before += other <= queue.priority ? work : Work();
  }
  if (m_organisations == nullptr || m_organisations->empty()) {
    return before;
  }
  std::map<std::string, Work> waiting;
  const auto listed = pool.m_work_by_organisation.find(queue.priority);
  if (listed != pool.m_work_by_organisation.end()) {
    waiting = listed->second;
  }
  const Work own = waiting[job.m_organisation];
  std::map<std::string, Work> coming = waiting;
  const auto recent =
      m_recent_by_organisation.find({queue.pool, queue.priority});
  if (recent != m_recent_by_organisation.end()) {
    const std::int64_t window_ms =
        std::chrono::duration_cast<Millis>(m_options.m_rate_window).count();
    for (const auto& [name, work] : recent->second) {
      coming[name].m_all += work.m_all / window_ms * horizon_ms;
      coming[name].m_startable += work.m_startable / window_ms * horizon_ms;
    }
  }
  const double own_weight = m_organisations->WeightOf(job.m_organisation);
  for (const auto& [name, work] : coming) {
    if (name == job.m_organisation) {
      continue;
    }
    const double weight = m_organisations->WeightOf(name);
    const Work& listed_work = waiting[name];
    before.m_all += organisations::WorkServedBefore(own.m_all, own_weight,
                                                    work.m_all, weight) -
                    listed_work.m_all;
    before.m_startable +=
        organisations::WorkServedBefore(own.m_startable, own_weight,
                                        work.m_startable, weight) -
        listed_work.m_startable;
  }
  return before;
}

std::int64_t AdmissionControl::WaitMs(const PoolOutlook& pool,
                                      const wire::QueueSpecT& queue,
                                      const jobs::Job& job) const {
  const auto wait_ms = [&](std::int64_t horizon_ms) {
    return DrainMs(pool, WorkBefore(pool, queue, job, horizon_ms).m_all,
                   m_options.m_move_ms);
  };
  const std::int64_t without_others_ms = wait_ms(0);
  return m_organisations == nullptr ? without_others_ms
                                    : wait_ms(without_others_ms);
}

void AdmissionControl::RecordAccepted(const wire::QueueSpecT& queue,
                                      const jobs::Job& job, const Work& work,
                                      Instant now) {
  const Room room = {queue.pool, queue.priority};
  m_recent_work.push_back({now, room, job.m_organisation, work});
  m_recent_by_organisation[room][job.m_organisation] += work;
}

Resources AdmissionControl::UsedBy(const std::string& organisation) const {
  if (m_used == nullptr) {
    return {};
  }
  const auto used = m_used->find(organisation);
  return used == m_used->end() ? Resources() : used->second;
}

std::int64_t AdmissionControl::CapWaitMs(const jobs::Job& job) const {
  if (m_organisations == nullptr) {
    return 0;
  }
  const Resources cap = m_organisations->CapOf(job.m_organisation);
  // What the cap of another dimension leaves, in CPU, for tasks like those of
  // the job.
  const Resources widest = WidestStep(job.m_spec);
  std::int64_t cap_milli = cap.m_cpu_milli;
  const auto limit = [&](std::int64_t cap_of, std::int64_t need) {
    if (cap_of > 0 && need > 0) {
      const auto milli = static_cast<std::int64_t>(
          static_cast<double>(cap_of) / static_cast<double>(need) *
          static_cast<double>(widest.m_cpu_milli));
      cap_milli = cap_milli == 0 ? milli : std::min(cap_milli, milli);
    }
  };
  limit(cap.m_memory_mb, widest.m_memory_mb);
  limit(cap.m_gpu, widest.m_gpu);
  if (cap_milli == 0) {
    return 0;
  }
  // Runs are half done on average.
  const auto steps =
      static_cast<std::int64_t>(std::max<std::size_t>(job.m_longest_chain, 1));
  std::int64_t own_work = UsedBy(job.m_organisation).m_cpu_milli *
                          job.m_critical_path_ms / steps / 2;
  for (const auto& [name, pool] : m_pools) {
    for (const auto& [priority, works] : pool.m_work_by_organisation) {
      const auto work = works.find(job.m_organisation);
      own_work += work == works.end() ? 0 : work->second.m_all;
    }
  }
  return std::min(kMaxDrainMs, own_work / cap_milli);
}

bool AdmissionControl::IsWithinCap(const jobs::Job& job) const {
  if (m_organisations == nullptr) {
    return true;
  }
  Resources used = WidestStep(job.m_spec);
  used.Add(UsedBy(job.m_organisation), 1);
  return !organisations::ExceedsCap(m_organisations->CapOf(job.m_organisation),
                                    used);
}

double AdmissionControl::ShareOf(const PoolOutlook& pool,
                                 const wire::QueueSpecT& queue,
                                 const jobs::Job& job) const {
  const auto waiting = pool.m_work_by_organisation.find(queue.priority);
  if (m_organisations == nullptr ||
      waiting == pool.m_work_by_organisation.end()) {
    return 1;
  }
  const double own = m_organisations->WeightOf(job.m_organisation);
  double all = own;
  for (const auto& [name, work] : waiting->second) {
    all += name == job.m_organisation ? 0 : m_organisations->WeightOf(name);
  }
  return all > 0 ? own / all : 1;
}

bool AdmissionControl::IsAcceptable(const PoolOutlook& pool,
                                    const wire::QueueSpecT& queue,
                                    const jobs::Job& job,
                                    AdmissionDecision& decision) const {
  if (pool.m_free_milli >= WidestStepMilli(job.m_spec) && IsWithinCap(job)) {
    return true;
  }
  const Work before = WorkBefore(pool, queue, job, 0);
  const auto drain_ms = [&](std::int64_t work) {
    return DrainMs(pool, work, m_options.m_move_ms);
  };
  decision.m_cap_wait_ms = CapWaitMs(job);
  decision.m_wait_ms =
      std::max(WaitMs(pool, queue, job), decision.m_cap_wait_ms);
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
                                             const AdmissionDecision& decision,
                                             Instant now) {
  const std::int64_t drain_ms =
      std::max(DrainMs(pool,
                       WorkBefore(pool, queue, job, decision.m_wait_ms).m_all +
                           pool.m_late_work.m_all,
                       m_options.m_move_ms),
               decision.m_cap_wait_ms);
  const std::int64_t capacity = std::max(
      static_cast<std::int64_t>(ShareOf(pool, queue, job) *
                                static_cast<double>(pool.m_capacity_milli +
                                                    pool.m_moving_milli +
                                                    pool.m_available_milli)),
      std::int64_t{1});
  Instant& last = m_last_return[{queue.pool, job.m_organisation}];
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
    const Work work = WorkOf(job.m_spec);
    pool.m_waiting_work[queue.priority] += work;
    if (m_organisations != nullptr && !m_organisations->empty()) {
      pool.m_work_by_organisation[queue.priority][job.m_organisation] += work;
      RecordAccepted(queue, job, work, now);
    }
    pool.m_free_milli -= WidestStepMilli(job.m_spec);
    return decision;
  }
  if (first_rejected == m_first_rejected.end()) {
    m_first_rejected[job.m_id] = now;
    m_rejections.push_back(
        {now, job.m_id, queue.pool, WidestStepMilli(job.m_spec)});
  }
  decision.m_retry_after_ms = NextReturnMs(pool, queue, job, decision, now);
  return decision;
}

}  // namespace bronzebarrow::placement
