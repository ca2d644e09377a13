// The configuration lease of an entry, timed with the entry's own monotonic
// clock.
#ifndef BRONZEBARROW_ROUTING_ENTRY_LEASE_H_
#define BRONZEBARROW_ROUTING_ENTRY_LEASE_H_

#include <cstdint>
#include <map>

#include "bronzebarrow/base/time.h"

namespace bronzebarrow::routing {

/**
 * Permission from the control group to start new work. The lease duration
 * counts from the time the request was sent, so that the lease expires here no
 * later than the control group assumes. A grant also carries the lowest
 * configuration and fleet versions that the entry must apply to use the lease.
 */
class EntryLease {
 public:
  /** Records a lease request sent at `now`. @return its sequence number. */
  std::uint64_t RecordRequest(Instant now);
  /** Applies a grant. Ignored if its request is no longer outstanding. */
  void OnGrant(std::uint64_t sequence, Duration duration,
               std::uint64_t config_version, std::uint64_t fleet_version);

  /**
   * @return whether the lease has not expired at `now` and the given versions
   * are at least the required ones, so that new work may start.
   */
  bool IsValidFor(Instant now, std::uint64_t config_version,
                  std::uint64_t fleet_version) const;
  Instant expires() const { return m_expires; }

 private:
  std::uint64_t m_next_sequence = 1;
  // Send time of each request without a grant, by sequence number.
  std::map<std::uint64_t, Instant> m_outstanding;
  Instant m_expires;                            // Never decreases.
  std::uint64_t m_required_config_version = 0;  // Never decreases.
  std::uint64_t m_required_fleet_version = 0;   // Never decreases.
};

}  // namespace bronzebarrow::routing

#endif  // BRONZEBARROW_ROUTING_ENTRY_LEASE_H_
