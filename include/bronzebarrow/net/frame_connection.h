// Length-prefixed FlatBuffers frames over one TCP connection.
#ifndef BRONZEBARROW_NET_FRAME_CONNECTION_H_
#define BRONZEBARROW_NET_FRAME_CONNECTION_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "bronzebarrow/base/time.h"
#include "bronzebarrow/net/received_frame.h"
#include "wire_generated.h"

namespace bronzebarrow::net {

class FrameBuffer;

/** The largest frame accepted or sent, in bytes. */
constexpr std::uint32_t kMaxFrameBytes = 64U << 20;
/** A connection with more unsent bytes than this is closed as stuck. */
constexpr std::size_t kMaxUnsentBytes = 128U << 20;
/**
 * The first frame of an accepted connection, in bytes. Members and entries ask
 * for a view first, which takes about a hundred.
 */
constexpr std::uint32_t kMaxFirstFrameBytes = 64U << 10;
/**
 * TCP_USER_TIMEOUT: the longest time that sent bytes may stay unacknowledged
 * by the peer's kernel.
 */
constexpr Duration kTcpUserTimeout = Millis(2000);

/**
 * One connection. Send and Close may be called from any thread; the callbacks
 * run on the connection's own strand. Closes on the first error.
 */
class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  using OnFrame = std::function<void(const std::shared_ptr<FrameConnection>&,
                                     std::unique_ptr<wire::FrameT>)>;
  using OnReceived = std::function<void(const std::shared_ptr<FrameConnection>&,
                                        ReceivedFrame)>;
  using OnClose = std::function<void(const std::shared_ptr<FrameConnection>&)>;
  /** Bytes that a connection holds for its peer. */
  struct Held {
    std::size_t m_received = 0;  // Of frames that are not complete.
    std::size_t m_unsent = 0;
    std::size_t m_memory = 0;  // That both take.
  };
  /** Told of each change; returns whether the connection may stay open. */
  using OnHeld = std::function<bool(const std::shared_ptr<FrameConnection>&,
                                    const Held& held)>;

  explicit FrameConnection(Socket socket);

  /** Starts reading. `on_close` is called once, when the connection closes. */
  void Start(OnFrame on_frame, OnClose on_close);
  /** Like Start, and leaves it to the receiver to unpack frames. */
  void StartReceiving(OnReceived on_received, OnClose on_close);
  /**
   * For connections to peers that are not known yet, before StartReceiving:
   * limits the first frame to kMaxFirstFrameBytes and reports what is held.
   */
  void LimitPeer(OnHeld on_held) { m_on_held = std::move(on_held); }
  /** @return bytes that wait to be sent. For callers on the executor. */
  std::size_t unsent_bytes() const { return m_unsent_bytes; }
  /** Frames that are sent while others are being written leave together. */
  void Send(const wire::FrameT& frame);
  void Close();
  /** For callers on the connection's executor. */
  bool is_closed() const { return m_closed; }

 private:
  boost::asio::awaitable<void> ReadLoop();
  boost::asio::awaitable<void> WriteLoop();
  /**
   * Hands over the complete frames of the buffer.
   * @return false after an invalid frame
   */
  bool HandOver(FrameBuffer& buffer);
  void CloseOnStrand();
  // Reports what is held; returns false after it closed the connection.
  bool ReportHeld();

  Socket m_socket;
  boost::asio::strand<boost::asio::any_io_executor> m_strand;
  OnReceived m_on_received;
  OnClose m_on_close;
  OnHeld m_on_held;  // Empty if the peer is known.
  // As the read buffer, whose owner is the read loop.
  std::size_t m_received_bytes = 0;
  std::size_t m_buffer_bytes = 0;
  bool m_has_frame = false;  // Whether a frame was received.
  std::deque<std::shared_ptr<const std::vector<std::uint8_t>>> m_send_queue;
  std::size_t m_unsent_bytes = 0;  // Sum of the sizes in m_send_queue.
  bool m_write_loop_running = false;
  bool m_closed = false;
};

using FrameConnectionPtr = std::shared_ptr<FrameConnection>;

}  // namespace bronzebarrow::net

#endif  // BRONZEBARROW_NET_FRAME_CONNECTION_H_
