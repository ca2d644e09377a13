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
#include <deque>
#include <memory>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "bronzebarrow/base/time.h"

namespace bronzebarrow::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr Duration kHandlingTime = Millis(150);
constexpr Duration kDrainLimit = Millis(3000);
constexpr Duration kTestLimit = Millis(6000);
constexpr std::size_t kMaxConnections = 8;
constexpr std::size_t kMaxBufferedBytes = 1 << 20;

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
  CPPUNIT_TEST(RequestsOverALimitGetItsStatus);
  CPPUNIT_TEST(RefusalArrivesThoughTheClientSendsOn);
  CPPUNIT_TEST(ReservedMemoryIsBounded);
  CPPUNIT_TEST(ClientsThatSendAheadGiveWayToNewOnes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_io = std::make_unique<asio::io_context>(1);
    auto listening = Capture<std::shared_ptr<HttpServer>>([&] {
      HttpServerLimits limits;
      limits.m_max_connections = kMaxConnections;
      limits.m_max_buffered_bytes = kMaxBufferedBytes;
      return HttpServer::ListenReserving(
          m_io->get_executor(), {"127.0.0.1", 0},
          [](const HttpRequest& request,
             RequestMemory& memory) -> asio::awaitable<HttpResponse> {
            const std::string target(request.target());
            if (!memory.Reserve(target == "/large" ? kMaxBufferedBytes / 2
                                                   : 0)) {
              co_return MakeOverloadedResponse();
            }
            if (target != "/first" && target != "/half") {
              asio::steady_timer timer(
                  co_await asio::this_coro::executor,
                  target == "/long" ? kTestLimit : kHandlingTime);
              co_await timer.async_wait(asio::use_awaitable);
            }
            co_return MakeResponse(http::status::ok, "text/plain", target);
          },
          limits);
    });
    m_server = std::get<std::shared_ptr<HttpServer>>(listening);
  }

  void tearDown() override {
    Abandon();
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

  // Guards against status 413 for an oversized head, and against an unlimited
  // number of fields in a head of allowed size.
  void RequestsOverALimitGetItsStatus() {
    const std::string head = "POST /first HTTP/1.1\r\n";
    std::string fields;
    for (int i = 0; i < 101; ++i) {
      fields += "a:\r\n";
    }
    const std::pair<std::string, const char*> requests[] = {
        {"GET /" + std::string(kMaxHeaderBytes, 'a'), "414"},
        {head + "X: " + std::string(kMaxHeaderBytes, 'a'), "431"},
        {head + fields + "\r\n", "431"},
        {head + "Content-Length: 99999999\r\n\r\n", "413"},
        {head + "Transfer-Encoding: chunked\r\n\r\n5;x=" +
             std::string(2 * kMaxHeaderBytes + (64 << 10), 'a'),
         "413"},
        {head + fields.substr(0, 400) + "\r\n", "200"}};
    for (const auto& [request, status] : requests) {
      Received& received = m_received.emplace_back();
      Send(request, "", received);
      RunUntil([&] {
        return received.m_ended ||
               received.m_text.find("\r\n") != std::string::npos;
      });
      CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 ") + status,
                           received.m_text.substr(0, 12));
      Abandon();
    }
  }

  // Guards against a reset that overtakes the response: the client has sent
  // more than the server read when it refused.
  void RefusalArrivesThoughTheClientSendsOn() {
    Received& received = m_received.emplace_back();
    Send("POST /first HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n" +
             std::string(1 << 20, 'b'),
         std::string(1 << 20, 'b'), received);
    RunUntil([&] { return received.m_ended; });
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 413"),
                         received.m_text.substr(0, 12));
    CPPUNIT_ASSERT(received.m_error == asio::error::eof);
  }

  // Guards against requests that hold more than their bytes while they wait.
  void ReservedMemoryIsBounded() {
    auto& received = m_received;
    received.resize(3);
    for (Received& each : received) {
      Send("GET /large HTTP/1.1\r\nConnection: close\r\n\r\n", "", each);
    }
    RunUntil([&] {
      return received[0].m_ended && received[1].m_ended && received[2].m_ended;
    });
    int refused = 0;
    for (const Received& each : received) {
      const bool is_refused = each.m_text.starts_with("HTTP/1.1 503");
      refused += is_refused ? 1 : 0;
      CPPUNIT_ASSERT(is_refused || each.m_text.starts_with("HTTP/1.1 200"));
      CPPUNIT_ASSERT(!is_refused || each.m_text.find("Retry-After: 1\r\n") !=
                                        std::string::npos);
    }
    CPPUNIT_ASSERT(refused >= 1 && refused <= 2);
  }

  // Guards against clients that keep every connection by sending bytes that are
  // not read behind a request that is served.
  void ClientsThatSendAheadGiveWayToNewOnes() {
    for (std::size_t i = 0; i < kMaxConnections; ++i) {
      Send("GET /long HTTP/1.1\r\n\r\n", "", m_received.emplace_back());
    }
    RunFor(Millis(50));  // The requests are read before the rest arrives.
    for (const auto& socket : m_sockets) {
      socket->send(asio::buffer("xxxx", 4));
    }
    RunFor(Millis(10));
    Received& ordinary = m_received.emplace_back();
    Send("GET /first HTTP/1.1\r\n\r\n", "", ordinary);
    RunUntil([&] { return ordinary.m_ended || !ordinary.m_text.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"),
                         ordinary.m_text.substr(0, 12));
  }

 private:
  template <typename Condition>
  void RunUntil(
      Condition is_met) requires std::is_invocable_r_v<bool, Condition> {
    const Instant limit = Now() + kTestLimit;
    while (!is_met()) {
      m_io->run_one_until(limit);
      CPPUNIT_ASSERT(Now() < limit);
    }
  }

  // Ends the clients.
  void Abandon() {
    for (const auto& socket : m_sockets) {
      boost::system::error_code ignored;
      socket->close(ignored);
    }
    m_sockets.clear();
    RunFor(Millis(5));
  }

  // Connects, sends `first`, sends `second` after a pause, and reads until the
  // connection ends.
  void Send(const std::string& first, const std::string& second,
            Received& received) {
    auto socket = std::make_shared<asio::ip::tcp::socket>(*m_io);
    socket->connect({asio::ip::address_v4::loopback(), m_server->port()});
    m_sockets.push_back(socket);
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
    char piece[4096];
    while (!received.m_error) {
      const std::size_t count = co_await socket->async_read_some(
          asio::buffer(piece),
          asio::redirect_error(asio::use_awaitable, received.m_error));
      received.m_text.append(piece, count);
    }
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
  // Outlive their clients, also those of a test that failed.
  std::deque<Received> m_received;
  std::vector<std::shared_ptr<asio::ip::tcp::socket>> m_sockets;  // Of clients.
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

}  // namespace
}  // namespace bronzebarrow::net
