// One member with the real work core and relay table in virtual time, whose
// processor is limited: each piece of work takes time while the rest waits in
// the inbox. Runners always answer.
#ifndef BRONZEBARROW_TESTS_OVERLOAD_MODEL_H_
#define BRONZEBARROW_TESTS_OVERLOAD_MODEL_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "bronzebarrow/node/relay_table.h"
#include "bronzebarrow/node/work_core.h"
#include "bronzebarrow/node/work_inbox.h"
#include "fake_group.h"
#include "fake_runner.h"
#include "processor_costs.h"

namespace bronzebarrow::node {

/** The phases of a play; arrivals are counted by phase. */
enum class Phase : std::uint8_t {
  kWarmUp,
  kSteady,     // Load below the processor's capacity.
  kOverload,   // More submits; routes and registrations at its start.
  kReturning,  // The first seconds of half the steady load.
  kRecovered,  // Half the steady load.
  kFinish,     // No arrivals; accepted jobs end.
};
constexpr std::size_t kPhases = 6;

struct OverloadPattern {
  std::size_t m_runners = 300;
  std::size_t m_queues = 50;
  std::size_t m_added_queues = 1552;  // When the overload begins.
  // Core share of the member; work takes its cost divided by this.
  double m_processor_share = 0.02;
  double m_jobs_per_s = 50;
  double m_overload_jobs_per_s = 160;
  double m_later_jobs_per_s = 32;  // After the overload.
  // Time that a sync takes, and syncs that begin in the span take.
  Duration m_sync_time = Millis(9);
  Duration m_stall_start = Duration::max();  // After the warm-up.
  Duration m_stall_length = Duration::zero();
  std::array<Duration, kPhases> m_lengths = {Millis(4000), Millis(6000),
                                             Millis(9000), Millis(3000),
                                             Millis(5000), Millis(12'000)};
  std::uint64_t m_seed = 1;
};

/** What became of the jobs and calls that arrived in one phase. */
struct PhaseResult {
  std::size_t m_jobs = 0;
  std::size_t m_on_time = 0;   // Accepted and ended within their objective.
  std::size_t m_refused = 0;   // Jobs.
  std::size_t m_calls = 0;     // Submits and reads.
  std::size_t m_answered = 0;  // Within the caller's patience.
  double m_length_s = 0;
  double m_busy_s = 0;  // Virtual time for which the processor worked.
  // Virtual time that the work that arrived takes, but for plans.
  double m_offered_s = 0;
  Duration m_max_wait = Duration::zero();  // Of work in the inbox.
};

struct OverloadResult {
  std::array<PhaseResult, kPhases> m_phases;
  std::size_t m_lost_runs = 0;  // Ended as lost, by any cause.
  // Ended by the runner before their time, which it does when its lease expires
  // or the owner stops them.
  std::size_t m_unfinished_runs = 0;
  std::size_t m_doubled_runs = 0;
  std::size_t m_unended_jobs = 0;   // Accepted and still active at the end.
  std::size_t m_dropped_calls = 0;  // Their callers had left.

  const PhaseResult& At(Phase phase) const {
    return m_phases[static_cast<std::size_t>(phase)];
  }
};

class OverloadModel {
 public:
  explicit OverloadModel(OverloadPattern pattern);
  OverloadModel(const OverloadModel&) = delete;
  OverloadModel& operator=(const OverloadModel&) = delete;

  OverloadResult Run();

 private:
  struct Work {
    Work() = default;
    Work(WorkKind kind, std::function<void()> perform)
        : m_kind(kind), m_perform(std::move(perform)) {}
    WorkKind m_kind = WorkKind::kTick;
    std::function<void()> m_perform;
    std::uint64_t m_call = 0;  // Of a caller; 0: none.
    std::string m_path;        // That the call is routed by; empty: none.
  };
  /** A call of a submitter, a reader, a runner or an operator. */
  struct Caller {
    wire::CallT m_call;
    Phase m_phase = Phase::kWarmUp;
    Instant m_gives_up;
    bool m_is_counted = true;
  };
  struct Submission {
    Phase m_phase = Phase::kWarmUp;
    Instant m_sent;
    std::string m_path;
    bool m_accepted = false;
  };
  /** A call that a runner carries out. */
  struct OpenCall {
    runs::RunnerCall m_call;
    std::string m_relay;     // Empty: the member calls the runner itself.
    std::uint64_t m_id = 0;  // In the relay table.
    Instant m_until;         // Of a hold that waits.
  };
  /** The last start of a task on a runner. */
  struct StartedRun {
    std::string m_runner;
    bool m_done = false;
  };

  void SchedulePhases();
  void BeginPhase(Phase phase);
  void Configure(std::uint64_t version, std::size_t queues);
  void ReportRunners();
  void ReportRunner(const FakeRunner& runner);
  void Heartbeat(const std::string& id);
  void Arrive();
  void SubmitJob();
  void Poll(jobs::JobId id);
  void StartCall(wire::CallBodyUnion body, bool is_counted);
  void Send(std::uint64_t id);
  void OnReply(const wire::CallReplyT& reply);

  void Receive(Work work, Duration patience = WorkInbox<Work>::kUnlimited);
  // Timers and ends of disk writes do not pass through the inbox.
  void ReceiveLocal(Work work);
  void CountOffered(const Work& work);
  void ServeNext();
  void Serve(const Work& work, Duration waited, InboxState state);
  void Refuse(std::uint64_t call);
  void Tick();
  void ScheduleTick();
  // Schedules what the core wants done, once the current work is finished.
  void TakeActions();
  void WriteBatch();
  void SendRunnerCalls();
  void RelayCalls(const std::string& relay,
                  const std::vector<std::uint8_t>& bytes);
  void CallRunner(OpenCall open);
  // Answers the holds that are due or whose runner has new ends.
  void CheckHolds(const std::string& id);
  void AnswerCall(const OpenCall& open, const runs::RunnerAnswer& answer);
  void OnRelayedAnswers(const std::string& relay,
                        const std::vector<std::uint8_t>& bytes);
  void SendViews();
  void OnStart(const FakeRunner& runner, const jobs::RunKey& run);
  ProcessorLoad CurrentLoad(const Work& work) const;

  void Schedule(Duration delay, std::function<void()> event);
  std::uint64_t ClockMs() const;
  Moment VirtualMoment() const;
  PhaseResult& Current() {
    return m_result.m_phases[static_cast<std::size_t>(m_phase)];
  }
  OverloadResult Summarise();

  OverloadPattern m_pattern;
  std::mt19937_64 m_random;
  Instant m_now;
  Instant m_begin;
  Phase m_phase = Phase::kWarmUp;
  consensus::FakeDisk m_disk;
  std::optional<consensus::DurableBatchOut> m_batch;
  std::size_t m_batch_bytes = 0;  // Of the batch that is synced now.
  std::unique_ptr<WorkCore> m_core;
  RelayTable m_relays;
  std::map<std::string, FakeRunner> m_runners;
  std::multimap<std::string, OpenCall> m_holds;  // By runner.
  std::multimap<Instant, std::function<void()>> m_events;
  WorkInbox<Work> m_inbox;
  std::deque<std::pair<Instant, Work>> m_local;
  bool m_is_busy = false;
  Duration m_span = Duration::zero();  // Of the work being done.
  Instant m_last_plan;
  std::map<std::uint64_t, Caller> m_callers;        // By call id.
  std::map<jobs::JobId, Submission> m_submissions;  // By job.
  std::map<jobs::TaskKey, StartedRun> m_started;
  std::string m_label = "a";  // That runners report.
  std::uint64_t m_next_call = 1;
  std::uint64_t m_next_job = 1;
  std::uint64_t m_next_report = 1;
  OverloadResult m_result;
};

}  // namespace bronzebarrow::node

#endif  // BRONZEBARROW_TESTS_OVERLOAD_MODEL_H_
