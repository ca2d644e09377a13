// Encoding, reading, verifying and writing frames.
#include "bronzebarrow/net/frame_connection.h"

#include <netinet/tcp.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include "bronzebarrow/base/event_log.h"
#include "bronzebarrow/net/traffic.h"
#include "net/frame_buffer.h"

namespace bronzebarrow::net {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kMaxFramesPerWrite = 64;

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
  StartReceiving(
      [on_frame = std::move(on_frame)](
          const std::shared_ptr<FrameConnection>& from,
          const ReceivedFrame& frame) { on_frame(from, frame.Unpack()); },
      std::move(on_close));
}

void FrameConnection::StartReceiving(OnReceived on_received, OnClose on_close) {
  m_on_received = std::move(on_received);
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
    if (!self->ReportHeld()) {
      return;
    }
    if (!self->m_write_loop_running) {
      self->m_write_loop_running = true;
      // Posted, so that frames sent in the same event are in the queue by then.
      asio::post(self->m_strand, [self] {
        asio::co_spawn(
            self->m_strand, [self] { return self->WriteLoop(); },
            asio::detached);
      });
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

bool FrameConnection::ReportHeld() {
  if (m_on_held &&
      !m_on_held(shared_from_this(), {m_received_bytes, m_unsent_bytes,
                                      m_buffer_bytes + m_unsent_bytes})) {
    CloseOnStrand();
    return false;
  }
  return true;
}

bool FrameConnection::HandOver(FrameBuffer& buffer) {
  while (!m_closed) {
    const std::uint32_t length = buffer.NextLength().value_or(0);
    const bool is_first = m_on_held && !m_has_frame;
    if (length > (is_first ? kMaxFirstFrameBytes : kMaxFrameBytes)) {
      EventLine(Event::kFrameRefused, Severity::kWarning)
          .Field("code", ErrorCode::kFrameTooLarge)
          .Field("bytes", length);
      return false;
    }
    auto bytes = buffer.TakeFrame();
    if (!bytes) {
      return true;
    }
    Traffic::Global().m_bytes_received += kLengthPrefixBytes + length;
    auto frame = ReceivedFrame::Verify(std::move(*bytes));
    if (!frame) {
      EventLine(Event::kFrameRefused, Severity::kWarning)
          .Field("code", ErrorCode::kFrameInvalid)
          .Field("bytes", length);
      return false;
    }
    m_has_frame = true;
    m_on_received(shared_from_this(), std::move(*frame));
  }
  return false;
}

asio::awaitable<void> FrameConnection::ReadLoop() {
  const auto self = shared_from_this();
  FrameBuffer buffer(m_on_held ? FrameBuffer::kFirstReadBytes
                               : FrameBuffer::kReadBytes);
  bool is_open = true;
  while (is_open) {
    const std::span<std::uint8_t> room = buffer.Room();
    boost::system::error_code error;
    const std::size_t count = co_await m_socket.async_read_some(
        asio::buffer(room.data(), room.size()),
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      break;
    }
    buffer.OnRead(count);
    m_buffer_bytes = buffer.capacity();
    is_open = HandOver(buffer);
    m_received_bytes = buffer.unread();
    is_open = is_open && ReportHeld();
  }
  CloseOnStrand();
}

asio::awaitable<void> FrameConnection::WriteLoop() {
  const auto self = shared_from_this();
  while (!m_send_queue.empty()) {
    const std::size_t count = std::min(m_send_queue.size(), kMaxFramesPerWrite);
    // Holds the frames when the connection is closed while they are written.
    const std::vector<std::shared_ptr<const std::vector<std::uint8_t>>> frames(
        m_send_queue.begin(),
        m_send_queue.begin() + static_cast<std::ptrdiff_t>(count));
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(count);
    for (const auto& frame : frames) {
      buffers.push_back(asio::buffer(*frame));
    }
    boost::system::error_code error;
    const std::size_t written = co_await asio::async_write(
        m_socket, buffers, asio::redirect_error(asio::use_awaitable, error));
    if (error || m_closed) {
      CloseOnStrand();
      break;
    }
    Traffic::Global().m_bytes_sent += written;
    Traffic::Global().m_frames_sent += count;
    m_send_queue.erase(
        m_send_queue.begin(),
        m_send_queue.begin() + static_cast<std::ptrdiff_t>(count));
    m_unsent_bytes -= written;
    if (!ReportHeld()) {
      break;
    }
  }
  m_write_loop_running = false;
}

}  // namespace bronzebarrow::net
