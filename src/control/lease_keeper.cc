// LeaseKeeper: decides from the entries' reports and leases when a version is
// in force everywhere and when a stop's target is drained.
#include "bronzebarrow/control/lease_keeper.h"

#include <algorithm>
#include <utility>

namespace bronzebarrow::control {

LeaseKeeper::LeaseKeeper(LeaseKeeperOptions options, Instant leader_since)
    : m_options(std::move(options)), m_leader_since(leader_since) {
  for (const std::string& name : m_options.m_entries) {
    m_entries[name].m_lease_end = leader_since + m_options.m_lease;
  }
}

bool LeaseKeeper::OnReport(const std::string& name,
                           const wire::LeaseRequestT& report, Instant now) {
  EntryStatus& entry = m_entries.at(name);
  const bool need_full_view = !entry.m_has_reported && !report.full_view;
  if (need_full_view) {
    return true;
  }
  entry.m_has_reported = true;
  entry.m_last_report = now;
  entry.m_config_version =
      std::max(entry.m_config_version, report.config_version);
  entry.m_fleet_version = std::max(entry.m_fleet_version, report.fleet_version);
  entry.m_drained.clear();
  entry.m_drained.insert(report.drained.begin(), report.drained.end());
  if (report.full_view) {
    entry.m_config_version = report.config_version;
    entry.m_fleet_version = report.fleet_version;
    entry.m_observed.clear();
  }
  for (const auto& observation : report.observations) {
    if (observation->present) {
      entry.m_observed[observation->instance] = *observation;
    } else {
      entry.m_observed.erase(observation->instance);
    }
  }
  return false;
}

void LeaseKeeper::OnGrant(const std::string& name, Instant now) {
  EntryStatus& entry = m_entries.at(name);
  entry.m_lease_end = std::max(entry.m_lease_end, now + m_options.m_lease);
}

std::vector<std::string> LeaseKeeper::EntriesNotInForce(
    std::uint64_t config_version, Instant now) const {
  std::vector<std::string> blocking;
  for (const auto& [name, entry] : m_entries) {
    const bool in_force =
        entry.m_has_reported && entry.m_config_version >= config_version;
    if (!in_force && now < entry.m_lease_end) {
      blocking.push_back(name);
    }
  }
  return blocking;
}

std::vector<std::string> LeaseKeeper::EntriesNotDrained(
    const std::string& stop_id, Instant now) const {
  std::vector<std::string> blocking;
  for (const auto& [name, entry] : m_entries) {
    const bool drained =
        entry.m_has_reported && entry.m_drained.contains(stop_id);
    if (!drained && now < entry.m_lease_end + m_options.m_max_request) {
      blocking.push_back(name);
    }
  }
  return blocking;
}

std::map<std::string, wire::ObservationT> LeaseKeeper::PresentInstances(
    Instant now) const {
  std::map<std::string, wire::ObservationT> present;
  for (const auto& [name, entry] : m_entries) {
    if (!entry.m_has_reported || now >= entry.m_lease_end) {
      continue;
    }
    for (const auto& [instance, observation] : entry.m_observed) {
      const auto [it, inserted] = present.emplace(instance, observation);
      if (!inserted && observation.incarnation > it->second.incarnation) {
        it->second = observation;
      }
    }
  }
  return present;
}

bool LeaseKeeper::CanDetectMissing(Instant now) const {
  if (now < m_leader_since + 2 * m_options.m_lease) {
    return false;
  }
  const auto leased_entries =
      std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& item) {
        return item.second.m_has_reported && now < item.second.m_lease_end;
      });
  return leased_entries > 0;
}

}  // namespace bronzebarrow::control
