// Tests of how the HTTP server ends connections, with clients on loopback.
#include "bronzebarrow/net/http_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <string>

#include "bronzebarrow/base/time.h"

namespace bronzebarrow::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr Duration kHandlingTime = Millis(150);
constexpr Duration kDrainLimit = Millis(3000);
constexpr Duration kTestLimit = Millis(6000);

/** What a client received until its connection ended. */
struct Received {
  std::string m_text;
  boost::system::error_code m_error;  // End of stream if closed in order.
  bool m_ended = false;
};

class HttpServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpServerTest);
  CPPUNIT_TEST(DrainAnswersRequestsInProgress);
  CPPUNIT_TEST(DrainClosesIdleConnections);
  CPPUNIT_TEST(DrainEndsAtItsLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_io = std::make_unique<asio::io_context>(1);
    auto listening = Capture<std::shared_ptr<HttpServer>>([&] {
      return HttpServer::Listen(
          m_io->get_executor(), {"127.0.0.1", 0},
          [](const HttpRequest& request) -> asio::awaitable<HttpResponse> {
            const std::string target(request.target());
            if (target == "/slow") {
              asio::steady_timer timer(co_await asio::this_coro::executor,
                                       kHandlingTime);
              co_await timer.async_wait(asio::use_awaitable);
            }
            co_return MakeResponse(http::status::ok, "text/plain", target);
          });
    });
    m_server = std::get<std::shared_ptr<HttpServer>>(listening);
  }

  void tearDown() override {
    m_server->StopAccepting();
    m_server.reset();
    m_io.reset();
  }

  // Guards against requests that are cut because a process ends while it still
  // reads, handles or answers them.
  void DrainAnswersRequestsInProgress() {
    Received handled;
    Received half_read;
    Send("GET /slow HTTP/1.1\r\n\r\n", "", handled);
    Send("GET /half HTT", "P/1.1\r\n\r\n", half_read);
    RunFor(kHandlingTime / 3);
    bool drained = false;
    m_server->Drain(kDrainLimit, [&] { drained = true; });
    RunUntil(drained);
    RunUntil(handled.m_ended);
    RunUntil(half_read.m_ended);
    for (const Received& received : {handled, half_read}) {
      CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"),
                           received.m_text.substr(0, 12));
      CPPUNIT_ASSERT(received.m_text.find("Connection: close") !=
                     std::string::npos);
      CPPUNIT_ASSERT(received.m_error == asio::error::eof);
    }
  }

  // Guards against connections that stay open until the process ends and then
  // lose the request that arrives at that moment.
  void DrainClosesIdleConnections() {
    Received unused;
    Received used;
    Send("", "", unused);
    Send("GET /first HTTP/1.1\r\n\r\n", "", used);
    RunFor(kHandlingTime);
    CPPUNIT_ASSERT(!used.m_ended);
    bool drained = false;
    const Instant start = Now();
    m_server->Drain(kDrainLimit, [&] { drained = true; });
    RunUntil(drained);
    CPPUNIT_ASSERT(Now() < start + kDrainLimit);
    RunUntil(unused.m_ended);
    RunUntil(used.m_ended);
    CPPUNIT_ASSERT(unused.m_error == asio::error::eof);
    CPPUNIT_ASSERT(used.m_error == asio::error::eof);
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"),
                         used.m_text.substr(0, 12));
  }

  void DrainEndsAtItsLimit() {
    Received half_sent;
    Send("GET /half HTT", "", half_sent);
    RunFor(kHandlingTime / 3);
    bool drained = false;
    const Instant start = Now();
    m_server->Drain(kHandlingTime, [&] { drained = true; });
    RunUntil(drained);
    CPPUNIT_ASSERT(Now() >= start + kHandlingTime);
  }

 private:
  // Connects, sends `first`, sends `second` after a pause, and reads until the
  // connection ends.
  void Send(const std::string& first, const std::string& second,
            Received& received) {
    auto socket = std::make_shared<asio::ip::tcp::socket>(*m_io);
    socket->connect({asio::ip::address_v4::loopback(), m_server->port()});
    asio::co_spawn(*m_io, Exchange(socket, first, second, received),
                   asio::detached);
  }

  static asio::awaitable<void> Exchange(
      std::shared_ptr<asio::ip::tcp::socket> socket, std::string first,
      std::string second, Received& received) {
    boost::system::error_code ignored;
    co_await asio::async_write(
        *socket, asio::buffer(first),
        asio::redirect_error(asio::use_awaitable, ignored));
    asio::steady_timer timer(co_await asio::this_coro::executor, kHandlingTime);
    co_await timer.async_wait(asio::use_awaitable);
    co_await asio::async_write(
        *socket, asio::buffer(second),
        asio::redirect_error(asio::use_awaitable, ignored));
    co_await asio::async_read(
        *socket, asio::dynamic_buffer(received.m_text),
        asio::redirect_error(asio::use_awaitable, received.m_error));
    received.m_ended = true;
  }

  void RunUntil(const bool& condition) {
    const Instant limit = Now() + kTestLimit;
    while (!condition) {
      m_io->run_one_until(limit);
      CPPUNIT_ASSERT(Now() < limit);
    }
  }

  void RunFor(Duration duration) { m_io->run_for(duration); }

  std::unique_ptr<asio::io_context> m_io;
  std::shared_ptr<HttpServer> m_server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

}  // namespace
}  // namespace bronzebarrow::net
