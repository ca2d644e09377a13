// Moves machines to pools that are short of capacity, and idle machines to the
// pools of the next demand peak or to standby.
#include "bronzebarrow/placement/pool_balance.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace bronzebarrow::placement {
namespace {

// Machines that the pool needs for its assigned tasks and for tasks that could
// start now, of jobs that can still be on time, and for the demand expected
// while more machines are moving.
std::int64_t NeededMachines(const PoolLoad& pool,
                            const BalanceOptions& options) {
  if (pool.m_machine_milli <= 0) {
    return std::max(pool.m_machines, pool.m_spread_machines);
  }
  const double machines =
      (static_cast<double>(pool.m_used_milli - pool.m_late_used_milli) +
       options.m_demand_growth *
           static_cast<double>(pool.m_ready_milli + pool.m_rejected_milli)) /
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
    const std::int64_t spare = SurplusMachines(*donor, options);
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

// Divides the machines of pools that are all short in proportion to their
// needs, as far as machines can be moved.
void ShareAmongShortPools(
    const std::vector<PoolLoad*>& pools, const BalanceOptions& options,
    std::size_t moves,
    const std::function<void(PoolLoad& from, PoolLoad& to)>& move_machine) {
  double all_needed = 0;
  double all_machines = 0;
  for (const PoolLoad* const pool : pools) {
    all_needed += static_cast<double>(NeededMachines(*pool, options));
    all_machines += static_cast<double>(pool->m_machines);
  }
  // Machines beyond the pool's share; negative: machines that it lacks.
  const auto excess = [&](const PoolLoad& pool) {
    const double share = std::max(
        {all_machines * static_cast<double>(NeededMachines(pool, options)) /
             all_needed,
         static_cast<double>(options.m_min_machines),
         static_cast<double>(pool.m_spread_machines)});
    return (static_cast<double>(pool.m_machines) - share) / share;
  };
  for (; moves < options.m_max_moves; ++moves) {
    PoolLoad* from = nullptr;
    PoolLoad* to = nullptr;
    for (PoolLoad* const pool : pools) {
      if (!pool->m_movable.empty() &&
          excess(*pool) > options.m_share_tolerance &&
          (from == nullptr || excess(*pool) > excess(*from))) {
        from = pool;
      }
      if (to == nullptr || excess(*pool) < excess(*to)) {
        to = pool;
      }
    }
    if (from == nullptr || excess(*to) >= 0) {
      return;
    }
    move_machine(*from, *to);
  }
}

}  // namespace

std::int64_t SurplusMachines(const PoolLoad& pool,
                             const BalanceOptions& options) {
  return pool.m_standby
             ? static_cast<std::int64_t>(pool.m_movable.size())
             : std::max(std::int64_t{0},
                        pool.m_machines - NeededMachines(pool, options));
}

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
              return a->m_ready_milli + a->m_rejected_milli >
                     b->m_ready_milli + b->m_rejected_milli;
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
  ShareAmongShortPools(short_pools, options, moves.size(), move_machine);
  // Late jobs get machines that are idle elsewhere, but no parked ones: what
  // they are still worth does not pay for those.
  for (PoolLoad* const pool : donors) {
    while (pool->m_late_milli > 0 && pool->m_machine_milli > 0 &&
           moves.size() < options.m_max_moves &&
           pool->m_used_milli + pool->m_late_milli >
               pool->m_machines * pool->m_machine_milli) {
      std::vector<PoolLoad*> others = donors;
      std::erase(others, pool);
      PoolLoad* const best = FindDonor(others, options, true);
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
