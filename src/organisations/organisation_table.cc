// Digests and lookup of keys, and validation of organisations.
#include "bronzebarrow/organisations/organisation_table.h"

#include <sodium.h>

#include <array>
#include <cmath>
#include <set>

namespace bronzebarrow::organisations {
namespace {

// 256 bits: two keys never have the same digest in practice.
constexpr std::size_t kDigestBytes = 32;
// Of the label of an organisation that the configuration lacks. The control
// character keeps it apart from names.
constexpr const char* kFormerSuffix = " (former)\x1f";

}  // namespace

std::string DigestOfKey(std::string_view key) {
  if (key.empty()) {
    return {};
  }
  std::array<unsigned char, kDigestBytes> digest;
  crypto_generichash(digest.data(), digest.size(),
                     reinterpret_cast<const unsigned char*>(key.data()),
                     key.size(), nullptr, 0);
  std::string text(2 * kDigestBytes + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
  text.pop_back();  // The terminating zero.
  return text;
}

std::string ProblemOf(
    const std::vector<std::unique_ptr<wire::OrganisationT>>& organisations) {
  std::set<std::string> names;
  std::set<std::string> keys;
  for (const auto& organisation : organisations) {
    const std::string& name = organisation->name;
    if (name.empty() || !names.insert(name).second) {
      return "an organisation without a name, or named twice: " + name;
    }
    if (!(organisation->weight >= 0) || std::isinf(organisation->weight)) {
      return "organisation " + name + " has a negative weight";
    }
    for (const std::string& key : organisation->key_digests) {
      if (key.empty()) {
        return "organisation " + name + " has an empty key";
      }
      if (!keys.insert(key).second) {
        return "organisation " + name + " has a key that is listed twice";
      }
    }
  }
  return {};
}

OrganisationTable::OrganisationTable(const wire::FleetConfigT& config)
    : m_requires_keys(config.has_organisations) {
  for (const auto& listed : config.organisations) {
    Organisation& organisation = m_organisations[listed->name];
    organisation.m_name = listed->name;
    organisation.m_weight = listed->weight;
    organisation.m_cap = {static_cast<std::int64_t>(listed->cap_cpu_milli),
                          static_cast<std::int64_t>(listed->cap_memory_mb),
                          static_cast<std::int64_t>(listed->cap_gpu)};
    std::vector<std::string>& keys = m_keys_by_name[listed->name];
    for (const std::string& digest : listed->key_digests) {
      m_names_by_key[digest] = listed->name;
      keys.push_back(digest);
    }
  }
}

const Organisation* OrganisationTable::Find(const std::string& name) const {
  const auto found = m_organisations.find(name);
  return found == m_organisations.end() ? nullptr : &found->second;
}

// The position in the table depends on the digest only, from which nothing can
// be learnt about a key.
const Organisation* OrganisationTable::FindByKey(
    const std::string& digest) const {
  const auto found = m_names_by_key.find(digest);
  if (digest.empty() || found == m_names_by_key.end() ||
      found->first.size() != digest.size() ||
      sodium_memcmp(found->first.data(), digest.data(), digest.size()) != 0) {
    return nullptr;
  }
  return Find(found->second);
}

double OrganisationTable::WeightOf(const std::string& name) const {
  const Organisation* const organisation = Find(name);
  return organisation == nullptr ? 1 : organisation->m_weight;
}

Resources OrganisationTable::CapOf(const std::string& name) const {
  const Organisation* const organisation = Find(name);
  return organisation == nullptr ? Resources() : organisation->m_cap;
}

Holder OrganisationTable::HolderSince(const Holder& holder,
                                      const OrganisationTable& former) const {
  if (const Organisation* const same = FindByKey(holder.m_key)) {
    return {same->m_name, holder.m_key};
  }
  const std::string& name = holder.m_organisation;
  const auto former_keys = former.m_keys_by_name.find(name);
  if (former_keys == former.m_keys_by_name.end()) {
    return holder;  // Gone already, or never known.
  }
  Holder successor;
  for (const std::string& key : former_keys->second) {
    const Organisation* const found = FindByKey(key);
    if (found != nullptr &&
        (successor.m_key.empty() || found->m_name == name)) {
      successor = {found->m_name, key};
    }
  }
  if (!successor.m_key.empty()) {
    return successor;
  }
  const auto keys = m_keys_by_name.find(name);
  if (keys != m_keys_by_name.end()) {
    return {name, keys->second.empty() ? holder.m_key : keys->second.front()};
  }
  // Without a key it can only come back by its name.
  return holder.m_key.empty() ? holder
                              : Holder{name + kFormerSuffix, holder.m_key};
}

}  // namespace bronzebarrow::organisations
