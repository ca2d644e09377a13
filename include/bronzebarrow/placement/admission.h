// Decides whether a new job is accepted or rejected at once, and when a
// rejected caller should return. Load pattern: one queue's demand peaks at five
// times its mean for 4 to 5 s and exceeds what its pool, and all machines that
// could still be moved there, complete in time; without a limit, every job of
// the peak waits until it is late. Tests: tests/admission_test.cc,
// tests/load_replay_test.cc.
#ifndef BRONZEBARROW_PLACEMENT_ADMISSION_H_
#define BRONZEBARROW_PLACEMENT_ADMISSION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bronzebarrow/base/time.h"
#include "bronzebarrow/jobs.h"
#include "bronzebarrow/placement/pool_balance.h"

namespace bronzebarrow::placement {

/** Capacity and work of one pool; `milli` are thousandths of a core. */
struct PoolOutlook {
  std::int64_t m_capacity_milli = 0;  // Of the usable machines.
  /** Of m_capacity_milli, what neither assigned nor startable tasks use. */
  std::int64_t m_free_milli = 0;
  std::int64_t m_moving_milli = 0;     // Of machines that move there.
  std::int64_t m_available_milli = 0;  // Of machines that no other pool needs.
  /** As PoolDemand. */
  std::map<std::uint32_t, Work> m_waiting_work;
  WorkByOrganisation m_work_by_organisation;
  Work m_late_work;
};

/** @return the outlook of each pool, by name. */
std::map<std::string, PoolOutlook> OutlookOf(const std::vector<PoolLoad>& pools,
                                             const BalanceOptions& options);

/**
 * @param move_ms time until a machine that is moved now takes tasks; those that
 * move already are halfway there on average
 * @return the time in milliseconds that the pool takes for `work`
 */
std::int64_t DrainMs(const PoolOutlook& pool, std::int64_t work,
                     std::int64_t move_ms);

struct AdmissionOptions {
  /** Time until a machine that is moved now takes tasks. */
  std::int64_t m_move_ms = 1600;
  /** Time for which a rejected job counts as demand of its pool. */
  Duration m_demand_memory = Millis(1000);
  /** Time over which the rate is measured at which organisations submit. */
  Duration m_rate_window = Millis(1000);
  /**
   * A caller that returns within this time after its first rejection is
   * recognised. Longer than the time for which callers send a request again.
   */
  Duration m_return_memory = Millis(15'000);
  /** Limits of the time after which a rejected caller is asked to return. */
  std::int64_t m_min_retry_after_ms = 1000;
  std::int64_t m_max_retry_after_ms = 10'000;
};

struct AdmissionDecision {
  bool m_accepted = true;
  std::int64_t m_wait_ms = 0;  // Predicted wait for the first task.
  // Of it, the wait that the organisation's cap alone would cause.
  std::int64_t m_cap_wait_ms = 0;
  std::int64_t m_age_ms = 0;           // Time since the job was first rejected.
  std::uint32_t m_retry_after_ms = 0;  // Set when rejected.

  /** @return whether the job was rejected because of a cap. */
  bool IsForCap() const {
    return !m_accepted && m_cap_wait_ms > 0 && m_cap_wait_ms >= m_wait_ms;
  }
};

/**
 * @param cap of the job's organisation; 0 in a dimension means no limit
 * @return why the job can never be done: a gang needs more than the cap at
 * once; empty if there is no such gang
 */
std::string GangOverCap(const jobs::Job& job, const Resources& cap);

/**
 * Accepts a job that finds room at once. Else predicts when it would end: its
 * first step starts after the tasks that could start now, and its last one ends
 * after all work that was accepted before, because started jobs come first. The
 * prediction takes every machine that no
 * pool needs as arriving, so a rejected job could not have met its objective. A
 * caller that returns too late for that is accepted once no other work waits,
 * so that it takes no room from jobs that can still be on time. Rejected
 * callers are given consecutive times to return, at the rate at which the pool
 * can serve them.
 *
 * With organisations, the work of another one counts only as far as the share
 * of the caller's makes it wait for that work, the organisation's own work
 * takes as long as its cap makes it take, and callers of each organisation are
 * given times of their own.
 */
class AdmissionControl {
 public:
  explicit AdmissionControl(AdmissionOptions options) : m_options(options) {}

  /** Replaces what is known of all pools. */
  void Update(std::map<std::string, PoolOutlook> pools) {
    m_pools = std::move(pools);
  }
  /** The arguments must outlive this object and may change between calls. */
  void SetOrganisations(const organisations::OrganisationTable& table,
                        const organisations::Usage& used) {
    m_organisations = &table;
    m_used = &used;
  }
  void Clear();
  const TypicalSteps& typical() const { return m_typical; }

  /**
   * An accepted job adds to the work of its pool until the next update. Jobs
   * without an objective (periodic or long-running) and jobs of pools that are
   * not known are accepted.
   */
  AdmissionDecision Decide(const wire::QueueSpecT& queue, const jobs::Job& job,
                           Instant now);
  /**
   * @return by pool, the CPU that the jobs first rejected of late would use at
   * once, in thousandths of a core
   */
  std::map<std::string, std::int64_t> RejectedMilli(Instant now);

 private:
  /** The first rejection of a job. */
  struct Rejection {
    Instant m_when;
    jobs::JobId m_job = 0;
    std::string m_pool;
    std::int64_t m_milli = 0;
  };

  bool IsAcceptable(const PoolOutlook& pool, const wire::QueueSpecT& queue,
                    const jobs::Job& job, AdmissionDecision& decision) const;
  /** Jobs that wait for the same room: pool and priority value. */
  using Room = std::pair<std::string, std::uint32_t>;
  /** Work of a job that was accepted of late. */
  struct RecentWork {
    Instant m_when;
    Room m_room;
    std::string m_organisation;
    Work m_work;
  };

  // Work of the pool's jobs that is served before the job. With organisations,
  // others go on to submit for `horizon_ms` as they did of late, and what comes
  // may be served before it too.
  Work WorkBefore(const PoolOutlook& pool, const wire::QueueSpecT& queue,
                  const jobs::Job& job, std::int64_t horizon_ms) const;
  // Time until the work before the job is done.
  std::int64_t WaitMs(const PoolOutlook& pool, const wire::QueueSpecT& queue,
                      const jobs::Job& job) const;
  void RecordAccepted(const wire::QueueSpecT& queue, const jobs::Job& job,
                      const Work& work, Instant now);
  // Time that the organisation's waiting work takes within its cap; 0 without a
  // cap.
  std::int64_t CapWaitMs(const jobs::Job& job) const;
  bool IsWithinCap(const jobs::Job& job) const;
  Resources UsedBy(const std::string& organisation) const;
  // The organisation's share of the pool's work that waits, by weight.
  double ShareOf(const PoolOutlook& pool, const wire::QueueSpecT& queue,
                 const jobs::Job& job) const;
  std::uint32_t NextReturnMs(const PoolOutlook& pool,
                             const wire::QueueSpecT& queue,
                             const jobs::Job& job,
                             const AdmissionDecision& decision, Instant now);
  void Forget(Instant now);

  AdmissionOptions m_options;
  TypicalSteps m_typical;
  std::map<std::string, PoolOutlook> m_pools;  // By name.
  std::deque<Rejection> m_rejections;          // Oldest first.
  // When each job of m_rejections was first rejected.
  std::unordered_map<jobs::JobId, Instant> m_first_rejected;
  // By pool and organisation: when the caller that was rejected last was asked
  // to return.
  std::map<std::pair<std::string, std::string>, Instant> m_last_return;
  std::deque<RecentWork> m_recent_work;  // Oldest first.
  // Sums over m_recent_work.
  std::map<Room, std::map<std::string, Work>> m_recent_by_organisation;
  const organisations::OrganisationTable* m_organisations = nullptr;
  const organisations::Usage* m_used = nullptr;  // Null with m_organisations.
};

}  // namespace bronzebarrow::placement

#endif  // BRONZEBARROW_PLACEMENT_ADMISSION_H_
