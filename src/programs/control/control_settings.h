// Settings file of bronzebarrow-control.
#ifndef BRONZEBARROW_SRC_PROGRAMS_CONTROL_CONTROL_SETTINGS_H_
#define BRONZEBARROW_SRC_PROGRAMS_CONTROL_CONTROL_SETTINGS_H_

#include <map>
#include <span>
#include <string>
#include <vector>

#include "bronzebarrow/base.h"

namespace bronzebarrow::programs {

struct ControlSettings {
  std::string m_name;
  std::string m_zone;
  Address m_listen;
  Address m_http;
  std::string m_data;
  Duration m_lease;
  Duration m_election_timeout;
  Duration m_heartbeat;
  Duration m_max_request;
  std::uint64_t m_snapshot_entries = 0;
  int m_workers = 1;
  std::map<std::string, Address> m_members;  // Including this member.
  std::vector<std::string> m_entries;

  static Result<ControlSettings> Load(const std::string& path);
  static std::span<const SettingSpec> Specs();
};

}  // namespace bronzebarrow::programs

#endif  // BRONZEBARROW_SRC_PROGRAMS_CONTROL_CONTROL_SETTINGS_H_
