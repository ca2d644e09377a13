// Lookup of queues and validation of configurations.
#include "bronzebarrow/jobs/queue_table.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "bronzebarrow/organisations.h"

namespace bronzebarrow::jobs {

namespace {

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.rfind(':'));
}

}  // namespace

std::string NormalizeHost(std::string_view host) {
  std::string normalized(WithoutPort(host));
  std::transform(normalized.begin(), normalized.end(), normalized.begin(),
                 ToLower);
  return normalized;
}

QueueAddress AddressOf(const wire::QueueSpecT& queue) {
  return {NormalizeHost(queue.host), queue.path_prefix};
}

std::string ProblemOf(const wire::FleetConfigT& config) {
  std::set<std::string> pools;
  for (const auto& pool : config.pools) {
    if (pool->name.empty() || !pools.insert(pool->name).second) {
      return "a pool without a name, or named twice: " + pool->name;
    }
  }
  std::set<QueueAddress> addresses;
  for (const auto& queue : config.queues) {
    if (queue->name.empty()) {
      return "a queue without a name";
    }
    if (!addresses.insert(AddressOf(*queue)).second) {
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
  return organisations::ProblemOf(config.organisations);
}

QueueTable::QueueTable(wire::FleetConfigT config)
    : m_config(std::make_shared<wire::FleetConfigT>(std::move(config))) {
  std::map<std::string, std::map<std::string_view, const wire::QueueSpecT*>>
      sorted_queues;
  for (const auto& queue : m_config->queues) {
    sorted_queues[NormalizeHost(queue->host)][queue->path_prefix] = queue.get();
    m_queues_by_address[AddressOf(*queue)] = queue.get();
  }
  for (const auto& [host, queues] : sorted_queues) {
    PrefixEntries& entries = m_queues_by_host[host];
    entries.reserve(queues.size());
    for (const auto& [prefix, queue] : queues) {
      std::size_t parent = entries.empty() ? kNoParent : entries.size() - 1;
      while (parent != kNoParent &&
             !prefix.starts_with(entries[parent].m_queue->path_prefix)) {
        parent = entries[parent].m_parent;
      }
      entries.push_back({queue, parent});
    }
  }
  for (const auto& pool : m_config->pools) {
    m_pools_by_name[pool->name] = pool.get();
  }
}

bool QueueTable::HostLess::operator()(std::string_view left,
                                      std::string_view right) const {
  return std::lexicographical_compare(
      left.begin(), left.end(), right.begin(), right.end(),
      [](char a, char b) { return ToLower(a) < ToLower(b); });
}

const QueueTable::PrefixEntries* QueueTable::FindHost(
    std::string_view host) const {
  const auto entries = m_queues_by_host.find(WithoutPort(host));
  return entries == m_queues_by_host.end() ? nullptr : &entries->second;
}

std::size_t QueueTable::CountUpTo(const PrefixEntries& entries,
                                  std::string_view path,
                                  std::size_t* compared) {
  const auto end = std::upper_bound(
      entries.begin(), entries.end(), path,
      [&](std::string_view text, const PrefixEntry& entry) {
        if (compared != nullptr) {
          ++*compared;
        }
        return text < std::string_view(entry.m_queue->path_prefix);
      });
  return static_cast<std::size_t>(end - entries.begin());
}

// All prefixes that lie between a matching prefix and the path in the order
// start with that prefix. So the longest match is the greatest prefix that is
// not greater than the path, or one of its parents.
const wire::QueueSpecT* QueueTable::Route(std::string_view host,
                                          std::string_view path,
                                          std::size_t* compared) const {
  const PrefixEntries* const entries = FindHost(host);
  if (entries == nullptr) {
    return nullptr;
  }
  const std::size_t count = CountUpTo(*entries, path, compared);
  std::size_t index = count == 0 ? kNoParent : count - 1;
  while (index != kNoParent) {
    const PrefixEntry& entry = (*entries)[index];
    if (compared != nullptr) {
      ++*compared;
    }
    if (path.starts_with(entry.m_queue->path_prefix)) {
      return entry.m_queue;
    }
    index = entry.m_parent;
  }
  return nullptr;
}

const wire::QueueSpecT* QueueTable::Find(const QueueAddress& address) const {
  const auto queue = m_queues_by_address.find(address);
  return queue == m_queues_by_address.end() ? nullptr : queue->second;
}

const wire::QueueSpecT* QueueTable::FindByName(const std::string& name) const {
  const auto queue =
      std::find_if(m_config->queues.begin(), m_config->queues.end(),
                   [&](const auto& listed) { return listed->name == name; });
  return queue == m_config->queues.end() ? nullptr : queue->get();
}

const wire::PoolSpecT* QueueTable::FindPool(const std::string& name) const {
  const auto pool = m_pools_by_name.find(name);
  return pool == m_pools_by_name.end() ? nullptr : pool->second;
}

}  // namespace bronzebarrow::jobs
