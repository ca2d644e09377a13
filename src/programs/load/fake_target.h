// A fake target: serves requests after a random service time, announces itself
// to the entries, and restarts when a planned stop releases it.
#ifndef BRONZEBARROW_SRC_PROGRAMS_LOAD_FAKE_TARGET_H_
#define BRONZEBARROW_SRC_PROGRAMS_LOAD_FAKE_TARGET_H_

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <mutex>
#include <random>
#include <string>

#include "bronzebarrow/net.h"
#include "programs/load/load_settings.h"
#include "programs/load/run_record.h"

namespace bronzebarrow::programs {

struct FakeTargetSpec {
  std::string m_instance;
  std::string m_pool;
  std::string m_zone;
  std::string m_rack;
  Address m_address;
};

/** Serves and announces concurrently; the announcements run on one strand. */
class FakeTarget : public std::enable_shared_from_this<FakeTarget> {
 public:
  FakeTarget(boost::asio::any_io_executor executor,
             const LoadSettings& settings, FakeTargetSpec spec,
             ExecutionRecord& record, std::uint64_t seed);

  Result<void> Start();

 private:
  Result<void> Listen();
  boost::asio::awaitable<net::HttpResponse> Serve(
      const net::HttpRequest& request);
  boost::asio::awaitable<void> AnnounceLoop();
  boost::asio::awaitable<std::string> Announce();
  boost::asio::awaitable<void> Restart();
  Duration SampleServiceTime();

  boost::asio::any_io_executor m_executor;
  const LoadSettings& m_settings;
  FakeTargetSpec m_spec;
  ExecutionRecord& m_record;
  net::TargetPool m_entry_connections;
  std::shared_ptr<net::HttpServer> m_server;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_sequence = 0;
  std::size_t m_next_entry = 0;
  std::mutex m_random_mutex;  // Guards m_random; a leaf lock.
  std::mt19937_64 m_random;
};

}  // namespace bronzebarrow::programs

#endif  // BRONZEBARROW_SRC_PROGRAMS_LOAD_FAKE_TARGET_H_
