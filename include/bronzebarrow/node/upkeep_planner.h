// Waves of upkeep: which machine goes down next, under the wave's cap and the
// availability budgets of tasks that last. Load pattern: half of all machines
// due within 26 s, several at once, during bursts.
#ifndef BRONZEBARROW_NODE_UPKEEP_PLANNER_H_
#define BRONZEBARROW_NODE_UPKEEP_PLANNER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "bronzebarrow/base/time.h"
#include "bronzebarrow/fleet/machine.h"
#include "bronzebarrow/jobs.h"
#include "bronzebarrow/runs.h"

namespace bronzebarrow::node {

struct UpkeepOptions {
  std::string m_holder;  // Name under which orders are sent.
  /** Pause after a change of owners before the first order. */
  Duration m_handover = Millis(3300);
  /** How long a machine's short tasks may finish before it goes down. */
  Duration m_drain = Millis(2500);
  /** A machine that was ordered down and is there after this is back. */
  Duration m_upkeep = Millis(2000);
  Duration m_retry = Millis(400);
};

/** Decides; the shell carries orders out and the log records them. */
class UpkeepPlanner {
 public:
  UpkeepPlanner(const jobs::WorkState& state, runs::Dispatcher& dispatcher,
                UpkeepOptions options)
      : m_state(state),
        m_dispatcher(dispatcher),
        m_options(std::move(options)) {}

  void Lead(std::uint64_t epoch, Instant now);
  void StopLeading();
  void Tick(Instant now);
  void OnAnswer(const fleet::MachineOrder& order, fleet::MachineAnswer answer,
                Instant now);
  /** @return whether new work may go to the runner's machine. */
  bool IsOpen(const std::string& runner) const;
  /** @return whether the runner's machine is still to go down for a wave. */
  bool IsDue(const std::string& machine) const;

  std::vector<fleet::MachineOrder> TakeOrders();
  std::vector<wire::WorkBodyUnion> TakeCommands();
  bool TakeListWish(Instant) { return false; }

 private:
  enum class Phase { kDraining, kOrdering, kDown };
  struct Work {
    std::uint64_t m_wave = 0;
    Phase m_phase = Phase::kDraining;
    Instant m_since;
    Instant m_next_try;
    bool m_order_out = false;
    std::string m_runner;  // That is to go; empty when not known.
    std::uint64_t m_born_ms = 0;
  };

  const jobs::Runner* RunnerOf(const std::string& machine) const;
  bool MayTakeAway(const jobs::TaskKey& task) const;
  bool IsAtWork(const jobs::TaskKey& key, const jobs::Task& task) const;
  std::uint32_t Blocked(const jobs::Runner& runner) const;
  bool StopLasting(const jobs::Runner& runner, Instant now);
  void Choose(const jobs::Upkeep& wave, Instant now);
  void Advance(const std::string& machine, Work& work, Instant now);
  void Record(std::uint64_t wave, const std::string& machine, bool done,
              bool skipped);

  const jobs::WorkState& m_state;
  runs::Dispatcher& m_dispatcher;
  UpkeepOptions m_options;
  std::uint64_t m_epoch = 0;
  Instant m_led_since;
  std::map<std::string, Work> m_work;  // By machine.
  std::set<std::string> m_closed;      // Runners that get no new work.
  std::vector<fleet::MachineOrder> m_orders;
  std::vector<wire::WorkBodyUnion> m_commands;
};

}  // namespace bronzebarrow::node

#endif  // BRONZEBARROW_NODE_UPKEEP_PLANNER_H_
