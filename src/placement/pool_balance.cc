// Matching pools that are short of machines with machines that are idle.
#include "bronzebarrow/placement/pool_balance.h"

#include <algorithm>
#include <cmath>

namespace bronzebarrow::placement {
namespace {

// Machines the pool needs for what it runs and what could start now.
std::int64_t Needed(const PoolLoad& pool, const BalanceOptions& options) {
  if (pool.m_machine_milli <= 0) {
    return pool.m_machines;
  }
  const double machines =
      static_cast<double>(pool.m_used_milli + pool.m_ready_milli) /
          static_cast<double>(pool.m_machine_milli) +
      options.m_reserve;
  return std::max(static_cast<std::int64_t>(std::ceil(machines)),
                  options.m_min_machines);
}

// @return the pool with the most machines to spare; null when none has one.
PoolLoad* Donor(const std::vector<PoolLoad*>& donors,
                const BalanceOptions& options, bool only_idle) {
  PoolLoad* best = nullptr;
  std::int64_t best_spare = 0;
  for (PoolLoad* const donor : donors) {
    const std::int64_t spare = donor->m_machines - Needed(*donor, options);
    if (spare > best_spare && !donor->m_movable.empty() &&
        (!only_idle || donor->m_movable.back().m_used_milli == 0)) {
      best = donor;
      best_spare = spare;
    }
  }
  return best;
}

}  // namespace

std::vector<PoolMove> Balance(std::vector<PoolLoad> pools,
                              const BalanceOptions& options) {
  std::vector<PoolMove> moves;
  std::vector<PoolLoad*> short_pools;
  std::vector<PoolLoad*> donors;
  PoolLoad* standby = nullptr;
  for (PoolLoad& pool : pools) {
    // The idlest machine last, from where it is taken.
    std::sort(pool.m_movable.begin(), pool.m_movable.end(),
              [](const MovableMachine& a, const MovableMachine& b) {
                return a.m_used_milli > b.m_used_milli;
              });
    if (pool.m_standby) {
      standby = &pool;
    } else if (Needed(pool, options) > pool.m_machines) {
      short_pools.push_back(&pool);
    } else {
      donors.push_back(&pool);
    }
  }
  std::sort(short_pools.begin(), short_pools.end(),
            [](const PoolLoad* a, const PoolLoad* b) {
              return a->m_ready_milli > b->m_ready_milli;
            });
  const auto take = [&](PoolLoad& from, PoolLoad& to) {
    const MovableMachine machine = from.m_movable.back();
    from.m_movable.pop_back();
    from.m_used_milli -= machine.m_used_milli;
    --from.m_machines;
    ++to.m_machines;
    moves.push_back({machine.m_machine, from.m_pool, to.m_pool});
  };
  for (PoolLoad* const pool : short_pools) {
    while (Needed(*pool, options) > pool->m_machines &&
           moves.size() < options.m_max_moves) {
      // Machines that idle in another pool cost already; resting ones do not,
      // but come sooner than those that must finish their tasks first.
      PoolLoad* best = Donor(donors, options, true);
      if (best == nullptr && standby != nullptr &&
          !standby->m_movable.empty()) {
        best = standby;
      }
      if (best == nullptr) {
        best = Donor(donors, options, false);
      }
      if (best == nullptr) {
        break;
      }
      take(*best, *pool);
    }
  }
  if (standby == nullptr) {
    return moves;
  }
  for (PoolLoad* const donor : donors) {
    while (donor->m_calm_ms >= options.m_rest_after_ms &&
           donor->m_machines > Needed(*donor, options) &&
           !donor->m_movable.empty() &&
           donor->m_movable.back().m_used_milli == 0 &&
           moves.size() < options.m_max_moves) {
      take(*donor, *standby);
    }
  }
  return moves;
}

}  // namespace bronzebarrow::placement
