// The order in which waiting jobs are placed. Load pattern: queues whose
// demand rises by turns to five times the mean for some seconds, more than
// the pool holds; serving in order of arrival would then make every job late.
// Test: tests/placement_test.cc, TestOverloadServesOnTimeJobsFirst.
#ifndef BRONZEBARROW_PLACEMENT_JOB_ORDER_H_
#define BRONZEBARROW_PLACEMENT_JOB_ORDER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bronzebarrow/jobs.h"

namespace bronzebarrow::placement {

/** How a job stands against its objective if it were placed now. */
enum class Standing : std::uint8_t {
  kLasting,  // Has no end; every second at work counts.
  kOnTime,
  kLate,      // Still worth something.
  kHopeless,  // Past three times its objective; owed, but worth nothing.
};

struct RankedJob {
  const jobs::Job* m_job = nullptr;
  const wire::QueueSpecT* m_queue = nullptr;
  Standing m_standing = Standing::kOnTime;
  std::int64_t m_slack_ms = 0;  // Until it turns late.
};

/** @return active jobs with a waiting task, most deserving first. */
std::vector<RankedJob> RankJobs(const jobs::WorkState& state,
                                std::uint64_t now_ms);

/** What the jobs of a pool ask for. */
struct PoolDemand {
  /** Of tasks that could start now, in thousandths of a core. */
  std::int64_t m_ready_milli = 0;
  /** Machines over which one step must be spread, each with few of its tasks.
   */
  std::int64_t m_spread = 0;
};

/** @return the demand by pool; hopeless jobs do not count. */
std::map<std::string, PoolDemand> Demands(const jobs::WorkState& state,
                                          std::uint64_t now_ms);

}  // namespace bronzebarrow::placement

#endif  // BRONZEBARROW_PLACEMENT_JOB_ORDER_H_
