// The queues that active jobs belong to, across changes of the configuration.
#ifndef BRONZEBARROW_JOBS_JOB_QUEUES_H_
#define BRONZEBARROW_JOBS_JOB_QUEUES_H_

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "bronzebarrow/jobs/queue_table.h"

namespace bronzebarrow::jobs {

/**
 * The queues of the configuration in force, and former ones: queues that it
 * lacks and that still have active jobs. A former queue is kept as the last
 * configuration with its address had it, and jobs of it go on as that one says.
 */
class JobQueues {
 public:
  const QueueTable& table() const { return m_table; }
  void SetConfig(QueueTable table);

  /** @return the queue in force, or the former one; null if there is none. */
  const wire::QueueSpecT* Find(const QueueAddress& address) const;
  std::size_t former_count() const { return m_former.size(); }

  // Active jobs. Each one is added and removed once, with the same address.
  void AddJob(const QueueAddress& address, bool is_started);
  void RemoveJob(const QueueAddress& address, bool is_started);
  /** The first task of a job that was added as not started has started. */
  void MarkStarted(const QueueAddress& address);
  /** @return active jobs of the queue of which no task has started. */
  std::uint32_t WaitingCount(const QueueAddress& address) const;

  /** @return the former queues, for images. */
  std::vector<std::unique_ptr<wire::QueueSpecT>> FormerQueues() const;
  /** Replaces everything by what an image holds; jobs are added afterwards. */
  void Load(QueueTable table,
            const std::vector<std::unique_ptr<wire::QueueSpecT>>& former);
  /** @return whether both count the same jobs. */
  bool CountsLike(const JobQueues& other) const {
    return m_counts == other.m_counts;
  }

 private:
  struct Counts {
    std::uint32_t m_active = 0;
    std::uint32_t m_waiting = 0;  // Of m_active, without a started task.

    bool operator==(const Counts&) const = default;
  };

  QueueTable m_table;
  std::map<QueueAddress, Counts> m_counts;  // No entry without active jobs.
  // Only addresses of m_counts that m_table lacks.
  std::map<QueueAddress, wire::QueueSpecT> m_former;
};

}  // namespace bronzebarrow::jobs

#endif  // BRONZEBARROW_JOBS_JOB_QUEUES_H_
