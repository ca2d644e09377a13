// Fixture for tests in virtual time: one dispatcher, and runners whose clocks
// are 2% slow. Each test decides which calls arrive, when, and which responses
// come back. The fixture checks each loss that the dispatcher proposes.
#ifndef BRONZEBARROW_TESTS_OWNER_AND_RUNNERS_H_
#define BRONZEBARROW_TESTS_OWNER_AND_RUNNERS_H_

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "bronzebarrow/runs.h"
#include "fake_runner.h"

namespace bronzebarrow::runs {

/**
 * Invariants that the fixture asserts: no run is proposed as lost while a
 * runner is executing it, none starts after its loss was proposed, and none is
 * proposed as lost twice.
 */
class OwnerAndRunners : public CppUnit::TestFixture {
 public:
  static constexpr std::uint64_t kBornMs = 1000;
  static constexpr std::uint32_t kRunnerCount = 3;
  static constexpr Duration kStep = Millis(20);
  const jobs::QueueAddress m_queue = {"q.example", "/q/"};

  void setUp() override {
    m_now = Instant() + std::chrono::hours(1);
    m_log_index = 0;
    m_gang = false;
    m_lost.clear();
    m_removed.clear();
    m_runners.clear();
    m_state = std::make_unique<jobs::WorkState>();
    ApplyConfig();
    m_dispatcher = std::make_unique<Dispatcher>(*m_state, DispatcherOptions());
    for (std::uint32_t i = 0; i < kRunnerCount; ++i) {
      Boot(Id(i), kBornMs);
      Register(Id(i), kBornMs, "address" + std::to_string(i));
    }
    m_dispatcher->BecomeLeader(TakeOwnership(), m_now);
    Work(Millis(400));
    CPPUNIT_ASSERT(m_dispatcher->IsUsable(Id(0), m_now));
  }

 protected:
  using Network = std::function<RunnerAnswer(const RunnerCall&)>;

  static std::string Id(std::uint32_t number) {
    return "r" + std::to_string(number);
  }
  static jobs::RunKey Run(jobs::JobId job, std::uint16_t index = 0) {
    return {{job, 0, 0, index}, 1};
  }
  static RunnerAnswer Failed(AnswerKind kind, bool connection_ended = false) {
    RunnerAnswer answer;
    answer.m_kind = kind;
    answer.m_connection_ended = connection_ended;
    return answer;
  }

  /** Starts the process of a runner; the one before under its id has ended. */
  void Boot(const std::string& id, std::uint64_t born_ms) {
    auto runner = std::make_unique<node::FakeRunner>(id, born_ms, 0.98, m_now);
    runner->m_matches_by_id = true;
    runner->m_on_start = [this](const node::FakeRunner&,
                                const jobs::RunKey& run) {
      CPPUNIT_ASSERT_MESSAGE(
          jobs::TaskText(run.m_task) + " starts after its loss was proposed",
          !m_lost.contains({run.m_task, run.m_run}));
    };
    m_runners[id] = std::move(runner);
  }

  void Register(const std::string& id, std::uint64_t born_ms,
                const std::string& address, std::uint64_t sequence = 1) {
    wire::RegisterRunnerT report;
    report.runner = std::make_unique<wire::RunnerRecordT>();
    report.runner->id = id;
    report.runner->born_ms = born_ms;
    report.runner->sequence = sequence;
    report.runner->address = address;
    report.runner->machine = "machine of " + id;
    report.runner->pool = "pool";
    report.runner->cpu_milli = 32'000;
    Apply(std::move(report));
  }

  /** @return the epoch of the new owner */
  std::uint64_t TakeOwnership() {
    wire::TakeOwnershipT take;
    take.member = "owner";
    Apply(std::move(take));
    return m_state->epoch();
  }

  /** Assigns the first run of each task of a new job to the runner. */
  void Assign(jobs::JobId job, std::uint16_t tasks, const std::string& runner) {
    AcceptJob(job, tasks);
    std::vector<jobs::RunKey> runs;
    for (std::uint16_t index = 0; index < tasks; ++index) {
      runs.push_back(Run(job, index));
    }
    AssignRuns(runs, runner);
  }

  void AcceptJob(jobs::JobId job, std::uint16_t tasks) {
    wire::AcceptJobT accept;
    accept.host = m_queue.m_host;
    accept.path_prefix = m_queue.m_path_prefix;
    accept.job = std::make_unique<wire::JobSpecT>();
    accept.job->id = jobs::JobIdText(job);
    accept.job->steps.push_back(std::make_unique<wire::StepSpecT>());
    accept.job->steps.back()->count = tasks;
    accept.job->steps.back()->gang = m_gang;
    accept.job->steps.back()->estimate_ms = 3'600'000;
    Apply(std::move(accept));
  }

  void AssignRuns(const std::vector<jobs::RunKey>& runs,
                  const std::string& runner) {
    wire::AssignRunsT assign;
    assign.runner = runner;
    assign.born_ms = m_state->FindRunner(runner)->m_record.born_ms;
    assign.records_starts = true;
    for (const jobs::RunKey& run : runs) {
      assign.tasks.push_back(jobs::ToWire(run));
    }
    Apply(std::move(assign));
  }

  /** Before the dispatcher exists. */
  void ApplyConfig() {
    wire::PutConfigT put;
    put.config = std::make_unique<wire::FleetConfigT>();
    put.config->version = 1;
    auto queue = std::make_unique<wire::QueueSpecT>();
    queue->host = m_queue.m_host;
    queue->path_prefix = m_queue.m_path_prefix;
    queue->pool = "pool";
    queue->attempts = 3;
    put.config->queues.push_back(std::move(queue));
    wire::WorkCommandT command;
    command.body.Set(std::move(put));
    m_state->Apply(command, ++m_log_index);
  }

  /** The runner carries the call out now. */
  RunnerAnswer Execute(const RunnerCall& call) {
    return m_runners.at(call.m_runner)
        ->Handle(call, m_now, std::chrono::hours(1), false);
  }
  void Return(const RunnerCall& call, const RunnerAnswer& answer) {
    m_dispatcher->OnAnswer(call, answer, m_now);
    ApplyCommands();
  }
  /** Advances time by one step. @return the calls that are sent then */
  std::vector<RunnerCall> Step() {
    m_now += kStep;
    for (const auto& [id, runner] : m_runners) {
      runner->AdvanceTo(m_now);
    }
    m_dispatcher->Tick(m_now);
    ApplyCommands();
    return m_dispatcher->TakeOutgoingCalls();
  }
  /** Passes the responses of `network` to all calls for this time. */
  void Play(Duration span, const Network& network) {
    for (const Instant end = m_now + span; m_now < end;) {
      for (const RunnerCall& call : Step()) {
        Return(call, network(call));
      }
    }
  }
  void Work(Duration span) {
    Play(span, [this](const RunnerCall& call) { return Execute(call); });
  }

  bool IsRunning(const jobs::RunKey& run) const {
    for (const auto& [id, runner] : m_runners) {
      const auto found = runner->running().find(run.m_task);
      if (found != runner->running().end() &&
          found->second.m_run == run.m_run) {
        return true;
      }
    }
    return false;
  }
  bool IsAssigned(const jobs::RunKey& run) const {
    const jobs::Task* const task =
        m_state->FindJob(run.m_task.m_job)->FindTask(run.m_task);
    return task->m_state == jobs::TaskState::kAssigned &&
           task->m_run == run.m_run;
  }

  template <typename Command>
  void Apply(Command command) {
    wire::WorkBodyUnion body;
    body.Set(std::move(command));
    ApplyBody(std::move(body));
  }
  void ApplyBody(wire::WorkBodyUnion body) {
    wire::WorkCommandT wrapped;
    wrapped.body = std::move(body);
    const jobs::ApplyResult applied = m_state->Apply(wrapped, ++m_log_index);
    m_dispatcher->OnApplied(applied, m_now);
  }
  void ApplyCommands() {
    for (wire::WorkBodyUnion& body : CheckCommands()) {
      ApplyBody(std::move(body));
    }
  }
  /** @return the proposed commands, checked but not applied */
  std::vector<wire::WorkBodyUnion> CheckCommands() {
    std::vector<wire::WorkBodyUnion> commands = m_dispatcher->TakeCommands();
    if (auto record = m_dispatcher->start_recorder().TakeCommand()) {
      commands.emplace_back().Set(std::move(*record));
    }
    for (const wire::WorkBodyUnion& body : commands) {
      if (const auto* const ends = body.AsEndRuns()) {
        for (const auto& end : ends->ends) {
          if (end->how == wire::EndKind::Lost) {
            CheckLoss(jobs::FromWire(*end->task));
          }
        }
      } else if (const auto* const remove = body.AsRemoveRunner()) {
        m_removed.insert(remove->runner);
        const jobs::Runner* const runner = m_state->FindRunner(remove->runner);
        CPPUNIT_ASSERT(runner != nullptr);
        for (const auto& [task, run] : runner->m_assigned) {
          if (!m_lost.contains({task, run})) {
            CheckLoss({task, run});
          }
        }
      }
    }
    return commands;
  }

  Instant m_now;
  std::uint64_t m_log_index = 0;
  bool m_gang = false;  // Kind of the steps of accepted jobs.
  std::unique_ptr<jobs::WorkState> m_state;
  std::unique_ptr<Dispatcher> m_dispatcher;
  std::map<std::string, std::unique_ptr<node::FakeRunner>> m_runners;
  std::set<std::pair<jobs::TaskKey, std::uint32_t>> m_lost;
  std::set<std::string> m_removed;

 private:
  void CheckLoss(const jobs::RunKey& run) {
    const std::string text = jobs::TaskText(run.m_task);
    CPPUNIT_ASSERT_MESSAGE(text + " is proposed as lost while it is running",
                           !IsRunning(run));
    CPPUNIT_ASSERT_MESSAGE(text + " is proposed as lost twice",
                           m_lost.insert({run.m_task, run.m_run}).second);
  }
};

}  // namespace bronzebarrow::runs

#endif  // BRONZEBARROW_TESTS_OWNER_AND_RUNNERS_H_
