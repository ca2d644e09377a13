// The requests that fake targets executed. The outcomes reported to callers are
// checked against this record.
#ifndef BRONZEBARROW_SRC_PROGRAMS_LOAD_RUN_RECORD_H_
#define BRONZEBARROW_SRC_PROGRAMS_LOAD_RUN_RECORD_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace bronzebarrow::programs {

/** Thread-safe counts of executions per idempotency key, over all targets. */
class ExecutionRecord {
 public:
  /** Counts one execution; `key` is empty for an idempotent request. */
  void CountExecution(const std::string& key) {
    const std::lock_guard lock(m_mutex);
    ++m_requests;
    if (!key.empty()) {
      ++m_executions[key];
    }
  }

  /** Counts requests that were in flight when a released target stopped. */
  void CountInterrupted(int requests) {
    const std::lock_guard lock(m_mutex);
    m_interrupted += static_cast<std::uint64_t>(requests);
  }

  /** Counts one stop of a released target. */
  void CountStop() {
    const std::lock_guard lock(m_mutex);
    ++m_stops;
  }

  /** @return all counts as a JSON object. */
  std::string ToJson() const;

 private:
  mutable std::mutex m_mutex;  // Guards all members below; a leaf lock.
  std::map<std::string, std::uint64_t> m_executions;
  std::uint64_t m_requests = 0;
  std::uint64_t m_interrupted = 0;
  std::uint64_t m_stops = 0;
};

}  // namespace bronzebarrow::programs

#endif  // BRONZEBARROW_SRC_PROGRAMS_LOAD_RUN_RECORD_H_
