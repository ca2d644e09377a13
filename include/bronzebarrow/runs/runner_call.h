// Calls to runners and their responses, independent of the protocol.
#ifndef BRONZEBARROW_RUNS_RUNNER_CALL_H_
#define BRONZEBARROW_RUNS_RUNNER_CALL_H_

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "bronzebarrow/base/enum_names.h"
#include "bronzebarrow/base/time.h"
#include "bronzebarrow/jobs.h"

namespace bronzebarrow::runs {

enum class CallKind { kStart, kStop, kHold, kThrottle };

/**
 * One call to one incarnation of a runner. Fields that do not apply to the kind
 * are unset.
 */
struct RunnerCall {
  CallKind m_kind = CallKind::kHold;
  std::string m_runner;
  std::uint64_t m_born_ms = 0;
  std::string m_address;
  std::uint64_t m_epoch = 0;  // Fencing token.
  Instant m_sent;
  // Lease expiry on the runner's clock; 0: the lease is not renewed.
  std::uint64_t m_expires_ms = 0;
  // For starts, stops and throttling.
  jobs::RunKey m_run;
  std::string m_job_name;  // The job's id as the caller wrote it.
  // For starts.
  std::string m_spec;
  std::string m_checkpoint;
  std::string m_ticket;
  // For holds: the ends up to this number are recorded.
  std::uint64_t m_last_recorded_end = 0;
  // For holds: whether the runner may forget these ends. Each incarnation
  // numbers its ends from one, and the next one may receive the call.
  bool m_acknowledges = true;
  std::uint32_t m_wait_ms = 0;  // For holds: longest delay of the response.
  // For throttling.
  std::uint32_t m_percent = 100;  // Of the task's full rate.

  std::uint64_t AcknowledgedEnd() const {
    return m_acknowledges ? m_last_recorded_end : 0;
  }
};

// Its numbers are part of the protocol between members.
enum class AnswerKind {
  kOk,
  kFenced,        // The runner has seen a higher epoch.
  kStaleRun,      // This or a later run was stopped or has ended there.
  kLeaseExpired,  // The lease sent with the call had expired.
  kNoCapacity,    // The runner lacks free capacity for the run.
  kNoTicket,      // The call lacks a valid ticket of the adviser.
  kUnhealthy,     // The runner is unhealthy and has not executed the call.
  kInvalid,       // The runner rejected the call as malformed.
  // Not answered by this runner. It has ended if the answer names the start of
  // the one that is at its address now.
  kOtherIncarnation,
  kRefused,   // The connection was refused; the call was not sent.
  kNoAnswer,  // Timed out; the call may still be executed later.
  // The owner, or the member that relays its calls, was no longer permitted to
  // send it. Shows nothing about the runner.
  kNotSent,
};

/** A run that a runner reports as running. */
struct ReportedRun {
  jobs::RunKey m_run;
  std::string m_checkpoint;
  std::uint32_t m_percent = 0;  // Progress.
  // Over the last half second: the tail response time in ms if the task serves
  // requests, otherwise the CPU in use in thousandths of a core.
  std::uint32_t m_load = 0;
};

/** A run that a runner reports as ended. */
struct ReportedEnd {
  std::uint64_t m_end_number = 0;  // Rises with each end at the runner.
  jobs::RunKey m_run;
  wire::EndKind m_how = wire::EndKind::Failed;
  std::string m_checkpoint;
};

constexpr std::uint64_t kAllEnds = std::numeric_limits<std::uint64_t>::max();

struct RunnerAnswer {
  AnswerKind m_kind = AnswerKind::kNoAnswer;
  // With kNoAnswer: the call was sent, and its connection ended before a
  // response came.
  bool m_connection_ended = false;
  std::uint64_t m_born_ms = 0;   // Start of the incarnation; 0: not reported.
  std::uint64_t m_clock_ms = 0;  // The runner's clock; 0: not reported.
  std::vector<ReportedRun> m_running;
  std::vector<ReportedEnd> m_ended;
  // A row of the running runs could not be read: a run that is missing from
  // m_running may be running.
  bool m_is_running_incomplete = false;
  // The highest end that may be acknowledged: those after it follow a row that
  // could not be read.
  std::uint64_t m_acknowledgeable = kAllEnds;
};

}  // namespace bronzebarrow::runs

template <>
struct bronzebarrow::EnumNames<bronzebarrow::runs::AnswerKind> {
  static constexpr std::array<std::string_view, 12> kNames = {
      "ok",        "fenced",    "old_run",
      "late",      "no_room",   "no_ticket",
      "unhealthy", "invalid",   "other_incarnation",
      "refused",   "no_answer", "not_sent"};
};

template <>
struct bronzebarrow::EnumNames<bronzebarrow::runs::CallKind> {
  static constexpr std::array<std::string_view, 4> kNames = {"start", "stop",
                                                             "hold", "pace"};
};

#endif  // BRONZEBARROW_RUNS_RUNNER_CALL_H_
