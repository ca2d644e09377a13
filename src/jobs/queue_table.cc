// Lookup of queues and validation of configurations.
#include "bronzebarrow/jobs/queue_table.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <utility>

namespace bronzebarrow::jobs {

std::string NormalizeHost(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon != std::string_view::npos) {
    host = host.substr(0, colon);
  }
  std::string normalized(host);
  std::transform(
      normalized.begin(), normalized.end(), normalized.begin(), [](char c) {
        return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      });
  return normalized;
}

std::string ProblemOf(const wire::FleetConfigT& config) {
  std::set<std::string> pools;
  for (const auto& pool : config.pools) {
    if (pool->name.empty() || !pools.insert(pool->name).second) {
      return "a pool without a name, or named twice: " + pool->name;
    }
  }
  std::set<std::string> names;
  std::set<std::pair<std::string, std::string>> addresses;
  for (const auto& queue : config.queues) {
    if (queue->name.empty() || !names.insert(queue->name).second) {
      return "a queue without a name, or named twice: " + queue->name;
    }
    if (!addresses.emplace(NormalizeHost(queue->host), queue->path_prefix)
             .second) {
      return "two queues at one host and prefix: " + queue->name;
    }
    if (!pools.contains(queue->pool)) {
      return "queue " + queue->name + " names the unknown pool " + queue->pool;
    }
    if (queue->timeout_ms == 0) {
      return "queue " + queue->name + " has no timeout";
    }
    if (!queue->path_prefix.starts_with('/')) {
      return "queue " + queue->name + " has no path prefix";
    }
  }
  return {};
}

QueueTable::QueueTable(wire::FleetConfigT config)
    : m_config(std::make_shared<wire::FleetConfigT>(std::move(config))) {
  for (const auto& queue : m_config->queues) {
    m_queues_by_host[NormalizeHost(queue->host)][queue->path_prefix] =
        queue.get();
    m_queues_by_name[queue->name] = queue.get();
  }
  for (const auto& pool : m_config->pools) {
    m_pools_by_name[pool->name] = pool.get();
  }
}

const wire::QueueSpecT* QueueTable::Route(std::string_view host,
                                          std::string_view path) const {
  const auto queues = m_queues_by_host.find(NormalizeHost(host));
  if (queues == m_queues_by_host.end()) {
    return nullptr;
  }
  const wire::QueueSpecT* longest_match = nullptr;
  for (const auto& [prefix, queue] : queues->second) {
    if (path.starts_with(prefix) &&
        (longest_match == nullptr ||
         prefix.size() > longest_match->path_prefix.size())) {
      longest_match = queue;
    }
  }
  return longest_match;
}

const wire::QueueSpecT* QueueTable::Find(const std::string& name) const {
  const auto queue = m_queues_by_name.find(name);
  return queue == m_queues_by_name.end() ? nullptr : queue->second;
}

const wire::QueueSpecT* QueueTable::FindAt(
    std::string_view host, const std::string& path_prefix) const {
  const auto queues = m_queues_by_host.find(NormalizeHost(host));
  if (queues == m_queues_by_host.end()) {
    return nullptr;
  }
  const auto queue = queues->second.find(path_prefix);
  return queue == queues->second.end() ? nullptr : queue->second;
}

const wire::PoolSpecT* QueueTable::FindPool(const std::string& name) const {
  const auto pool = m_pools_by_name.find(name);
  return pool == m_pools_by_name.end() ? nullptr : pool->second;
}

}  // namespace bronzebarrow::jobs
