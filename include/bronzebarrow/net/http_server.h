// HTTP/1.1 server on Boost.Beast with a limited request size.
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
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "bronzebarrow/base/address.h"
#include "bronzebarrow/base/failure.h"
#include "bronzebarrow/base/time.h"
#include "bronzebarrow/net/acceptor.h"

namespace bronzebarrow::net {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/** Maximum sizes of a request's header and body, in bytes. */
constexpr std::size_t kMaxHeaderBytes = 16 * 1024;
constexpr std::size_t kMaxBodyBytes = 1 << 20;

class HttpServer : public std::enable_shared_from_this<HttpServer> {
 public:
  using Handler = std::function<boost::asio::awaitable<HttpResponse>(
      const HttpRequest& request)>;

  /**
   * Listens and passes each request to `handler`, which may be called from
   * several threads at the same time.
   */
  static Result<std::shared_ptr<HttpServer>> Listen(
      boost::asio::any_io_executor executor, const Address& address,
      Handler handler);

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
    bool m_idle = false;  // No byte of a request was read yet.
  };

  static boost::asio::awaitable<void> Serve(
      std::shared_ptr<HttpServer> self, boost::asio::ip::tcp::socket socket);
  static boost::asio::awaitable<void> WaitUntilClosed(
      std::shared_ptr<HttpServer> self, Instant deadline,
      std::function<void()> done);
  // Waits for the first bytes of a request. Returns false if the connection is
  // to be closed.
  boost::asio::awaitable<bool> AwaitRequest(Connection& connection,
                                            boost::beast::flat_buffer& buffer);
  bool HasConnections();

  boost::asio::any_io_executor m_executor;
  Handler m_handler;
  std::shared_ptr<Acceptor> m_acceptor;
  std::atomic<bool> m_stopping{false};
  std::atomic<bool> m_draining{false};
  std::atomic<int> m_active{0};
  std::mutex m_mutex;  // Guards m_connections; a leaf lock.
  std::list<std::shared_ptr<Connection>> m_connections;
};

/** @return a response with a body of the given content type. */
HttpResponse MakeResponse(boost::beast::http::status status,
                          const char* content_type, std::string body);

/** @return a JSON response with the error code, its message and `context`. */
HttpResponse MakeErrorResponse(boost::beast::http::status status,
                               ErrorCode code, const std::string& context);

}  // namespace bronzebarrow::net

#endif  // BRONZEBARROW_NET_HTTP_SERVER_H_
