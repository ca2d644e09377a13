// Request loop of the HTTP server and its error responses.
#include "bronzebarrow/net/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "bronzebarrow/base/time.h"

namespace bronzebarrow::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

// Limit for reading one request, including the idle time before it.
constexpr Duration kIdleTimeout = Millis(120'000);
constexpr Duration kWriteTimeout = Millis(30'000);

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
  for (const auto& stream : m_streams) {
    asio::post(stream->get_executor(), [stream] {
      boost::system::error_code ignored;
      stream->socket().close(ignored);
    });
  }
}

asio::awaitable<void> HttpServer::Serve(std::shared_ptr<HttpServer> self,
                                        asio::ip::tcp::socket socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const auto shared_stream =
      std::make_shared<beast::tcp_stream>(std::move(socket));
  beast::tcp_stream& stream = *shared_stream;
  auto position = self->m_streams.end();
  {
    const std::lock_guard lock(self->m_mutex);
    position = self->m_streams.insert(self->m_streams.end(), shared_stream);
  }
  beast::flat_buffer buffer(kMaxHeaderBytes + kMaxBodyBytes);
  while (true) {
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
  self->m_streams.erase(position);
}

}  // namespace bronzebarrow::net
