// Keys of the settings file of bronzebarrow-control, and its checks.
#include "programs/control/control_settings.h"

namespace bronzebarrow::programs {
namespace {

constexpr SettingSpec kSpecs[] = {
    {"control", "name", SettingType::kName, "", 0, 0, "name of this member"},
    {"control", "zone", SettingType::kName, "", 0, 0,
     "availability zone of this member"},
    {"control", "listen", SettingType::kAddress, "", 0, 0,
     "address that accepts frames from members and entries"},
    {"control", "http", SettingType::kAddress, "", 0, 0,
     "address for operators, health and metrics"},
    {"control", "data", SettingType::kText, "", 0, 0, "the data folder"},
    {"control", "lease_ms", SettingType::kInteger, "2500", 500, 60000,
     "length of an entry's configuration lease"},
    {"control", "election_timeout_ms", SettingType::kInteger, "500", 50, 10000,
     "time without a leader before an election, randomised up to twice this"},
    {"control", "heartbeat_ms", SettingType::kInteger, "100", 10, 2000,
     "interval of the leader's heartbeats"},
    {"control", "max_request_ms", SettingType::kInteger, "30000", 100, 600000,
     "longest request deadline that the entries accept"},
    {"control", "snapshot_entries", SettingType::kInteger, "8192", 16, 1000000,
     "number of log entries after which a snapshot replaces them"},
    {"control", "workers", SettingType::kInteger, "2", 1, 64,
     "threads that serve connections"},
    {"control", "members", SettingType::kInteger, "", 1, 9,
     "number of lines in [members]; detects a truncated file"},
    {"control", "entries", SettingType::kInteger, "", 1, 1000,
     "number of lines in [entries]"},
    {"members", "*", SettingType::kAddress, "", 0, 0,
     "every member of the control group, including this one: name = address"},
    {"entries", "*", SettingType::kAddress, "", 0, 0,
     "every entry that may hold a lease: name = address for frames"},
};

}  // namespace

std::span<const SettingSpec> ControlSettings::Specs() { return kSpecs; }

Result<ControlSettings> ControlSettings::Load(const std::string& path) {
  BOOST_LEAF_AUTO(file, Settings::Load(path, kSpecs));
  const auto millis = [&file](const char* key) {
    return Millis(file.Integer("control", key));
  };
  BOOST_LEAF_CHECK(file.CheckCount("control", "members"));
  BOOST_LEAF_CHECK(file.CheckCount("control", "entries"));
  ControlSettings settings;
  settings.m_name = file.Text("control", "name");
  settings.m_zone = file.Text("control", "zone");
  BOOST_LEAF_ASSIGN(settings.m_listen,
                    Address::Parse(file.Text("control", "listen")));
  BOOST_LEAF_ASSIGN(settings.m_http,
                    Address::Parse(file.Text("control", "http")));
  settings.m_data = file.Text("control", "data");
  settings.m_lease = millis("lease_ms");
  settings.m_election_timeout = millis("election_timeout_ms");
  settings.m_heartbeat = millis("heartbeat_ms");
  settings.m_max_request = millis("max_request_ms");
  settings.m_snapshot_entries =
      static_cast<std::uint64_t>(file.Integer("control", "snapshot_entries"));
  settings.m_workers = static_cast<int>(file.Integer("control", "workers"));
  for (const auto& [name, address] : file.Section("members")) {
    BOOST_LEAF_ASSIGN(settings.m_members[name], Address::Parse(address));
  }
  for (const auto& [name, address] : file.Section("entries")) {
    settings.m_entries.push_back(name);
  }
  if (!settings.m_members.contains(settings.m_name)) {
    return Fail(ErrorCode::kSettingMissing,
                path + " [members] " + settings.m_name);
  }
  if (settings.m_entries.empty()) {
    return Fail(ErrorCode::kSettingMissing, path + " [entries]");
  }
  if (2 * settings.m_heartbeat > settings.m_election_timeout) {
    return Fail(ErrorCode::kSettingOutOfRange,
                path +
                    " [control] heartbeat_ms: more than half of "
                    "election_timeout_ms");
  }
  return settings;
}

}  // namespace bronzebarrow::programs
