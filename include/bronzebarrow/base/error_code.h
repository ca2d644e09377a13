// All error codes of the project, with their names and messages.
#ifndef BRONZEBARROW_BASE_ERROR_CODE_H_
#define BRONZEBARROW_BASE_ERROR_CODE_H_

#include <string_view>

#include "bronzebarrow/base/enum_names.h"

namespace bronzebarrow {

enum class ErrorCode {
  kOk,
  // Settings and command line.
  kSettingsUnreadable,
  kSettingsMalformed,
  kSettingsTruncated,
  kSettingUnknown,
  kSettingMissing,
  kSettingOutOfRange,
  kUsage,
  // JSON documents and list files (fleet configuration, plans, waves).
  kListMalformed,
  kListUnknownKey,
  kListMissingKey,
  kListValueInvalid,
  kListUnknownPlan,
  // Storage.
  kDataFolderUnusable,
  kDataFolderForeign,
  kDataFolderInUse,
  kDataFolderNotEmpty,
  kLogDamaged,
  kDiskWriteFailed,
  // Network.
  kFrameTooLarge,
  kFrameInvalid,
  kConnectionFailed,
  kAddressInvalid,
  kAddressUnusable,
  // Changes to the replicated state.
  kVersionConflict,
  kChangeIdReused,
  kNotLeader,
  kUnavailable,
  kInstanceUnknown,
  kInstanceUnavailable,
  kStopUnknown,
  kStopIdReused,
  kStopInProgress,
  kBudgetExceeded,
  kWaveUnknown,
  kWaveIdReused,
  kWaveInProgress,
  kWaveFinished,
  kPoolUnknown,
  // Requests from callers, and calls to targets and runners.
  kRequestMalformed,
  kRequestTooLarge,
  kDocumentTooComplex,
  kPlanMissing,
  kPlanUnknown,
  kDeadlineInvalid,
  kKeyMissing,
  kKeyInvalid,
  kKeyReused,
  kKeyExpired,
  kLeaseMissing,
  kQuotaExhausted,
  kQueueFull,
  kDeadlineExceeded,
  kNoTarget,
  kShuttingDown,
  kTargetUnreachable,
  kTargetAnswerInvalid,
  kTargetTimeout,
  kInProgress,
  kLedgerFull,
  kRunnerReportInvalid,
  kInternal,
};

template <>
struct EnumNames<ErrorCode> {
  static constexpr std::array<std::string_view, 62> kNames = {
      "ok",
      "settings_unreadable",
      "settings_malformed",
      "settings_truncated",
      "setting_unknown",
      "setting_missing",
      "setting_out_of_range",
      "usage",
      "list_malformed",
      "list_unknown_key",
      "list_missing_key",
      "list_value_invalid",
      "list_unknown_plan",
      "data_folder_unusable",
      "data_folder_foreign",
      "data_folder_in_use",
      "data_folder_not_empty",
      "log_damaged",
      "disk_write_failed",
      "frame_too_large",
      "frame_invalid",
      "connection_failed",
      "address_invalid",
      "address_unusable",
      "version_conflict",
      "change_id_reused",
      "not_leader",
      "unavailable",
      "instance_unknown",
      "instance_unavailable",
      "stop_unknown",
      "stop_id_reused",
      "stop_in_progress",
      "budget_exceeded",
      "wave_unknown",
      "wave_id_reused",
      "wave_in_progress",
      "wave_finished",
      "pool_unknown",
      "request_malformed",
      "request_too_large",
      "document_too_complex",
      "plan_missing",
      "plan_unknown",
      "deadline_invalid",
      "key_missing",
      "key_invalid",
      "key_reused",
      "key_expired",
      "lease_missing",
      "quota_exhausted",
      "queue_full",
      "deadline_exceeded",
      "no_target",
      "shutting_down",
      "target_unreachable",
      "target_answer_invalid",
      "target_timeout",
      "in_progress",
      "ledger_full",
      "runner_report_invalid",
      "internal",
  };
};

/** @return a human-readable explanation of `code`. */
std::string_view MessageOf(ErrorCode code);

}  // namespace bronzebarrow

#endif  // BRONZEBARROW_BASE_ERROR_CODE_H_
