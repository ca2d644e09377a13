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

/** A job that ends after this multiple of its objective has no value. */
constexpr std::int64_t kUsefulObjectiveMultiple = 3;

/**
 * @param critical_path_ms estimated length of the job's longest chain of steps
 * @return the time after its acceptance by which a job of the queue should end
 */
std::int64_t ObjectiveMs(const wire::QueueSpecT& queue,
                         std::int64_t critical_path_ms);

/**
 * Learns how long a step of each queue is declared to take. Single estimates
 * are off by up to 0.9 of the true time, so one that is far too short would
 * make its job seem late at once; their mean is not.
 */
class TypicalSteps {
 public:
  void Record(const jobs::Job& job);
  void Clear() { m_step_ms.clear(); }
  /**
   * @return the estimated length of the job's critical path, with steps that
   * are not shorter than typical for its queue, in milliseconds
   */
  std::int64_t CriticalPathMs(const jobs::Job& job) const;

 private:
  std::map<jobs::QueueAddress, double> m_step_ms;  // Moving mean by queue.
};

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
  bool m_in_progress = false;   // As Job::IsInProgress.
};

/** @return whether only their acceptance decides the order of the two jobs. */
bool RanksEqual(const RankedJob& a, const RankedJob& b);

/**
 * @return active jobs with a task that could start now: by status, then by the
 * queue's priority value (lowest first), then jobs in progress first, then in
 * the order of acceptance
 */
std::vector<RankedJob> RankJobs(const jobs::WorkState& state,
                                std::uint64_t now_ms,
                                const TypicalSteps& typical = {});

/** Estimated work, in thousandths of a core times milliseconds. */
struct Work {
  std::int64_t m_startable = 0;  // Of tasks that could start now.
  std::int64_t m_all = 0;        // Also of the later steps of their jobs.

  Work& operator+=(const Work& other) {
    m_startable += other.m_startable;
    m_all += other.m_all;
    return *this;
  }
};

/** Work by priority value of the queue, and by organisation. */
using WorkByOrganisation = std::map<std::uint32_t, std::map<std::string, Work>>;

/** Demand of the jobs of one pool. */
struct PoolDemand {
  /**
   * CPU of the tasks that could start now, in thousandths of a core, of jobs
   * that can still meet their objective or have none.
   */
  std::int64_t m_ready_milli = 0;
  /** The same of late jobs. */
  std::int64_t m_late_milli = 0;
  /** CPU assigned to tasks of late and expired jobs. */
  std::int64_t m_late_used_milli = 0;
  /**
   * By priority value of the queue: waiting work of jobs that can still meet
   * their objective.
   */
  std::map<std::uint32_t, Work> m_waiting_work;
  /** The same by organisation; empty while there are no organisations. */
  WorkByOrganisation m_work_by_organisation;
  Work m_late_work;  // The same of late jobs of all queues.
  /**
   * Machines that one step needs because its number of tasks per runner is
   * limited; the largest such need of any step.
   */
  std::int64_t m_spread_machines = 0;
};

/**
 * @return the demand by pool; tasks that wait of jobs past their useful
 * deadline do not count
 */
std::map<std::string, PoolDemand> DemandByPool(
    const jobs::WorkState& state, std::uint64_t now_ms,
    const TypicalSteps& typical = {});

}  // namespace bronzebarrow::placement

#endif  // BRONZEBARROW_PLACEMENT_JOB_ORDER_H_
