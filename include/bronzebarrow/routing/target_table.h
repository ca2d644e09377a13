// Table of the targets that announced themselves. This is soft state: a target
// expires unless it is announced again.
#ifndef BRONZEBARROW_ROUTING_TARGET_TABLE_H_
#define BRONZEBARROW_ROUTING_TARGET_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bronzebarrow/base/address.h"
#include "bronzebarrow/base/time.h"
#include "wire_generated.h"

namespace bronzebarrow::routing {

enum class AnnounceVerdict {
  kChanged,    // New target, new incarnation, or the target started to leave.
  kRefreshed,  // Extends the expiry of a target in the table.
  kStale,      // Not newer than the table; ignored.
  kUnknown,    // Refresh of a target or incarnation that is not in the table.
};

struct Target {
  std::string m_pool;
  std::string m_zone;
  std::string m_rack;
  Address m_address;
  std::uint32_t m_slots = 0;
  std::uint32_t m_connections = 0;
  Duration m_ttl = Duration::zero();  // Expiry counts from the announcement.
  std::uint64_t m_incarnation = 0;    // Increases with each process start.
  std::uint64_t m_sequence = 0;       // Increases within an incarnation.
  bool m_announced_leaving = false;   // Never reset within an incarnation.
  Instant m_expires;

  std::uint32_t m_in_flight = 0;  // Requests from this entry.
  std::uint32_t m_failures = 0;   // Consecutive failed dispatches.
  Instant m_quarantined_until;    // A past time if not quarantined.
};

class TargetTable {
 public:
  /** Merges an announcement; ignores one not newer than the table. */
  AnnounceVerdict Announce(const wire::AnnouncementT& announcement,
                           Instant now);
  /**
   * Merges a refresh: the short form of an announcement whose other fields
   * have not changed.
   */
  AnnounceVerdict Refresh(const wire::Refresh& refresh, Instant now);
  /** @return the full announcement of the target, if it is in the table. */
  std::optional<wire::AnnouncementT> Describe(std::uint64_t name_hash) const;
  /**
   * Removes expired targets; one with requests in flight is kept.
   * @return the removed instances
   */
  std::vector<std::string> Expire(Instant now);

  std::map<std::string, Target>& targets() { return m_targets; }
  const std::map<std::string, Target>& targets() const { return m_targets; }

 private:
  std::map<std::string, Target> m_targets;  // Keyed by instance.
  // Keys of m_targets by NameHash.
  std::map<std::uint64_t, std::string> m_instances_by_hash;
  // Last incarnation of each removed target that had announced that it is
  // leaving. A late announcement of this or an earlier incarnation is stale.
  std::map<std::string, std::uint64_t> m_departed_incarnations;
};

/** @return the hash that identifies an instance in a refresh. */
std::uint64_t NameHash(const std::string& instance);

/**
 * Divides the slots of a target, or the quota of a plan, among the entries. The
 * shares of all entries sum to exactly `limit`, so the entries together never
 * exceed it, without communication between them.
 * @param name instance or plan; decides which entries get the remainder
 * @return the share of entry `entry_index`
 */
std::uint32_t EntryShare(const std::string& name, std::uint32_t limit,
                         std::uint32_t entry_index, std::uint32_t entry_count);

}  // namespace bronzebarrow::routing

#endif  // BRONZEBARROW_ROUTING_TARGET_TABLE_H_
