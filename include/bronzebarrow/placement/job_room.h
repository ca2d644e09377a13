// Decides whether the members have memory for another job or occurrence. Load
// pattern: submissions of a hundred bytes that each stand for 20,000 tasks, or
// for occurrences that are all due. Test: tests/job_room_test.cc.
#ifndef BRONZEBARROW_NODE_JOB_ROOM_H_
#define BRONZEBARROW_NODE_JOB_ROOM_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <limits>
#include <unordered_map>

#include "bronzebarrow/jobs/task_key.h"

namespace bronzebarrow::node {

/**
 * Counts what is stored and what is proposed and not applied yet. The larger a
 * job is, the more of the memory it leaves free: a crowd that fills its part
 * keeps no ordinary job out, which has a dozen tasks.
 */
class JobRoom {
 public:
  /** @param max_bytes of all jobs; 0: no limit */
  explicit JobRoom(std::size_t max_bytes) : m_max_bytes(max_bytes) {}

  /**
   * @param stored bytes of all jobs that are applied
   * @param job bytes of the new job
   */
  bool FitsJob(std::size_t stored, std::size_t job) const {
    return Fits(stored, job, EighthsFor(job));
  }
  /**
   * @param unfinished bytes of the job's open occurrences. One that overlaps
   * them leaves as much free as the largest jobs.
   * @param added bytes of the next occurrences
   */
  bool FitsOccurrences(std::size_t stored, std::size_t unfinished,
                       std::size_t added) const {
    return Fits(stored, added,
                unfinished > 0 ? kTiers.back().m_eighths : EighthsFor(added));
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
  struct Tier {
    std::size_t m_max_job_bytes;
    std::size_t m_eighths;  // Of the memory that such jobs may fill.
  };
  static constexpr std::array<Tier, 4> kTiers = {
      {{std::size_t{4} << 10, 8},
       {std::size_t{16} << 10, 7},
       {std::size_t{64} << 10, 6},
       {std::numeric_limits<std::size_t>::max(), 4}}};

  static std::size_t EighthsFor(std::size_t job) {
    return std::find_if(
               kTiers.begin(), kTiers.end(),
               [&](const Tier& tier) { return job <= tier.m_max_job_bytes; })
        ->m_eighths;
  }
  bool Fits(std::size_t stored, std::size_t added, std::size_t eighths) const {
    return m_max_bytes == 0 ||
           stored + m_proposed_bytes + added <= m_max_bytes / 8 * eighths;
  }

  std::size_t m_max_bytes;
  std::unordered_map<jobs::JobId, std::size_t> m_proposed;
  std::size_t m_proposed_bytes = 0;  // Sum over m_proposed.
};

}  // namespace bronzebarrow::node

#endif  // BRONZEBARROW_NODE_JOB_ROOM_H_
