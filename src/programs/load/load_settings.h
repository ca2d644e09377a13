// Settings of bronzebarrow-load: the fake fleet and the demand on it.
#ifndef BRONZEBARROW_SRC_PROGRAMS_LOAD_LOAD_SETTINGS_H_
#define BRONZEBARROW_SRC_PROGRAMS_LOAD_LOAD_SETTINGS_H_

#include <map>
#include <span>
#include <string>
#include <vector>

#include "bronzebarrow/base.h"

namespace bronzebarrow::programs {

/** The requests that callers of one plan send. */
struct PlanDemand {
  std::string m_plan;
  std::string m_class;
  double m_rate = 0;  // Mean requests per second.
  Duration m_deadline;
};

/** The validated settings of the fake fleet and its callers. */
struct LoadSettings {
  std::vector<std::string> m_pools;
  std::vector<std::string> m_zones;
  int m_targets_per_pool = 0;
  int m_instances_per_rack = 1;
  std::string m_host;
  std::uint16_t m_base_port = 0;
  int m_slots = 0;        // Of each target.
  int m_connections = 0;  // Of each target.
  Duration m_service;     // Mean service time of a request.
  Duration m_restart;     // Downtime of a released target.
  Duration m_announce_interval;
  Duration m_announce_ttl;
  Address m_admin;  // Serves the record of executed requests.
  std::vector<Address> m_entries;
  std::vector<PlanDemand> m_demand;
  int m_keyed_percent = 0;
  int m_resend_percent = 0;
  Duration m_demand_period;  // One burst and one lull of a plan's demand.

  static Result<LoadSettings> Load(const std::string& path);
  static std::span<const SettingSpec> Specs();
};

}  // namespace bronzebarrow::programs

#endif  // BRONZEBARROW_SRC_PROGRAMS_LOAD_LOAD_SETTINGS_H_
