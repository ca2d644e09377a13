// Settings of bronzebarrow-entry.
#ifndef BRONZEBARROW_SRC_PROGRAMS_ENTRY_ENTRY_SETTINGS_H_
#define BRONZEBARROW_SRC_PROGRAMS_ENTRY_ENTRY_SETTINGS_H_

#include <map>
#include <span>
#include <string>

#include "bronzebarrow/base.h"
#include "bronzebarrow/routing.h"

namespace bronzebarrow::programs {

/** The validated settings of one entry. */
struct EntrySettings {
  std::string m_name;
  std::string m_zone;
  Address m_listen;  // Frames of the other entries.
  Address m_http;    // Callers, targets, health and metrics.
  Duration m_lease_renewal;
  Duration m_max_deadline;
  Duration m_stop_grace;
  int m_workers = 1;
  routing::RouterOptions m_router;
  std::map<std::string, Address> m_members;  // The control group, by name.
  std::map<std::string, Address> m_peers;    // The other entries, by name.

  static Result<EntrySettings> Load(const std::string& path);
  static std::span<const SettingSpec> Specs();
};

}  // namespace bronzebarrow::programs

#endif  // BRONZEBARROW_SRC_PROGRAMS_ENTRY_ENTRY_SETTINGS_H_
