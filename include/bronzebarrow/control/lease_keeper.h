// The leader's view of the entries: leases, versions in force, drains.
#ifndef BRONZEBARROW_CONTROL_LEASE_KEEPER_H_
#define BRONZEBARROW_CONTROL_LEASE_KEEPER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bronzebarrow/base/time.h"
#include "wire_generated.h"

namespace bronzebarrow::control {

struct LeaseKeeperOptions {
  /** Names of every entry that may hold a lease. */
  std::vector<std::string> m_entries;
  Duration m_lease = Millis(2500);
  /** The longest a request may still run after its entry's lease ended. */
  Duration m_max_request = Millis(30'000);
};

/** What one entry last said, and until when it may act. */
struct EntryStatus {
  bool m_has_reported = false;  // To this leader.
  Instant m_lease_end;          // At the latest; conservative.
  std::uint64_t m_config_version = 0;
  std::uint64_t m_fleet_version = 0;
  std::set<std::string> m_drained;
  std::map<std::string, wire::ObservationT> m_observed;
  Instant m_last_report;
};

/**
 * Exists while a replica leads. Leases granted by earlier leaders are covered
 * by counting every entry as leased for one lease from the start of the term.
 */
class LeaseKeeper {
 public:
  LeaseKeeper(LeaseKeeperOptions options, Instant leader_since);

  /** Takes a report. @return whether the entry must send its full view. */
  bool OnReport(const std::string& entry, const wire::LeaseRequestT& report,
                Instant now);
  /** Notes a grant that a proof of leadership has covered. */
  void OnGrant(const std::string& entry, Instant now);

  /** @return the entries that may still act under an older version. */
  std::vector<std::string> NotInForce(std::uint64_t config_version,
                                      Instant now) const;
  /** @return the entries that may still run work at the stop's target. */
  std::vector<std::string> NotDrained(const std::string& stop_id,
                                      Instant now) const;
  /** @return the instances present in some entry's live view. */
  std::map<std::string, wire::ObservationT> Present(Instant now) const;
  /** @return whether enough live views exist to call an instance missing. */
  bool ViewIsComplete(Instant now) const;

  bool Knows(const std::string& entry) const {
    return m_entries.contains(entry);
  }
  const std::map<std::string, EntryStatus>& entries() const {
    return m_entries;
  }
  Duration lease() const { return m_options.m_lease; }

 private:
  LeaseKeeperOptions m_options;
  std::map<std::string, EntryStatus> m_entries;  // One per known entry.
  Instant m_leader_since;
};

}  // namespace bronzebarrow::control

#endif  // BRONZEBARROW_CONTROL_LEASE_KEEPER_H_
