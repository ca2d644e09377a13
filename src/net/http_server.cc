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
#include <vector>

#include "bronzebarrow/base/event_log.h"
#include "net/request_parser.h"

namespace bronzebarrow::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr Duration kWriteTimeout = Millis(30'000);
constexpr Duration kDrainPollInterval = Millis(10);
// At the limit on connections, between looks at those that are served.
constexpr Duration kLookInterval = Millis(50);
constexpr std::size_t kMaxReadBytes = 64 * 1024;
// Beyond the largest head, so that a body is read in pieces of this size.
constexpr std::size_t kBodyPieceBytes = 64 * 1024;
// A request that is refused because too much is held may return after this.
constexpr const char* kRetryAfterSeconds = "1";

// Limits of the wait for a client to read the last response and to close.
constexpr Duration kLingerTimeout = Millis(1000);
constexpr std::size_t kMaxLingerBytes = 4 << 20;
constexpr std::size_t kLingerReadBytes = 16 * 1024;
// A response that does not fit into memory is sent nevertheless if it is as
// small as a refusal.
constexpr std::size_t kSmallResponseBytes = 1024;

// By the limit that a request exceeds; unknown if it exceeds none. Bytes that
// are not parsed begin with the request line, unless it was parsed.
http::status TooLargeStatus(const beast::error_code& error,
                            const RequestParser& parser,
                            std::string_view unparsed) {
  const bool is_too_large = error == http::error::header_limit ||
                            error == http::error::buffer_overflow;
  if (error == http::error::body_limit ||
      (is_too_large && parser.is_header_done())) {
    return http::status::payload_too_large;
  }
  if (!is_too_large) {
    return http::status::unknown;
  }
  const bool has_request_line = !parser.get().target().empty() ||
                                unparsed.find('\n') != std::string_view::npos;
  return has_request_line ? http::status::request_header_fields_too_large
                          : http::status::uri_too_long;
}

bool IsProtocolError(const beast::error_code& error) {
  return error.category() ==
             http::make_error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

// Response to a request that could not be read; closes the connection.
HttpResponse MakeReadErrorResponse(const beast::error_code& error,
                                   const RequestParser& parser,
                                   std::string_view unparsed) {
  const http::status too_large = TooLargeStatus(error, parser, unparsed);
  return too_large == http::status::unknown
             ? MakeErrorResponse(http::status::bad_request,
                                 ErrorCode::kRequestMalformed, error.message())
             : MakeErrorResponse(too_large, ErrorCode::kRequestTooLarge,
                                 error.message());
}

void LogClosed(std::size_t connections, const char* limit) {
  if (connections > 0) {
    EventLine(Event::kRequestRefused, Severity::kWarning)
        .Field("limit", limit)
        .Field("closed", connections);
  }
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

HttpResponse MakeOverloadedResponse() {
  HttpResponse response =
      MakeErrorResponse(http::status::service_unavailable,
                        ErrorCode::kQueueFull, "too many requests are held");
  response.set(http::field::retry_after, kRetryAfterSeconds);
  return response;
}

Result<std::shared_ptr<HttpServer>> HttpServer::Listen(
    asio::any_io_executor executor, const Address& address, Handler handler,
    HttpServerLimits limits) {
  return ListenReserving(
      executor, address,
      [handler = std::move(handler)](const HttpRequest& request,
                                     RequestMemory&) {
        return handler(request);
      },
      limits);
}

Result<std::shared_ptr<HttpServer>> HttpServer::ListenReserving(
    asio::any_io_executor executor, const Address& address,
    ReservingHandler handler, HttpServerLimits limits) {
  auto server = std::make_shared<HttpServer>(limits);
  server->m_executor = executor;
  server->m_handler = std::move(handler);
  const std::weak_ptr<HttpServer> weak = server;
  BOOST_LEAF_AUTO(acceptor, Acceptor::Listen(
                                executor, address,
                                [weak](asio::ip::tcp::socket socket) {
                                  const auto self = weak.lock();
                                  if (!self) {
                                    return;
                                  }
                                  auto strand = socket.get_executor();
                                  asio::co_spawn(strand,
                                                 Serve(self, std::move(socket)),
                                                 asio::detached);
                                },
                                limits.m_receive_buffer_bytes));
  server->m_acceptor = acceptor;
  return server;
}

HttpServer::HttpServer(const HttpServerLimits& limits)
    : m_limits(limits),
      m_table(limits.m_max_connections, limits.m_max_buffered_bytes) {}

void HttpServer::SetRequestLimits(const HttpServerLimits& limits) {
  const std::lock_guard lock(m_mutex);
  m_limits = limits;
}

HttpServerLimits HttpServer::RequestLimits() {
  const std::lock_guard lock(m_mutex);
  return m_limits;
}

void HttpServer::StopAccepting() {
  m_stopping = true;
  m_acceptor->Close();
}

void HttpServer::CloseAll() {
  const std::lock_guard lock(m_mutex);
  for (const auto& [id, connection] : m_connections) {
    asio::post(connection->m_stream.get_executor(), [connection = connection] {
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
    for (const auto& [id, connection] : m_connections) {
      asio::post(connection->m_stream.get_executor(),
                 [connection = connection] {
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

bool HttpServer::AddConnection(const ConnectionPtr& connection) {
  std::vector<ConnectionTable::Id> to_close;
  bool is_added = false;
  {
    const std::lock_guard lock(m_mutex);
    connection->m_id = m_table.Add(Now(), to_close);
    Close(to_close);
    is_added = m_table.Contains(connection->m_id);
    if (is_added) {
      m_connections[connection->m_id] = connection;
    }
  }
  LogClosed(to_close.size(), "connections");
  return is_added;
}

asio::awaitable<bool> HttpServer::AdmitConnection(ConnectionPtr connection) {
  if (AddConnection(connection)) {
    co_return true;
  }
  if (!FindClientsAhead()) {
    co_return false;
  }
  // The looks were posted before.
  co_await asio::post(m_executor, asio::use_awaitable);
  co_return AddConnection(connection);
}

// What a client sends while its request is served stays in the kernel, so that
// it is only known by asking.
bool HttpServer::FindClientsAhead() {
  const std::lock_guard lock(m_mutex);
  const Instant now = Now();
  if (now < m_next_look) {
    return false;
  }
  m_next_look = now + kLookInterval;
  for (const auto& [id, connection] : m_connections) {
    asio::post(connection->m_stream.get_executor(),
               [self = shared_from_this(), connection = connection] {
                 boost::system::error_code error;
                 if (connection->m_is_served &&
                     connection->m_stream.socket().available(error) > 0) {
                   self->SetState(*connection, ConnectionState::kServingAhead);
                 }
               });
  }
  return true;
}

void HttpServer::Close(const std::vector<ConnectionTable::Id>& ids) {
  for (const ConnectionTable::Id id : ids) {
    const auto found = m_connections.find(id);
    if (found != m_connections.end()) {
      asio::post(found->second->m_stream.get_executor(),
                 [connection = found->second] {
                   boost::system::error_code ignored;
                   connection->m_stream.socket().close(ignored);
                 });
    }
  }
}

void HttpServer::SetState(const Connection& connection, ConnectionState state) {
  const std::lock_guard lock(m_mutex);
  m_table.SetState(connection.m_id, state, Now());
}

bool HttpServer::SetBytes(const Connection& connection, std::size_t bytes) {
  std::vector<ConnectionTable::Id> to_close;
  bool may_go_on = false;
  {
    const std::lock_guard lock(m_mutex);
    to_close = m_table.SetBytes(connection.m_id, bytes, Now());
    may_go_on = m_table.Contains(connection.m_id);
    // The connection itself can still send a response.
    std::vector<ConnectionTable::Id> others = to_close;
    std::erase(others, connection.m_id);
    Close(others);
  }
  LogClosed(to_close.size(), "bytes");
  return may_go_on;
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
  connection.m_stream.expires_after(RequestLimits().m_idle_timeout);
  connection.m_idle = true;
  SetState(connection, ConnectionState::kIdle);
  const std::size_t bytes = co_await connection.m_stream.async_read_some(
      buffer.prepare(beast::read_size(buffer, kMaxReadBytes)),
      asio::redirect_error(asio::use_awaitable, error));
  connection.m_idle = false;
  buffer.commit(bytes);
  co_return !error;
}

// The body is read in pieces, so that what is held is known and chunk
// extensions, which the parser takes as a whole, are limited by the buffer.
asio::awaitable<std::optional<HttpResponse>> HttpServer::ReadRequest(
    Connection& connection, beast::flat_buffer& buffer,
    const HttpServerLimits& limits, std::optional<HttpRequest>& request) {
  beast::tcp_stream& stream = connection.m_stream;
  RequestParser parser;
  parser.header_limit(static_cast<std::uint32_t>(limits.m_max_header_bytes));
  parser.body_limit(limits.m_max_body_bytes);
  parser.eager(true);  // Takes head and body that arrived together at once.
  SetState(connection, ConnectionState::kReading);
  beast::error_code error;
  stream.expires_after(limits.m_header_timeout);
  bool has_head = false;
  while (!error && !parser.is_done()) {
    if (!has_head && parser.is_header_done()) {
      has_head = true;
      stream.expires_after(limits.m_idle_timeout);
    }
    co_await http::async_read_some(
        stream, buffer, parser,
        asio::redirect_error(asio::use_awaitable, error));
    if (!SetBytes(connection,
                  buffer.capacity() + parser.get().body().capacity())) {
      co_return MakeOverloadedResponse();
    }
  }
  if (!error) {
    request = parser.release();
    co_return std::nullopt;
  }
  if (IsProtocolError(error)) {
    const auto unparsed = buffer.cdata();
    co_return MakeReadErrorResponse(
        error, parser,
        {static_cast<const char*>(unparsed.data()), unparsed.size()});
  }
  co_return std::nullopt;
}

asio::awaitable<HttpResponse> HttpServer::Handle(Connection& connection,
                                                 const HttpRequest& request,
                                                 std::size_t held) {
  RequestMemory memory([this, &connection, held](std::size_t bytes) {
    return SetBytes(connection, held + bytes);
  });
  HttpResponse response;
  connection.m_is_served = true;
  try {
    response = co_await m_handler(request, memory);
  } catch (const std::exception& exception) {
    response = MakeErrorResponse(http::status::internal_server_error,
                                 ErrorCode::kInternal, exception.what());
  }
  connection.m_is_served = false;
  response.version(request.version());
  response.keep_alive(request.keep_alive() && !m_stopping);
  co_return response;
}

asio::awaitable<void> HttpServer::Linger(Connection& connection) {
  beast::tcp_stream& stream = connection.m_stream;
  stream.expires_after(kLingerTimeout);
  std::vector<char> discarded(kLingerReadBytes);
  std::size_t total = 0;
  boost::system::error_code error;
  while (!error && total < kMaxLingerBytes) {
    total += co_await stream.async_read_some(
        asio::buffer(discarded),
        asio::redirect_error(asio::use_awaitable, error));
  }
}

asio::awaitable<void> HttpServer::Serve(std::shared_ptr<HttpServer> self,
                                        asio::ip::tcp::socket socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const auto connection = std::make_shared<Connection>(std::move(socket));
  beast::tcp_stream& stream = connection->m_stream;
  if (!co_await self->AdmitConnection(connection)) {
    co_return;
  }
  beast::flat_buffer buffer(kMaxHeaderBytes + kBodyPieceBytes);
  bool is_response_sent = false;
  while (co_await self->AwaitRequest(*connection, buffer)) {
    const HttpServerLimits limits = self->RequestLimits();
    std::optional<HttpRequest> request;
    std::optional<HttpResponse> response =
        co_await self->ReadRequest(*connection, buffer, limits, request);
    if (!response && !request) {
      break;
    }
    stream.expires_never();
    ++self->m_active;
    if (response) {
      response->keep_alive(false);
    } else {
      self->SetState(*connection, buffer.size() > 0
                                      ? ConnectionState::kServingAhead
                                      : ConnectionState::kServing);
      response =
          co_await self->Handle(*connection, *request,
                                buffer.capacity() + request->body().capacity());
      request.reset();
    }
    response->prepare_payload();
    self->SetState(*connection, ConnectionState::kWriting);
    if (!self->SetBytes(*connection,
                        buffer.capacity() + response->body().size())) {
      if (response->body().size() > kSmallResponseBytes) {
        response = MakeOverloadedResponse();
        response->prepare_payload();
      }
      response->keep_alive(false);
    }
    stream.expires_after(kWriteTimeout);
    beast::error_code error;
    co_await http::async_write(
        stream, *response, asio::redirect_error(asio::use_awaitable, error));
    --self->m_active;
    is_response_sent = !error;
    self->SetBytes(*connection, buffer.capacity());
    if (error || !response->keep_alive()) {
      break;
    }
  }
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  const bool has_unread =
      buffer.size() > 0 || stream.socket().available(ignored) > 0;
  buffer = beast::flat_buffer();
  // A connection that is not in the table any more must not stay open.
  if (is_response_sent && has_unread &&
      self->SetBytes(*connection, kLingerReadBytes)) {
    co_await Linger(*connection);
  }
  const std::lock_guard lock(self->m_mutex);
  self->m_table.Remove(connection->m_id);
  self->m_connections.erase(connection->m_id);
}

}  // namespace bronzebarrow::net
