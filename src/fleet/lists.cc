// Parsing of the two lists: Boost.PropertyTree reads the INI text, and this
// file validates the sections and values.
#include "bronzebarrow/fleet/lists.h"

#include <algorithm>
#include <boost/property_tree/ini_parser.hpp>
#include <sstream>

#include "bronzebarrow/base/settings.h"

namespace bronzebarrow::fleet {
namespace {

namespace pt = boost::property_tree;

constexpr std::int64_t kMaxQuota = 1'000'000;
constexpr std::int64_t kMaxFloor = 100'000;
constexpr const char* kAny = "any";

// One section of a list, with the context that an error message names.
struct Section {
  const char* m_list;
  const std::string& m_text;
  std::string m_name;
  const pt::ptree& m_keys;

  boost::leaf::error_id Refuse(ErrorCode code, const std::string& key,
                               const std::string& reason) const {
    const int line = LineOf(m_text, m_name, key);
    return Fail(code, std::string(m_list) + " list, line " +
                          std::to_string(line) + ", plan \"" + m_name +
                          "\": " + reason);
  }
};

Result<pt::ptree> ReadList(const char* list, const std::string& text) {
  pt::ptree tree;
  try {
    std::istringstream stream(text);
    pt::read_ini(stream, tree);
  } catch (const pt::ini_parser_error& error) {
    return Fail(ErrorCode::kListMalformed, std::string(list) + " list, line " +
                                               std::to_string(error.line()) +
                                               ": " + error.message());
  }
  for (const auto& [name, keys] : tree) {
    if (keys.empty() && !keys.data().empty()) {
      return Fail(ErrorCode::kListMalformed, std::string(list) + " list: \"" +
                                                 name +
                                                 "\" stands outside a section");
    }
  }
  return tree;
}

Result<void> CheckKeys(const Section& section,
                       const std::set<std::string>& known) {
  for (const auto& [key, value] : section.m_keys) {
    if (!known.contains(key)) {
      return section.Refuse(ErrorCode::kListUnknownKey, key,
                            "unknown key \"" + key + "\"");
    }
  }
  for (const std::string& key : known) {
    if (section.m_keys.count(key) == 0) {
      return section.Refuse(ErrorCode::kListMissingKey, "",
                            "key \"" + key + "\" is missing");
    }
  }
  return {};
}

Result<std::uint32_t> ReadNumber(const Section& section, const std::string& key,
                                 std::int64_t min, std::int64_t max) {
  const auto text = section.m_keys.get<std::string>(key);
  const auto number = Capture<std::int64_t>([&] { return ParseInteger(text); });
  const auto* const value = std::get_if<std::int64_t>(&number);
  if (value == nullptr || *value < min || *value > max) {
    return section.Refuse(ErrorCode::kListValueInvalid, key,
                          key + " = " + text + " is not an integer from " +
                              std::to_string(min) + " to " +
                              std::to_string(max));
  }
  return static_cast<std::uint32_t>(*value);
}

template <typename Enum>
Result<Enum> ReadEnum(const Section& section, const std::string& key) {
  const auto text = section.m_keys.get<std::string>(key);
  const auto value = ParseName<Enum>(text);
  if (!value) {
    std::string allowed;
    for (const std::string_view name : EnumNames<Enum>::kNames) {
      allowed += (allowed.empty() ? "" : ", ") + std::string(name);
    }
    return section.Refuse(ErrorCode::kListValueInvalid, key,
                          key + " = " + text + " is not one of " + allowed);
  }
  return *value;
}

Result<std::string> ReadName(const Section& section, const std::string& key) {
  const auto text = section.m_keys.get<std::string>(key);
  if (!IsName(text)) {
    return section.Refuse(ErrorCode::kListValueInvalid, key,
                          key + " = \"" + text + "\" is not a name");
  }
  return text;
}

Result<std::set<std::string>> ReadNames(const Section& section,
                                        const std::string& key) {
  const auto text = section.m_keys.get<std::string>(key);
  std::set<std::string> names;
  if (text == kAny) {
    return names;
  }
  for (const std::string& name : SplitTrimmed(text, ',')) {
    if (!IsName(name)) {
      return section.Refuse(ErrorCode::kListValueInvalid, key,
                            key + ": \"" + name + "\" is not a name");
    }
    names.insert(name);
  }
  if (names.empty()) {
    return section.Refuse(ErrorCode::kListValueInvalid, key,
                          key + " is empty; write \"any\" to admit all");
  }
  return names;
}

Result<Plan> ReadPlan(const Section& section) {
  if (!IsName(section.m_name)) {
    return section.Refuse(ErrorCode::kListValueInvalid, "",
                          "the plan's name is not a name");
  }
  BOOST_LEAF_CHECK(CheckKeys(section, {"class", "pool", "quota"}));
  Plan plan;
  plan.m_name = section.m_name;
  BOOST_LEAF_ASSIGN(plan.m_class, ReadEnum<RequestClass>(section, "class"));
  BOOST_LEAF_ASSIGN(plan.m_pool, ReadName(section, "pool"));
  BOOST_LEAF_ASSIGN(plan.m_quota, ReadNumber(section, "quota", 1, kMaxQuota));
  return plan;
}

Result<Use> ReadUse(const Section& section) {
  const auto slash = section.m_name.find('/');
  if (slash == std::string::npos) {
    return section.Refuse(ErrorCode::kListValueInvalid, "",
                          "a section of this list is named [plan/pool]");
  }
  Use use;
  use.m_plan = section.m_name.substr(0, slash);
  use.m_pool = section.m_name.substr(slash + 1);
  if (!IsName(use.m_plan) || !IsName(use.m_pool)) {
    return section.Refuse(ErrorCode::kListValueInvalid, "",
                          "a section of this list is named [plan/pool]");
  }
  BOOST_LEAF_CHECK(CheckKeys(section, {"zones", "racks", "floor", "survive"}));
  BOOST_LEAF_ASSIGN(use.m_zones, ReadNames(section, "zones"));
  BOOST_LEAF_ASSIGN(use.m_racks, ReadNames(section, "racks"));
  BOOST_LEAF_ASSIGN(use.m_floor, ReadNumber(section, "floor", 0, kMaxFloor));
  BOOST_LEAF_ASSIGN(use.m_survive, ReadEnum<FailureDomain>(section, "survive"));
  return use;
}

}  // namespace

bool Use::Admits(const std::string& zone, const std::string& rack) const {
  return (m_zones.empty() || m_zones.contains(zone)) &&
         (m_racks.empty() || m_racks.contains(rack));
}

const Use* Lists::FindUse(const std::string& plan,
                          const std::string& pool) const {
  const auto it = std::find_if(
      m_uses.begin(), m_uses.end(),
      [&](const Use& use) { return use.m_plan == plan && use.m_pool == pool; });
  return it == m_uses.end() ? nullptr : &*it;
}

Result<Lists> Lists::Parse(const std::string& plans_text,
                           const std::string& uses_text) {
  Lists lists;
  BOOST_LEAF_AUTO(plans, ReadList("plans", plans_text));
  for (const auto& [name, keys] : plans) {
    BOOST_LEAF_AUTO(plan, ReadPlan({"plans", plans_text, name, keys}));
    lists.m_plans[name] = plan;
  }
  BOOST_LEAF_AUTO(uses, ReadList("uses", uses_text));
  for (const auto& [name, keys] : uses) {
    const Section section{"uses", uses_text, name, keys};
    BOOST_LEAF_AUTO(use, ReadUse(section));
    if (!lists.m_plans.contains(use.m_plan)) {
      return section.Refuse(ErrorCode::kListUnknownPlan, "",
                            "the plans list does not define this plan");
    }
    lists.m_uses.push_back(use);
  }
  for (const auto& [name, plan] : lists.m_plans) {
    if (lists.FindUse(name, plan.m_pool) == nullptr) {
      const Section section{"plans", plans_text, name,
                            plans.get_child(pt::ptree::path_type(name, '\0'))};
      return section.Refuse(
          ErrorCode::kListMissingKey, "pool",
          "the uses list has no section [" + name + "/" + plan.m_pool + "]");
    }
  }
  return lists;
}

}  // namespace bronzebarrow::fleet
