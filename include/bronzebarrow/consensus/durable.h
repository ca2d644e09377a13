// What a replica keeps on disk, as values between the core and the store.
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

/** State read back from disk when a replica starts. */
struct DurableState {
  wire::HardStateT m_hard_state;
  /** Index and term just before the first entry of m_entries. */
  std::uint64_t m_base_index = 0;
  std::uint64_t m_base_term = 0;
  Membership m_base_membership;
  SnapshotPtr m_snapshot;  // Null, or last_index >= m_base_index.
  std::deque<wire::LogEntryT> m_entries;  // Consecutive from m_base_index + 1.
};

/** Everything that one sync must make durable, as one atomic record. */
struct DurableBatchOut {
  wire::DurableBatchT m_batch;
  /** Set when the log is to be rewritten on this new snapshot. */
  SnapshotPtr m_snapshot;
};

}  // namespace bronzebarrow::consensus

#endif  // BRONZEBARROW_CONSENSUS_DURABLE_H_
