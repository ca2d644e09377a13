// Bytes and frames exchanged with the project's other processes.
#ifndef BRONZEBARROW_NET_TRAFFIC_H_
#define BRONZEBARROW_NET_TRAFFIC_H_

#include <atomic>
#include <cstdint>

namespace bronzebarrow::net {

/** Counters of one process. */
struct Traffic {
  std::atomic<std::uint64_t> m_sent{0};
  std::atomic<std::uint64_t> m_received{0};
  std::atomic<std::uint64_t> m_frames_sent{0};

  static Traffic& Global() {
    static Traffic traffic;
    return traffic;
  }
};

}  // namespace bronzebarrow::net

#endif  // BRONZEBARROW_NET_TRAFFIC_H_
