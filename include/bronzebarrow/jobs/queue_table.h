// The fleet configuration in force, with indexes for the lookup of queues and
// pools.
#ifndef BRONZEBARROW_JOBS_QUEUE_TABLE_H_
#define BRONZEBARROW_JOBS_QUEUE_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "wire_generated.h"

namespace bronzebarrow::jobs {

/** @return the host without its port, in lower case. */
std::string NormalizeHost(std::string_view host);

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
   */
  const wire::QueueSpecT* Route(std::string_view host,
                                std::string_view path) const;
  const wire::QueueSpecT* Find(const std::string& name) const;
  /** @return the queue with exactly this host and path prefix, or null. */
  const wire::QueueSpecT* FindAt(std::string_view host,
                                 const std::string& path_prefix) const;
  const wire::PoolSpecT* FindPool(const std::string& name) const;

 private:
  std::shared_ptr<const wire::FleetConfigT> m_config;
  // The pointers in the maps below refer to m_config.

  // Queues by normalised host, then by path prefix.
  std::map<std::string, std::map<std::string, const wire::QueueSpecT*>,
           std::less<>>
      m_queues_by_host;
  std::map<std::string, const wire::QueueSpecT*> m_queues_by_name;
  std::map<std::string, const wire::PoolSpecT*> m_pools_by_name;
};

}  // namespace bronzebarrow::jobs

#endif  // BRONZEBARROW_JOBS_QUEUE_TABLE_H_
