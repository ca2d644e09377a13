// Keeps former queues for their active jobs, and counts jobs by queue.
#include "bronzebarrow/jobs/job_queues.h"

#include <utility>

#include "bronzebarrow/base/check.h"

namespace bronzebarrow::jobs {

void JobQueues::SetConfig(QueueTable table) {
  std::map<QueueAddress, wire::QueueSpecT> former;
  for (const auto& [address, counts] : m_counts) {
    const wire::QueueSpecT* const last =
        table.Find(address) == nullptr ? Find(address) : nullptr;
    if (last != nullptr) {
      former.emplace(address, *last);
    }
  }
  m_former = std::move(former);
  m_table = std::move(table);
}

const wire::QueueSpecT* JobQueues::Find(const QueueAddress& address) const {
  if (const wire::QueueSpecT* const queue = m_table.Find(address)) {
    return queue;
  }
  const auto former = m_former.find(address);
  return former == m_former.end() ? nullptr : &former->second;
}

void JobQueues::AddJob(const QueueAddress& address, bool is_started) {
  Counts& counts = m_counts[address];
  ++counts.m_active;
  counts.m_waiting += is_started ? 0 : 1;
}

void JobQueues::RemoveJob(const QueueAddress& address, bool is_started) {
  const auto counts = m_counts.find(address);
  BRONZEBARROW_INVARIANT(counts != m_counts.end());
  counts->second.m_waiting -= is_started ? 0 : 1;
  if (--counts->second.m_active == 0) {
    m_counts.erase(counts);
    m_former.erase(address);
  }
}

void JobQueues::MarkStarted(const QueueAddress& address) {
  --m_counts.at(address).m_waiting;
}

std::uint32_t JobQueues::WaitingCount(const QueueAddress& address) const {
  const auto counts = m_counts.find(address);
  return counts == m_counts.end() ? 0 : counts->second.m_waiting;
}

std::vector<std::unique_ptr<wire::QueueSpecT>> JobQueues::FormerQueues() const {
  std::vector<std::unique_ptr<wire::QueueSpecT>> queues;
  for (const auto& [address, queue] : m_former) {
    queues.push_back(std::make_unique<wire::QueueSpecT>(queue));
  }
  return queues;
}

void JobQueues::Load(
    QueueTable table,
    const std::vector<std::unique_ptr<wire::QueueSpecT>>& former) {
  m_table = std::move(table);
  m_counts.clear();
  m_former.clear();
  for (const auto& queue : former) {
    m_former.emplace(AddressOf(*queue), *queue);
  }
}

}  // namespace bronzebarrow::jobs
