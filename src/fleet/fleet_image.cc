// Fleet: conversion of the records to and from the control state's snapshot
// image.
#include <utility>

#include "bronzebarrow/fleet/fleet.h"

namespace bronzebarrow::fleet {

void Fleet::ToWire(wire::ControlImageT& image) const {
  image.fleet_version = m_version;
  for (const auto& [name, instance] : m_instances) {
    auto record = std::make_unique<wire::InstanceRecordT>();
    record->name = name;
    record->pool = instance.m_pool;
    record->zone = instance.m_zone;
    record->rack = instance.m_rack;
    record->incarnation = instance.m_incarnation;
    record->state = static_cast<std::int8_t>(instance.m_state);
    record->since_ms = instance.m_since_ms;
    image.instances.push_back(std::move(record));
  }
  for (const auto& [id, stop] : m_stops) {
    auto record = std::make_unique<wire::StopRecordT>();
    record->stop_id = id;
    record->instance = stop.m_instance;
    record->incarnation = stop.m_incarnation;
    record->state = static_cast<std::int8_t>(stop.m_state);
    record->reason = stop.m_reason;
    record->wave_id = stop.m_wave_id;
    record->announced_ms = stop.m_announced_ms;
    record->deadline_ms = stop.m_deadline_ms;
    record->ended_ms = stop.m_ended_ms;
    image.stops.push_back(std::move(record));
  }
  for (const auto& [id, wave] : m_waves) {
    auto record = std::make_unique<wire::WaveRecordT>();
    record->wave_id = id;
    record->pool = wave.m_pool;
    record->state = static_cast<std::int8_t>(wave.m_state);
    record->width = wave.m_width;
    record->max_width = wave.m_max_width;
    record->waiting.assign(wave.m_waiting.begin(), wave.m_waiting.end());
    record->active.assign(wave.m_active.begin(), wave.m_active.end());
    record->done = wave.m_done;
    record->started_ms = wave.m_started_ms;
    record->ended_ms = wave.m_ended_ms;
    image.waves.push_back(std::move(record));
  }
}

void Fleet::FromWire(const wire::ControlImageT& image) {
  m_version = image.fleet_version;
  m_instances.clear();
  m_stops.clear();
  m_waves.clear();
  for (const auto& record : image.instances) {
    m_instances[record->name] = {record->pool,
                                 record->zone,
                                 record->rack,
                                 record->incarnation,
                                 static_cast<InstanceState>(record->state),
                                 record->since_ms};
  }
  for (const auto& record : image.stops) {
    m_stops[record->stop_id] = {record->instance,
                                record->incarnation,
                                static_cast<StopState>(record->state),
                                record->reason,
                                record->wave_id,
                                record->announced_ms,
                                record->deadline_ms,
                                record->ended_ms};
  }
  for (const auto& record : image.waves) {
    Wave wave;
    wave.m_pool = record->pool;
    wave.m_state = static_cast<WaveState>(record->state);
    wave.m_width = record->width;
    wave.m_max_width = record->max_width;
    wave.m_waiting.assign(record->waiting.begin(), record->waiting.end());
    wave.m_active.insert(record->active.begin(), record->active.end());
    wave.m_done = record->done;
    wave.m_started_ms = record->started_ms;
    wave.m_ended_ms = record->ended_ms;
    m_waves[record->wave_id] = std::move(wave);
  }
}

}  // namespace bronzebarrow::fleet
