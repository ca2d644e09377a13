// Tests what connections of frames may hold, with peers on loopback.
#include "bronzebarrow/net/frame_listener.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <memory>
#include <string>
#include <vector>

#include "bronzebarrow/wire/codec.h"

namespace bronzebarrow::net {
namespace {

namespace asio = boost::asio;

// Each test listens on the next one: connections of the last one may be open.
std::uint16_t port = 21940;
constexpr std::size_t kMebibyte = 1 << 20;
constexpr Duration kTestLimit = Millis(10'000);

/** A peer that sends bytes and reads none. */
struct Peer {
  explicit Peer(asio::io_context& io) : m_socket(io) {
    m_socket.connect({asio::ip::make_address("127.0.0.1"), port});
  }
  void Send(std::vector<std::uint8_t> bytes) {
    auto kept = std::make_shared<std::vector<std::uint8_t>>(std::move(bytes));
    asio::async_write(m_socket, asio::buffer(*kept),
                      [this, kept](const auto& error, std::size_t) {
                        m_is_closed = m_is_closed || error;
                      });
  }
  // Notices that the other side has closed.
  void Watch() {
    m_socket.async_wait(asio::socket_base::wait_error,
                        [this](const auto&) { m_is_closed = true; });
  }

  asio::ip::tcp::socket m_socket;
  bool m_is_closed = false;
};

std::vector<std::uint8_t> Prefix(std::uint32_t length) {
  std::vector<std::uint8_t> bytes(sizeof(length));
  boost::endian::store_little_u32(bytes.data(), length);
  return bytes;
}

// A valid frame, with a sender of so many bytes.
std::vector<std::uint8_t> ViewRequest(std::size_t sender_bytes) {
  wire::FrameT frame;
  frame.sender = std::string(sender_bytes, 's');
  frame.body.Set(wire::ViewRequestT());
  auto bytes = wire::Encode<wire::Frame>(frame, sizeof(std::uint32_t));
  boost::endian::store_little_u32(
      bytes.data(),
      static_cast<std::uint32_t>(bytes.size() - sizeof(std::uint32_t)));
  return bytes;
}

// Part of a frame of twice as many bytes.
std::vector<std::uint8_t> HalfFrame(std::size_t bytes) {
  auto half = Prefix(static_cast<std::uint32_t>(2 * bytes));
  half.resize(bytes);
  return half;
}

class FrameListenerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FrameListenerTest);
  CPPUNIT_TEST(LargeFirstFrameIsRefused);
  CPPUNIT_TEST(LargeFrameOfAKnownPeerIsReceived);
  CPPUNIT_TEST(PartialFramesAreBoundedTogether);
  CPPUNIT_TEST(UnreadRepliesAreBoundedTogether);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_io = std::make_unique<asio::io_context>(1);
    ++port;
    m_received = 0;
    m_open.clear();
    FrameListenerLimits limits;
    limits.m_max_connections = 100;
    limits.m_max_bytes = 8 * kMebibyte;
    auto listening = Capture<std::shared_ptr<FrameListener>>([&] {
      return FrameListener::Listen(
          m_io->get_executor(), {"127.0.0.1", port}, limits,
          [this](const FrameConnectionPtr& from, const ReceivedFrame&) {
            ++m_received;
            m_open.push_back(from);
          },
          [this](const FrameConnectionPtr& from) {
            std::erase(m_open, from);
            ++m_closed;
          });
    });
    m_listener = std::get<std::shared_ptr<FrameListener>>(listening);
    m_closed = 0;
  }

  void tearDown() override {
    m_peers.clear();
    m_open.clear();
    m_listener.reset();
    m_io.reset();
  }

  // Guards against anybody who makes a member take a megabyte by announcing it.
  void LargeFirstFrameIsRefused() {
    Peer& peer = Connect();
    peer.Send(HalfFrame(kMaxFirstFrameBytes));
    RunUntil([&] { return m_closed == 1; });
    CPPUNIT_ASSERT_EQUAL(0, m_received);
  }

  // Guards against a limit that keeps snapshots out.
  void LargeFrameOfAKnownPeerIsReceived() {
    Peer& peer = Connect();
    peer.Send(ViewRequest(10));
    RunUntil([&] { return m_received == 1; });
    peer.Send(ViewRequest(5 * kMebibyte));
    RunUntil([&] { return m_received == 2; });
    CPPUNIT_ASSERT_EQUAL(0, m_closed);
  }

  // Guards against peers that send a valid first frame and then incomplete
  // large ones: 40 MiB in 8 MiB here. A peer that sends nothing large stays.
  void PartialFramesAreBoundedTogether() {
    Peer& small = Connect();
    small.Send(ViewRequest(10));
    RunUntil([&] { return m_received == 1; });
    for (int i = 0; i < 40; ++i) {
      Peer& peer = Connect();
      peer.Send(ViewRequest(10));
      RunUntil([&] { return m_received == i + 2; });
      peer.Send(HalfFrame(kMebibyte));
    }
    RunUntil([&] { return m_closed >= 30; });
    small.Send(ViewRequest(10));
    RunUntil([&] { return m_received == 42; });
    CPPUNIT_ASSERT(m_closed <= 40);
  }

  // Guards against peers that ask and do not read the replies.
  void UnreadRepliesAreBoundedTogether() {
    for (int i = 0; i < 40; ++i) {
      Connect().Send(ViewRequest(10));
      RunUntil([&] { return m_received == i + 1; });
    }
    wire::FrameT reply;
    reply.sender = std::string(8 * kMebibyte / 10, 'r');
    reply.body.Set(wire::ViewRequestT());
    const std::vector<FrameConnectionPtr> open = m_open;
    for (int round = 0; round < 8; ++round) {
      for (const FrameConnectionPtr& connection : open) {
        connection->Send(reply);
        m_io->poll();
        std::size_t unsent = 0;
        for (const FrameConnectionPtr& other : m_open) {
          unsent += other->unsent_bytes();
        }
        CPPUNIT_ASSERT(unsent <= 8 * kMebibyte);
      }
    }
    CPPUNIT_ASSERT(m_closed > 0);
  }

 private:
  Peer& Connect() {
    return *m_peers.emplace_back(std::make_unique<Peer>(*m_io));
  }

  template <typename Condition>
  void RunUntil(Condition is_met) {
    const Instant end = Now() + kTestLimit;
    while (!is_met() && Now() < end) {
      m_io->restart();
      m_io->run_for(Millis(5));
    }
    CPPUNIT_ASSERT(is_met());
  }

  std::unique_ptr<asio::io_context> m_io;
  std::shared_ptr<FrameListener> m_listener;
  std::vector<std::unique_ptr<Peer>> m_peers;
  std::vector<FrameConnectionPtr> m_open;
  int m_received = 0;
  int m_closed = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrameListenerTest);

}  // namespace
}  // namespace bronzebarrow::net
