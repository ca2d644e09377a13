// Connections to targets: one request in flight on each, never reused after a
// timeout, a failure or a half answer.
#ifndef BRONZEBARROW_NET_TARGET_POOL_H_
#define BRONZEBARROW_NET_TARGET_POOL_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "bronzebarrow/base/address.h"
#include "bronzebarrow/base/time.h"
#include "bronzebarrow/net/http_server.h"

namespace bronzebarrow::net {

/** An exclusive connection to a target. */
class TargetConnection {
 public:
  /** @param executor runs one handler at a time */
  explicit TargetConnection(boost::asio::any_io_executor executor)
      : m_executor(std::move(executor)), m_stream(m_executor) {}

  boost::asio::any_io_executor m_executor;
  boost::beast::tcp_stream m_stream;
  Instant m_opened;
};

using TargetConnectionPtr = std::shared_ptr<TargetConnection>;

enum class ExchangeVerdict {
  kAnswered,  // A whole answer was read.
  kTimeout,   // Bytes left; no whole answer came in time.
  kBroken,    // Bytes may have left; the connection failed.
  kMalformed  // Bytes left; the answer was cut short or not HTTP.
};

struct ExchangeResult {
  ExchangeVerdict m_verdict = ExchangeVerdict::kBroken;
  HttpResponse m_response;  // When it was answered.
};

struct TargetPoolOptions {
  /** Idle connections kept to one address: starts of a step that come at once.
   */
  std::size_t m_max_idle_per_address = 16;
  /** Idle connections kept to all addresses; a share of the descriptors. */
  std::size_t m_max_idle = 1024;
  /** Whether the executor runs one handler at a time; saves the strands. */
  bool m_is_serial = false;
};

class TargetPool {
 public:
  explicit TargetPool(boost::asio::any_io_executor executor,
                      TargetPoolOptions options = {})
      : m_executor(std::move(executor)), m_options(options) {}

  /**
   * @return an idle or new connection, or null; no byte of a request left.
   * @param refused set when nothing listens at the address; may be null
   */
  boost::asio::awaitable<TargetConnectionPtr> Acquire(Address address,
                                                      Instant deadline,
                                                      bool* refused = nullptr);

  /**
   * Sends a request and reads its answer whole. The connection goes back to
   * the idle ones only after a whole answer on a connection kept alive.
   */
  boost::asio::awaitable<ExchangeResult> Exchange(
      TargetConnectionPtr connection, Address address, HttpRequest request,
      Instant deadline);

  /**
   * Gives back a connection on which nothing was sent. The connections that
   * were idle longest are closed where there are too many.
   */
  void Release(const Address& address, TargetConnectionPtr connection);
  /** Closes idle connections, e.g. siblings of one that went silent. */
  void Retire(const Address& address);
  std::size_t idle() const;

 private:
  struct Idle {
    Address m_address;
    TargetConnectionPtr m_connection;
  };
  using IdleList = std::list<Idle>;

  TargetConnectionPtr TakeIdle(const Address& address);
  /** Closes the connection to `address` that was idle longest. */
  void CloseOldest(const Address& address);

  boost::asio::any_io_executor m_executor;
  TargetPoolOptions m_options;
  mutable std::mutex m_mutex;  // Guards what follows; a leaf lock.
  IdleList m_idle;             // By time of release, oldest first.
  // Places in m_idle by address, oldest first; no list is empty.
  std::map<Address, std::deque<IdleList::iterator>> m_places;
};

}  // namespace bronzebarrow::net

#endif  // BRONZEBARROW_NET_TARGET_POOL_H_
