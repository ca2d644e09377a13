// Encoding, reading, verifying and writing frames.
#include "bronzebarrow/net/frame_connection.h"

#include <netinet/tcp.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include "bronzebarrow/base/event_log.h"
#include "bronzebarrow/net/traffic.h"
#include "bronzebarrow/wire/codec.h"

namespace bronzebarrow::net {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kLengthPrefixBytes = 4;  // Frame length, little-endian.

std::shared_ptr<const std::vector<std::uint8_t>> EncodeFrame(
    const wire::FrameT& frame) {
  auto bytes = std::make_shared<std::vector<std::uint8_t>>(
      wire::Encode<wire::Frame>(frame, kLengthPrefixBytes));
  boost::endian::store_little_u32(
      bytes->data(),
      static_cast<std::uint32_t>(bytes->size() - kLengthPrefixBytes));
  return bytes;
}

}  // namespace

FrameConnection::FrameConnection(Socket socket)
    : m_socket(std::move(socket)),
      m_strand(asio::make_strand(m_socket.get_executor())) {
  using TcpUserTimeoutOption =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  boost::system::error_code ignored;
  m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const auto timeout_ms =
      std::chrono::duration_cast<Millis>(kTcpUserTimeout).count();
  m_socket.set_option(TcpUserTimeoutOption(static_cast<int>(timeout_ms)),
                      ignored);
}

void FrameConnection::Start(OnFrame on_frame, OnClose on_close) {
  m_on_frame = std::move(on_frame);
  m_on_close = std::move(on_close);
  asio::co_spawn(
      m_strand, [self = shared_from_this()] { return self->ReadLoop(); },
      asio::detached);
}

void FrameConnection::Send(const wire::FrameT& frame) {
  auto bytes = EncodeFrame(frame);
  asio::post(m_strand, [self = shared_from_this(), bytes = std::move(bytes)] {
    if (self->m_closed) {
      return;
    }
    self->m_unsent_bytes += bytes->size();
    if (self->m_unsent_bytes > kMaxUnsentBytes) {
      self->CloseOnStrand();
      return;
    }
    self->m_send_queue.push_back(bytes);
    if (!self->m_write_loop_running) {
      self->m_write_loop_running = true;
      asio::co_spawn(
          self->m_strand, [self] { return self->WriteLoop(); }, asio::detached);
    }
  });
}

void FrameConnection::Close() {
  asio::post(m_strand, [self = shared_from_this()] { self->CloseOnStrand(); });
}

void FrameConnection::CloseOnStrand() {
  if (m_closed) {
    return;
  }
  m_closed = true;
  boost::system::error_code ignored;
  m_socket.close(ignored);
  m_send_queue.clear();
  if (m_on_close) {
    m_on_close(shared_from_this());
  }
}

asio::awaitable<std::unique_ptr<wire::FrameT>> FrameConnection::ReadFrame() {
  boost::system::error_code error;
  std::array<std::uint8_t, kLengthPrefixBytes> prefix{};
  co_await asio::async_read(m_socket, asio::buffer(prefix),
                            asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return nullptr;
  }
  const std::uint32_t length = boost::endian::load_little_u32(prefix.data());
  if (length > kMaxFrameBytes) {
    EventLine(Event::kFrameRefused, Severity::kWarning)
        .Field("code", ErrorCode::kFrameTooLarge)
        .Field("bytes", length);
    co_return nullptr;
  }
  std::vector<std::uint8_t> bytes(length);
  co_await asio::async_read(m_socket, asio::buffer(bytes),
                            asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return nullptr;
  }
  Traffic::Global().m_bytes_received += kLengthPrefixBytes + length;
  auto frame = wire::Decode<wire::Frame>(bytes);
  if (!frame || frame->body.type == wire::Body::NONE ||
      frame->body.value == nullptr) {
    EventLine(Event::kFrameRefused, Severity::kWarning)
        .Field("code", ErrorCode::kFrameInvalid)
        .Field("bytes", length);
    co_return nullptr;
  }
  co_return frame;
}

asio::awaitable<void> FrameConnection::ReadLoop() {
  const auto self = shared_from_this();
  while (!m_closed) {
    auto frame = co_await ReadFrame();
    if (!frame) {
      break;
    }
    m_on_frame(self, std::move(frame));
  }
  CloseOnStrand();
}

asio::awaitable<void> FrameConnection::WriteLoop() {
  const auto self = shared_from_this();
  while (!m_send_queue.empty()) {
    const auto bytes = m_send_queue.front();
    boost::system::error_code error;
    co_await asio::async_write(
        m_socket, asio::buffer(*bytes),
        asio::redirect_error(asio::use_awaitable, error));
    if (error || m_closed) {
      CloseOnStrand();
      break;
    }
    Traffic::Global().m_bytes_sent += bytes->size();
    ++Traffic::Global().m_frames_sent;
    m_send_queue.pop_front();
    m_unsent_bytes -= bytes->size();
  }
  m_write_loop_running = false;
}

}  // namespace bronzebarrow::net
