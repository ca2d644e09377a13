// HTTP/1.1 server on Boost.Beast. The size of each request, the time to send
// it, the number of connections and the bytes that they hold together are
// limited.
#ifndef BRONZEBARROW_NET_HTTP_SERVER_H_
#define BRONZEBARROW_NET_HTTP_SERVER_H_

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "bronzebarrow/base/address.h"
#include "bronzebarrow/base/failure.h"
#include "bronzebarrow/base/time.h"
#include "bronzebarrow/net/acceptor.h"
#include "bronzebarrow/net/connection_table.h"
#include "bronzebarrow/net/request_memory.h"

namespace bronzebarrow::net {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/** Maximum sizes of a request's header and body, in bytes. */
constexpr std::size_t kMaxHeaderBytes = 16 * 1024;
constexpr std::size_t kMaxBodyBytes = 1 << 20;

/** Limits of one server; those of a running one may change. */
struct HttpServerLimits {
  std::size_t m_max_header_bytes = kMaxHeaderBytes;
  std::size_t m_max_body_bytes = kMaxBodyBytes;
  /** From the first byte of a request to the end of its head. */
  Duration m_header_timeout = Millis(10'000);
  /** Wait for a request, and time for its body once the head is read. */
  Duration m_idle_timeout = Millis(120'000);
  // Set when the server starts.
  std::size_t m_max_connections = 2000;
  /**
   * Of all requests that are read or served, with what their handlers reserve,
   * and of all responses that are written.
   */
  std::size_t m_max_buffered_bytes = 64 << 20;
  /** SO_RCVBUF of each connection; 0: the system's. */
  std::size_t m_receive_buffer_bytes = 0;
};

class HttpServer : public std::enable_shared_from_this<HttpServer> {
 public:
  using Handler = std::function<boost::asio::awaitable<HttpResponse>(
      const HttpRequest& request)>;
  /** A handler that holds more than the request. */
  using ReservingHandler = std::function<boost::asio::awaitable<HttpResponse>(
      const HttpRequest& request, RequestMemory& memory)>;

  /**
   * Listens and passes each request to `handler`, which may be called from
   * several threads at the same time.
   */
  static Result<std::shared_ptr<HttpServer>> Listen(
      boost::asio::any_io_executor executor, const Address& address,
      Handler handler, HttpServerLimits limits = {});
  static Result<std::shared_ptr<HttpServer>> ListenReserving(
      boost::asio::any_io_executor executor, const Address& address,
      ReservingHandler handler, HttpServerLimits limits);

  explicit HttpServer(const HttpServerLimits& limits);
  /**
   * Replaces the limits of requests; those of connections stay as they are.
   * Requests that are being read keep their limits.
   */
  void SetRequestLimits(const HttpServerLimits& limits);
  /** Stops accepting connections; open ones close after their next response. */
  void StopAccepting();
  /** Closes each connection after its next response; still accepts new ones. */
  void DisableKeepAlive() { m_stopping = true; }
  /**
   * Ends the server in order: stops accepting, closes connections that carry no
   * request, and the others after their next response. Calls `done` when no
   * connection is open or `limit` has passed.
   */
  void Drain(Duration limit, std::function<void()> done);
  /** Closes all connections immediately, even with a request in progress. */
  void CloseAll();
  std::uint16_t port() const { return m_acceptor->port(); }
  /** @return the number of requests in progress. */
  int ActiveRequests() const { return m_active; }

 private:
  struct Connection {
    explicit Connection(boost::asio::ip::tcp::socket socket)
        : m_stream(std::move(socket)) {}
    boost::beast::tcp_stream m_stream;
    ConnectionTable::Id m_id = 0;
    bool m_idle = false;       // No byte of a request was read yet.
    bool m_is_served = false;  // The handler has its request.
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  static boost::asio::awaitable<void> Serve(
      std::shared_ptr<HttpServer> self, boost::asio::ip::tcp::socket socket);
  static boost::asio::awaitable<void> WaitUntilClosed(
      std::shared_ptr<HttpServer> self, Instant deadline,
      std::function<void()> done);
  // Waits for the first bytes of a request. Returns false if the connection is
  // to be closed.
  boost::asio::awaitable<bool> AwaitRequest(Connection& connection,
                                            boost::beast::flat_buffer& buffer);
  // Reads one request. Returns an error response if it cannot be served, and
  // nothing with `request` unset if the connection ended.
  boost::asio::awaitable<std::optional<HttpResponse>> ReadRequest(
      Connection& connection, boost::beast::flat_buffer& buffer,
      const HttpServerLimits& limits, std::optional<HttpRequest>& request);
  // Passes the request to the handler, with the memory that it may reserve.
  // `held` is what the connection holds already.
  boost::asio::awaitable<HttpResponse> Handle(Connection& connection,
                                              const HttpRequest& request,
                                              std::size_t held);
  // Waits until the client has read the last response and closes: bytes that
  // are not read when the connection closes would reset it, and the response
  // would be lost.
  static boost::asio::awaitable<void> Linger(Connection& connection);
  // Returns false if there is no place for the connection.
  bool AddConnection(const ConnectionPtr& connection);
  // The same, after a look for served connections that may give way.
  boost::asio::awaitable<bool> AdmitConnection(ConnectionPtr connection);
  // Looks which served connections have sent more than their request. Returns
  // false if the last look was a short time ago.
  bool FindClientsAhead();
  void SetState(const Connection& connection, ConnectionState state);
  // Returns false if the connection must end because too much is held.
  bool SetBytes(const Connection& connection, std::size_t bytes);
  // Ends connections that are no longer in m_table. Called under m_mutex.
  void Close(const std::vector<ConnectionTable::Id>& ids);
  HttpServerLimits RequestLimits();
  bool HasConnections();

  boost::asio::any_io_executor m_executor;
  ReservingHandler m_handler;
  std::shared_ptr<Acceptor> m_acceptor;
  std::atomic<bool> m_stopping{false};
  std::atomic<bool> m_draining{false};
  std::atomic<int> m_active{0};
  std::mutex m_mutex;  // Guards the members below; a leaf lock.
  HttpServerLimits m_limits;
  Instant m_next_look;  // When FindClientsAhead may look again.
  ConnectionTable m_table;
  // Connections whose coroutine has not ended; may be gone from m_table.
  std::map<ConnectionTable::Id, ConnectionPtr> m_connections;
};

/** @return a response with a body of the given content type. */
HttpResponse MakeResponse(boost::beast::http::status status,
                          const char* content_type, std::string body);

/** @return a JSON response with the error code, its message and `context`. */
HttpResponse MakeErrorResponse(boost::beast::http::status status,
                               ErrorCode code, const std::string& context);

/**
 * @return the refusal of a request that does not fit into memory, which has not
 * run, with the time after which the client may return
 */
HttpResponse MakeOverloadedResponse();

}  // namespace bronzebarrow::net

#endif  // BRONZEBARROW_NET_HTTP_SERVER_H_
