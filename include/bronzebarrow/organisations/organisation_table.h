// The organisations of one configuration, found by name or by key.
#ifndef BRONZEBARROW_ORGANISATIONS_ORGANISATION_TABLE_H_
#define BRONZEBARROW_ORGANISATIONS_ORGANISATION_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "bronzebarrow/base/resources.h"
#include "wire_generated.h"

namespace bronzebarrow::organisations {

/**
 * @return a digest from which the key cannot be recovered, in hexadecimal;
 * empty for an empty key. Calls, the log and the table hold only digests.
 */
std::string DigestOfKey(std::string_view key);

/**
 * @return why the organisations are invalid, without any key; empty if they
 * are valid
 */
std::string ProblemOf(
    const std::vector<std::unique_ptr<wire::OrganisationT>>& organisations);

struct Organisation {
  std::string m_name;
  double m_weight = 1;  // Not negative.
  Resources m_cap;      // In each dimension, 0 means no limit.
};

/**
 * Whom a job belongs to. The name is a label, which a configuration may change
 * or give to another customer; the key tells customers apart. See
 * docs/decisions/0011-what-a-job-belongs-to.md.
 */
struct Holder {
  std::string m_organisation;  // Its name in the configuration in force.
  // Digest of the key that the job came with, or of another one of the
  // organisation since that was removed; empty if no key is known.
  std::string m_key;

  bool operator<(const Holder& other) const {
    return std::tie(m_organisation, m_key) <
           std::tie(other.m_organisation, other.m_key);
  }
};

/** Lookup takes constant time; keys are compared in constant time. */
class OrganisationTable {
 public:
  OrganisationTable() = default;
  /** @param config a valid configuration */
  explicit OrganisationTable(const wire::FleetConfigT& config);

  /** @return whether calls to queues that are not public need a key. */
  bool RequiresKeys() const { return m_requires_keys; }
  bool empty() const { return m_organisations.empty(); }
  const std::map<std::string, Organisation>& organisations() const {
    return m_organisations;
  }
  /** @return the organisation, or null. */
  const Organisation* Find(const std::string& name) const;
  /** @return the organisation that has the key with this digest, or null. */
  const Organisation* FindByKey(const std::string& digest) const;
  /** @return 1 for an unknown organisation. */
  double WeightOf(const std::string& name) const;
  /** @return no limit for an unknown organisation. */
  Resources CapOf(const std::string& name) const;
  /**
   * @return who holds here what `holder` held under the table before: by its
   * key, else by any other key that its organisation had, else by name if the
   * name was there before as well. An organisation that is gone gets a label
   * that no other one can have, until its key comes back.
   */
  Holder HolderSince(const Holder& holder,
                     const OrganisationTable& former) const;

 private:
  bool m_requires_keys = false;
  std::map<std::string, Organisation> m_organisations;  // By name.
  // Names by digest of a key.
  std::unordered_map<std::string, std::string> m_names_by_key;
  // The same, in the order of the names.
  std::map<std::string, std::vector<std::string>> m_keys_by_name;
};

}  // namespace bronzebarrow::organisations

#endif  // BRONZEBARROW_ORGANISATIONS_ORGANISATION_TABLE_H_
