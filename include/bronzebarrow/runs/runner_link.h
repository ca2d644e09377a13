// What the owner of a pool knows of one life of a runner beyond the log.
#ifndef BRONZEBARROW_RUNS_RUNNER_LINK_H_
#define BRONZEBARROW_RUNS_RUNNER_LINK_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "bronzebarrow/base/time.h"
#include "bronzebarrow/jobs.h"
#include "bronzebarrow/runs/runner_health.h"

namespace bronzebarrow::runs {

enum class OrderState {
  kInherited,  // Assigned by an earlier owner; whether it runs is not known.
  kStarting,   // Ordered; the answer is awaited or was lost.
  kStarted,    // The runner confirmed it.
  kRejected,   // It may have ended there before; the next list tells.
  kLosing,     // Its loss is on its way to the log.
};

/** The order behind one assigned run. */
struct RunOrder {
  std::uint32_t m_run = 0;
  OrderState m_state = OrderState::kInherited;
  std::uint32_t m_attempts = 0;  // Starts sent.
  Instant m_settled;             // When the state was last confirmed.
  bool m_call_out = false;       // A start or stop is on its way.
  bool m_stop_wanted = false;
  bool m_stop_confirmed = false;
  Instant m_next_try;
  std::string m_ticket;
  std::string m_checkpoint;      // The last one that the runner listed.
  std::uint32_t m_progress = 0;  // Percent.
  std::uint32_t m_load = 0;      // As in RunningRow.
  std::uint32_t m_pace = 100;    // Percent the run was told to work at.
  Instant m_listed;              // When the runner last listed it.
  Instant m_advanced;            // When its progress last changed.
};

struct RunnerLink {
  std::uint64_t m_born_ms = 0;
  std::string m_address;
  bool m_fenced = false;  // It has answered a hold of this epoch.
  // One reading of the runner's clock: it showed m_clock_ms at m_clock_at or
  // a little earlier.
  std::uint64_t m_clock_ms = 0;
  Instant m_clock_at;
  std::uint64_t m_expires_ms = 0;  // Latest lease sent, on the runner's clock.
  Instant m_inherited_until;  // Leases of earlier owners have lapsed by then.
  bool m_hold_out = false;
  bool m_ends_out = false;  // Ends are on their way to the log.
  Instant m_next_hold;
  Instant m_last_answer;
  std::uint32_t m_silences = 0;  // Calls in a row without an answer.
  bool m_lapsed = false;         // All leases have passed; nothing runs there.
  Instant m_avoid_until;         // It refused work.
  RunnerHealth m_health;
  std::unordered_map<jobs::TaskKey, RunOrder> m_orders;
};

}  // namespace bronzebarrow::runs

#endif  // BRONZEBARROW_RUNS_RUNNER_LINK_H_
