// Fleet: commands for stops and waves, and observations of instances.
#include "bronzebarrow/fleet/fleet.h"

#include <algorithm>
#include <utility>

#include "bronzebarrow/base/check.h"

namespace bronzebarrow::fleet {

Outcome Fleet::AnnounceStop(const wire::AnnounceStopT& command,
                            std::uint64_t now_ms) {
  if (const auto known = m_stops.find(command.stop_id);
      known != m_stops.end()) {
    const bool same = known->second.m_instance == command.instance &&
                      known->second.m_reason == command.reason;
    return same ? Outcome{}
                : Outcome{ErrorCode::kStopIdReused, command.stop_id};
  }
  const auto found = m_instances.find(command.instance);
  if (found == m_instances.end()) {
    return {ErrorCode::kInstanceUnknown, command.instance};
  }
  if (const auto open = OpenStopOf(command.instance)) {
    return {ErrorCode::kStopInProgress, *open};
  }
  if (command.reason == wire::StopReason::Wave) {
    const auto wave = m_waves.find(command.wave_id);
    if (wave == m_waves.end() || wave->second.m_state != WaveState::kRunning) {
      return {ErrorCode::kWaveFinished, command.wave_id};
    }
  }
  if (!Serves(found->second.m_state)) {
    return {
        ErrorCode::kInstanceUnavailable,
        command.instance + " is " + std::string(NameOf(found->second.m_state))};
  }
  const Outcome allowed = CheckStop(command.instance);
  if (!allowed.ok()) {
    return allowed;
  }
  Stop stop;
  stop.m_instance = command.instance;
  stop.m_incarnation = found->second.m_incarnation;
  stop.m_reason = command.reason;
  stop.m_wave_id = command.wave_id;
  stop.m_announced_ms = now_ms;
  stop.m_deadline_ms = now_ms + command.deadline_ms;
  m_stops.emplace(command.stop_id, std::move(stop));
  ApplyEvent(found->second, InstanceEvent::kStopAnnounced, now_ms);
  if (command.reason == wire::StopReason::Wave) {
    Wave& wave = m_waves.at(command.wave_id);
    std::erase(wave.m_waiting, command.instance);
    wave.m_active.insert(command.instance);
  }
  ++m_version;
  return {};
}

Outcome Fleet::Update(const wire::UpdateStopT& command, std::uint64_t now_ms) {
  const auto found = m_stops.find(command.stop_id);
  if (found == m_stops.end()) {
    return {ErrorCode::kStopUnknown, command.stop_id};
  }
  if (found->second.m_state != StopState::kDraining) {
    return {};
  }
  switch (command.kind) {
    case wire::StopUpdateKind::Release:
      ApplyStopEvent(command.stop_id, StopEvent::kRelease, now_ms);
      break;
    case wire::StopUpdateKind::Expire:
      ApplyStopEvent(command.stop_id, StopEvent::kExpire, now_ms);
      break;
    case wire::StopUpdateKind::Cancel:
      ApplyStopEvent(command.stop_id, StopEvent::kCancel, now_ms);
      break;
  }
  return {};
}

void Fleet::ApplyStopEvent(const std::string& stop_id, StopEvent event,
                           std::uint64_t now_ms) {
  Stop& stop = m_stops.at(stop_id);
  const auto next = NextState(stop.m_state, event);
  BRONZEBARROW_INVARIANT(next.has_value());
  stop.m_state = *next;
  stop.m_ended_ms = now_ms;
  Instance& instance = m_instances.at(stop.m_instance);
  if (event == StopEvent::kRelease) {
    ApplyEvent(instance, InstanceEvent::kStopReleased, now_ms);
  } else if (event != StopEvent::kReturn) {
    ApplyEvent(instance, InstanceEvent::kStopAbandoned, now_ms);
  }
  ++m_version;
  if (event != StopEvent::kRelease) {
    OnWaveStopEnded(stop, now_ms);
    TrimEndedStops();
  }
}

void Fleet::OnWaveStopEnded(const Stop& stop, std::uint64_t now_ms) {
  const auto found = m_waves.find(stop.m_wave_id);
  if (stop.m_reason != wire::StopReason::Wave || found == m_waves.end()) {
    return;
  }
  Wave& wave = found->second;
  wave.m_active.erase(stop.m_instance);
  if (stop.m_state != StopState::kReturned) {
    wave.m_waiting.push_back(stop.m_instance);
    wave.m_state = WaveState::kHalted;
    return;
  }
  wave.m_done.push_back(stop.m_instance);
  wave.m_width = std::min(wave.m_width * 2, wave.m_max_width);
  if (wave.m_waiting.empty() && wave.m_active.empty()) {
    wave.m_state = WaveState::kFinished;
    wave.m_ended_ms = now_ms;
  }
}

Outcome Fleet::Start(const wire::StartWaveT& command, std::uint64_t now_ms) {
  if (const auto known = m_waves.find(command.wave_id);
      known != m_waves.end()) {
    return known->second.m_pool == command.pool
               ? Outcome{}
               : Outcome{ErrorCode::kWaveIdReused, command.wave_id};
  }
  for (const auto& [id, wave] : m_waves) {
    if (wave.m_pool == command.pool && wave.m_state != WaveState::kFinished) {
      return {ErrorCode::kWaveInProgress, id};
    }
  }
  Wave wave;
  wave.m_pool = command.pool;
  wave.m_max_width = std::max<std::uint32_t>(command.max_width, 1);
  wave.m_started_ms = now_ms;
  for (const auto& [name, instance] : m_instances) {
    if (instance.m_pool == command.pool) {
      wave.m_waiting.push_back(name);
    }
  }
  if (wave.m_waiting.empty()) {
    return {ErrorCode::kPoolUnknown, command.pool};
  }
  m_waves.emplace(command.wave_id, std::move(wave));
  return {};
}

Outcome Fleet::Update(const wire::UpdateWaveT& command, std::uint64_t) {
  const auto found = m_waves.find(command.wave_id);
  if (found == m_waves.end()) {
    return {ErrorCode::kWaveUnknown, command.wave_id};
  }
  Wave& wave = found->second;
  if (wave.m_state == WaveState::kFinished) {
    return {ErrorCode::kWaveFinished, command.wave_id};
  }
  if (command.kind == wire::WaveUpdateKind::Halt) {
    wave.m_state = WaveState::kHalted;
  } else {
    wave.m_state = WaveState::kRunning;
    wave.m_width = 1;
  }
  return {};
}

Outcome Fleet::Observe(const wire::ObservationT& observation,
                       std::uint64_t now_ms) {
  const auto found = m_instances.find(observation.instance);
  if (found == m_instances.end()) {
    if (observation.present) {
      Instance instance;
      instance.m_pool = observation.pool;
      instance.m_zone = observation.zone;
      instance.m_rack = observation.rack;
      instance.m_incarnation = observation.incarnation;
      instance.m_since_ms = now_ms;
      m_instances.emplace(observation.instance, std::move(instance));
      ++m_version;
    }
    return {};
  }
  Instance& instance = found->second;
  if (!observation.present) {
    if (Serves(instance.m_state) &&
        observation.incarnation >= instance.m_incarnation) {
      ApplyEvent(instance, InstanceEvent::kWentMissing, now_ms);
      HaltWavesThatStopped(observation.instance);
      ++m_version;
    }
    return {};
  }
  if (observation.pool != instance.m_pool) {
    return {ErrorCode::kInstanceUnavailable,
            observation.instance + " belongs to pool " + instance.m_pool +
                ", not " + observation.pool};
  }
  const bool is_newer = observation.incarnation > instance.m_incarnation;
  const bool reappeared = instance.m_state == InstanceState::kLost &&
                          observation.incarnation >= instance.m_incarnation;
  if (!is_newer && !reappeared) {
    return {};
  }
  instance.m_incarnation = observation.incarnation;
  instance.m_zone = observation.zone;
  instance.m_rack = observation.rack;
  ApplyEvent(instance, InstanceEvent::kReturned, now_ms);
  ++m_version;
  if (const auto open = OpenStopOf(observation.instance)) {
    ApplyStopEvent(*open, StopEvent::kReturn, now_ms);
  }
  return {};
}

void Fleet::AdvanceTime(std::uint64_t now_ms) {
  for (auto& [name, instance] : m_instances) {
    if (instance.m_state == InstanceState::kProbation &&
        now_ms >= instance.m_since_ms + kProbationMs) {
      ApplyEvent(instance, InstanceEvent::kProbationPassed, now_ms);
    }
  }
}

void Fleet::ApplyEvent(Instance& instance, InstanceEvent event,
                       std::uint64_t now_ms) {
  const auto next = NextState(instance.m_state, event);
  BRONZEBARROW_INVARIANT(next.has_value());
  instance.m_state = *next;
  instance.m_since_ms = now_ms;
}

// Halts running waves in which `instance` was already stopped and returned: its
// loss may be caused by the wave's change, and failures within a wave are
// correlated.
void Fleet::HaltWavesThatStopped(const std::string& instance) {
  for (auto& [id, wave] : m_waves) {
    const bool was_stopped = std::find(wave.m_done.begin(), wave.m_done.end(),
                                       instance) != wave.m_done.end();
    if (was_stopped && wave.m_state == WaveState::kRunning) {
      wave.m_state = WaveState::kHalted;
    }
  }
}

std::optional<std::string> Fleet::OpenStopOf(
    const std::string& instance) const {
  for (const auto& [id, stop] : m_stops) {
    if (stop.m_instance == instance && IsOpen(stop.m_state)) {
      return id;
    }
  }
  return std::nullopt;
}

void Fleet::TrimEndedStops() {
  std::size_t ended = 0;
  auto oldest = m_stops.end();
  for (auto it = m_stops.begin(); it != m_stops.end(); ++it) {
    if (!IsOpen(it->second.m_state)) {
      ++ended;
      if (oldest == m_stops.end() ||
          it->second.m_ended_ms < oldest->second.m_ended_ms) {
        oldest = it;
      }
    }
  }
  if (ended > kMaxKeptEndedStops) {
    m_stops.erase(oldest);
  }
}

}  // namespace bronzebarrow::fleet
