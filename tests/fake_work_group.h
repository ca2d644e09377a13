// A group of members with the real work core, fake runners and callers in
// virtual time. The network loses, delays and reorders messages; a crash
// discards the data that a disk has not synced. Each start of a run and each
// eviction is checked against the guarantees to callers.
#ifndef BRONZEBARROW_TESTS_FAKE_WORK_GROUP_H_
#define BRONZEBARROW_TESTS_FAKE_WORK_GROUP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "bronzebarrow/node/work_core.h"
#include "fake_group.h"
#include "fake_runner.h"

namespace bronzebarrow::node {

struct WorkFaults {
  // Probabilities.
  double m_frame_lost = 0.02;   // A frame between members is lost.
  double m_call_lost = 0.02;    // A call to a runner never arrives.
  double m_answer_lost = 0.02;  // A call is executed and its answer is lost.
  // A call is executed 2 to 12 s later, unanswered.
  double m_call_delayed = 0.02;
  double m_run_fails = 0.02;  // A run ends as failed.
  // A call to a runner is refused and not carried out.
  double m_call_refused = 0;
  // The connection of a call ends before the answer; the call is carried out
  // or not.
  double m_call_reset = 0;
  // A report of a runner arrives 1 to 8 s late.
  double m_report_delayed = 0;
  // The platform's answer to a machine request is lost.
  double m_machine_answer_lost = 0;
  // Longest time until a machine request is carried out, and from then to its
  // answer. Answers that come after the timeout are dropped.
  Duration m_max_machine_delay = Duration::zero();
  // Upper bounds of the random times.
  Duration m_max_delay = Millis(15);
  Duration m_max_sync = Millis(15);
  Duration m_max_run = Millis(1700);  // Of tasks that are not long-running.
};

/** How the connections from members to a runner fail; it goes on working. */
enum class RunnerCut { kNone, kRefused, kReset };

/** The runner that follows the end of another one on its machine. */
struct NextLife {
  Duration m_gap = Millis(500);  // The machine is down for this long.
  bool m_has_same_id = false;
  Millis m_born_shift = Millis(0);  // Of the machine's clock at its start.
};

/** A queue of the configuration; all of them have the same host. */
struct FakeRoute {
  std::string m_name;
  std::string m_prefix;
  std::string m_pool;
};

class FakeWorkGroup {
 public:
  static constexpr const char* kHost = "q.example";
  static constexpr const char* kPrefix = "/q/";
  static constexpr const char* kPool = "pool";

  FakeWorkGroup(std::size_t members, std::size_t runners, std::uint64_t seed);
  FakeWorkGroup(const FakeWorkGroup&) = delete;
  FakeWorkGroup& operator=(const FakeWorkGroup&) = delete;

  /** Advances virtual time, until a guarantee is violated. */
  void Advance(Duration span);
  /** @return a running member that can serve as leader. */
  std::optional<std::size_t> Leader();

  void Crash(std::size_t member);
  void Restart(std::size_t member);
  /** Crashes the member; it restarts as a new generation without data. */
  void LoseDisk(std::size_t member);
  /** Suspends or resumes the member's process. */
  void Suspend(std::size_t member, bool suspended);
  /** Disconnects two members from each other, or connects them again. */
  void Disconnect(std::size_t a, std::size_t b, bool disconnected);
  /** Syncs of the member's disk that begin within `span` end after it. */
  void StallDisk(std::size_t member, Duration span) {
    m_members[member].m_stalled_until = m_now + span;
  }
  /** Disconnects a runner from all members; it continues to run. */
  void DisconnectRunner(std::size_t runner, bool disconnected);
  /** The runner crashes and restarts under its id as a new incarnation. */
  void RestartRunner(std::size_t runner);
  /** Ends all faults, except that runs may fail, and restarts members. */
  void HealAll();
  /** The runner loses power: its runs are gone and it does not answer. */
  void PowerOffRunner(std::size_t runner);
  /** The machine gets power again, and a new incarnation starts on it. */
  void PowerOnRunner(std::size_t runner);

  /** Cuts the runner off, or connects it again. Open calls end with resets. */
  void CutRunner(std::size_t runner, RunnerCut cut);
  /**
   * The runner reports that it leaves and ends when this is acknowledged, or
   * after `patience`; its runs go on until then.
   */
  void LeaveRunner(std::size_t runner, Duration patience);
  /** The runner ends, and the next one of its machine starts. */
  void EndRunner(std::size_t runner, const NextLife& next);
  /**
   * Provides leaders with lists of machines. Each row is true at some time
   * between the request and the response, which takes up to 1.5 s.
   */
  void ProvideInventory() { m_has_inventory = true; }

  /** Submits a job of `count` long-running tasks with a budget of one. */
  void SubmitLongRunning(std::uint32_t count);
  /**
   * Submits a job of one task that crashes each runner soon after it starts.
   * @return its id
   */
  jobs::JobId SubmitCrashing();
  /** Starts a wave of upkeep of all machines, at most `cap` at a time. */
  void StartWave(std::uint32_t cap);
  /** @return the number of upkeeps that the platform has begun. */
  std::size_t upkeep_count() const { return m_upkeep_count; }

  /**
   * Sends the next configuration, again and again until a leader has it. Until
   * the first call, the only queue is at kPrefix, and its pool is kPool.
   */
  void SetRoutes(const std::vector<FakeRoute>& routes);
  /** @return whether the leader has the last configuration. */
  bool IsConfigured();
  /** Lets the runner's machine belong to the pool, before it first reports. */
  void SetPool(std::size_t runner, const std::string& pool) {
    m_lives[runner].m_pool = pool;
  }

  /** Submits a job; accepted() contains it once a member acknowledged it. */
  void Submit(const std::string& prefix = kPrefix);
  /** Cancels the accepted job with the highest id. */
  void CancelSome();

  std::size_t members() const { return m_members.size(); }
  std::size_t runners() const { return m_runners.size(); }
  const std::set<jobs::JobId>& accepted() const { return m_accepted; }
  /** @return the prefix that the job was submitted to. */
  const std::string& PrefixOf(jobs::JobId job) const {
    return m_prefixes.at(job);
  }
  /** Jobs whose cancellation was acknowledged. */
  const std::set<jobs::JobId>& cancelled() const { return m_cancelled; }
  /** Jobs that a caller requested to cancel, acknowledged or not. */
  const std::set<jobs::JobId>& cancels_sent() const { return m_cancels_sent; }
  const jobs::WorkState& state(std::size_t member) const {
    return m_members[member].m_core->state();
  }
  WorkFaults& faults() { return m_faults; }
  std::mt19937_64& random() { return m_random; }
  /** @return the first violation of a guarantee, or an empty text. */
  const std::string& violation() const { return m_violation; }
  std::size_t starts() const { return m_starts; }
  /** Jobs of which a runner has started a task. */
  const std::set<jobs::JobId>& started_jobs() const { return m_started_jobs; }

 private:
  struct Member {
    std::string m_name;
    consensus::ReplicaId m_id;
    std::unique_ptr<WorkCore> m_core;
    consensus::FakeDisk m_disk;
    std::optional<consensus::DurableBatchOut> m_batch;
    // Counts starts and crashes; events of earlier incarnations are dropped.
    std::uint64_t m_incarnation = 0;
    bool m_suspended = false;
    Instant m_next_tick;
    Instant m_stalled_until;  // Syncs do not end before this time.
    bool m_is_reading_inventory = false;
  };
  struct Caller {
    jobs::JobId m_job = 0;
    bool m_cancels = false;  // Cancels the job; else submits it.
    // The runner that reports that it leaves, and the life that it is in.
    std::optional<std::size_t> m_leaving_runner;
    std::uint32_t m_life = 0;
  };
  /** A hold call (lease renewal, long poll) that a runner keeps open. */
  struct OpenHold {
    runs::RunnerCall m_call;
    std::size_t m_member = 0;
    std::uint64_t m_incarnation = 0;
    Instant m_until;
  };

  /** The state of a machine; its runner has the same index. */
  struct MachineLife {
    std::uint32_t m_count = 0;  // Of the runners that have ended on it.
    std::string m_runner_id;
    bool m_is_down = false;     // Until the next runner starts.
    bool m_is_leaving = false;  // Its runner has reported that it leaves.
    // Calls to an ended runner are refused; else they are not answered.
    bool m_refuses_when_ended = false;
    // The next runner does not answer at the address of the one before.
    bool m_has_new_address = false;
    // Port of its address; the host is that of the machine.
    std::uint32_t m_port = 1;
    Millis m_born_shift = Millis(0);
    RunnerCut m_cut = RunnerCut::kNone;
    std::string m_pool = kPool;
  };

  void Schedule(Instant when, std::function<void()> event);
  void StartMember(std::size_t index);
  void PerformActions(std::size_t index);
  void SendRunnerCall(std::size_t member, const runs::RunnerCall& call);
  void DeliverCall(std::size_t member, std::uint64_t incarnation,
                   const runs::RunnerCall& call, bool answered);
  void DeliverAnswer(std::size_t member, std::uint64_t incarnation,
                     const runs::RunnerCall& call,
                     const runs::RunnerAnswer& answer);
  void CompleteHolds();
  void SendHeartbeat(std::size_t runner);
  void CallMember(std::size_t member, wire::CallBodyUnion body,
                  const Caller* caller);
  void OnStart(const FakeRunner& runner, const jobs::RunKey& run);
  void OnMachineRequest(std::size_t member,
                        const fleet::MachineRequest& request);
  void ExecuteMachineRequest(std::size_t runner);
  fleet::MachineResponse ExecuteMove(std::size_t runner,
                                     const std::string& pool);
  void SendConfig(std::size_t member);
  void CheckPool(std::size_t runner, const jobs::RunKey& run);
  void ReadInventory(std::size_t member);
  fleet::Machine DescribeMachine(std::size_t runner) const;
  void ResetHolds(std::size_t runner);
  bool AnswerWithFailedConnection(std::size_t member,
                                  const runs::RunnerCall& call);
  void SendLeave(std::size_t runner, std::uint32_t life);
  void EndLeavingRunner(std::size_t runner, std::uint32_t life);
  void DropHolds(std::size_t runner);
  void CheckBudget(const jobs::TaskKey& task);
  // Checks that members show only jobs as running of which a task has started.
  void CheckShownStarts();
  bool IsRunning(const jobs::TaskKey& task) const;
  void RecordViolation(const std::string& what, const jobs::RunKey& run);
  FakeRunner MakeRunner(std::size_t index);
  bool Chance(double probability);
  Duration RandomDelay(Duration limit);
  Moment VirtualMoment() const;

  std::mt19937_64 m_random;
  WorkFaults m_faults;
  Instant m_now;
  std::vector<Member> m_members;
  std::vector<FakeRunner> m_runners;
  std::vector<MachineLife> m_lives;  // By runner.
  std::vector<bool> m_runner_disconnected;
  bool m_has_inventory = false;
  std::vector<std::uint64_t> m_heartbeat_sequences;
  std::vector<std::vector<OpenHold>> m_open_holds;  // By runner.
  std::multimap<Instant, std::function<void()>> m_events;
  std::set<std::pair<std::size_t, std::size_t>> m_disconnected;
  std::map<std::uint64_t, Caller> m_callers;  // By call id.
  wire::FleetConfigT m_config;                // The last one that was sent.
  // Every pool that a configuration gave to a prefix.
  std::map<std::string, std::set<std::string>> m_pools_of_prefix;
  std::map<jobs::JobId, std::string> m_prefixes;  // Of the jobs of Submit.
  std::set<jobs::JobId> m_submitted;
  std::set<jobs::JobId> m_accepted;
  std::set<jobs::JobId> m_cancelled;
  std::set<jobs::JobId> m_cancels_sent;
  std::set<jobs::TaskKey> m_done;  // Acknowledged to the runner as done.
  // The highest number of a run of each task that was started.
  std::map<jobs::TaskKey, std::uint32_t> m_latest_start;
  // Number of runs of each task that were acknowledged as failed.
  std::map<jobs::TaskKey, std::uint32_t> m_failed;
  // Number of tasks of each job with long-running tasks.
  std::map<jobs::JobId, std::uint32_t> m_long_running_tasks;
  // Number of starts of each job whose task crashes its runners.
  std::map<jobs::JobId, std::uint32_t> m_crashing_starts;
  // When each long-running task was last running.
  std::map<jobs::TaskKey, Instant> m_last_running;
  // Long-running tasks ended by a stop or an upkeep and not started since.
  std::set<jobs::TaskKey> m_evicted;
  std::size_t m_upkeep_count = 0;
  std::set<std::size_t> m_upkeep_started;  // Runners whose upkeep has begun.
  std::set<std::size_t> m_in_upkeep;  // Runners whose machine is in upkeep.
  std::uint32_t m_wave_cap = 0;  // Most machines in upkeep at the same time.
  std::uint64_t m_next_generation = 2;
  std::uint64_t m_next_call = 1;
  std::uint64_t m_next_job = 1;
  std::size_t m_starts = 0;
  std::set<jobs::JobId> m_started_jobs;  // A runner has started a task of it.
  std::string m_violation;
};

}  // namespace bronzebarrow::node

#endif  // BRONZEBARROW_TESTS_FAKE_WORK_GROUP_H_
