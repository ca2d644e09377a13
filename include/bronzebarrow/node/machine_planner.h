// Orders for machines. Waves of upkeep go on under their cap and the
// availability budgets of tasks that last; machines follow the demand between
// pools. Load pattern: half of all machines due within 26 s, several at once,
// while queues take turns at several times their mean.
#ifndef BRONZEBARROW_NODE_MACHINE_PLANNER_H_
#define BRONZEBARROW_NODE_MACHINE_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bronzebarrow/base/time.h"
#include "bronzebarrow/fleet/machine.h"
#include "bronzebarrow/jobs.h"
#include "bronzebarrow/placement.h"
#include "bronzebarrow/runs.h"

namespace bronzebarrow::node {

struct MachineOptions {
  std::string m_holder;  // Name under which orders are sent.
  /** Pause between orders of two owners for one machine. */
  Duration m_handover = Millis(3300);
  /** How long a machine's short tasks may finish before it goes down. */
  Duration m_drain = Millis(2500);
  /** A machine that was ordered down and is there after this is back. */
  Duration m_upkeep = Millis(2000);
  Duration m_retry = Millis(400);
  /** Time that a machine needs to change its pool. */
  Duration m_move = Millis(1500);
  /** A move is given up when its machine is not empty after this. */
  Duration m_max_move_drain = Millis(3000);
  /** How often pools are balanced, and the platform's list is read. */
  Duration m_balance_interval = Millis(100);
  Duration m_list_interval = Millis(10'000);
  /** Orders that the platform takes a second, from all members together. */
  double m_orders_per_s = 64;
  placement::BalanceOptions m_balance;
};

/** Which plans of work may still name a machine as it was. */
struct PlanProgress {
  std::uint64_t m_next = 0;         // Number of the next plan.
  std::uint64_t m_oldest_open = 0;  // Plans below this are in the log.
};

/** Decides; the shell carries orders out and the log records them. */
class MachinePlanner {
 public:
  MachinePlanner(const jobs::WorkState& state, runs::Dispatcher& dispatcher,
                 MachineOptions options)
      : m_state(state),
        m_dispatcher(dispatcher),
        m_options(std::move(options)) {}

  void Lead(std::uint64_t epoch, Instant now);
  void StopLeading();
  void Tick(Moment moment, PlanProgress plans);
  /** Every member notes commands for machines, to lead after the owner. */
  void OnApplied(const jobs::Applied& applied, Instant now);
  void OnList(std::vector<fleet::Machine> machines, Instant now);
  void OnAnswer(const fleet::MachineOrder& order, fleet::MachineAnswer answer,
                Instant now);
  /** @return whether new work may go to the runner's machine. */
  bool IsOpen(const std::string& runner) const;
  /** @return whether the runner's machine is still to go down for a wave. */
  bool IsDue(const std::string& machine) const;

  std::vector<fleet::MachineOrder> TakeOrders();
  std::vector<wire::WorkBodyUnion> TakeCommands();
  /** @return whether the platform's list should be read now. */
  bool TakeListWish(Instant now);

 private:
  enum class Phase { kDraining, kRecording, kOrdering, kDown };
  /** The last order for a machine that the log knows of. */
  struct LastOrder {
    std::uint64_t m_epoch = 0;
    Instant m_heard;
  };
  struct Work {
    fleet::MachineAction m_action = fleet::MachineAction::kUpkeep;
    std::uint64_t m_wave = 0;  // Of an upkeep.
    std::string m_pool;        // Where a move goes.
    // The first plan that knew that the machine is closed; those before it
    // may have assigned work to the machine.
    std::uint64_t m_first_plan = 0;
    Phase m_phase = Phase::kDraining;
    Instant m_since;
    Instant m_next_try;
    bool m_order_out = false;
    bool m_ordered = false;  // Sent at least once.
    std::string m_runner;    // That is to go; empty when not known.
    std::uint64_t m_born_ms = 0;
  };

  bool MayTakeAway(const jobs::TaskKey& task) const;
  bool IsAtWork(const jobs::TaskKey& key, const jobs::Task& task) const;
  std::uint32_t Blocked(const jobs::Runner& runner) const;
  bool StopLasting(const jobs::Runner& runner, Instant now);
  void Choose(const jobs::Upkeep& wave, Instant now);
  Work& Begin(const std::string& machine, const jobs::Runner* runner,
              Instant now);
  /** @return whether the work is over. */
  bool Advance(const std::string& machine, Work& work, Instant now);
  bool MayOrder(const std::string& machine) const;
  /** @return whether the work began with this very life of its machine. */
  static bool IsLife(const Work& work, const jobs::Runner& runner);
  bool Drain(const std::string& machine, Work& work, Instant now);
  void Order(const std::string& machine, Work& work, Instant now);
  bool IsBack(const std::string& machine, const Work& work, Instant now) const;
  void BalancePools(Moment moment);
  static void LogPools(const std::vector<placement::PoolLoad>& loads);
  std::vector<placement::PoolLoad> Loads(Moment moment);
  void Record(std::uint64_t wave, const std::string& machine, bool done,
              bool skipped);

  const jobs::WorkState& m_state;
  runs::Dispatcher& m_dispatcher;
  MachineOptions m_options;
  std::uint64_t m_epoch = 0;
  Instant m_now;                                   // Of the last tick.
  PlanProgress m_plans;                            // Of the last tick.
  std::map<std::string, Work> m_work;              // By machine.
  std::map<std::string, LastOrder> m_last_orders;  // Kept by every member.
  std::map<std::string, fleet::Machine> m_listed;  // As last read or moved.
  std::map<std::string, Instant> m_not_before;     // Machines on their way.
  std::map<std::string, Instant> m_last_short;     // Pools that lacked room.
  std::map<std::string, Instant> m_last_turn;  // Pools that had most demand.
  double m_moves_left = 0;  // That may begin now, by the platform's rate.
  std::int64_t m_machine_milli = 0;  // Processor of the largest machine.
  Instant m_next_balance;
  Instant m_next_list;
  Instant m_next_log;
  std::vector<fleet::MachineOrder> m_orders;
  std::vector<wire::WorkBodyUnion> m_commands;
};

}  // namespace bronzebarrow::node

#endif  // BRONZEBARROW_NODE_MACHINE_PLANNER_H_
