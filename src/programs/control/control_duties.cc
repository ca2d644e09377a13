// ControlNode: what the leader does by itself: releases drained stops, moves
// waves on and records which instances are there.
#include <utility>

#include "programs/control/control_node.h"

namespace bronzebarrow::programs {
namespace {

constexpr Duration kDutyInterval = Millis(100);

}  // namespace

void ControlNode::RunDuties(Instant now) {
  if (!LeadsReady() || now < m_next_duty || m_duties_in_flight > 0) {
    return;
  }
  m_next_duty = now + kDutyInterval;
  WatchStops(now);
  WatchWaves();
  WatchInstances(now);
  Drain();
}

void ControlNode::ProposeDuty(wire::CommandBodyUnion body) {
  const bool proposed =
      Propose(std::move(body), [this](const control::ApplyResult* result) {
        m_duties_in_flight -= result != nullptr ? 1 : 0;
        if (result != nullptr && !result->m_outcome.ok()) {
          EventLine(Event::kStopRefused, Severity::kWarning)
              .Field("code", result->m_outcome.m_code)
              .Field("context", result->m_outcome.m_context);
        }
      });
  m_duties_in_flight += proposed ? 1 : 0;
}

void ControlNode::WatchStops(Instant now) {
  for (const auto& [id, stop] : m_state.fleet().stops()) {
    if (stop.m_state != fleet::StopState::kDraining) {
      continue;
    }
    wire::UpdateStopT update;
    update.stop_id = id;
    if (m_keeper->NotDrained(id, now).empty()) {
      EventLine(Event::kStopReleased)
          .Field("stop", id)
          .Field("instance", stop.m_instance);
      update.kind = wire::StopUpdateKind::Release;
    } else if (WallMillis() > stop.m_deadline_ms) {
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

void ControlNode::WatchWaves() {
  for (wire::AnnounceStopT& stop :
       m_state.fleet().NextWaveStops(m_state.time_ms())) {
    EventLine(Event::kWaveUpdated)
        .Field("wave", stop.wave_id)
        .Field("next_instance", stop.instance);
    wire::CommandBodyUnion body;
    body.Set(std::move(stop));
    ProposeDuty(std::move(body));
  }
  for (const std::string& wave : m_state.fleet().OverdueWaves(WallMillis())) {
    wire::UpdateWaveT update;
    update.wave_id = wave;
    update.kind = wire::WaveUpdateKind::Halt;
    wire::CommandBodyUnion body;
    body.Set(std::move(update));
    ProposeDuty(std::move(body));
  }
}

void ControlNode::WatchInstances(Instant now) {
  const auto present = m_keeper->Present(now);
  const auto& records = m_state.fleet().instances();
  wire::ObserveInstancesT changes;
  bool probation_is_due = false;
  for (const auto& [name, observation] : present) {
    const auto record = records.find(name);
    if (record != records.end() && record->second.m_pool != observation.pool) {
      if (m_refused_observations.insert(name).second) {
        EventLine(Event::kRecordRefused, Severity::kWarning)
            .Field("instance", name)
            .Field("record_pool", record->second.m_pool)
            .Field("announced_pool", observation.pool);
      }
      continue;
    }
    const bool is_news =
        record == records.end() ||
        observation.incarnation > record->second.m_incarnation ||
        record->second.m_state == fleet::InstanceState::kLost;
    if (is_news) {
      changes.observations.push_back(
          std::make_unique<wire::ObservationT>(observation));
    }
  }
  const bool view_is_complete = m_keeper->ViewIsComplete(now);
  for (const auto& [name, instance] : records) {
    probation_is_due |=
        instance.m_state == fleet::InstanceState::kProbation &&
        WallMillis() >= instance.m_since_ms + fleet::kProbationMs;
    if (!view_is_complete || !fleet::Serves(instance.m_state) ||
        present.contains(name)) {
      continue;
    }
    auto missing = std::make_unique<wire::ObservationT>();
    missing->instance = name;
    missing->pool = instance.m_pool;
    missing->incarnation = instance.m_incarnation;
    changes.observations.push_back(std::move(missing));
  }
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

}  // namespace bronzebarrow::programs
