// Decides whether the members have memory for another job or occurrence. Load
// pattern: submissions of a hundred bytes that each stand for 20,000 tasks, or
// for occurrences that are all due. Test: tests/job_room_test.cc.
#ifndef BRONZEBARROW_PLACEMENT_JOB_ROOM_H_
#define BRONZEBARROW_PLACEMENT_JOB_ROOM_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <limits>
#include <unordered_map>

#include "bronzebarrow/jobs/job_memory.h"
#include "bronzebarrow/jobs/task_key.h"

namespace bronzebarrow::placement {

/**
 * Counts what is stored and what is proposed and not applied yet. The larger a
 * job is, the more of the memory it leaves free: a crowd that fills its part
 * keeps no ordinary job out, which has a dozen tasks. That part counts active
 * jobs; a busy site's jobs are active for seconds and are kept for minutes
 * after their end, so that ended ones would fill it in calm.
 */
class JobRoom {
 public:
  /** @param max_bytes of all jobs; 0: no limit */
  explicit JobRoom(std::size_t max_bytes) : m_max_bytes(max_bytes) {}

  /**
   * @param stored bytes of the jobs that are applied
   * @param job bytes of the new job
   */
  bool FitsJob(const jobs::JobBytes& stored, std::size_t job) const {
    return Fits(stored, job, TierOf(job));
  }
  /**
   * @param unfinished bytes of the job's open occurrences. One that overlaps
   * them leaves as much free as the largest jobs.
   * @param added bytes of the next occurrences
   */
  bool FitsOccurrences(const jobs::JobBytes& stored, std::size_t unfinished,
                       std::size_t added) const {
    return Fits(stored, added, unfinished > 0 ? kTiers.back() : TierOf(added));
  }
  /** A job has one proposal at a time: to accept it, or to open occurrences. */
  void Propose(jobs::JobId job, std::size_t added) {
    OnApplied(job);
    m_proposed[job] = added;
    m_proposed_bytes += added;
  }
  /** The proposal of the job was applied; no effect if it has none. */
  void OnApplied(jobs::JobId job) {
    const auto proposed = m_proposed.find(job);
    if (proposed != m_proposed.end()) {
      m_proposed_bytes -= proposed->second;
      m_proposed.erase(proposed);
    }
  }
  void Clear() {
    m_proposed.clear();
    m_proposed_bytes = 0;
  }

 private:
  /** Parts of the memory that jobs up to a size may fill. */
  struct Tier {
    std::size_t m_max_job_bytes;
    std::size_t m_active_eighths;  // By active jobs.
    std::size_t m_all_eighths;     // With those that have ended.
  };
  static constexpr std::array<Tier, 4> kTiers = {
      {{std::size_t{4} << 10, 8, 8},
       {std::size_t{16} << 10, 7, 8},
       {std::size_t{64} << 10, 6, 7},
       {std::numeric_limits<std::size_t>::max(), 4, 7}}};

  static const Tier& TierOf(std::size_t job) {
    return *std::find_if(kTiers.begin(), kTiers.end(), [&](const Tier& tier) {
      return job <= tier.m_max_job_bytes;
    });
  }
  bool Fits(const jobs::JobBytes& stored, std::size_t added,
            const Tier& tier) const {
    const std::size_t eighth = m_max_bytes / 8;
    const std::size_t coming = m_proposed_bytes + added;
    return m_max_bytes == 0 ||
           (stored.m_active + coming <= eighth * tier.m_active_eighths &&
            stored.m_all + coming <= eighth * tier.m_all_eighths);
  }

  std::size_t m_max_bytes;
  std::unordered_map<jobs::JobId, std::size_t> m_proposed;
  std::size_t m_proposed_bytes = 0;  // Sum over m_proposed.
};

}  // namespace bronzebarrow::placement

#endif  // BRONZEBARROW_PLACEMENT_JOB_ROOM_H_
