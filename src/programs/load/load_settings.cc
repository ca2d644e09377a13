// The keys of bronzebarrow-load's settings file.
#include "programs/load/load_settings.h"

namespace bronzebarrow::programs {
namespace {

constexpr SettingSpec kSpecs[] = {
    {"fleet", "pools", SettingType::kText, "", 0, 0,
     "pools, separated by commas"},
    {"fleet", "zones", SettingType::kText, "", 0, 0,
     "zones, separated by commas"},
    {"fleet", "targets_per_pool", SettingType::kInteger, "", 1, 1000,
     "fake targets in each pool"},
    {"fleet", "instances_per_rack", SettingType::kInteger, "4", 1, 1000,
     "fake targets in each rack"},
    {"fleet", "host", SettingType::kText, "127.0.0.1", 0, 0,
     "host of the fake targets"},
    {"fleet", "base_port", SettingType::kInteger, "", 1024, 60000,
     "port of the first fake target"},
    {"fleet", "slots", SettingType::kInteger, "8", 1, 10000,
     "slots of a target"},
    {"fleet", "connections", SettingType::kInteger, "64", 1, 10000,
     "connections of a target"},
    {"fleet", "service_ms", SettingType::kInteger, "20", 0, 60000,
     "mean service time of a request"},
    {"fleet", "restart_ms", SettingType::kInteger, "500", 0, 600000,
     "downtime of a released target"},
    {"fleet", "announce_ms", SettingType::kInteger, "1000", 50, 60000,
     "interval of announcements"},
    {"fleet", "ttl_ms", SettingType::kInteger, "3500", 1500, 60000,
     "time to live of an announcement"},
    {"fleet", "admin", SettingType::kAddress, "", 0, 0,
     "HTTP address that serves the counts of executed requests"},
    {"load", "keyed_percent", SettingType::kInteger, "30", 0, 100,
     "percentage of requests that carry an idempotency key"},
    {"load", "resend_percent", SettingType::kInteger, "10", 0, 100,
     "percentage of keyed requests sent again through another entry"},
    {"load", "turn_period_ms", SettingType::kInteger, "10000", 100, 3600000,
     "period of one burst and one lull of a plan's demand"},
    {"entries", "*", SettingType::kAddress, "", 0, 0,
     "HTTP address of each entry"},
    {"rates", "*", SettingType::kInteger, "", 0, 100000,
     "mean requests per second of each plan"},
    {"deadlines_ms", "*", SettingType::kInteger, "", 1, 600000,
     "deadline of each plan's requests"},
    {"classes", "*", SettingType::kName, "", 0, 0, "class of each plan"},
};

}  // namespace

std::span<const SettingSpec> LoadSettings::Specs() { return kSpecs; }

Result<LoadSettings> LoadSettings::Load(const std::string& path) {
  BOOST_LEAF_AUTO(file, Settings::Load(path, kSpecs));
  const auto number = [&file](const char* section, const char* key) {
    return static_cast<int>(file.Integer(section, key));
  };
  const auto millis = [&file](const char* section, const char* key) {
    return Millis(file.Integer(section, key));
  };
  LoadSettings settings;
  settings.m_pools = SplitTrimmed(file.Text("fleet", "pools"), ',');
  settings.m_zones = SplitTrimmed(file.Text("fleet", "zones"), ',');
  settings.m_targets_per_pool = number("fleet", "targets_per_pool");
  settings.m_instances_per_rack = number("fleet", "instances_per_rack");
  settings.m_host = file.Text("fleet", "host");
  settings.m_base_port =
      static_cast<std::uint16_t>(number("fleet", "base_port"));
  settings.m_slots = number("fleet", "slots");
  settings.m_connections = number("fleet", "connections");
  settings.m_service = millis("fleet", "service_ms");
  settings.m_restart = millis("fleet", "restart_ms");
  settings.m_announce_interval = millis("fleet", "announce_ms");
  settings.m_announce_ttl = millis("fleet", "ttl_ms");
  BOOST_LEAF_ASSIGN(settings.m_admin,
                    Address::Parse(file.Text("fleet", "admin")));
  settings.m_keyed_percent = number("load", "keyed_percent");
  settings.m_resend_percent = number("load", "resend_percent");
  settings.m_demand_period = millis("load", "turn_period_ms");
  for (const auto& [name, address] : file.Section("entries")) {
    BOOST_LEAF_AUTO(parsed, Address::Parse(address));
    settings.m_entries.push_back(parsed);
  }
  if (settings.m_entries.empty() || settings.m_pools.empty() ||
      settings.m_zones.empty()) {
    return Fail(ErrorCode::kSettingMissing,
                path + ": pools, zones and entries must not be empty");
  }
  const auto deadlines = file.Section("deadlines_ms");
  const auto classes = file.Section("classes");
  for (const auto& [plan, rate] : file.Section("rates")) {
    if (!deadlines.contains(plan) || !classes.contains(plan)) {
      return Fail(ErrorCode::kSettingMissing,
                  path + ": [deadlines_ms] and [classes] " + plan);
    }
    settings.m_demand.push_back({plan, classes.at(plan), std::stod(rate),
                                 Millis(std::stoll(deadlines.at(plan)))});
  }
  return settings;
}

}  // namespace bronzebarrow::programs
