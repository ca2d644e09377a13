// Merging and expiry of target announcements.
#include "bronzebarrow/routing/target_table.h"

#include <xxhash.h>

#include <utility>

namespace bronzebarrow::routing {

AnnounceVerdict TargetTable::Announce(const wire::AnnouncementT& announcement,
                                      Instant now) {
  const bool leaving = announcement.state == wire::TargetState::Leaving;
  const auto departed = m_departed_incarnations.find(announcement.instance);
  if (departed != m_departed_incarnations.end() &&
      announcement.incarnation <= departed->second) {
    return AnnounceVerdict::kStale;
  }
  const auto [it, inserted] = m_targets.try_emplace(announcement.instance);
  Target& target = it->second;
  const bool is_new_incarnation =
      inserted || announcement.incarnation > target.m_incarnation;
  const bool is_newer =
      is_new_incarnation || (announcement.incarnation == target.m_incarnation &&
                             announcement.sequence > target.m_sequence);
  if (!is_newer) {
    return AnnounceVerdict::kStale;
  }
  const bool starts_leaving = leaving && !target.m_announced_leaving;
  if (is_new_incarnation) {
    target.m_announced_leaving = false;
    target.m_failures = 0;
    target.m_quarantined_until = Instant();
  }
  target.m_pool = announcement.pool;
  target.m_zone = announcement.zone;
  target.m_rack = announcement.rack;
  target.m_address = {announcement.host, announcement.port};
  target.m_slots = announcement.slots;
  target.m_connections = announcement.connections;
  target.m_ttl = Millis(announcement.ttl_ms);
  target.m_incarnation = announcement.incarnation;
  target.m_sequence = announcement.sequence;
  target.m_announced_leaving = target.m_announced_leaving || leaving;
  target.m_expires = now + target.m_ttl;
  m_instances_by_hash[NameHash(announcement.instance)] = announcement.instance;
  return is_new_incarnation || starts_leaving ? AnnounceVerdict::kChanged
                                              : AnnounceVerdict::kRefreshed;
}

AnnounceVerdict TargetTable::Refresh(const wire::Refresh& refresh,
                                     Instant now) {
  const auto found_instance = m_instances_by_hash.find(refresh.name_hash());
  if (found_instance == m_instances_by_hash.end()) {
    return AnnounceVerdict::kUnknown;
  }
  Target& target = m_targets.at(found_instance->second);
  if (refresh.incarnation() > target.m_incarnation) {
    return AnnounceVerdict::kUnknown;
  }
  if (refresh.incarnation() < target.m_incarnation ||
      refresh.sequence() <= target.m_sequence) {
    return AnnounceVerdict::kStale;
  }
  target.m_sequence = refresh.sequence();
  target.m_expires = now + target.m_ttl;
  return AnnounceVerdict::kRefreshed;
}

std::optional<wire::AnnouncementT> TargetTable::Describe(
    std::uint64_t name_hash) const {
  const auto found_instance = m_instances_by_hash.find(name_hash);
  if (found_instance == m_instances_by_hash.end()) {
    return std::nullopt;
  }
  const Target& target = m_targets.at(found_instance->second);
  wire::AnnouncementT announcement;
  announcement.instance = found_instance->second;
  announcement.pool = target.m_pool;
  announcement.zone = target.m_zone;
  announcement.rack = target.m_rack;
  announcement.host = target.m_address.m_host;
  announcement.port = target.m_address.m_port;
  announcement.slots = static_cast<std::uint16_t>(target.m_slots);
  announcement.connections = static_cast<std::uint16_t>(target.m_connections);
  announcement.incarnation = target.m_incarnation;
  announcement.sequence = target.m_sequence;
  announcement.ttl_ms = static_cast<std::uint32_t>(
      std::chrono::duration_cast<Millis>(target.m_ttl).count());
  announcement.state = target.m_announced_leaving ? wire::TargetState::Leaving
                                                  : wire::TargetState::Serving;
  return announcement;
}

std::uint64_t NameHash(const std::string& instance) {
  return XXH3_64bits(instance.data(), instance.size());
}

std::vector<std::string> TargetTable::Expire(Instant now) {
  std::vector<std::string> expired;
  for (auto it = m_targets.begin(); it != m_targets.end();) {
    if (now < it->second.m_expires || it->second.m_in_flight > 0) {
      ++it;
      continue;
    }
    if (it->second.m_announced_leaving) {
      m_departed_incarnations[it->first] = it->second.m_incarnation;
    }
    m_instances_by_hash.erase(NameHash(it->first));
    expired.push_back(it->first);
    it = m_targets.erase(it);
  }
  return expired;
}

std::uint32_t EntryShare(const std::string& name, std::uint32_t limit,
                         std::uint32_t entry_index, std::uint32_t entry_count) {
  const std::uint32_t quotient = limit / entry_count;
  const std::uint32_t remainder = limit % entry_count;
  const auto rotation = static_cast<std::uint32_t>(
      XXH3_64bits(name.data(), name.size()) % entry_count);
  const std::uint32_t position = (entry_index + rotation) % entry_count;
  return quotient + (position < remainder ? 1 : 0);
}

}  // namespace bronzebarrow::routing
