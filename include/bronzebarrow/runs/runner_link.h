// State that the owner keeps in memory about one incarnation of a runner and
// its runs. It is not replicated: a new owner rebuilds it from the log and from
// the runner's responses.
#ifndef BRONZEBARROW_RUNS_RUNNER_LINK_H_
#define BRONZEBARROW_RUNS_RUNNER_LINK_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "bronzebarrow/base/enum_names.h"
#include "bronzebarrow/base/time.h"
#include "bronzebarrow/jobs.h"
#include "bronzebarrow/runs/runner_health.h"

namespace bronzebarrow::runs {

enum class TrackedRunState {
  kInherited,  // Assigned by an earlier owner; not known to be running.
  kStarting,   // Start sent; in flight or timed out.
  kStarted,    // Confirmed by the runner.
  // The runner refused the start. The run may already have ended there; the
  // next run list shows whether it did.
  kRejected,
  kEndProposed,  // Its end or loss is proposed to the log.
};

/** What showed that a runner has ended, or that nothing runs there. */
enum class RemovalCause {
  kRestarted,    // A later incarnation under its id has reported.
  kOtherAnswer,  // Another incarnation answers at its address.
  kSuccessor,    // Its machine has started a later runner.
  kListedDown,   // The platform lists its machine as down or with another one.
  kListedBusy,   // The platform lists its machine as moving or in upkeep.
  kRefused,      // It refuses connections and has no runs.
  kLeft,         // It has said that it leaves and has no runs.
};

/** What the owner tracks about one assigned run. */
struct TrackedRun {
  std::uint32_t m_run = 0;
  TrackedRunState m_state = TrackedRunState::kInherited;
  std::uint32_t m_attempts = 0;  // Start calls sent.
  // The connection of a start call ended before the response.
  bool m_start_interrupted = false;
  Instant m_assigned_at;  // Unset if an earlier owner assigned it.
  // When a response first showed that it runs; unset before that.
  Instant m_started_at;
  Instant m_confirmed_at;         // When a response last confirmed the state.
  bool m_call_in_flight = false;  // A start or stop call is in flight.
  bool m_stop_requested = false;
  bool m_stop_confirmed = false;
  Instant m_next_attempt;
  std::string m_ticket;
  std::string m_checkpoint;      // Last one that the runner reported.
  std::uint32_t m_progress = 0;  // Last reported, in percent.
  std::uint32_t m_load = 0;      // As ReportedRun::m_load.
  // Requested percent of the task's full rate.
  std::uint32_t m_throttle_percent = 100;
  Instant m_reported_at;     // When it was last in a run list.
  bool m_is_listed = false;  // Has been in a run list as running.
  // Stopped at the next incarnation of its runner, which may have received its
  // start.
  bool m_is_stopped_at_next = false;
  Instant m_progressed_at;  // When m_progress last changed.

  // Whether no start call can reach the next incarnation of the runner.
  bool HasOnlyRunHere() const { return m_is_listed && m_attempts == 1; }
  void MarkStarted(Instant now) {
    m_state = TrackedRunState::kStarted;
    if (m_started_at == Instant()) {
      m_started_at = now;
    }
  }
};

/** State of one runner incarnation and its runs. */
struct RunnerLink {
  std::uint64_t m_born_ms = 0;
  std::string m_address;
  bool m_fenced = false;  // Has answered a hold of this epoch.
  // Last reading of the runner's clock: it showed m_clock_ms at m_clock_read_at
  // or slightly earlier. 0: not read yet.
  std::uint64_t m_clock_ms = 0;
  Instant m_clock_read_at;
  // Latest lease expiry sent, on the runner's clock.
  std::uint64_t m_expires_ms = 0;
  // Leases of earlier owners have expired by then.
  Instant m_inherited_leases_expire;
  bool m_hold_in_flight = false;
  // Another incarnation answers under its id, or has reported.
  bool m_is_superseded = false;
  // When that was first known. Calls sent since do not reach the registered
  // incarnation unless the report was wrong.
  Instant m_superseded_at;
  // Answers in a row that name an earlier incarnation than the registered one.
  std::uint32_t m_earlier_answers = 0;
  // It has said that it leaves: its runs are stopped, and its lease is not
  // renewed.
  bool m_is_leaving = false;
  // Its removal is proposed. It gets no further calls.
  bool m_removal_proposed = false;
  // Reported ends up to this number are handled, acknowledged or not.
  std::uint64_t m_last_processed_end = 0;
  bool m_ends_proposed = false;  // Reported ends are proposed, not yet applied.
  Instant m_next_hold;
  Instant m_last_hold;  // When the last one was sent.
  // A tick has nothing to do for it before this time. Unset after each change,
  // so that the next tick computes it anew.
  Instant m_tick_due;
  Instant m_last_answer;
  // When the first call since the last answer failed; unset if none has.
  Instant m_silent_since;
  // When the latest call was sent that failed, or that another incarnation
  // answered, since the last answer; unset if there is none.
  Instant m_ignored_call_sent;
  // The last call was not sent by the member that relays its calls.
  bool m_bypasses_relay = false;
  // When its process was last known to run: its last run list, or the time at
  // which a hold that it kept open broke.
  Instant m_alive_until;
  std::uint32_t m_consecutive_timeouts = 0;
  // All leases have expired, so none of its runs is running.
  bool m_leases_expired = false;
  Instant m_backoff_until;  // No new runs until then; it refused one.
  RunnerHealth m_health;
  std::unordered_map<jobs::TaskKey, TrackedRun> m_tracked_runs;
  // Tasks among them that may have crashed an earlier runner.
  std::vector<jobs::TaskKey> m_trials;

  void MarkSuperseded(Instant now) {
    m_superseded_at = m_is_superseded ? m_superseded_at : now;
    m_is_superseded = true;
  }
};

}  // namespace bronzebarrow::runs

template <>
struct bronzebarrow::EnumNames<bronzebarrow::runs::RemovalCause> {
  static constexpr std::array<std::string_view, 7> kNames = {
      "restarted",   "other_incarnation", "successor", "listed_down",
      "listed_busy", "refused",           "left"};
};

template <>
struct bronzebarrow::EnumNames<bronzebarrow::runs::TrackedRunState> {
  static constexpr std::array<std::string_view, 5> kNames = {
      "inherited", "starting", "started", "rejected", "end_proposed"};
};

#endif  // BRONZEBARROW_RUNS_RUNNER_LINK_H_
