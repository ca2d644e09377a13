// Ranks waiting jobs and sums up their demand.
#include "bronzebarrow/placement/job_order.h"

#include <algorithm>
#include <tuple>

namespace bronzebarrow::placement {
namespace {

// Weight of the newest estimate in the mean of its queue.
constexpr double kNewestShare = 0.02;

auto RankOf(const RankedJob& ranked) {
  return std::tuple(ranked.m_status, ranked.m_queue->priority,
                    !ranked.m_in_progress);
}

ObjectiveStatus ObjectiveStatusOf(std::int64_t age, std::int64_t remaining,
                                  std::int64_t objective) {
  if (age + remaining <= objective) {
    return ObjectiveStatus::kOnTime;
  }
  return age + remaining <= kUsefulObjectiveMultiple * objective
             ? ObjectiveStatus::kLate
             : ObjectiveStatus::kExpired;
}

RankedJob AssessJob(const jobs::Job& job, const wire::QueueSpecT& queue,
                    std::uint64_t now_ms, const TypicalSteps& typical) {
  RankedJob entry = {&job, &queue, ObjectiveStatus::kLongRunning, 0,
                     job.IsInProgress()};
  if (job.IsLongRunning()) {
    return entry;
  }
  const std::int64_t objective =
      ObjectiveMs(queue, typical.CriticalPathMs(job));
  for (const auto& [k, occurrence] : job.m_occurrences) {
    const std::int64_t age =
        static_cast<std::int64_t>(now_ms - std::min(now_ms, job.DueMs(k)));
    const std::int64_t remaining = job.CriticalPathMs(&occurrence);
    const ObjectiveStatus status = ObjectiveStatusOf(age, remaining, objective);
    if (entry.m_status == ObjectiveStatus::kLongRunning ||
        status < entry.m_status) {
      entry.m_status = status;
      entry.m_slack_ms = objective - age - remaining;
    }
  }
  return entry;
}

// The status of each startable job, in the order of acceptance.
std::vector<RankedJob> AssessJobs(const jobs::WorkState& state,
                                  std::uint64_t now_ms,
                                  const TypicalSteps& typical) {
  std::vector<RankedJob> ranked;
  ranked.reserve(state.startable().size());
  for (const auto& [number, startable] : state.startable()) {
    const jobs::Job& job = *startable;
    const wire::QueueSpecT* const queue = state.FindQueue(job);
    if (queue == nullptr) {
      continue;  // No configuration has had the queue: its pool is unknown.
    }
    ranked.push_back(AssessJob(job, *queue, now_ms, typical));
  }
  return ranked;
}

// Adds the estimated work of the job's waiting tasks.
void AddWork(const jobs::Job& job, Work& work) {
  for (const auto& [number, occurrence] : job.m_occurrences) {
    for (std::size_t step = 0; step < occurrence.m_steps.size(); ++step) {
      const wire::StepSpecT& spec = *job.m_spec.steps[step];
      const std::int64_t step_work = occurrence.m_steps[step].m_waiting *
                                     jobs::ResourcesOf(spec).m_cpu_milli *
                                     std::int64_t{spec.estimate_ms};
      work.m_all += step_work;
      work.m_startable += job.IsStepReady(occurrence, step) ? step_work : 0;
    }
  }
}

/**
 * Limits the demand of organisations to what their caps leave: machines that
 * are moved for more would stay idle.
 */
class CapRoom {
 public:
  explicit CapRoom(const jobs::WorkState& state) {
    for (const auto& [name, organisation] :
         state.organisations().organisations()) {
      if (organisation.m_cap.m_cpu_milli > 0) {
        const auto used = state.usage().find(name);
        const std::int64_t used_milli =
            used == state.usage().end() ? 0 : used->second.m_cpu_milli;
        m_room_milli[name] = std::max<std::int64_t>(
            organisation.m_cap.m_cpu_milli - used_milli, 0);
      }
    }
  }

  // @return the part of `milli` that the organisation may use besides what was
  // taken before
  std::int64_t Take(const std::string& organisation, std::int64_t milli) {
    const auto room = m_room_milli.find(organisation);
    if (room == m_room_milli.end()) {
      return milli;
    }
    const std::int64_t taken = std::min(milli, room->second);
    room->second -= taken;
    return taken;
  }

 private:
  std::map<std::string, std::int64_t> m_room_milli;  // Of those with a cap.
};

std::int64_t AssignedMilli(const jobs::Job& job) {
  std::int64_t milli = 0;
  for (const auto& [number, occurrence] : job.m_occurrences) {
    for (std::size_t step = 0; step < occurrence.m_steps.size(); ++step) {
      milli += occurrence.m_steps[step].m_assigned *
               jobs::ResourcesOf(*job.m_spec.steps[step]).m_cpu_milli;
    }
  }
  return milli;
}

}  // namespace

void TypicalSteps::Record(const jobs::Job& job) {
  for (const auto& step : job.m_spec.steps) {
    const auto ms = static_cast<double>(step->estimate_ms);
    const auto [mean, is_new] = m_step_ms.emplace(job.m_queue, ms);
    if (!is_new) {
      mean->second += kNewestShare * (ms - mean->second);
    }
  }
}

std::int64_t TypicalSteps::CriticalPathMs(const jobs::Job& job) const {
  const std::int64_t declared_ms = job.CriticalPathMs(nullptr);
  const auto typical = m_step_ms.find(job.m_queue);
  if (typical == m_step_ms.end()) {
    return declared_ms;
  }
  const auto typical_ms = static_cast<std::int64_t>(
      typical->second * static_cast<double>(job.m_longest_chain));
  return (declared_ms + 2 * typical_ms) / 3;
}

std::int64_t ObjectiveMs(const wire::QueueSpecT& queue,
                         std::int64_t critical_path_ms) {
  return static_cast<std::int64_t>(queue.slack_factor *
                                       static_cast<double>(critical_path_ms) +
                                   queue.objective_ms);
}

bool RanksEqual(const RankedJob& a, const RankedJob& b) {
  return RankOf(a) == RankOf(b);
}

std::vector<RankedJob> RankJobs(const jobs::WorkState& state,
                                std::uint64_t now_ms,
                                const TypicalSteps& typical) {
  std::vector<RankedJob> ranked = AssessJobs(state, now_ms, typical);
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const RankedJob& a, const RankedJob& b) {
                     return RankOf(a) < RankOf(b);
                   });
  return ranked;
}

std::map<std::string, PoolDemand> DemandByPool(const jobs::WorkState& state,
                                               std::uint64_t now_ms,
                                               const TypicalSteps& typical) {
  std::map<std::string, PoolDemand> demands;
  CapRoom cap_room(state);
  for (const RankedJob& ranked : AssessJobs(state, now_ms, typical)) {
    if (ranked.m_status == ObjectiveStatus::kExpired) {
      continue;
    }
    const jobs::Job& job = *ranked.m_job;
    PoolDemand& demand = demands[ranked.m_queue->pool];
    if (ranked.m_status == ObjectiveStatus::kOnTime) {
      const std::uint32_t priority = ranked.m_queue->priority;
      AddWork(job, demand.m_waiting_work[priority]);
      if (!state.organisations().empty()) {
        AddWork(job,
                demand.m_work_by_organisation[priority][job.m_organisation]);
      }
    } else if (ranked.m_status == ObjectiveStatus::kLate) {
      AddWork(job, demand.m_late_work);
    }
    std::int64_t& ready_milli = ranked.m_status == ObjectiveStatus::kLate
                                    ? demand.m_late_milli
                                    : demand.m_ready_milli;
    for (const auto& [number, occurrence] : job.m_occurrences) {
      for (std::size_t step = 0; step < occurrence.m_steps.size(); ++step) {
        const jobs::StepState& tasks = occurrence.m_steps[step];
        const wire::StepSpecT& spec = *job.m_spec.steps[step];
        if (tasks.m_waiting == 0 || !job.IsStepReady(occurrence, step)) {
          continue;
        }
        ready_milli += cap_room.Take(
            job.m_organisation,
            tasks.m_waiting * jobs::ResourcesOf(spec).m_cpu_milli);
        if (spec.max_per_runner > 0) {
          const std::int64_t at_once = tasks.m_waiting + tasks.m_assigned;
          demand.m_spread_machines = std::max(
              demand.m_spread_machines,
              (at_once + spec.max_per_runner - 1) / spec.max_per_runner);
        }
      }
    }
  }
  for (const auto& [number, id] : state.active()) {
    const jobs::Job& job = *state.FindJob(id);
    const std::int64_t used = AssignedMilli(job);
    const wire::QueueSpecT* const queue =
        used == 0 ? nullptr : state.FindQueue(job);
    if (queue != nullptr && AssessJob(job, *queue, now_ms, typical).m_status >=
                                ObjectiveStatus::kLate) {
      demands[queue->pool].m_late_used_milli += used;
    }
  }
  return demands;
}

}  // namespace bronzebarrow::placement
