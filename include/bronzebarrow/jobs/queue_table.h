// The configuration in force: queues by address, and pools.
#ifndef BRONZEBARROW_JOBS_QUEUE_TABLE_H_
#define BRONZEBARROW_JOBS_QUEUE_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "wire_generated.h"

namespace bronzebarrow::jobs {

/** @return a host without its port, in lower case. */
std::string NormalHost(std::string_view host);

/** @return nothing, or what makes a configuration invalid. */
std::string ProblemOf(const wire::FleetConfigT& config);

class QueueTable {
 public:
  QueueTable() : m_config(std::make_shared<wire::FleetConfigT>()) {}
  explicit QueueTable(wire::FleetConfigT config);

  std::uint64_t version() const { return m_config->version; }
  const wire::FleetConfigT& config() const { return *m_config; }

  /** @return the queue with the longest prefix of `path`, or null. */
  const wire::QueueSpecT* Route(std::string_view host,
                                std::string_view path) const;
  const wire::QueueSpecT* Find(const std::string& name) const;
  const wire::PoolSpecT* FindPool(const std::string& name) const;

 private:
  std::shared_ptr<const wire::FleetConfigT> m_config;
  // Pointers into m_config. Queues of a host by prefix.
  std::map<std::string, std::map<std::string, const wire::QueueSpecT*>,
           std::less<>>
      m_by_host;
  std::map<std::string, const wire::QueueSpecT*> m_by_name;
  std::map<std::string, const wire::PoolSpecT*> m_pools;
};

}  // namespace bronzebarrow::jobs

#endif  // BRONZEBARROW_JOBS_QUEUE_TABLE_H_
