// Fleet: the check of planned stops against the plans' floors, and the next
// stops of waves.
#include <algorithm>

#include "bronzebarrow/fleet/fleet.h"

namespace bronzebarrow::fleet {
namespace {

// Time that a stop of a wave has to drain before it expires.
constexpr std::uint64_t kWaveStopDeadlineMs = 5 * 60 * 1000;

using DomainKey = const std::string& (*)(const Instance&);

const std::string& RackOf(const Instance& instance) { return instance.m_rack; }
const std::string& ZoneOf(const Instance& instance) { return instance.m_zone; }

// Indexed by FailureDomain; null means that no reserve is kept for a domain.
constexpr std::array<DomainKey, 3> kDomainKeys = {nullptr, RackOf, ZoneOf};

}  // namespace

Margin Fleet::MarginOf(const Use& use, const std::string& without) const {
  const DomainKey key = kDomainKeys[static_cast<std::size_t>(use.m_survive)];
  Margin margin;
  margin.m_plan = use.m_plan;
  margin.m_pool = use.m_pool;
  margin.m_floor = use.m_floor;
  std::map<std::string, std::int64_t> by_domain;
  std::int64_t on_probation = 0;
  for (const auto& [name, instance] : m_instances) {
    const bool counts = instance.m_pool == use.m_pool && name != without &&
                        Serves(instance.m_state) &&
                        use.Admits(instance.m_zone, instance.m_rack);
    if (!counts) {
      continue;
    }
    ++margin.m_available;
    on_probation |= instance.m_state == InstanceState::kProbation ? 1 : 0;
    if (key != nullptr) {
      ++by_domain[key(instance)];
    }
  }
  std::int64_t largest_domain = 0;
  for (const auto& [domain, count] : by_domain) {
    largest_domain = std::max(largest_domain, count);
  }
  margin.m_reserve = largest_domain + on_probation;
  return margin;
}

std::vector<Margin> Fleet::Margins(const std::string& without) const {
  std::vector<Margin> margins;
  if (m_lists != nullptr) {
    for (const Use& use : m_lists->m_uses) {
      margins.push_back(MarginOf(use, without));
    }
  }
  return margins;
}

Outcome Fleet::CheckStop(const std::string& name) const {
  const auto found = m_instances.find(name);
  if (found == m_instances.end()) {
    return {ErrorCode::kInstanceUnknown, name};
  }
  const Instance& instance = found->second;
  if (m_lists == nullptr) {
    return {};
  }
  for (const Use& use : m_lists->m_uses) {
    if (use.m_pool != instance.m_pool ||
        !use.Admits(instance.m_zone, instance.m_rack)) {
      continue;
    }
    const Margin margin = MarginOf(use, name);
    if (margin.Spare() < 0) {
      return {ErrorCode::kBudgetExceeded,
              "plan " + use.m_plan + " in pool " + use.m_pool + ": " +
                  std::to_string(margin.m_available) + " would serve, less " +
                  std::to_string(margin.m_reserve) + " in reserve, floor " +
                  std::to_string(margin.m_floor)};
    }
  }
  return {};
}

std::vector<wire::AnnounceStopT> Fleet::NextWaveStops() const {
  std::vector<wire::AnnounceStopT> stops;
  for (const auto& [id, wave] : m_waves) {
    if (wave.m_state != WaveState::kRunning ||
        wave.m_active.size() >= wave.m_width) {
      continue;
    }
    for (const std::string& name : wave.m_waiting) {
      const auto instance = m_instances.find(name);
      const bool ready = instance != m_instances.end() &&
                         Serves(instance->second.m_state) &&
                         CheckStop(name).ok();
      if (ready) {
        wire::AnnounceStopT stop;
        stop.stop_id = id + "." + name + "." +
                       std::to_string(instance->second.m_incarnation);
        stop.instance = name;
        stop.reason = wire::StopReason::Wave;
        stop.wave_id = id;
        stop.deadline_ms = kWaveStopDeadlineMs;
        stops.push_back(std::move(stop));
        break;
      }
    }
  }
  return stops;
}

std::vector<std::string> Fleet::OverdueWaves(std::uint64_t now_ms) const {
  std::vector<std::string> overdue;
  for (const auto& [id, stop] : m_stops) {
    const auto wave = m_waves.find(stop.m_wave_id);
    const bool late = stop.m_state == StopState::kReleased &&
                      now_ms > stop.m_ended_ms + kReturnTimeoutMs;
    if (late && wave != m_waves.end() &&
        wave->second.m_state == WaveState::kRunning) {
      overdue.push_back(stop.m_wave_id);
    }
  }
  return overdue;
}

}  // namespace bronzebarrow::fleet
