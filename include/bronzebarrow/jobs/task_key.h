// Identifiers of jobs, tasks and runs, and their text and wire forms.
#ifndef BRONZEBARROW_JOBS_TASK_KEY_H_
#define BRONZEBARROW_JOBS_TASK_KEY_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "wire_generated.h"

namespace bronzebarrow::jobs {

using JobId = std::uint64_t;

/** One task of one occurrence of a job; its runs are numbered from 1. */
struct TaskKey {
  JobId m_job = 0;
  std::uint32_t m_occurrence = 0;
  std::uint16_t m_step = 0;
  std::uint16_t m_index = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive in a defaulted <=>.
  auto operator<=>(const TaskKey&) const = default;
};

/** One run of a task. */
struct RunKey {
  TaskKey m_task;
  std::uint32_t m_run = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive in a defaulted <=>.
  auto operator<=>(const RunKey&) const = default;
};

/**
 * @param text 16 hexadecimal digits in upper or lower case
 * @return the job id; nothing if the text is malformed
 */
std::optional<JobId> ParseJobId(std::string_view text);
/** @return the job id as 16 hexadecimal digits in lower case. */
std::string JobIdText(JobId id);
/** @return the task as "ID.OCCURRENCE.STEP.INDEX". */
std::string TaskText(const TaskKey& task);
/** Inverse of TaskText. @return nothing if the text is malformed. */
std::optional<TaskKey> ParseTask(std::string_view text);

wire::TaskRef ToWire(const RunKey& run);
RunKey FromWire(const wire::TaskRef& task);

}  // namespace bronzebarrow::jobs

template <>
struct std::hash<bronzebarrow::jobs::TaskKey> {
  std::size_t operator()(
      const bronzebarrow::jobs::TaskKey& key) const noexcept {
    const std::uint64_t low =
        (static_cast<std::uint64_t>(key.m_occurrence) << 32) |
        (static_cast<std::uint64_t>(key.m_step) << 16) | key.m_index;
    return static_cast<std::size_t>(
        (key.m_job ^ (low * 0x9E3779B97F4A7C15ULL)) * 0xBF58476D1CE4E5B9ULL);
  }
};

#endif  // BRONZEBARROW_JOBS_TASK_KEY_H_
