// An entry's configuration lease, counted on its own monotonic clock.
#ifndef BRONZEBARROW_ROUTING_ENTRY_LEASE_H_
#define BRONZEBARROW_ROUTING_ENTRY_LEASE_H_

#include <cstdint>
#include <map>

#include "bronzebarrow/base/time.h"

namespace bronzebarrow::routing {

/**
 * A lease runs from when its request was sent, and names the versions that
 * must be in force while it is held.
 */
class EntryLease {
 public:
  /** Notes that a request is sent now. @return its sequence number. */
  std::uint64_t NextRequest(Instant now);
  /** Takes a grant; one for a forgotten request is ignored. */
  void OnGrant(std::uint64_t sequence, Duration duration,
               std::uint64_t config_version, std::uint64_t fleet_version);

  /** @return whether new work may start under these versions. */
  bool Holds(Instant now, std::uint64_t config_version,
             std::uint64_t fleet_version) const;
  Instant expires() const { return m_expires; }

 private:
  std::uint64_t m_next_sequence = 1;
  std::map<std::uint64_t, Instant> m_sent;  // Requests not yet granted.
  Instant m_expires;                        // Never decreases.
  std::uint64_t m_required_config = 0;      // Never decreases.
  std::uint64_t m_required_fleet = 0;       // Never decreases.
};

}  // namespace bronzebarrow::routing

#endif  // BRONZEBARROW_ROUTING_ENTRY_LEASE_H_
