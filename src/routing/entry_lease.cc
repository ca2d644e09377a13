// Expiry time and required versions of the lease.
#include "bronzebarrow/routing/entry_lease.h"

#include <algorithm>

namespace bronzebarrow::routing {
namespace {

// Limits memory while requests stay unanswered; the oldest are dropped.
constexpr std::size_t kMaxOutstandingRequests = 64;

}  // namespace

std::uint64_t EntryLease::RecordRequest(Instant now) {
  if (m_outstanding.size() >= kMaxOutstandingRequests) {
    m_outstanding.erase(m_outstanding.begin());
  }
  m_outstanding[m_next_sequence] = now;
  return m_next_sequence++;
}

void EntryLease::OnGrant(std::uint64_t sequence, Duration duration,
                         std::uint64_t config_version,
                         std::uint64_t fleet_version) {
  const auto sent = m_outstanding.find(sequence);
  if (sent == m_outstanding.end()) {
    return;
  }
  m_expires = std::max(m_expires, sent->second + duration);
  m_required_config_version =
      std::max(m_required_config_version, config_version);
  m_required_fleet_version = std::max(m_required_fleet_version, fleet_version);
  m_outstanding.erase(m_outstanding.begin(), std::next(sent));
}

bool EntryLease::IsValidFor(Instant now, std::uint64_t config_version,
                            std::uint64_t fleet_version) const {
  return now < m_expires && config_version >= m_required_config_version &&
         fleet_version >= m_required_fleet_version;
}

}  // namespace bronzebarrow::routing
