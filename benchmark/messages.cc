// Measures in process what the messages and log entries of the work group cost:
// processor time for each, and the resident memory of all. Prints one CSV line
// per measurement: name,size,value,unit.
#include <gflags/gflags.h>

#include <algorithm>
#include <ctime>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "bronzebarrow/base.h"
#include "bronzebarrow/consensus.h"
#include "bronzebarrow/jobs.h"
#include "bronzebarrow/wire.h"

DEFINE_uint64(rounds, 40'000, "jobs that pass through each measurement");
DEFINE_uint64(runners, 1100, "runners of the measured state");
DEFINE_uint64(jobs, 2000, "active jobs of the measured state");

namespace bronzebarrow {
namespace {

constexpr std::uint64_t kNowMs = 1'800'000'000'000;
constexpr std::uint64_t kJobsPerEntry = 8;
constexpr int kMembers = 5;
constexpr double kMicrosPerSecond = 1e6;

double ProcessorSeconds() {
  timespec time{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

void PrintMeasurement(const char* name, std::uint64_t size, double value,
                      const char* unit) {
  std::cout << name << "," << size << "," << value << "," << unit << "\n";
}

// Prints the processor time of one of `count` steps that `work` does.
void Measure(const char* name, std::uint64_t count,
             const std::function<void()>& work) {
  const double start = ProcessorSeconds();
  work();
  PrintMeasurement(name, count,
                   kMicrosPerSecond * (ProcessorSeconds() - start) /
                       static_cast<double>(count),
                   "us");
}

void PrintResidentMemory(const char* name) {
  constexpr double kPageMiB = 4096.0 / (1 << 20);
  std::uint64_t pages = 0;
  std::ifstream("/proc/self/statm") >> pages >> pages;
  PrintMeasurement(name, 0, static_cast<double>(pages) * kPageMiB, "MiB");
}

wire::JobSpecT MakeJob(jobs::JobId id) {
  wire::JobSpecT job;
  job.id = jobs::JobIdText(id);
  job.spec = std::string(300, 's');
  for (std::uint32_t i = 0; i < 3; ++i) {
    auto step = std::make_unique<wire::StepSpecT>();
    step->count = 2;
    step->cpu_milli = 10;
    step->estimate_ms = 1000;
    step->image = "registry.example/image:" + std::to_string(i);
    if (i > 0) {
      step->depends_on = {i - 1};
    }
    job.steps.push_back(std::move(step));
  }
  return job;
}

template <typename Body>
std::unique_ptr<wire::WorkCommandT> MakeCommand(Body body) {
  auto command = std::make_unique<wire::WorkCommandT>();
  command->time_ms = kNowMs;
  command->token = 7;
  command->body.Set(std::move(body));
  return command;
}

std::string RunnerName(std::uint64_t number) {
  return "runner-" + std::to_string(number % FLAGS_runners);
}

wire::TaskRef FirstTask(jobs::JobId id) {
  return jobs::ToWire(jobs::RunKey{{id, 0, 0, 0}, 1});
}

// Accepts, starts, ends and cancels the jobs `first` and later ones.
wire::WorkBatchT MakeBatch(jobs::JobId first) {
  wire::WorkBatchT batch;
  for (jobs::JobId id = first; id < first + kJobsPerEntry; ++id) {
    wire::AcceptJobT accept;
    accept.queue = "queue";
    accept.job = std::make_unique<wire::JobSpecT>(MakeJob(id));
    batch.commands.push_back(MakeCommand(std::move(accept)));
    wire::AssignRunsT assign;
    assign.runner = RunnerName(id);
    assign.born_ms = 1;
    assign.tasks = {FirstTask(id)};
    batch.commands.push_back(MakeCommand(std::move(assign)));
    wire::EndRunsT ends;
    ends.runner = RunnerName(id);
    ends.born_ms = 1;
    ends.seen = id;
    ends.ends.push_back(std::make_unique<wire::RunEndT>());
    ends.ends.back()->task = std::make_unique<wire::TaskRef>(FirstTask(id));
    ends.ends.back()->how = wire::EndKind::Done;
    batch.commands.push_back(MakeCommand(std::move(ends)));
    wire::CancelJobT cancel;
    cancel.job = id;
    batch.commands.push_back(MakeCommand(cancel));
    wire::ForgetJobsT forget;
    forget.jobs = {id};
    batch.commands.push_back(MakeCommand(std::move(forget)));
  }
  return batch;
}

void FillState(jobs::WorkState& state) {
  std::uint64_t index = 0;
  wire::PutConfigT put;
  put.config = std::make_unique<wire::FleetConfigT>();
  put.config->version = 1;
  put.config->pools.push_back(std::make_unique<wire::PoolSpecT>());
  put.config->pools.back()->name = "pool";
  put.config->queues.push_back(std::make_unique<wire::QueueSpecT>());
  put.config->queues.back()->name = "queue";
  put.config->queues.back()->host = "host.example";
  put.config->queues.back()->path_prefix = "/";
  put.config->queues.back()->pool = "pool";
  put.config->queues.back()->attempts = 3;
  put.config->queues.back()->timeout_ms = 10'000;
  state.Apply(*MakeCommand(std::move(put)), ++index);
  for (std::uint64_t i = 0; i < FLAGS_runners; ++i) {
    wire::RegisterRunnerT runner;
    runner.runner = std::make_unique<wire::RunnerRecordT>();
    runner.runner->id = RunnerName(i);
    runner.runner->born_ms = 1;
    runner.runner->pool = "pool";
    runner.runner->machine = "machine-" + std::to_string(i);
    runner.runner->address = "10.0.0.1:" + std::to_string(1000 + i);
    runner.runner->cpu_milli = 16'000;
    state.Apply(*MakeCommand(std::move(runner)), ++index);
  }
  for (std::uint64_t i = 1; i <= FLAGS_jobs; ++i) {
    wire::AcceptJobT accept;
    accept.queue = "queue";
    accept.job = std::make_unique<wire::JobSpecT>(MakeJob(i));
    state.Apply(*MakeCommand(std::move(accept)), ++index);
    wire::AssignRunsT assign;
    assign.runner = RunnerName(i);
    assign.born_ms = 1;
    assign.tasks = {FirstTask(i)};
    state.Apply(*MakeCommand(std::move(assign)), ++index);
  }
}

void MeasureCalls() {
  Measure("call_frame", FLAGS_rounds, [] {
    for (std::uint64_t i = 0; i < FLAGS_rounds; ++i) {
      wire::SubmitCallT submit;
      submit.host = "host.example";
      submit.path = "/jobs/" + jobs::JobIdText(i);
      submit.job = std::make_unique<wire::JobSpecT>(MakeJob(i));
      wire::FrameT frame;
      frame.sender = "entry-1";
      wire::CallT call;
      call.id = i;
      call.body.Set(std::move(submit));
      frame.body.Set(std::move(call));
      const auto decoded =
          wire::Decode<wire::Frame>(wire::Encode<wire::Frame>(frame));
      BRONZEBARROW_INVARIANT(decoded != nullptr);
    }
  });
}

void MeasureState() {
  jobs::WorkState state;
  FillState(state);
  PrintResidentMemory("resident_with_state");
  Measure("entry_applied", FLAGS_rounds / kJobsPerEntry, [&state] {
    for (std::uint64_t i = 0; i < FLAGS_rounds; i += kJobsPerEntry) {
      const auto bytes =
          wire::Encode<wire::WorkBatch>(MakeBatch(FLAGS_jobs + 1 + i));
      const auto batch = wire::Decode<wire::WorkBatch>(bytes);
      for (const auto& command : batch->commands) {
        state.Apply(*command, FLAGS_jobs + i);
      }
    }
  });
  std::vector<std::uint8_t> image;
  Measure("image_written", 1, [&] { image = state.Image(); });
  PrintMeasurement("image_bytes", 1, static_cast<double>(image.size()),
                   "bytes");
  jobs::WorkState loaded;
  Measure("image_loaded", 1,
          [&] { BRONZEBARROW_INVARIANT(loaded.Load(image)); });
  PrintResidentMemory("resident_with_two_states");
}

/** Replicas of one group, whose frames are encoded and decoded. */
class Group {
 public:
  Group() {
    std::vector<consensus::Member> members;
    members.reserve(kMembers);
    for (int i = 0; i < kMembers; ++i) {
      members.push_back({{"member-" + std::to_string(i), 1}, true});
    }
    m_replicas.reserve(members.size());
    for (const consensus::Member& member : members) {
      consensus::ReplicaOptions options;
      options.m_id = member.m_id;
      options.m_seed = m_replicas.size() + 1;
      consensus::DurableState durable;
      durable.m_base_membership = consensus::Membership(members);
      m_replicas.push_back(std::make_unique<consensus::Replica>(
          options, std::move(durable), m_now));
    }
    while (m_leader == nullptr) {
      Advance();
      for (const auto& replica : m_replicas) {
        if (replica->IsReadyLeader()) {
          m_leader = replica.get();
        }
      }
    }
  }

  void Replicate(std::vector<std::uint8_t> payload) {
    BRONZEBARROW_INVARIANT(
        m_leader->Propose(std::move(payload), m_now).has_value());
    Advance();
    if (m_leader->log_size() > kMaxLogEntries) {
      for (const auto& replica : m_replicas) {
        replica->Compact(replica->commit_index(), {1}, 0);
      }
    }
  }
  std::uint64_t delivered() const { return m_delivered; }

 private:
  static constexpr std::uint64_t kMaxLogEntries = 1000;

  // Lets time pass and delivers frames until none is left.
  void Advance() {
    m_now += Millis(1);
    for (const auto& replica : m_replicas) {
      replica->Tick(m_now);
    }
    bool active = true;
    while (active) {
      active = false;
      for (const auto& replica : m_replicas) {
        active = Perform(*replica) || active;
      }
    }
  }

  bool Perform(consensus::Replica& replica) {
    bool active = false;
    for (consensus::Outgoing& message : replica.TakeMessages(m_now)) {
      wire::FrameT frame;
      frame.sender = replica.id().m_name;
      frame.body = std::move(message.m_body);
      const auto bytes = wire::Encode<wire::Frame>(frame);
      const auto decoded = wire::Decode<wire::Frame>(bytes);
      for (const auto& to : m_replicas) {
        if (to->id() == message.m_to) {
          to->Receive(replica.id(), decoded->body, m_now);
        }
      }
      active = true;
    }
    if (replica.HasBatch()) {
      const consensus::DurableBatchOut batch = replica.TakeBatch();
      m_written_bytes += wire::Encode<wire::DurableBatch>(batch.m_batch).size();
      replica.BatchSynced(m_now);
      active = true;
    }
    m_delivered += replica.TakeCommitted().size();
    return active;
  }

  Instant m_now;
  std::vector<std::unique_ptr<consensus::Replica>> m_replicas;
  consensus::Replica* m_leader = nullptr;
  std::uint64_t m_delivered = 0;
  std::uint64_t m_written_bytes = 0;
};

void MeasureReplication() {
  const auto payload = wire::Encode<wire::WorkBatch>(MakeBatch(1));
  Group group;
  const std::uint64_t entries = FLAGS_rounds / kJobsPerEntry;
  Measure("entry_replicated", entries, [&] {
    for (std::uint64_t i = 0; i < entries; ++i) {
      group.Replicate(payload);
    }
  });
  BRONZEBARROW_INVARIANT(group.delivered() >= entries);
}

void MeasureMetrics() {
  Metrics metrics;
  const std::uint64_t rounds = 10 * FLAGS_rounds;
  Measure("metric_counted", rounds, [&] {
    for (std::uint64_t i = 0; i < rounds; ++i) {
      metrics.Count("bronzebarrow_calls_received_total", "call=\"SubmitCall\"");
    }
  });
  Measure("metric_observed", rounds, [&] {
    for (std::uint64_t i = 0; i < rounds; ++i) {
      metrics.Observe("bronzebarrow_runner_call_seconds", "call=\"hold\"",
                      0.01);
    }
  });
}

}  // namespace
}  // namespace bronzebarrow

int main(int argc, char** argv) {
  gflags::SetUsageMessage("measures the cost of messages; prints CSV");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::cout << "name,size,value,unit\n";
  bronzebarrow::MeasureCalls();
  bronzebarrow::MeasureState();
  bronzebarrow::MeasureReplication();
  bronzebarrow::MeasureMetrics();
}
