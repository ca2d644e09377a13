// The two lists set by operators: the customers' plans, and the instances of
// each pool that a plan may use.
#ifndef BRONZEBARROW_FLEET_LISTS_H_
#define BRONZEBARROW_FLEET_LISTS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "bronzebarrow/base/enum_names.h"
#include "bronzebarrow/base/failure.h"

namespace bronzebarrow::fleet {

/** Urgency of a plan's requests, most urgent first. */
enum class RequestClass { kUrgent, kNormal, kOvernight };

/** The failure domain whose loss must not take a plan below its floor. */
enum class FailureDomain { kNone, kRack, kZone };

struct Plan {
  std::string m_name;
  RequestClass m_class = RequestClass::kNormal;
  std::string m_pool;         // Pool for requests that do not name one.
  std::uint32_t m_quota = 0;  // Maximum requests in flight over all entries.
};

/** The part of a pool that a plan may use, and what must stay available. */
struct Use {
  std::string m_plan;
  std::string m_pool;
  std::set<std::string> m_zones;  // Empty admits every availability zone.
  std::set<std::string> m_racks;  // Empty admits every rack.
  std::uint32_t m_floor = 0;      // Instances that must stay in service.
  FailureDomain m_survive = FailureDomain::kNone;

  bool Admits(const std::string& zone, const std::string& rack) const;
};

/** The parsed content of both lists. */
struct Lists {
  std::map<std::string, Plan> m_plans;  // By name.
  std::vector<Use> m_uses;

  /** @return the use of `pool` by `plan`, or null. */
  const Use* FindUse(const std::string& plan, const std::string& pool) const;

  /**
   * Parses and validates both lists; an error in either rejects both.
   * @return the lists, or a failure naming the line, the plan and the reason
   */
  static Result<Lists> Parse(const std::string& plans_text,
                             const std::string& uses_text);
};

}  // namespace bronzebarrow::fleet

template <>
struct bronzebarrow::EnumNames<bronzebarrow::fleet::RequestClass> {
  static constexpr std::array<std::string_view, 3> kNames = {"urgent", "normal",
                                                             "overnight"};
};

template <>
struct bronzebarrow::EnumNames<bronzebarrow::fleet::FailureDomain> {
  static constexpr std::array<std::string_view, 3> kNames = {"none", "rack",
                                                             "zone"};
};

#endif  // BRONZEBARROW_FLEET_LISTS_H_
