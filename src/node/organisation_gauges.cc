// Sets the gauges of organisations.
#include "bronzebarrow/node/organisation_gauges.h"

#include <utility>

namespace bronzebarrow::node {

void OrganisationGauges::Set(const std::vector<OrganisationUse>& largest) {
  const std::set<std::string> before = std::exchange(m_reported, {});
  for (const OrganisationUse& use : largest) {
    m_reported.insert(use.m_name);
    SetOne(use.m_name, use.m_used, use.m_weighted_share);
  }
  for (const std::string& name : before) {
    if (!m_reported.contains(name)) {
      SetOne(name, Resources(), 0);
    }
  }
}

void OrganisationGauges::SetOne(const std::string& name, const Resources& used,
                                double share) {
  const std::string label = "organisation=\"" + name + '"';
  m_metrics.SetGauge("bronzebarrow_organisation_cpu_milli", label,
                     static_cast<double>(used.m_cpu_milli));
  m_metrics.SetGauge("bronzebarrow_organisation_memory_mb", label,
                     static_cast<double>(used.m_memory_mb));
  m_metrics.SetGauge("bronzebarrow_organisation_weighted_share", label, share);
}

}  // namespace bronzebarrow::node
