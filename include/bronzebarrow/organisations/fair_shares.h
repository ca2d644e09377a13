// Caps, and shares of the capacity by weight. Load pattern: twenty
// organisations of very different sizes share the pools, queues peak at several
// times their mean, and one organisation sends ten times its usual; in order of
// arrival its jobs would make those of all others wait. Waiting work is served
// by weighted fair queueing over dominant resources (Ghodsi and others,
// "Dominant Resource Fairness", NSDI 2011). Tests: tests/organisations_test.cc,
// tests/shares_replay_test.cc; the choice is described in
// docs/design/organisations.md.
#ifndef BRONZEBARROW_ORGANISATIONS_FAIR_SHARES_H_
#define BRONZEBARROW_ORGANISATIONS_FAIR_SHARES_H_

#include <cstdint>
#include <map>
#include <string>

#include "bronzebarrow/base/resources.h"
#include "bronzebarrow/organisations/organisation_table.h"

namespace bronzebarrow::organisations {

/** Resources in use by organisation; none is listed with zero. */
using Usage = std::map<std::string, Resources>;

/**
 * @param cap 0 in a dimension means no limit
 * @return whether `need` more may start while `used` is in use: what is then in
 * use is within the cap, or less than half of the cap is in use. The latter
 * lets tasks larger than half of the cap start, which might otherwise wait for
 * ever beside small ones; what is in use stays below half of the cap and one
 * task, or the cap, whichever is more.
 */
bool MayStart(const Resources& cap, const Resources& used,
              const Resources& need);

/**
 * @return whether a gang that needs `need` at once may never start: it is over
 * the cap although nothing else is in use
 */
bool ExceedsCap(const Resources& cap, const Resources& need);

/**
 * Work of another organisation that fair queueing serves before the last of
 * `own` work is done, while both have work waiting.
 * @return at most `other`
 */
std::int64_t WorkServedBefore(std::int64_t own, double own_weight,
                              std::int64_t other, double other_weight);

/** Shares and caps during one pass of placement. */
class FairShares {
 public:
  /** @param total the capacity that is shared */
  FairShares(const OrganisationTable& table, const Usage& used,
             const Resources& total)
      : m_table(table), m_used(used), m_total(total) {}

  /**
   * @return the largest of the organisation's shares of CPU, memory and GPUs in
   * use, divided by its weight
   */
  double WeightedShare(const std::string& organisation) const;
  /** @return the organisation's weight; more than 0. */
  double WeightOf(const std::string& organisation) const;
  /**
   * @return estimated work of the job, as the share of the capacity that it
   * uses of its dominant resource times milliseconds
   */
  double DominantWork(const wire::JobSpecT& job) const;
  bool MayStart(const std::string& organisation, const Resources& need) const;
  /** @return whether the gang may start; all of its tasks start at once. */
  bool MayStartGang(const std::string& organisation,
                    const Resources& need) const;
  /** Records that `need` has started; with `times` -1, that it has not. */
  void Add(const std::string& organisation, const Resources& need,
           std::int64_t times);

 private:
  // The largest share of any resource of the capacity.
  double DominantShare(const Resources& resources) const;
  const Resources& UsedBy(const std::string& organisation) const;

  const OrganisationTable& m_table;
  Usage m_used;
  Resources m_total;
};

}  // namespace bronzebarrow::organisations

#endif  // BRONZEBARROW_ORGANISATIONS_FAIR_SHARES_H_
