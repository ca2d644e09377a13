// The leader's records of the entries: their leases, the state versions they
// apply and the stops for which they have drained the target.
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

/** The last report of one entry, and the end of its lease. */
struct EntryStatus {
  bool m_has_reported = false;  // Whether it has reported to this leader.
  // Latest time at which the entry's lease can end, by this leader's clock; the
  // entry's own lease never ends later.
  Instant m_lease_end;
  std::uint64_t m_config_version = 0;
  std::uint64_t m_fleet_version = 0;
  std::set<std::string> m_drained;  // Ids of stops it has drained for.
  // The instances it has in view, by name.
  std::map<std::string, wire::ObservationT> m_observed;
  Instant m_last_report;
};

/**
 * Exists while a replica is the leader. Earlier leaders may have granted leases
 * that this one has no record of, so every entry is treated as holding a lease
 * for one lease duration from the start of the term.
 */
class LeaseKeeper {
 public:
  LeaseKeeper(LeaseKeeperOptions options, Instant leader_since);

  /**
   * Records a report. The first report to a leader must carry the entry's full
   * view; without it the report is ignored.
   * @return whether the entry must send its full view
   */
  bool OnReport(const std::string& entry, const wire::LeaseRequestT& report,
                Instant now);
  /** Records a lease granted after a leadership confirmation. */
  void OnGrant(const std::string& entry, Instant now);

  /** @return the entries that may still serve under an older version. */
  std::vector<std::string> EntriesNotInForce(std::uint64_t config_version,
                                             Instant now) const;
  /**
   * @return the entries that may still have requests in flight at the stop's
   * target.
   */
  std::vector<std::string> EntriesNotDrained(const std::string& stop_id,
                                             Instant now) const;
  /** @return the instances reported present by an entry with a valid lease. */
  std::map<std::string, wire::ObservationT> PresentInstances(Instant now) const;
  /**
   * @return whether an instance that no entry reports can be recorded as
   * missing: the leader has led for two lease durations, and at least one entry
   * with a valid lease has reported.
   */
  bool CanDetectMissing(Instant now) const;

  bool IsConfigured(const std::string& entry) const {
    return m_entries.contains(entry);
  }
  const std::map<std::string, EntryStatus>& entries() const {
    return m_entries;
  }
  Duration lease() const { return m_options.m_lease; }

 private:
  LeaseKeeperOptions m_options;
  // Every configured entry, by name; none is added or removed.
  std::map<std::string, EntryStatus> m_entries;
  Instant m_leader_since;
};

}  // namespace bronzebarrow::control

#endif  // BRONZEBARROW_CONTROL_LEASE_KEEPER_H_
