// Pool of HTTP connections to targets. A connection has at most one request in
// flight and is not reused after a timeout, an error or a truncated response.
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

/** A connection to a target, used by one request at a time. */
class TargetConnection {
 public:
  /** @param executor must not run handlers concurrently, e.g. a strand */
  explicit TargetConnection(boost::asio::any_io_executor executor)
      : m_executor(std::move(executor)), m_stream(m_executor) {}

  boost::asio::any_io_executor m_executor;
  boost::beast::tcp_stream m_stream;
  Instant m_connected_at;
};

using TargetConnectionPtr = std::shared_ptr<TargetConnection>;

enum class ExchangeVerdict {
  kAnswered,  // A complete response was read.
  kTimeout,   // No complete response in time; bytes may have been sent.
  kBroken,    // The connection failed; bytes may have been sent.
  kMalformed  // Bytes were sent; the response was truncated or not valid HTTP.
};

struct ExchangeResult {
  ExchangeVerdict m_verdict = ExchangeVerdict::kBroken;
  HttpResponse m_response;  // Set when kAnswered.
};

struct TargetPoolOptions {
  /**
   * Maximum idle connections to one address. Several are reused when the runs
   * of a step start at the same time.
   */
  std::size_t m_max_idle_per_address = 16;
  /**
   * Maximum idle connections to all addresses, so that they occupy only a part
   * of the file descriptors.
   */
  std::size_t m_max_idle = 1024;
  /**
   * Whether the executor never runs handlers concurrently; then connections
   * need no strands of their own.
   */
  bool m_executor_is_serial = false;
};

class TargetPool {
 public:
  explicit TargetPool(boost::asio::any_io_executor executor,
                      TargetPoolOptions options = {})
      : m_executor(std::move(executor)), m_options(options) {}

  /**
   * @param refused set to whether the address refused the connection (nothing
   * listens there); unchanged when an idle connection is returned; may be null
   * @return an idle or new connection on which nothing was sent, or null after
   * an error or a timeout
   */
  boost::asio::awaitable<TargetConnectionPtr> Acquire(Address address,
                                                      Instant deadline,
                                                      bool* refused = nullptr);

  /**
   * Sends a request and reads the complete response. The connection becomes
   * idle again only after a complete response with keep-alive. A timeout also
   * closes the idle connections to `address`.
   */
  boost::asio::awaitable<ExchangeResult> Exchange(
      TargetConnectionPtr connection, Address address, HttpRequest request,
      Instant deadline);

  /**
   * Makes a connection without a request in flight idle, so that it is reused.
   * Beyond the limits, the connections that were idle longest are closed.
   */
  void Release(const Address& address, TargetConnectionPtr connection);
  /**
   * Closes the idle connections to `address`, e.g. after a timeout on another
   * connection to it.
   */
  void CloseIdle(const Address& address);
  std::size_t idle() const;

 private:
  struct Idle {
    Address m_address;
    TargetConnectionPtr m_connection;
  };
  using IdleList = std::list<Idle>;

  /** @return the usable idle connection released last, or null. */
  TargetConnectionPtr TakeIdle(const Address& address);
  /** Closes the connection to `address` idle longest. Requires m_mutex. */
  void CloseLongestIdle(const Address& address);

  boost::asio::any_io_executor m_executor;
  TargetPoolOptions m_options;
  mutable std::mutex m_mutex;  // Guards the members below; a leaf lock.
  IdleList m_idle;             // In order of release, oldest first.
  // Positions in m_idle by address, oldest first; no deque is empty.
  std::map<Address, std::deque<IdleList::iterator>> m_idle_by_address;
};

}  // namespace bronzebarrow::net

#endif  // BRONZEBARROW_NET_TARGET_POOL_H_
