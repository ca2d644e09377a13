// What fake targets ran: the ground truth that callers' answers are held to.
#ifndef BRONZEBARROW_SRC_PROGRAMS_LOAD_RUN_RECORD_H_
#define BRONZEBARROW_SRC_PROGRAMS_LOAD_RUN_RECORD_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace bronzebarrow::programs {

/** Thread-safe counts of runs per idempotency key, over all fake targets. */
class RunRecord {
 public:
  void NoteRun(const std::string& key) {
    const std::lock_guard lock(m_mutex);
    ++m_requests;
    if (!key.empty()) {
      ++m_runs[key];
    }
  }

  /** Notes requests that were in flight when a target had to go. */
  void NoteCut(int requests) {
    const std::lock_guard lock(m_mutex);
    m_cut += static_cast<std::uint64_t>(requests);
  }

  void NoteStop() {
    const std::lock_guard lock(m_mutex);
    ++m_stops;
  }

  /** @return everything as JSON. */
  std::string Json() const;

 private:
  mutable std::mutex m_mutex;  // Guards all below; a leaf lock.
  std::map<std::string, std::uint64_t> m_runs;
  std::uint64_t m_requests = 0;
  std::uint64_t m_cut = 0;
  std::uint64_t m_stops = 0;
};

}  // namespace bronzebarrow::programs

#endif  // BRONZEBARROW_SRC_PROGRAMS_LOAD_RUN_RECORD_H_
