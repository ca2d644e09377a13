// Shares of the memory by role.
#include "bronzebarrow/limits/memory_plan.h"

#include <array>

namespace bronzebarrow::limits {
namespace {

constexpr std::size_t kShareUnit = 64;
// The kernel takes twice the size that is set for a receive buffer, and lets
// most of it fill with bytes.
constexpr std::size_t kKernelBytesPerBufferByte = 2;

/** Parts in 64ths of the memory. */
struct Shares {
  std::size_t m_requests;
  std::size_t m_request_sockets;
  std::size_t m_frame_sockets;
  std::size_t m_frames;
  std::size_t m_unsent_calls;
  std::size_t m_jobs;

  constexpr std::size_t Sum() const {
    return m_requests + m_request_sockets + m_frame_sockets + m_frames +
           m_unsent_calls + m_jobs;
  }
};

// By role. An entry stores nothing, so most of its memory is left to the
// program. Members store jobs and receive snapshots, each in one frame.
constexpr std::array<Shares, kMemoryRoles> kShares = {{
    {8, 8, 0, 0, 2, 0},
    {8, 8, 8, 12, 0, 16},
}};
static_assert(kShares[0].Sum() < kShareUnit && kShares[1].Sum() < kShareUnit);

}  // namespace

MemoryPlan PlanMemory(MemoryRole role, std::size_t memory_bytes) {
  const std::size_t unit =
      (memory_bytes == 0 ? kDefaultMemoryBytes : memory_bytes) / kShareUnit;
  const Shares& shares = kShares[static_cast<std::size_t>(role)];
  MemoryPlan plan;
  plan.m_requests = unit * shares.m_requests;
  plan.m_request_sockets = unit * shares.m_request_sockets;
  plan.m_frame_sockets = unit * shares.m_frame_sockets;
  plan.m_frames = unit * shares.m_frames;
  plan.m_unsent_calls = unit * shares.m_unsent_calls;
  plan.m_jobs = unit * shares.m_jobs;
  return plan;
}

std::size_t ConnectionsWithin(std::size_t part, std::size_t buffer_bytes) {
  return part / (kKernelBytesPerBufferByte * buffer_bytes);
}

}  // namespace bronzebarrow::limits
