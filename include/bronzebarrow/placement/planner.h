// Chooses runners for waiting tasks. Load pattern: bursts of steps of 6 to 30
// tasks on pools of about ten runners of four a rack, with tasks that last
// spread over them. Test: tests/placement_test.cc.
#ifndef BRONZEBARROW_PLACEMENT_PLANNER_H_
#define BRONZEBARROW_PLACEMENT_PLANNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bronzebarrow/jobs.h"

namespace bronzebarrow::placement {

/** A runner that may be given work, with the room that is left on it. */
struct Candidate {
  const jobs::Runner* m_runner = nullptr;
  jobs::Room m_free;
  bool m_is_due = false;       // Its machine goes down soon.
  std::int64_t m_lasting = 0;  // Tasks that last on it.
  std::string_view m_rack;
  bool m_reserved = false;      // For a task that lasts and needs more room.
  std::uint32_t m_of_step = 0;  // Tasks of the step that is being placed.
};

/** Runs to assign to one runner. */
struct Placement {
  std::string m_runner;
  std::uint64_t m_born_ms = 0;
  std::vector<jobs::RunKey> m_runs;
};

/** Says which runners may run a step; the ticket goes with its starts. */
class Adviser {
 public:
  virtual ~Adviser() = default;
  /**
   * @return the ticket for the runner, empty when none is needed; nothing
   * when the runner may not run the step, or that is not known yet.
   */
  virtual std::optional<std::string> TicketFor(const jobs::TaskKey& step,
                                               const std::string& runner) = 0;
};

struct PlanInput {
  explicit PlanInput(const jobs::WorkState& state) : m_state(state) {}

  const jobs::WorkState& m_state;
  std::uint64_t m_now_ms = 0;
  std::function<bool(const std::string& runner)> m_is_usable;
  /** Whether the machine goes down soon; tasks that last avoid it. */
  std::function<bool(const std::string& machine)> m_is_due;
  Adviser* m_adviser = nullptr;  // For queues that need advice.
  std::size_t m_max_runs = 400;  // Of one plan; bounds its record.
};

/** @return runs to assign; each fits its runner beside the others. */
std::vector<Placement> Plan(const PlanInput& input);

}  // namespace bronzebarrow::placement

#endif  // BRONZEBARROW_PLACEMENT_PLANNER_H_
