// The keys of bronzebarrow-entry's settings file.
#include "programs/entry/entry_settings.h"

#include <iterator>

namespace bronzebarrow::programs {
namespace {

constexpr SettingSpec kSpecs[] = {
    {"entry", "name", SettingType::kName, "", 0, 0, "name of this entry"},
    {"entry", "zone", SettingType::kName, "", 0, 0, "its availability zone"},
    {"entry", "listen", SettingType::kAddress, "", 0, 0,
     "address for frames of the other entries"},
    {"entry", "http", SettingType::kAddress, "", 0, 0,
     "address for callers, targets, health and metrics"},
    {"entry", "lease_renewal_ms", SettingType::kInteger, "400", 50, 10000,
     "interval of lease renewals; well below the control group's lease_ms"},
    {"entry", "max_deadline_ms", SettingType::kInteger, "30000", 100, 600000,
     "longest deadline admitted; equal to the control group's max_request_ms"},
    {"entry", "stop_grace_ms", SettingType::kInteger, "1500", 0, 60000,
     "time a stopping entry serves new requests while it is not ready"},
    {"entry", "workers", SettingType::kInteger, "2", 1, 64,
     "threads that serve connections"},
    {"entry", "max_queue", SettingType::kInteger, "512", 1, 100000,
     "requests that may wait for one pool"},
    {"entry", "queue_policy", SettingType::kName, "class-deadline", 0, 0,
     "class-deadline or arrival"},
    {"entry", "balance_policy", SettingType::kName, "least-loaded", 0, 0,
     "least-loaded or round-robin"},
    {"entry", "members", SettingType::kInteger, "", 1, 9,
     "number of lines in [members]; detects a truncated file"},
    {"entry", "entries", SettingType::kInteger, "", 1, 1000,
     "number of lines in [entries]; detects a truncated file"},
    {"members", "*", SettingType::kAddress, "", 0, 0,
     "every member of the control group: name = address for frames"},
    {"entries", "*", SettingType::kAddress, "", 0, 0,
     "every entry, itself included: name = address for frames"},
};

template <typename Enum>
Result<Enum> ReadPolicy(const std::string& path, const Settings& file,
                        const char* key) {
  const auto value = ParseName<Enum>(file.Text("entry", key));
  if (!value) {
    return Fail(
        ErrorCode::kSettingOutOfRange,
        path + " [entry] " + key + ": \"" + file.Text("entry", key) + "\"");
  }
  return *value;
}

}  // namespace

std::span<const SettingSpec> EntrySettings::Specs() { return kSpecs; }

Result<EntrySettings> EntrySettings::Load(const std::string& path) {
  BOOST_LEAF_AUTO(file, Settings::Load(path, kSpecs));
  BOOST_LEAF_CHECK(file.CheckCount("entry", "members"));
  BOOST_LEAF_CHECK(file.CheckCount("entry", "entries"));
  EntrySettings settings;
  settings.m_name = file.Text("entry", "name");
  settings.m_zone = file.Text("entry", "zone");
  BOOST_LEAF_ASSIGN(settings.m_listen,
                    Address::Parse(file.Text("entry", "listen")));
  BOOST_LEAF_ASSIGN(settings.m_http,
                    Address::Parse(file.Text("entry", "http")));
  settings.m_lease_renewal = Millis(file.Integer("entry", "lease_renewal_ms"));
  settings.m_max_deadline = Millis(file.Integer("entry", "max_deadline_ms"));
  settings.m_stop_grace = Millis(file.Integer("entry", "stop_grace_ms"));
  settings.m_workers = static_cast<int>(file.Integer("entry", "workers"));
  settings.m_router.m_max_queue =
      static_cast<std::size_t>(file.Integer("entry", "max_queue"));
  BOOST_LEAF_ASSIGN(
      settings.m_router.m_queue_policy,
      ReadPolicy<routing::QueuePolicy>(path, file, "queue_policy"));
  BOOST_LEAF_ASSIGN(
      settings.m_router.m_balance_policy,
      ReadPolicy<routing::BalancePolicy>(path, file, "balance_policy"));
  for (const auto& [name, address] : file.Section("members")) {
    BOOST_LEAF_ASSIGN(settings.m_members[name], Address::Parse(address));
  }
  const auto entries = file.Section("entries");
  const auto self = entries.find(settings.m_name);
  if (settings.m_members.empty() || self == entries.end()) {
    return Fail(
        ErrorCode::kSettingMissing,
        path + (settings.m_members.empty() ? " [members]"
                                           : " [entries] " + settings.m_name));
  }
  for (const auto& [name, address] : entries) {
    if (name != settings.m_name) {
      BOOST_LEAF_ASSIGN(settings.m_peers[name], Address::Parse(address));
    }
  }
  settings.m_router.m_entry_index =
      static_cast<std::uint32_t>(std::distance(entries.begin(), self));
  settings.m_router.m_entry_count = static_cast<std::uint32_t>(entries.size());
  return settings;
}

}  // namespace bronzebarrow::programs
