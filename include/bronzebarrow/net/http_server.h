// HTTP/1.1 server on Boost.Beast with a limited request size.
#ifndef BRONZEBARROW_NET_HTTP_SERVER_H_
#define BRONZEBARROW_NET_HTTP_SERVER_H_

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>

#include "bronzebarrow/base/address.h"
#include "bronzebarrow/base/failure.h"
#include "bronzebarrow/net/acceptor.h"

namespace bronzebarrow::net {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/** Maximum sizes of a request's header and body, in bytes. */
constexpr std::size_t kMaxHeaderBytes = 16 * 1024;
constexpr std::size_t kMaxBodyBytes = 1 << 20;

class HttpServer {
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
  /** Closes all connections immediately, even with a request in progress. */
  void CloseAll();
  std::uint16_t port() const { return m_acceptor->port(); }
  /** @return the number of requests in progress. */
  int ActiveRequests() const { return m_active; }

 private:
  static boost::asio::awaitable<void> Serve(
      std::shared_ptr<HttpServer> self, boost::asio::ip::tcp::socket socket);

  Handler m_handler;
  std::shared_ptr<Acceptor> m_acceptor;
  std::atomic<bool> m_stopping{false};
  std::atomic<int> m_active{0};
  std::mutex m_mutex;  // Guards m_streams; a leaf lock.
  std::list<std::shared_ptr<boost::beast::tcp_stream>> m_streams;
};

/** @return a response with a body of the given content type. */
HttpResponse MakeResponse(boost::beast::http::status status,
                          const char* content_type, std::string body);

/** @return a JSON response with the error code, its message and `context`. */
HttpResponse MakeErrorResponse(boost::beast::http::status status,
                               ErrorCode code, const std::string& context);

}  // namespace bronzebarrow::net

#endif  // BRONZEBARROW_NET_HTTP_SERVER_H_
