// A runner in virtual time: fences, leases on its own clock, numbered ends,
// orders that are carried out late. It checks what it is told to start.
#ifndef BRONZEBARROW_TESTS_FAKE_RUNNER_H_
#define BRONZEBARROW_TESTS_FAKE_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "bronzebarrow/runs.h"

namespace bronzebarrow::node {

class FakeRunner {
 public:
  struct Running {
    std::uint32_t m_run = 0;
    Instant m_end;  // When it is done, unless something else ends it.
    bool m_fails = false;
  };
  using OnStart = std::function<void(const FakeRunner&, const jobs::RunKey&)>;
  using OnNoted = std::function<void(const jobs::RunKey&, wire::EndKind)>;

  FakeRunner(std::string id, std::uint64_t born_ms, double clock_rate,
             Instant now)
      : m_id(std::move(id)),
        m_born_ms(born_ms),
        m_clock_rate(clock_rate),
        m_epoch_begin(now) {}

  /** Advances: ends tasks and lets leases lapse. */
  void Run(Instant now);
  /** Carries a call out; @param span time a started task will take. */
  runs::RunnerAnswer Handle(const runs::RunnerCall& call, Instant now,
                            Duration span, bool fails);
  bool HasNews(std::uint64_t seen) const {
    return !m_ended.empty() && m_ended.back().m_number > seen;
  }
  const std::map<jobs::TaskKey, Running>& running() const { return m_running; }
  const std::string& id() const { return m_id; }
  std::uint64_t born_ms() const { return m_born_ms; }

  OnStart m_on_start;
  OnNoted m_on_noted;

 private:
  std::uint64_t Clock(Instant now) const;
  void End(const jobs::RunKey& run, wire::EndKind how);

  std::string m_id;
  std::uint64_t m_born_ms;
  double m_clock_rate;
  Instant m_epoch_begin;
  std::uint64_t m_fence = 0;
  std::uint64_t m_expires_ms = 0;
  std::uint64_t m_next_number = 1;
  std::uint64_t m_noted = 0;
  std::map<jobs::TaskKey, Running> m_running;
  std::map<jobs::TaskKey, std::uint32_t> m_spent;  // Highest run ended here.
  std::vector<runs::EndedRow> m_ended;
  std::uint64_t m_lapsed_up_to = 0;  // Ends that a lapse of the lease followed.
};

}  // namespace bronzebarrow::node

#endif  // BRONZEBARROW_TESTS_FAKE_RUNNER_H_
