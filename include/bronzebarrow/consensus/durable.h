// Durable state of a replica, as the values that the replica (core, no I/O) and
// the log store (I/O layer) exchange.
#ifndef BRONZEBARROW_CONSENSUS_DURABLE_H_
#define BRONZEBARROW_CONSENSUS_DURABLE_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

#include "bronzebarrow/consensus/membership.h"
#include "wire_generated.h"

namespace bronzebarrow::consensus {

using SnapshotPtr = std::shared_ptr<const wire::SnapshotFileT>;

/** State that the log store recovers from disk when a replica starts. */
struct DurableState {
  wire::HardStateT m_hard_state;  // Current term and the vote given in it.
  /** Index and term of the entry just before the first of m_entries. */
  std::uint64_t m_base_index = 0;
  std::uint64_t m_base_term = 0;
  Membership m_base_membership;  // Membership in force at m_base_index.
  SnapshotPtr m_snapshot;        // Null, or its last_index >= m_base_index.
  // Consecutive indexes, the first is m_base_index + 1.
  std::deque<wire::LogEntryT> m_entries;
};

/** State that one sync makes durable; written as one atomic record. */
struct DurableBatchOut {
  wire::DurableBatchT m_batch;
  /**
   * New snapshot; the log file is then replaced by one that starts with
   * m_batch. Null when m_batch is appended to the log file.
   */
  SnapshotPtr m_snapshot;
};

}  // namespace bronzebarrow::consensus

#endif  // BRONZEBARROW_CONSENSUS_DURABLE_H_
