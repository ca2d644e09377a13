// Moves machines to pools that are short of capacity, and idle machines to the
// pools of the next demand peak or to standby.
#include "bronzebarrow/placement/pool_balance.h"

#include <algorithm>
#include <cmath>

namespace bronzebarrow::placement {
namespace {

// Machines that the pool needs for its assigned tasks, for tasks that could
// start now, and for the demand expected while more machines are moving.
std::int64_t NeededMachines(const PoolLoad& pool,
                            const BalanceOptions& options) {
  if (pool.m_machine_milli <= 0) {
    return std::max(pool.m_machines, pool.m_spread_machines);
  }
  const double machines =
      (static_cast<double>(pool.m_used_milli) +
       options.m_demand_growth * static_cast<double>(pool.m_ready_milli)) /
          static_cast<double>(pool.m_machine_milli) +
      options.m_reserve_machines;
  return std::max({static_cast<std::int64_t>(std::ceil(machines)),
                   options.m_min_machines, pool.m_spread_machines});
}

bool HasIdleMachine(const PoolLoad& pool) {
  return !pool.m_movable.empty() && pool.m_movable.back().m_used_milli == 0;
}

// @return the pool with the most surplus machines; null when none has one.
PoolLoad* FindDonor(const std::vector<PoolLoad*>& donors,
                    const BalanceOptions& options, bool only_idle) {
  PoolLoad* best = nullptr;
  std::int64_t best_spare = 0;
  for (PoolLoad* const donor : donors) {
    const std::int64_t spare =
        donor->m_machines - NeededMachines(*donor, options);
    if (spare > best_spare && !donor->m_movable.empty() &&
        (!only_idle || HasIdleMachine(*donor))) {
      best = donor;
      best_spare = spare;
    }
  }
  return best;
}

// @return the pools that may have the next demand peak. The pools have their
// peaks one after another, so these are the pools without a peak yet, or else
// the pool whose last peak was longest ago.
std::vector<PoolLoad*> NextPeakPools(const std::vector<PoolLoad*>& pools) {
  std::vector<PoolLoad*> next;
  for (PoolLoad* const pool : pools) {
    if (pool->m_peak_age_ms == 0) {
      continue;
    }
    if (!next.empty() && next[0]->m_peak_age_ms < pool->m_peak_age_ms) {
      next.clear();
    }
    if (next.empty() || next[0]->m_peak_age_ms == pool->m_peak_age_ms) {
      next.push_back(pool);
    }
  }
  return next;
}

}  // namespace

std::vector<PoolMove> RebalancePools(std::vector<PoolLoad> pools,
                                     const BalanceOptions& options) {
  std::vector<PoolMove> moves;
  std::vector<PoolLoad*> short_pools;
  std::vector<PoolLoad*> donors;
  PoolLoad* standby = nullptr;
  for (PoolLoad& pool : pools) {
    // The machine with the least assigned CPU comes last and is moved first.
    std::sort(pool.m_movable.begin(), pool.m_movable.end(),
              [](const MovableMachine& a, const MovableMachine& b) {
                return a.m_used_milli > b.m_used_milli;
              });
    if (pool.m_standby) {
      standby = &pool;
    } else if (NeededMachines(pool, options) > pool.m_machines) {
      short_pools.push_back(&pool);
    } else {
      donors.push_back(&pool);
    }
  }
  std::sort(short_pools.begin(), short_pools.end(),
            [](const PoolLoad* a, const PoolLoad* b) {
              return a->m_ready_milli > b->m_ready_milli;
            });
  const auto move_machine = [&](PoolLoad& from, PoolLoad& to) {
    const MovableMachine machine = from.m_movable.back();
    from.m_movable.pop_back();
    from.m_used_milli -= machine.m_used_milli;
    --from.m_machines;
    ++to.m_machines;
    moves.push_back({machine.m_machine, from.m_pool, to.m_pool});
  };
  for (PoolLoad* const pool : short_pools) {
    while (NeededMachines(*pool, options) > pool->m_machines &&
           moves.size() < options.m_max_moves) {
      // Idle machines of other pools come first, because they are charged for
      // already. Parked machines are not, but are available sooner than busy
      // ones, which must finish their tasks first.
      PoolLoad* best = FindDonor(donors, options, true);
      if (best == nullptr && standby != nullptr &&
          !standby->m_movable.empty()) {
        best = standby;
      }
      if (best == nullptr) {
        best = FindDonor(donors, options, false);
      }
      if (best == nullptr) {
        break;
      }
      move_machine(*best, *pool);
    }
  }
  std::int64_t no_backlog_ms = std::numeric_limits<std::int64_t>::max();
  for (const PoolLoad& pool : pools) {
    no_backlog_ms = pool.m_standby
                        ? no_backlog_ms
                        : std::min(no_backlog_ms, pool.m_no_backlog_ms);
  }
  if (no_backlog_ms < options.m_peak_wait_ms) {
    const std::vector<PoolLoad*> next = NextPeakPools(donors);
    for (PoolLoad* const donor : donors) {
      const bool is_next =
          std::find(next.begin(), next.end(), donor) != next.end();
      while (!next.empty() && !is_next &&
             donor->m_no_backlog_ms >= options.m_peak_over_ms &&
             HasIdleMachine(*donor) &&
             donor->m_machines > NeededMachines(*donor, options) &&
             moves.size() < options.m_max_moves) {
        move_machine(*donor,
                     **std::min_element(next.begin(), next.end(),
                                        [](const auto* a, const auto* b) {
                                          return a->m_machines < b->m_machines;
                                        }));
      }
    }
    return moves;
  }
  if (standby == nullptr) {
    return moves;
  }
  for (PoolLoad* const donor : donors) {
    while (donor->m_no_backlog_ms >= options.m_park_after_ms &&
           donor->m_machines > NeededMachines(*donor, options) &&
           HasIdleMachine(*donor) && moves.size() < options.m_max_moves) {
      move_machine(*donor, *standby);
    }
  }
  return moves;
}

}  // namespace bronzebarrow::placement
