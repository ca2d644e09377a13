// Counters of the bytes and frames exchanged with the other processes of the
// system over frame connections.
#ifndef BRONZEBARROW_NET_TRAFFIC_H_
#define BRONZEBARROW_NET_TRAFFIC_H_

#include <atomic>
#include <cstdint>

namespace bronzebarrow::net {

/** Totals since the start of this process. */
struct Traffic {
  std::atomic<std::uint64_t> m_bytes_sent{0};
  std::atomic<std::uint64_t> m_bytes_received{0};
  std::atomic<std::uint64_t> m_frames_sent{0};

  static Traffic& Global() {
    static Traffic traffic;
    return traffic;
  }
};

}  // namespace bronzebarrow::net

#endif  // BRONZEBARROW_NET_TRAFFIC_H_
