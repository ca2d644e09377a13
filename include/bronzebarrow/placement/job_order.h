// Ranks waiting jobs for placement. Load pattern: the demand of one queue after
// another peaks at five times its mean for some seconds, which exceeds the
// capacity of the pool; serving in order of arrival would then make every job
// late. Test: tests/placement_test.cc, OverloadServesOnTimeJobsFirst.
#ifndef BRONZEBARROW_PLACEMENT_JOB_ORDER_H_
#define BRONZEBARROW_PLACEMENT_JOB_ORDER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bronzebarrow/jobs.h"

namespace bronzebarrow::placement {

/**
 * Whether a job would meet its queue's objective if it were placed now. The
 * order of the values is the order of placement.
 */
enum class ObjectiveStatus : std::uint8_t {
  // Has no end, so the objective does not apply. Placed first, because each
  // second that it runs has value.
  kLongRunning,
  kOnTime,
  kLate,  // Misses the objective, but finishing it still has value.
  // Would end later than three times its objective: must still be run, but
  // finishing it has no value.
  kExpired,
};

struct RankedJob {
  const jobs::Job* m_job = nullptr;
  const wire::QueueSpecT* m_queue = nullptr;
  ObjectiveStatus m_status = ObjectiveStatus::kOnTime;
  std::int64_t m_slack_ms = 0;  // Time until it is late; negative when late.
};

/**
 * @return active jobs with a waiting task: by status, then by the queue's
 * priority value (lowest first), then started jobs first, then in the order of
 * acceptance
 */
std::vector<RankedJob> RankJobs(const jobs::WorkState& state,
                                std::uint64_t now_ms);

/** Demand of the jobs of one pool. */
struct PoolDemand {
  /** CPU of the tasks that could start now, in thousandths of a core. */
  std::int64_t m_ready_milli = 0;
  /**
   * Machines that one step needs because its number of tasks per runner is
   * limited; the largest such need of any step.
   */
  std::int64_t m_spread_machines = 0;
};

/** @return the demand by pool, without jobs past their useful deadline. */
std::map<std::string, PoolDemand> DemandByPool(const jobs::WorkState& state,
                                               std::uint64_t now_ms);

}  // namespace bronzebarrow::placement

#endif  // BRONZEBARROW_PLACEMENT_JOB_ORDER_H_
