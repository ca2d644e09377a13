// Text and wire forms of job ids and task keys.
#include "bronzebarrow/jobs/task_key.h"

#include <array>
#include <charconv>

namespace bronzebarrow::jobs {
namespace {

constexpr std::size_t kJobIdDigits = 16;

// Parses a '.' and a number, and removes both from the front of `text`.
template <typename Number>
bool ParseDotNumber(std::string_view& text, Number& number) {
  if (text.empty() || text.front() != '.') {
    return false;
  }
  text.remove_prefix(1);
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc()) {
    return false;
  }
  text.remove_prefix(static_cast<std::size_t>(end - text.data()));
  return true;
}

}  // namespace

std::optional<JobId> ParseJobId(std::string_view text) {
  JobId id = 0;
  if (text.size() != kJobIdDigits) {
    return std::nullopt;
  }
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), id, 16);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return id;
}

std::string JobIdText(JobId id) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(kJobIdDigits, '0');
  for (std::size_t at = kJobIdDigits; at-- > 0; id >>= 4) {
    text[at] = kDigits[id & 15];
  }
  return text;
}

std::string TaskText(const TaskKey& task) {
  return JobIdText(task.m_job) + '.' + std::to_string(task.m_occurrence) + '.' +
         std::to_string(task.m_step) + '.' + std::to_string(task.m_index);
}

std::optional<TaskKey> ParseTask(std::string_view text) {
  if (text.size() < kJobIdDigits) {
    return std::nullopt;
  }
  const auto job = ParseJobId(text.substr(0, kJobIdDigits));
  text.remove_prefix(kJobIdDigits);
  TaskKey task;
  if (!job || !ParseDotNumber(text, task.m_occurrence) ||
      !ParseDotNumber(text, task.m_step) ||
      !ParseDotNumber(text, task.m_index) || !text.empty()) {
    return std::nullopt;
  }
  task.m_job = *job;
  return task;
}

wire::TaskRef ToWire(const RunKey& run) {
  return {run.m_task.m_job, run.m_task.m_occurrence, run.m_task.m_step,
          run.m_task.m_index, run.m_run};
}

RunKey FromWire(const wire::TaskRef& task) {
  return {{task.job(), task.occurrence(), task.step(), task.index()},
          task.run()};
}

}  // namespace bronzebarrow::jobs
