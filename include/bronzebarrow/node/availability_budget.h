// The availability budgets of long-running steps: how many of a step's tasks
// may be unavailable before another one is stopped. Load pattern: a wave asks
// for every run on hundreds of machines, with up to 30 tasks a step.
#ifndef BRONZEBARROW_NODE_AVAILABILITY_BUDGET_H_
#define BRONZEBARROW_NODE_AVAILABILITY_BUDGET_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "bronzebarrow/base/time.h"
#include "bronzebarrow/jobs.h"
#include "bronzebarrow/runs.h"

namespace bronzebarrow::node {

/**
 * Counts the unavailable tasks of a step once per tick.
 *
 * Contract: between two calls of BeginTick neither the work state nor the
 * dispatcher changes, except by Evict.
 */
class AvailabilityBudget {
 public:
  AvailabilityBudget(const jobs::WorkState& state, runs::Dispatcher& dispatcher)
      : m_state(state), m_dispatcher(dispatcher) {}

  void BeginTick(Instant now);
  /**
   * @return whether fewer tasks of the step than its budget are unavailable,
   * not counting `task`: evicting one that is itself unavailable does not use
   * up the budget. True if the step has no budget or its job is not active.
   */
  bool MayEvict(const jobs::TaskKey& task);
  /** Stops the run of the task, which stays assigned until it has ended. */
  void Evict(const std::string& runner, const jobs::TaskKey& task);
  /** @return tasks whose availability was checked so far. */
  std::uint64_t checked_tasks() const { return m_checked_tasks; }

 private:
  bool IsAvailable(const jobs::TaskKey& key, const jobs::Task& task);

  const jobs::WorkState& m_state;
  runs::Dispatcher& m_dispatcher;
  Instant m_now;
  // Unavailable tasks of each step that was asked for in this tick, by the key
  // of the step's first task.
  std::unordered_map<jobs::TaskKey, std::uint32_t> m_unavailable;
  std::uint64_t m_checked_tasks = 0;
};

}  // namespace bronzebarrow::node

#endif  // BRONZEBARROW_NODE_AVAILABILITY_BUDGET_H_
