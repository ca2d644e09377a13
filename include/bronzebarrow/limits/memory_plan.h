// Division of a process's memory among what clients and peers make it hold.
// Each part is enforced where its bytes arise; together with the rest, which is
// left to the program and what it computes, they are the whole memory. The
// costs per byte that the parts rest on are in docs/CAPACITY.md.
#ifndef BRONZEBARROW_LIMITS_MEMORY_PLAN_H_
#define BRONZEBARROW_LIMITS_MEMORY_PLAN_H_

#include <cstddef>
#include <cstdint>

namespace bronzebarrow::limits {

/** What a process does; each role divides its memory in another way. */
enum class MemoryRole : std::uint8_t { kEntry, kMember };
constexpr std::size_t kMemoryRoles = 2;

/** Parts of the memory, in bytes. */
struct MemoryPlan {
  /** Requests that are read or served, and responses that are written. */
  std::size_t m_requests = 0;
  /** Receive buffers of connections that carry requests, in the kernel. */
  std::size_t m_request_sockets = 0;
  /** Receive buffers of accepted connections of frames, in the kernel. */
  std::size_t m_frame_sockets = 0;
  /** Frames of accepted connections that are received or not sent yet. */
  std::size_t m_frames = 0;
  /** Calls that wait to be sent to the leader. */
  std::size_t m_unsent_calls = 0;
  /** Accepted jobs, as a member stores them. */
  std::size_t m_jobs = 0;
};

/** Used when the settings do not tell the memory of the machine. */
constexpr std::size_t kDefaultMemoryBytes = std::size_t{512} << 20;

/** @param memory_bytes of the process; 0: not known */
MemoryPlan PlanMemory(MemoryRole role, std::size_t memory_bytes);

/**
 * @return the number of connections whose receive buffers, set to
 * `buffer_bytes`, fit into `part`
 */
std::size_t ConnectionsWithin(std::size_t part, std::size_t buffer_bytes);

}  // namespace bronzebarrow::limits

#endif  // BRONZEBARROW_LIMITS_MEMORY_PLAN_H_
