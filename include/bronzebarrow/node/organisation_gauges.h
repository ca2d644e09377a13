// Metrics of the organisations with the largest shares.
#ifndef BRONZEBARROW_NODE_ORGANISATION_GAUGES_H_
#define BRONZEBARROW_NODE_ORGANISATION_GAUGES_H_

#include <set>
#include <string>
#include <vector>

#include "bronzebarrow/base/metrics.h"
#include "bronzebarrow/node/work_core.h"

namespace bronzebarrow::node {

/** Sets the gauges of organisations that are no longer reported to zero. */
class OrganisationGauges {
 public:
  explicit OrganisationGauges(Metrics& metrics) : m_metrics(metrics) {}

  void Set(const std::vector<OrganisationUse>& largest);

 private:
  void SetOne(const std::string& name, const Resources& used, double share);

  Metrics& m_metrics;
  std::set<std::string> m_reported;  // By the last call.
};

}  // namespace bronzebarrow::node

#endif  // BRONZEBARROW_NODE_ORGANISATION_GAUGES_H_
