// Memory that the handler of a request holds beyond the request itself.
#ifndef BRONZEBARROW_NET_REQUEST_MEMORY_H_
#define BRONZEBARROW_NET_REQUEST_MEMORY_H_

#include <cstddef>
#include <functional>
#include <utility>

namespace bronzebarrow::net {

/**
 * Counts towards the memory that all requests of a server may hold together,
 * until the response is written. A handler reserves what a parsed body and a
 * call that waits for its reply take, before it sends the call.
 */
class RequestMemory {
 public:
  /** Sets the reserved bytes; returns false if they do not fit. */
  using Reserver = std::function<bool(std::size_t bytes)>;

  explicit RequestMemory(Reserver reserver) : m_reserver(std::move(reserver)) {}

  /**
   * Replaces what was reserved before.
   * @return false if the bytes do not fit. The request is then to be refused
   * with MakeOverloadedResponse; its connection closes after the response.
   */
  bool Reserve(std::size_t bytes) { return m_reserver(bytes); }

 private:
  Reserver m_reserver;
};

}  // namespace bronzebarrow::net

#endif  // BRONZEBARROW_NET_REQUEST_MEMORY_H_
