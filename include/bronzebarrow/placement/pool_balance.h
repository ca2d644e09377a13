// Rebalances machines between pools. Load pattern: the demand of one queue
// after another peaks at several times its mean for 4 to 5 s, which exceeds the
// capacity of its pool, and is almost zero in between. Machines are therefore
// moved to the pools with demand; idle ones are moved to the pools whose demand
// peak is expected next, or parked in a standby pool when no peak is expected.
// Jobs of a peak that are already late do not keep machines from the pool whose
// own peak has begun. Test: tests/placement_test.cc.
#ifndef BRONZEBARROW_PLACEMENT_POOL_BALANCE_H_
#define BRONZEBARROW_PLACEMENT_POOL_BALANCE_H_

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "bronzebarrow/placement/job_order.h"

namespace bronzebarrow::placement {

/** A machine that may leave its pool: it runs no long-running task. */
struct MovableMachine {
  std::string m_machine;
  std::int64_t m_used_milli = 0;  // CPU assigned to its tasks.
};

/** m_peak_age_ms of a pool that had no demand peak yet. */
constexpr std::int64_t kNoDemandPeakYet =
    std::numeric_limits<std::int64_t>::max();

/** Capacity and demand of one pool; `milli` are thousandths of a core. */
struct PoolLoad {
  std::string m_pool;
  bool m_standby = false;
  std::int64_t m_machine_milli = 0;       // CPU of one machine.
  std::int64_t m_machines = 0;            // Usable ones, and those moving here.
  std::int64_t m_moving_here = 0;         // Those of m_machines that move here.
  std::int64_t m_used_milli = 0;          // CPU assigned on usable machines.
  std::int64_t m_long_running_milli = 0;  // Of it, for long-running tasks.
  // As PoolDemand: CPU of tasks that could start now or are late, and waiting
  // work.
  std::int64_t m_ready_milli = 0;
  std::int64_t m_late_milli = 0;
  std::int64_t m_late_used_milli = 0;
  Work m_late_work;
  // CPU that recently rejected jobs would have used: what the pool lacks must
  // not seem less because its jobs are rejected.
  std::int64_t m_rejected_milli = 0;
  std::map<std::uint32_t, Work> m_waiting_work;
  WorkByOrganisation m_work_by_organisation;
  std::int64_t m_spread_machines = 0;  // As PoolDemand::m_spread_machines.
  // Time since the pool last had a backlog, on time or late.
  std::int64_t m_no_backlog_ms = 0;
  /**
   * Time since the pool's last demand peak, during which more than half of the
   * demand of all pools is its own; 0: it is at its peak now.
   */
  std::int64_t m_peak_age_ms = kNoDemandPeakYet;
  std::vector<MovableMachine> m_movable;  // In any order.
};

struct PoolMove {
  std::string m_machine;
  std::string m_from;
  std::string m_to;
};

struct BalanceOptions {
  /** Minimum number of machines of every pool except standby. */
  std::int64_t m_min_machines = 2;
  /**
   * An idle machine is parked in standby once its pool had no backlog for this
   * time. A move to standby and back costs as much as 2.3 s in a pool (the
   * users' price lists).
   */
  std::int64_t m_park_after_ms = 2300;
  /**
   * While any pool had a backlog within this time, idle machines are kept for
   * the next demand peak instead of being parked. A machine that is in the pool
   * when a peak begins serves it for 1.6 s longer (the duration of a move); a
   * second of service is worth about 15 times the price of a second in a pool
   * (the users' price lists).
   */
  std::int64_t m_peak_wait_ms = 20'000;
  /**
   * An idle machine may be moved to the pool of the next demand peak once its
   * own pool had no backlog for this time.
   */
  std::int64_t m_peak_over_ms = 1000;
  /**
   * Expected demand per unit of ready demand: when a demand peak begins, about
   * as much again arrives while the machines are moving (1.5 s).
   */
  double m_demand_growth = 2.0;
  /** CPU kept free beyond the expected demand, in machines. */
  double m_reserve_machines = 0.5;
  /**
   * When all pools with demand are short, one with this many machines more than
   * its share, relative to the share, gives machines to the others.
   */
  double m_share_tolerance = 0.25;
  std::size_t m_max_moves = 12;  // In one call of RebalancePools.
};

/**
 * @return machines of the pool that neither its assigned tasks nor tasks that
 * could still be on time need; all movable ones of a standby pool
 */
std::int64_t SurplusMachines(const PoolLoad& pool,
                             const BalanceOptions& options);

/** @return moves to start now, at most one per machine. */
std::vector<PoolMove> RebalancePools(std::vector<PoolLoad> pools,
                                     const BalanceOptions& options);

}  // namespace bronzebarrow::placement

#endif  // BRONZEBARROW_PLACEMENT_POOL_BALANCE_H_
