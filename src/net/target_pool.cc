// Reuse and creation of connections, and the exchange of a request for its
// response.
#include "bronzebarrow/net/target_pool.h"

#include <sys/socket.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace bronzebarrow::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr Duration kConnectTimeout = Millis(1000);
constexpr std::size_t kMaxResponseBytes = 4 << 20;

// An idle connection is usable if its peer has neither closed it nor sent any
// bytes: bytes without a request in flight cannot be a response.
bool IsReusable(beast::tcp_stream& stream) {
  char byte = 0;
  const ssize_t received = ::recv(stream.socket().native_handle(), &byte, 1,
                                  MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

asio::awaitable<boost::system::error_code> Connect(
    TargetConnectionPtr connection, Address address, Instant deadline) {
  const Duration limit = std::min(deadline - Now(), kConnectTimeout);
  connection->m_stream.expires_after(limit);
  boost::system::error_code error;
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.m_host),
                                         address.m_port);
  co_await connection->m_stream.async_connect(
      endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return error;
  }
  connection->m_stream.socket().set_option(asio::ip::tcp::no_delay(true),
                                           error);
  connection->m_stream.expires_never();
  connection->m_connected_at = Now();
  co_return boost::system::error_code();
}

asio::awaitable<ExchangeResult> RunExchange(TargetConnectionPtr connection,
                                            HttpRequest request,
                                            Instant deadline) {
  ExchangeResult result;
  beast::tcp_stream& stream = connection->m_stream;
  stream.expires_after(deadline - Now());
  boost::system::error_code error;
  co_await http::async_write(stream, request,
                             asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    result.m_verdict = error == beast::error::timeout
                           ? ExchangeVerdict::kTimeout
                           : ExchangeVerdict::kBroken;
    co_return result;
  }
  http::response_parser<http::string_body> parser;
  parser.header_limit(kMaxHeaderBytes);
  parser.body_limit(kMaxResponseBytes);
  beast::flat_buffer buffer;
  co_await http::async_read(stream, buffer, parser,
                            asio::redirect_error(asio::use_awaitable, error));
  if (error == beast::error::timeout) {
    result.m_verdict = ExchangeVerdict::kTimeout;
  } else if (error == http::error::end_of_stream ||
             error == asio::error::connection_reset) {
    result.m_verdict = ExchangeVerdict::kBroken;
  } else if (error || parser.need_eof() || buffer.size() != 0) {
    result.m_verdict = ExchangeVerdict::kMalformed;
  } else {
    result.m_verdict = ExchangeVerdict::kAnswered;
    result.m_response = parser.release();
  }
  stream.expires_never();
  co_return result;
}

}  // namespace

TargetConnectionPtr TargetPool::TakeIdle(const Address& address) {
  const std::lock_guard lock(m_mutex);
  const auto positions = m_idle_by_address.find(address);
  if (positions == m_idle_by_address.end()) {
    return nullptr;
  }
  TargetConnectionPtr reusable;
  while (!positions->second.empty() && !reusable) {
    const auto position = positions->second.back();
    positions->second.pop_back();
    if (IsReusable(position->m_connection->m_stream)) {
      reusable = std::move(position->m_connection);
    }
    m_idle.erase(position);
  }
  if (positions->second.empty()) {
    m_idle_by_address.erase(positions);
  }
  return reusable;
}

asio::awaitable<TargetConnectionPtr> TargetPool::Acquire(Address address,
                                                         Instant deadline,
                                                         bool* refused) {
  if (TargetConnectionPtr idle = TakeIdle(address)) {
    co_return idle;
  }
  auto connection = std::make_shared<TargetConnection>(
      m_options.m_executor_is_serial
          ? m_executor
          : asio::any_io_executor(asio::make_strand(m_executor)));
  boost::system::error_code error;
  if (m_options.m_executor_is_serial) {
    error = co_await Connect(connection, address, deadline);
  } else {
    error = co_await asio::co_spawn(connection->m_executor,
                                    Connect(connection, address, deadline),
                                    asio::use_awaitable);
  }
  if (refused != nullptr) {
    *refused = error == asio::error::connection_refused;
  }
  co_return error ? nullptr : connection;
}

asio::awaitable<ExchangeResult> TargetPool::Exchange(
    TargetConnectionPtr connection, Address address, HttpRequest request,
    Instant deadline) {
  ExchangeResult result;
  if (m_options.m_executor_is_serial) {
    result = co_await RunExchange(connection, std::move(request), deadline);
  } else {
    result = co_await asio::co_spawn(
        connection->m_executor,
        RunExchange(connection, std::move(request), deadline),
        asio::use_awaitable);
  }
  if (result.m_verdict == ExchangeVerdict::kAnswered &&
      result.m_response.keep_alive()) {
    Release(address, std::move(connection));
  } else if (result.m_verdict == ExchangeVerdict::kTimeout) {
    CloseIdle(address);
  }
  co_return result;
}

void TargetPool::Release(const Address& address,
                         TargetConnectionPtr connection) {
  const std::lock_guard lock(m_mutex);
  m_idle.push_back({address, std::move(connection)});
  auto& positions = m_idle_by_address[address];
  positions.push_back(std::prev(m_idle.end()));
  if (positions.size() > m_options.m_max_idle_per_address) {
    CloseLongestIdle(address);
  }
  while (m_idle.size() > m_options.m_max_idle) {
    CloseLongestIdle(Address(m_idle.front().m_address));
  }
}

void TargetPool::CloseLongestIdle(const Address& address) {
  const auto positions = m_idle_by_address.find(address);
  m_idle.erase(positions->second.front());
  positions->second.pop_front();
  if (positions->second.empty()) {
    m_idle_by_address.erase(positions);
  }
}

void TargetPool::CloseIdle(const Address& address) {
  const std::lock_guard lock(m_mutex);
  const auto positions = m_idle_by_address.find(address);
  if (positions == m_idle_by_address.end()) {
    return;
  }
  for (const auto position : positions->second) {
    m_idle.erase(position);
  }
  m_idle_by_address.erase(positions);
}

std::size_t TargetPool::idle() const {
  const std::lock_guard lock(m_mutex);
  return m_idle.size();
}

}  // namespace bronzebarrow::net
