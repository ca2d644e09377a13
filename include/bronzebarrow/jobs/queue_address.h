// The identity of a queue.
#ifndef BRONZEBARROW_JOBS_QUEUE_ADDRESS_H_
#define BRONZEBARROW_JOBS_QUEUE_ADDRESS_H_

#include <compare>
#include <string>
#include <string_view>

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
  auto operator<=>(const QueueAddress&) const = default;
};

QueueAddress AddressOf(const wire::QueueSpecT& queue);

}  // namespace bronzebarrow::jobs

#endif  // BRONZEBARROW_JOBS_QUEUE_ADDRESS_H_
