// Request loop of the HTTP server and its error responses.
#include "bronzebarrow/net/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace bronzebarrow::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

// Limit for reading one request, including the idle time before it.
constexpr Duration kIdleTimeout = Millis(120'000);
constexpr Duration kWriteTimeout = Millis(30'000);
constexpr Duration kDrainPollInterval = Millis(10);
constexpr std::size_t kMaxReadBytes = 64 * 1024;

bool IsTooLarge(const beast::error_code& error) {
  return error == http::error::body_limit ||
         error == http::error::header_limit ||
         error == http::error::buffer_overflow;
}

bool IsProtocolError(const beast::error_code& error) {
  return error.category() ==
             http::make_error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

// Response to a request that could not be read; closes the connection.
HttpResponse MakeReadErrorResponse(const beast::error_code& error) {
  HttpResponse response =
      IsTooLarge(error)
          ? MakeErrorResponse(http::status::payload_too_large,
                              ErrorCode::kRequestTooLarge, error.message())
          : MakeErrorResponse(http::status::bad_request,
                              ErrorCode::kRequestMalformed, error.message());
  response.keep_alive(false);
  response.prepare_payload();
  return response;
}

}  // namespace

HttpResponse MakeResponse(http::status status, const char* content_type,
                          std::string body) {
  HttpResponse response(status, 11);
  response.set(http::field::content_type, content_type);
  response.body() = std::move(body);
  return response;
}

HttpResponse MakeErrorResponse(http::status status, ErrorCode code,
                               const std::string& context) {
  boost::json::object error;
  error["code"] = std::string(NameOf(code));
  error["message"] = std::string(MessageOf(code));
  error["context"] = context;
  boost::json::object body;
  body["error"] = std::move(error);
  return MakeResponse(status, "application/json",
                      boost::json::serialize(body) + "\n");
}

Result<std::shared_ptr<HttpServer>> HttpServer::Listen(
    asio::any_io_executor executor, const Address& address, Handler handler) {
  auto server = std::make_shared<HttpServer>();
  server->m_executor = executor;
  server->m_handler = std::move(handler);
  const std::weak_ptr<HttpServer> weak = server;
  BOOST_LEAF_AUTO(
      acceptor,
      Acceptor::Listen(executor, address, [weak](asio::ip::tcp::socket socket) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        auto strand = socket.get_executor();
        asio::co_spawn(strand, Serve(self, std::move(socket)), asio::detached);
      }));
  server->m_acceptor = acceptor;
  return server;
}

void HttpServer::StopAccepting() {
  m_stopping = true;
  m_acceptor->Close();
}

void HttpServer::CloseAll() {
  const std::lock_guard lock(m_mutex);
  for (const auto& connection : m_connections) {
    asio::post(connection->m_stream.get_executor(), [connection] {
      boost::system::error_code ignored;
      connection->m_stream.socket().close(ignored);
    });
  }
}

void HttpServer::Drain(Duration limit, std::function<void()> done) {
  m_draining = true;
  StopAccepting();
  {
    const std::lock_guard lock(m_mutex);
    for (const auto& connection : m_connections) {
      asio::post(connection->m_stream.get_executor(), [connection] {
        boost::system::error_code ignored;
        if (connection->m_idle &&
            connection->m_stream.socket().available(ignored) == 0) {
          connection->m_stream.cancel();
        }
      });
    }
  }
  asio::co_spawn(
      m_executor,
      WaitUntilClosed(shared_from_this(), Now() + limit, std::move(done)),
      asio::detached);
}

bool HttpServer::HasConnections() {
  const std::lock_guard lock(m_mutex);
  return !m_connections.empty();
}

asio::awaitable<void> HttpServer::WaitUntilClosed(
    std::shared_ptr<HttpServer> self, Instant deadline,
    std::function<void()> done) {
  asio::steady_timer timer(self->m_executor);
  // The first wait lets connections that were just accepted be listed.
  do {
    boost::system::error_code ignored;
    timer.expires_after(kDrainPollInterval);
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  } while (Now() < deadline && self->HasConnections());
  done();
}

asio::awaitable<bool> HttpServer::AwaitRequest(Connection& connection,
                                               beast::flat_buffer& buffer) {
  if (buffer.size() > 0) {
    co_return true;
  }
  boost::system::error_code error;
  if (m_draining && connection.m_stream.socket().available(error) == 0) {
    co_return false;
  }
  connection.m_stream.expires_after(kIdleTimeout);
  connection.m_idle = true;
  const std::size_t bytes = co_await connection.m_stream.async_read_some(
      buffer.prepare(beast::read_size(buffer, kMaxReadBytes)),
      asio::redirect_error(asio::use_awaitable, error));
  connection.m_idle = false;
  buffer.commit(bytes);
  co_return !error;
}

asio::awaitable<void> HttpServer::Serve(std::shared_ptr<HttpServer> self,
                                        asio::ip::tcp::socket socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const auto connection = std::make_shared<Connection>(std::move(socket));
  beast::tcp_stream& stream = connection->m_stream;
  auto position = self->m_connections.end();
  {
    const std::lock_guard lock(self->m_mutex);
    position =
        self->m_connections.insert(self->m_connections.end(), connection);
  }
  beast::flat_buffer buffer(kMaxHeaderBytes + kMaxBodyBytes);
  while (co_await self->AwaitRequest(*connection, buffer)) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(kMaxHeaderBytes);
    parser.body_limit(kMaxBodyBytes);
    beast::error_code error;
    stream.expires_after(kIdleTimeout);
    co_await http::async_read(stream, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      if (IsProtocolError(error)) {
        const HttpResponse response = MakeReadErrorResponse(error);
        co_await http::async_write(
            stream, response, asio::redirect_error(asio::use_awaitable, error));
      }
      break;
    }
    stream.expires_never();
    const HttpRequest request = parser.release();
    ++self->m_active;
    HttpResponse response;
    try {
      response = co_await self->m_handler(request);
    } catch (const std::exception& exception) {
      response = MakeErrorResponse(http::status::internal_server_error,
                                   ErrorCode::kInternal, exception.what());
    }
    response.version(request.version());
    response.keep_alive(request.keep_alive() && !self->m_stopping);
    response.prepare_payload();
    stream.expires_after(kWriteTimeout);
    co_await http::async_write(
        stream, response, asio::redirect_error(asio::use_awaitable, error));
    --self->m_active;
    if (error || !response.keep_alive()) {
      break;
    }
  }
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  const std::lock_guard lock(self->m_mutex);
  self->m_connections.erase(position);
}

}  // namespace bronzebarrow::net
