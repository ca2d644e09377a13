// Expiry time and required versions of the lease.
#include "bronzebarrow/routing/entry_lease.h"

#include <algorithm>

namespace bronzebarrow::routing {
namespace {

// Limits memory while requests stay unanswered; the oldest are dropped.
constexpr std::size_t kMaxOutstanding = 64;

}  // namespace

std::uint64_t EntryLease::NextRequest(Instant now) {
  if (m_sent.size() >= kMaxOutstanding) {
    m_sent.erase(m_sent.begin());
  }
  m_sent[m_next_sequence] = now;
  return m_next_sequence++;
}

void EntryLease::OnGrant(std::uint64_t sequence, Duration duration,
                         std::uint64_t config_version,
                         std::uint64_t fleet_version) {
  const auto sent = m_sent.find(sequence);
  if (sent == m_sent.end()) {
    return;
  }
  m_expires = std::max(m_expires, sent->second + duration);
  m_required_config = std::max(m_required_config, config_version);
  m_required_fleet = std::max(m_required_fleet, fleet_version);
  m_sent.erase(m_sent.begin(), std::next(sent));
}

bool EntryLease::Holds(Instant now, std::uint64_t config_version,
                       std::uint64_t fleet_version) const {
  return now < m_expires && config_version >= m_required_config &&
         fleet_version >= m_required_fleet;
}

}  // namespace bronzebarrow::routing
