// Targets as they announce themselves: soft state that times out.
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
  kNews,
  kRefreshed,
  kStale,
  kUnknown,  // A refresh of a target or incarnation that is not known here.
};

struct Target {
  std::string m_pool;
  std::string m_zone;
  std::string m_rack;
  Address m_address;
  std::uint32_t m_slots = 0;
  std::uint32_t m_connections = 0;
  Duration m_ttl = Duration::zero();
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_sequence = 0;      // Increases within an incarnation.
  bool m_announced_leaving = false;  // Never reset within an incarnation.
  Instant m_expires;

  std::uint32_t m_in_flight = 0;  // Of this entry.
  std::uint32_t m_failures = 0;   // Consecutive.
  Instant m_ejected_until;
};

class TargetTable {
 public:
  /** Merges an announcement; an older one never undoes a newer. */
  AnnounceVerdict Announce(const wire::AnnouncementT& announcement,
                           Instant now);
  /** Merges a refresh, which repeats an announcement made before. */
  AnnounceVerdict Refresh(const wire::Refresh& refresh, Instant now);
  /** @return the announcement of a target in full, if it is known. */
  std::optional<wire::AnnouncementT> Describe(std::uint64_t name_hash) const;
  /** @return the instances whose announcements timed out, now removed. */
  std::vector<std::string> Expire(Instant now);

  std::map<std::string, Target>& targets() { return m_targets; }
  const std::map<std::string, Target>& targets() const { return m_targets; }

 private:
  std::map<std::string, Target> m_targets;
  std::map<std::uint64_t, std::string> m_names;  // Of m_targets, by hash.
  // Incarnations of removed targets that still had requests in flight or may
  // be announced late; an announcement at or below is not news.
  std::map<std::string, std::uint64_t> m_left_incarnation;
};

/** @return the hash that names an instance in a refresh. */
std::uint64_t NameHash(const std::string& instance);

/**
 * @return this entry's part of a target's slots. The parts of all entries sum
 * to `slots` exactly, so the entries together never exceed it.
 */
std::uint32_t SlotShare(const std::string& instance, std::uint32_t slots,
                        std::uint32_t entry_index, std::uint32_t entry_count);

}  // namespace bronzebarrow::routing

#endif  // BRONZEBARROW_ROUTING_TARGET_TABLE_H_
