// ControlNode: status JSON and metrics.
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <utility>

#include "programs/control/control_node.h"
#include "programs/process_usage.h"

namespace bronzebarrow::programs {
namespace {

namespace json = boost::json;

// Indexed by wire::StopReason.
constexpr std::array<const char*, 3> kStopReasonNames = {"planned", "drill",
                                                         "wave"};

const char* StopReasonName(wire::StopReason reason) {
  const auto index = static_cast<std::size_t>(reason);
  return index < kStopReasonNames.size() ? kStopReasonNames[index] : "invalid";
}

std::int64_t MillisUntil(Instant end, Instant now) {
  return std::chrono::duration_cast<Millis>(end - now).count();
}

json::array MembersJson(const consensus::Membership& membership) {
  json::array members;
  for (const consensus::Member& member : membership.members()) {
    members.push_back({{"name", member.m_id.m_name},
                       {"generation", member.m_id.m_generation},
                       {"voter", member.m_voter}});
  }
  return members;
}

json::array InstancesJson(const fleet::Fleet& fleet) {
  json::array instances;
  for (const auto& [name, instance] : fleet.instances()) {
    instances.push_back({{"name", name},
                         {"pool", instance.m_pool},
                         {"zone", instance.m_zone},
                         {"rack", instance.m_rack},
                         {"incarnation", instance.m_incarnation},
                         {"state", std::string(NameOf(instance.m_state))}});
  }
  return instances;
}

json::array StopsJson(const fleet::Fleet& fleet,
                      const control::LeaseKeeper& keeper, Instant now) {
  json::array stops;
  for (const auto& [id, stop] : fleet.stops()) {
    json::array waiting_for;
    if (stop.m_state == fleet::StopState::kDraining) {
      for (const std::string& entry : keeper.EntriesNotDrained(id, now)) {
        waiting_for.emplace_back(entry);
      }
    }
    stops.push_back({{"id", id},
                     {"instance", stop.m_instance},
                     {"state", std::string(NameOf(stop.m_state))},
                     {"reason", StopReasonName(stop.m_reason)},
                     {"wave", stop.m_wave_id},
                     {"announced_ms", stop.m_announced_ms},
                     {"ended_ms", stop.m_ended_ms},
                     {"waiting_for", std::move(waiting_for)}});
  }
  return stops;
}

json::array WavesJson(const fleet::Fleet& fleet) {
  json::array waves;
  for (const auto& [id, wave] : fleet.waves()) {
    waves.push_back({{"id", id},
                     {"pool", wave.m_pool},
                     {"state", std::string(NameOf(wave.m_state))},
                     {"width", wave.m_width},
                     {"waiting", wave.m_waiting.size()},
                     {"active", wave.m_active.size()},
                     {"done", wave.m_done.size()},
                     {"started_ms", wave.m_started_ms},
                     {"ended_ms", wave.m_ended_ms}});
  }
  return waves;
}

json::array MarginsJson(const fleet::Fleet& fleet) {
  json::array margins;
  for (const fleet::Margin& margin : fleet.Margins()) {
    margins.push_back({{"plan", margin.m_plan},
                       {"pool", margin.m_pool},
                       {"available", margin.m_available},
                       {"reserve", margin.m_reserve},
                       {"floor", margin.m_floor},
                       {"spare", margin.Spare()}});
  }
  return margins;
}

json::array EntriesJson(const control::LeaseKeeper& keeper, Instant now) {
  json::array entries;
  for (const auto& [name, entry] : keeper.entries()) {
    entries.push_back({{"name", name},
                       {"reported", entry.m_has_reported},
                       {"lease_ms", MillisUntil(entry.m_lease_end, now)},
                       {"config_version", entry.m_config_version},
                       {"fleet_version", entry.m_fleet_version},
                       {"targets", entry.m_observed.size()}});
  }
  return entries;
}

}  // namespace

json::object ControlNode::StatusJson(Instant now) const {
  json::object status;
  status["leader"] = m_settings.m_name;
  status["term"] = m_core.replica().term();
  status["commit_index"] = m_core.replica().commit_index();
  status["log_entries"] = m_core.replica().log_size();
  status["config_version"] = m_core.state().config_version();
  status["fleet_version"] = m_core.state().fleet().version();
  status["ledger_keys"] = m_core.state().ledger_size();
  status["time_ms"] = m_core.state().time_ms();
  status["members"] = MembersJson(m_core.replica().membership());
  status["entries"] = EntriesJson(*m_core.lease_keeper(), now);
  status["instances"] = InstancesJson(m_core.state().fleet());
  status["stops"] =
      StopsJson(m_core.state().fleet(), *m_core.lease_keeper(), now);
  status["waves"] = WavesJson(m_core.state().fleet());
  status["margins"] = MarginsJson(m_core.state().fleet());
  return status;
}

std::string ControlNode::MetricsText() {
  const auto set_gauge = [this](const char* name, std::uint64_t value) {
    m_metrics.SetGauge(name, "", static_cast<double>(value));
  };
  set_gauge("bronzebarrow_control_term", m_core.replica().term());
  set_gauge("bronzebarrow_control_is_leader", m_core.IsReadyLeader() ? 1 : 0);
  const consensus::Replica& replica = m_core.replica();
  set_gauge("bronzebarrow_control_is_voter",
            replica.membership().IsVoter(replica.id()) ? 1 : 0);
  set_gauge("bronzebarrow_control_commit_index",
            m_core.replica().commit_index());
  set_gauge("bronzebarrow_control_applied_index", m_core.applied_index());
  set_gauge("bronzebarrow_control_log_entries", m_core.replica().log_size());
  set_gauge("bronzebarrow_control_config_version",
            m_core.state().config_version());
  set_gauge("bronzebarrow_control_fleet_version",
            m_core.state().fleet().version());
  set_gauge("bronzebarrow_control_ledger_keys", m_core.state().ledger_size());
  set_gauge("bronzebarrow_control_instances",
            m_core.state().fleet().instances().size());
  PublishProcessUsage(m_metrics);
  return m_metrics.Expose();
}

}  // namespace bronzebarrow::programs
