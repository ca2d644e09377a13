// Structured log: one event per line, with fields as key=value pairs.
#ifndef BRONZEBARROW_BASE_EVENT_LOG_H_
#define BRONZEBARROW_BASE_EVENT_LOG_H_

#include <array>
#include <charconv>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>

#include "bronzebarrow/base/enum_names.h"
#include "bronzebarrow/base/failure.h"

namespace bronzebarrow {

enum class Event {
  kProcessStarted,
  kProcessStopping,
  kProcessStopped,
  kSettingsRefused,
  kRoleChanged,
  kMembershipChanged,
  kSnapshotWritten,
  kSnapshotInstalled,
  kLogRecovered,
  kLogTailCut,
  kLeaseGained,
  kLeaseLost,
  kConfigInForce,
  kChangeCommitted,
  kChangeAccepted,
  kChangeRefused,
  kStopAnnounced,
  kStopReleased,
  kStopEnded,
  kStopRefused,
  kWaveStarted,
  kWaveUpdated,
  kInstanceObserved,
  kTargetAdded,
  kTargetLeaving,
  kTargetRemoved,
  kPeerConnected,
  kPeerDisconnected,
  kFrameRefused,
  kRequestRefused,
  kRequestUnknown,
  kAnnouncementRefused,
  kRecordRefused,
  kDrillReport,
  kSettingsReloaded,
  kLeadershipTaken,
  kLeadershipLost,
  kLeadershipOffered,
  kOwnershipTaken,
  kJobAccepted,
  kJobRefused,
  kJobEnded,
  kJobCancelled,
  kRunAssigned,
  kRunEnded,
  kRunRejected,
  kRunStopped,
  kTaskGivenUp,
  kRunnerRegistered,
  kRunnerRemoved,
  kRunnerFenced,
  kRunnerSilent,
  kRunnerLapsed,
  kRunnerAside,
  kRunnerLeaving,
  kRunnerKept,
  kCallUncertain,
  kCallRefused,
  kUpkeepStarted,
  kUpkeepStep,
  kMachineMoved,
  kPaceChanged,
  kAdviceTaken,
  kReadinessChanged,
  kDiskFault,
  kSummary,
  kLoad,
};

template <>
struct EnumNames<Event> {
  static constexpr std::array<std::string_view, 67> kNames = {
      "process_started",
      "process_stopping",
      "process_stopped",
      "settings_refused",
      "role_changed",
      "membership_changed",
      "snapshot_written",
      "snapshot_installed",
      "log_recovered",
      "log_tail_cut",
      "lease_gained",
      "lease_lost",
      "config_in_force",
      "change_committed",
      "change_accepted",
      "change_refused",
      "stop_announced",
      "stop_released",
      "stop_ended",
      "stop_refused",
      "wave_started",
      "wave_updated",
      "instance_observed",
      "target_added",
      "target_leaving",
      "target_removed",
      "peer_connected",
      "peer_disconnected",
      "frame_refused",
      "request_refused",
      "request_unknown",
      "announcement_refused",
      "record_refused",
      "drill_report",
      "settings_reloaded",
      "leadership_taken",
      "leadership_lost",
      "leadership_offered",
      "ownership_taken",
      "job_accepted",
      "job_refused",
      "job_ended",
      "job_cancelled",
      "run_assigned",
      "run_ended",
      "run_rejected",
      "run_stopped",
      "task_given_up",
      "runner_registered",
      "runner_removed",
      "runner_fenced",
      "runner_silent",
      "runner_lapsed",
      "runner_aside",
      "runner_leaving",
      "runner_kept",
      "call_uncertain",
      "call_refused",
      "upkeep_started",
      "upkeep_step",
      "machine_moved",
      "pace_changed",
      "advice_taken",
      "readiness_changed",
      "disk_fault",
      "summary",
      "load",
  };
};

enum class Severity { kInfo, kWarning, kError };

/**
 * Builds one log line and writes it when destroyed:
 * `EventLine(Event::kLeaseLost).Field("entry", name);`
 */
class EventLine {
 public:
  explicit EventLine(Event event, Severity severity = Severity::kInfo);
  EventLine(const EventLine&) = delete;
  EventLine& operator=(const EventLine&) = delete;
  ~EventLine();

  /**
   * Appends key=value. A value that is empty or contains whitespace, quotes or
   * '=' is quoted.
   */
  template <typename Value>
  EventLine& Field(std::string_view key, const Value& value) {
    if (!m_admitted) {
      return *this;
    }
    if constexpr (std::is_same_v<Value, bool>) {
      Append(key, value ? "1" : "0");
    } else if constexpr (std::is_integral_v<Value>) {
      std::array<char, 24> digits;
      const auto [end, error] =
          std::to_chars(digits.data(), digits.data() + digits.size(), value);
      Append(key, std::string_view(digits.data(), end));
    } else if constexpr (std::is_convertible_v<const Value&,
                                               std::string_view>) {
      Append(key, value);
    } else {
      std::ostringstream text;
      text << value;
      Append(key, text.str());
    }
    return *this;
  }

  EventLine& Field(std::string_view key, ErrorCode code);

 private:
  void Append(std::string_view key, std::string_view value);

  Event m_event;
  Severity m_severity;
  // False when the event is over its rate limit: the line is not built.
  bool m_admitted;
  std::string m_line;
};

/**
 * Directs the log of the process to standard output. Lines over the rate limit
 * of their event, or over the buffer limit while standard output is not read,
 * are dropped and counted.
 */
void StartLog(const char* program);

/**
 * Buffers lines until FlushLog, an error line or a full page, to reduce the
 * number of write calls.
 */
void SetLogBatching(bool batching);
/** Writes buffered lines as far as standard output accepts them. */
void FlushLog();

}  // namespace bronzebarrow

#endif  // BRONZEBARROW_BASE_EVENT_LOG_H_
