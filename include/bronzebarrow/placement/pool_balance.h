// Which machines should change their pool. Load pattern: queues take turns;
// each asks several times its mean for 4 to 5 s, more than its pool holds,
// and almost nothing in between, so machines follow the demand. Idle ones wait
// in the pools whose turn is next; when no turn comes they rest in a standby
// pool. Test: tests/placement_test.cc.
#ifndef BRONZEBARROW_PLACEMENT_POOL_BALANCE_H_
#define BRONZEBARROW_PLACEMENT_POOL_BALANCE_H_

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace bronzebarrow::placement {

/** A machine that could leave its pool at little cost. */
struct MovableMachine {
  std::string m_machine;
  std::int64_t m_used_milli = 0;  // Processor its short tasks hold.
};

/** m_turn_age_ms of a pool that had no turn yet. */
constexpr std::int64_t kNoTurnYet = std::numeric_limits<std::int64_t>::max();

struct PoolLoad {
  std::string m_pool;
  bool m_standby = false;
  std::int64_t m_machine_milli = 0;  // Processor of one machine.
  std::int64_t m_machines = 0;       // Open ones, and those on their way.
  std::int64_t m_used_milli = 0;     // Assigned to open machines.
  std::int64_t m_ready_milli = 0;    // Of tasks that could start now.
  std::int64_t m_spread = 0;         // Machines that one step must have.
  std::int64_t m_calm_ms = 0;        // Time since machines were last short.
  /** Time since more than half of all demand was this pool's; 0: it is now. */
  std::int64_t m_turn_age_ms = kNoTurnYet;
  std::vector<MovableMachine> m_movable;  // In any order.
};

struct PoolMove {
  std::string m_machine;
  std::string m_from;
  std::string m_to;
};

struct BalanceOptions {
  /** Machines that every pool keeps. */
  std::int64_t m_min_machines = 2;
  /**
   * A machine rests once its pool was calm for this long. A move there and
   * back costs as much as 2.3 s in a pool (the users' price lists).
   */
  std::int64_t m_rest_after_ms = 2300;
  /**
   * Idle machines wait for the next turn while a pool was short within this
   * time. One that is there when a turn begins serves 1.6 s more (a move), at
   * about 15 times the price of a second in a pool (the users' price lists).
   */
  std::int64_t m_wait_for_turn_ms = 20'000;
  /** An idle machine of a pool that was calm for this long may wait elsewhere.
   */
  std::int64_t m_turn_over_ms = 1000;
  /**
   * Demand expected for each unit that waits: at the beginning of a turn about
   * as much again comes while the machines are on their way (1.5 s).
   */
  double m_rush = 2.0;
  /** Machines of processor kept free beyond what is used. */
  double m_reserve = 0.5;
  std::size_t m_max_moves = 12;  // Begun at once.
};

std::vector<PoolMove> Balance(std::vector<PoolLoad> pools,
                              const BalanceOptions& options);

}  // namespace bronzebarrow::placement

#endif  // BRONZEBARROW_PLACEMENT_POOL_BALANCE_H_
