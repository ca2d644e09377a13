// Tests of the limits on idle connections to targets and of closing them.
#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "bronzebarrow/net.h"

namespace bronzebarrow::net {
namespace {

namespace asio = boost::asio;

/** Targets on loopback that accept all connections and never close them. */
class FakeTargets {
 public:
  FakeTargets(asio::io_context& io, std::size_t count) {
    const asio::ip::tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
    for (std::size_t i = 0; i < count; ++i) {
      m_acceptors.push_back(std::make_unique<asio::ip::tcp::acceptor>(io, any));
      Accept(*m_acceptors.back());
    }
  }

  Address At(std::size_t index) const {
    return {"127.0.0.1", m_acceptors.at(index)->local_endpoint().port()};
  }

 private:
  void Accept(asio::ip::tcp::acceptor& acceptor) {
    acceptor.async_accept([this, &acceptor](const auto& error, auto socket) {
      if (!error) {
        m_sockets.push_back(std::move(socket));
        Accept(acceptor);
      }
    });
  }

  std::vector<std::unique_ptr<asio::ip::tcp::acceptor>> m_acceptors;
  std::vector<asio::ip::tcp::socket> m_sockets;
};

class TargetPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetPoolTest);
  CPPUNIT_TEST(TestIdleConnectionsAreBounded);
  CPPUNIT_TEST(TestRetireClosesOneAddress);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against idle connections that accumulate until file descriptors run
  // out: in a fleet of hundreds of runners whose machines change pools, each
  // incarnation has a new address, and the old one is never used again.
  void TestIdleConnectionsAreBounded() {
    constexpr std::size_t kTargets = 6;
    asio::io_context io(1);
    FakeTargets targets(io, kTargets);
    TargetPoolOptions options;
    options.m_max_idle_per_address = 3;
    options.m_max_idle = 10;
    TargetPool pool(io.get_executor(), options);
    for (std::size_t index = 0; index < kTargets; ++index) {
      AcquireAndRelease(io, pool, targets.At(index), 5);
      CPPUNIT_ASSERT(pool.idle() <= (index + 1) * 3);
      CPPUNIT_ASSERT(pool.idle() <= 10);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, pool.idle());
  }

  void TestRetireClosesOneAddress() {
    asio::io_context io(1);
    FakeTargets targets(io, 2);
    TargetPool pool(io.get_executor());
    AcquireAndRelease(io, pool, targets.At(0), 4);
    AcquireAndRelease(io, pool, targets.At(1), 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, pool.idle());
    pool.CloseIdle(targets.At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, pool.idle());
    pool.CloseIdle(targets.At(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, pool.idle());
  }

 private:
  // Acquires `count` connections concurrently, then releases all of them.
  static void AcquireAndRelease(asio::io_context& io, TargetPool& pool,
                                const Address& address, std::size_t count) {
    std::vector<TargetConnectionPtr> connections;
    for (std::size_t i = 0; i < count; ++i) {
      asio::co_spawn(
          io,
          [&]() -> asio::awaitable<void> {
            auto connection =
                co_await pool.Acquire(address, Now() + Millis(5000));
            CPPUNIT_ASSERT(connection != nullptr);
            connections.push_back(std::move(connection));
          },
          asio::detached);
    }
    while (connections.size() < count) {
      io.run_one();
    }
    for (TargetConnectionPtr& connection : connections) {
      pool.Release(address, std::move(connection));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetPoolTest);

}  // namespace
}  // namespace bronzebarrow::net
