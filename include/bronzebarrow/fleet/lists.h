// The operators' two lists: the customers' plans, and what each plan may use.
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

/** The failure domain whose loss a plan must survive at any moment. */
enum class FailureDomain { kNone, kRack, kZone };

struct Plan {
  std::string m_name;
  RequestClass m_class = RequestClass::kNormal;
  std::string m_pool;         // Pool of requests that name no pool.
  std::uint32_t m_quota = 0;  // Requests in flight over all entries.
};

/** What one plan may use of one pool, and what must stay available of it. */
struct Use {
  std::string m_plan;
  std::string m_pool;
  std::set<std::string> m_zones;  // Empty admits every availability zone.
  std::set<std::string> m_racks;  // Empty admits every rack.
  std::uint32_t m_floor = 0;      // Instances that must stay in service.
  FailureDomain m_survive = FailureDomain::kNone;

  bool Admits(const std::string& zone, const std::string& rack) const;
};

struct Lists {
  std::map<std::string, Plan> m_plans;
  std::vector<Use> m_uses;

  /** @return the use of `pool` by `plan`, or null. */
  const Use* FindUse(const std::string& plan, const std::string& pool) const;

  /**
   * Parses both lists whole; one error refuses both.
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
