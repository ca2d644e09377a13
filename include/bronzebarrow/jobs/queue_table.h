// The fleet configuration in force, with indexes for the lookup of queues and
// pools.
#ifndef BRONZEBARROW_JOBS_QUEUE_TABLE_H_
#define BRONZEBARROW_JOBS_QUEUE_TABLE_H_

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "wire_generated.h"

namespace bronzebarrow::jobs {

/** @return the host without its port, in lower case. */
std::string NormalizeHost(std::string_view host);

/**
 * What callers address, and so what jobs belong to. The name of a queue is a
 * label: configurations change it, and give it to other queues. See
 * docs/decisions/0011-what-a-job-belongs-to.md.
 */
struct QueueAddress {
  std::string m_host;  // As NormalizeHost.
  std::string m_path_prefix;

  bool empty() const { return m_path_prefix.empty(); }
  bool operator==(const QueueAddress&) const = default;
  bool operator<(const QueueAddress& other) const {
    return std::tie(m_host, m_path_prefix) <
           std::tie(other.m_host, other.m_path_prefix);
  }
};

QueueAddress AddressOf(const wire::QueueSpecT& queue);

/** @return why the configuration is invalid; empty if it is valid. */
std::string ProblemOf(const wire::FleetConfigT& config);

/** A configuration and its lookup indexes; copies share the configuration. */
class QueueTable {
 public:
  QueueTable() : m_config(std::make_shared<wire::FleetConfigT>()) {}
  explicit QueueTable(wire::FleetConfigT config);

  std::uint64_t version() const { return m_config->version; }
  const wire::FleetConfigT& config() const { return *m_config; }

  /**
   * @return the queue of the host whose path prefix is the longest one that
   * matches `path`; null if none matches
   * @param compared if not null, is increased by the number of prefixes that
   * `path` was compared with: at most the logarithm of the host's prefixes
   * plus the depth of their nesting
   */
  const wire::QueueSpecT* Route(std::string_view host, std::string_view path,
                                std::size_t* compared = nullptr) const;
  /** @return the queue with exactly this host and path prefix, or null. */
  const wire::QueueSpecT* Find(const QueueAddress& address) const;
  /**
   * @return the first queue of this name, or null. Only for what an earlier
   * version stored: a name does not identify a queue.
   */
  const wire::QueueSpecT* FindByName(const std::string& name) const;
  const wire::PoolSpecT* FindPool(const std::string& name) const;

 private:
  struct PrefixEntry {
    const wire::QueueSpecT* m_queue = nullptr;
    // Index of the longest other prefix that this prefix starts with;
    // kNoParent if there is none. Less than the index of this entry.
    std::size_t m_parent = 0;
  };
  // Sorted by path prefix, without duplicates.
  using PrefixEntries = std::vector<PrefixEntry>;

  // Compares hosts without regard to case, so that a lookup need not copy the
  // host.
  struct HostLess {
    using is_transparent = void;
    bool operator()(std::string_view left, std::string_view right) const;
  };

  static constexpr std::size_t kNoParent = static_cast<std::size_t>(-1);

  const PrefixEntries* FindHost(std::string_view host) const;
  // Number of entries whose prefix is not greater than `path`.
  static std::size_t CountUpTo(const PrefixEntries& entries,
                               std::string_view path, std::size_t* compared);

  std::shared_ptr<const wire::FleetConfigT> m_config;
  // The pointers in the maps below refer to m_config.

  // Queues by normalised host.
  std::map<std::string, PrefixEntries, HostLess> m_queues_by_host;
  std::map<QueueAddress, const wire::QueueSpecT*> m_queues_by_address;
  std::map<std::string, const wire::PoolSpecT*> m_pools_by_name;
};

}  // namespace bronzebarrow::jobs

#endif  // BRONZEBARROW_JOBS_QUEUE_TABLE_H_
