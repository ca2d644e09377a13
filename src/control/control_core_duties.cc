// ControlCore: the periodic duties of the leader. It releases or expires stops,
// starts the next stops of waves, halts overdue waves and records which
// instances are present.
#include <algorithm>
#include <utility>

#include "bronzebarrow/base/event_log.h"
#include "bronzebarrow/control/control_core.h"

namespace bronzebarrow::control {
namespace {

constexpr Duration kDutyInterval = Millis(100);

}  // namespace

void ControlCore::RunDuties() {
  if (!IsReadyLeader() || m_moment.m_now < m_next_duty_time ||
      m_duties_in_flight > 0) {
    return;
  }
  m_next_duty_time = m_moment.m_now + kDutyInterval;
  AdvanceStops();
  AdvanceWaves();
  RecordObservations();
}

void ControlCore::ProposeDuty(wire::CommandBodyUnion body) {
  const bool proposed =
      ProposeCommand(std::move(body), [this](const ApplyResult* result) {
        m_duties_in_flight -= result != nullptr ? 1 : 0;
        if (result != nullptr && !result->m_outcome.ok()) {
          EventLine(Event::kStopRefused, Severity::kWarning)
              .Field("code", result->m_outcome.m_code)
              .Field("context", result->m_outcome.m_context);
        }
      });
  m_duties_in_flight += proposed ? 1 : 0;
}

void ControlCore::AdvanceStops() {
  for (const auto& [id, stop] : m_state.fleet().stops()) {
    if (stop.m_state != fleet::StopState::kDraining) {
      continue;
    }
    wire::UpdateStopT update;
    update.stop_id = id;
    if (m_keeper->EntriesNotDrained(id, m_moment.m_now).empty()) {
      EventLine(Event::kStopReleased)
          .Field("stop", id)
          .Field("instance", stop.m_instance);
      update.kind = wire::StopUpdateKind::Release;
    } else if (m_moment.m_wall_ms > stop.m_deadline_ms) {
      EventLine(Event::kStopEnded, Severity::kWarning)
          .Field("stop", id)
          .Field("instance", stop.m_instance)
          .Field("outcome", "expired");
      update.kind = wire::StopUpdateKind::Expire;
    } else {
      continue;
    }
    wire::CommandBodyUnion body;
    body.Set(std::move(update));
    ProposeDuty(std::move(body));
  }
}

void ControlCore::AdvanceWaves() {
  for (wire::AnnounceStopT& stop : m_state.fleet().NextWaveStops()) {
    EventLine(Event::kWaveUpdated)
        .Field("wave", stop.wave_id)
        .Field("next_instance", stop.instance);
    wire::CommandBodyUnion body;
    body.Set(std::move(stop));
    ProposeDuty(std::move(body));
  }
  for (const std::string& wave :
       m_state.fleet().OverdueWaves(m_moment.m_wall_ms)) {
    wire::UpdateWaveT update;
    update.wave_id = wave;
    update.kind = wire::WaveUpdateKind::Halt;
    wire::CommandBodyUnion body;
    body.Set(std::move(update));
    ProposeDuty(std::move(body));
  }
}

// Returns observations of presence, incarnation or absence that differ from the
// replicated records.
wire::ObserveInstancesT ControlCore::ChangedObservations() {
  const auto present = m_keeper->PresentInstances(m_moment.m_now);
  const auto& records = m_state.fleet().instances();
  wire::ObserveInstancesT changes;
  for (const auto& [name, observation] : present) {
    const auto record = records.find(name);
    if (record != records.end() && record->second.m_pool != observation.pool) {
      if (m_logged_pool_mismatches.insert(name).second) {
        EventLine(Event::kRecordRefused, Severity::kWarning)
            .Field("instance", name)
            .Field("record_pool", record->second.m_pool)
            .Field("announced_pool", observation.pool);
      }
      continue;
    }
    const bool is_change =
        record == records.end() ||
        observation.incarnation > record->second.m_incarnation ||
        record->second.m_state == fleet::InstanceState::kLost;
    if (is_change) {
      changes.observations.push_back(
          std::make_unique<wire::ObservationT>(observation));
    }
  }
  if (!m_keeper->CanDetectMissing(m_moment.m_now)) {
    return changes;
  }
  for (const auto& [name, instance] : records) {
    if (fleet::Serves(instance.m_state) && !present.contains(name)) {
      auto missing = std::make_unique<wire::ObservationT>();
      missing->instance = name;
      missing->pool = instance.m_pool;
      missing->incarnation = instance.m_incarnation;
      changes.observations.push_back(std::move(missing));
    }
  }
  return changes;
}

void ControlCore::RecordObservations() {
  wire::ObserveInstancesT changes = ChangedObservations();
  const auto& records = m_state.fleet().instances();
  const bool probation_is_due =
      std::any_of(records.begin(), records.end(), [&](const auto& item) {
        const fleet::Instance& instance = item.second;
        return instance.m_state == fleet::InstanceState::kProbation &&
               m_moment.m_wall_ms >= instance.m_since_ms + fleet::kProbationMs;
      });
  if (changes.observations.empty() && !probation_is_due) {
    return;
  }
  for (const auto& observation : changes.observations) {
    EventLine(Event::kInstanceObserved)
        .Field("instance", observation->instance)
        .Field("incarnation", observation->incarnation)
        .Field("present", observation->present);
  }
  wire::CommandBodyUnion body;
  body.Set(std::move(changes));
  ProposeDuty(std::move(body));
}

}  // namespace bronzebarrow::control
