// OverloadModel: the processor and its inbox, callers, relays and runners.
#include "overload_model.h"

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <utility>

#include "bronzebarrow/wire/codec.h"

namespace bronzebarrow::node {
namespace {

constexpr Duration kTickInterval = Millis(25);
constexpr Duration kNetworkDelay = Millis(1);
// The intervals of LeaderLink and of the members' views.
constexpr Duration kNoLeaderRetryInterval = Millis(40);
constexpr Duration kViewInterval = Millis(400);
// How long the caller of a submit or read waits for its answer.
constexpr Duration kPatience = Millis(3000);
// A runner's heartbeats that the leader receives.
constexpr Duration kReportInterval = Millis(4000);
constexpr Duration kFirstPoll = Millis(200);
constexpr Duration kPollInterval = Millis(300);
constexpr Duration kMaxPollAge = Millis(6000);
constexpr Duration kArrivalStep = Millis(5);
// As in work_core.cc.
constexpr Duration kMinPlanInterval = Millis(15);
constexpr Duration kMaxPlanInterval = Millis(100);
constexpr std::uint64_t kWallClockStartMs = 1'700'000'000'000;
constexpr std::size_t kPools = 10;
constexpr std::uint32_t kRunnerMilli = 8000;
constexpr std::uint32_t kTasks = 4;
constexpr std::uint32_t kTaskMilli = 1000;
constexpr std::uint32_t kTaskMs = 800;
constexpr double kSlackFactor = 1.6;
constexpr std::uint32_t kTargetMs = 600;
constexpr auto kObjective =
    Millis(static_cast<int>(kSlackFactor * kTaskMs + kTargetMs));
constexpr const char* kHost = "q.example";
constexpr std::array<const char*, 3> kRelays = {"r0", "r1", "r2"};

std::string QueueName(std::size_t queue) { return "q" + std::to_string(queue); }

std::string PoolName(std::size_t pool) { return "p" + std::to_string(pool); }

Duration ThreadTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

CostMeter* Meter() {
  static const auto meter = std::getenv("OVERLOAD_COSTS") == nullptr
                                ? nullptr
                                : std::make_unique<CostMeter>();
  return meter.get();
}

template <typename Table>
std::vector<std::uint8_t> EncodeFrame(Table body) {
  wire::FrameT frame;
  frame.sender = "m";
  frame.body.Set(std::move(body));
  return wire::Encode<wire::Frame>(frame);
}

std::string PathOf(const wire::CallBodyUnion& body) {
  if (const auto* const submit = body.AsSubmitCall()) {
    return submit->path;
  }
  const auto* const read = body.AsReadJobCall();
  return read == nullptr ? "" : read->path;
}

WorkClass ClassOf(WorkKind kind) {
  switch (kind) {
    case WorkKind::kAnswer:
      return WorkClass::kRunnerAnswer;
    case WorkKind::kReport:
    case WorkKind::kConfig:
      return WorkClass::kReport;
    case WorkKind::kRead:
      return WorkClass::kRead;
    case WorkKind::kSubmit:
      return WorkClass::kSubmit;
    default:
      return WorkClass::kConsensus;
  }
}

// The cost table's kind of a call.
WorkKind KindOf(const wire::CallBodyUnion& body) {
  switch (body.type) {
    case wire::CallBody::SubmitCall:
      return WorkKind::kSubmit;
    case wire::CallBody::ReadJobCall:
      return WorkKind::kRead;
    case wire::CallBody::PutConfigCall:
      return WorkKind::kConfig;
    default:
      return WorkKind::kReport;
  }
}

}  // namespace

OverloadModel::OverloadModel(OverloadPattern pattern)
    : m_pattern(pattern),
      m_random(pattern.m_seed),
      m_now(Instant() + std::chrono::hours(1)),
      m_begin(m_now),
      m_relays([] {
        RelayOptions options;
        options.m_direct_runners = 0;
        return options;
      }()) {
  WorkCoreOptions options;
  options.m_replica.m_id = {"m", 1};
  options.m_replica.m_seed = pattern.m_seed;
  options.m_machines.m_holder = "m";
  m_disk.m_state.m_base_membership =
      consensus::Membership({{options.m_replica.m_id, true}});
  m_core = std::make_unique<WorkCore>(options, m_disk.m_state, VirtualMoment());
}

std::uint64_t OverloadModel::ClockMs() const {
  return ToMillis(m_now.time_since_epoch());
}

Moment OverloadModel::VirtualMoment() const {
  return {m_now, kWallClockStartMs + ClockMs()};
}

void OverloadModel::Schedule(Duration delay, std::function<void()> event) {
  m_events.emplace(m_now + delay, std::move(event));
}

OverloadResult OverloadModel::Run() {
  ScheduleTick();
  SendViews();
  SchedulePhases();
  Duration length = Duration::zero();
  for (const Duration phase : m_pattern.m_lengths) {
    length += phase;
  }
  const Instant end = m_begin + length;
  while (!m_events.empty() && m_events.begin()->first < end) {
    m_now = std::max(m_now, m_events.begin()->first);
    const auto event = std::move(m_events.begin()->second);
    m_events.erase(m_events.begin());
    event();
  }
  m_now = end;
  return Summarise();
}

void OverloadModel::SchedulePhases() {
  // The member has elected itself and taken ownership by then.
  Schedule(Millis(2000), [this] { Configure(1, m_pattern.m_queues); });
  Schedule(Millis(2500), [this] {
    for (std::size_t i = 0; i < m_pattern.m_runners; ++i) {
      const std::string id = "i-" + std::to_string(i);
      FakeRunner& runner =
          m_runners.try_emplace(id, id, VirtualMoment().m_wall_ms, 1.0, m_now)
              .first->second;
      runner.m_on_start = [this](const FakeRunner& at,
                                 const jobs::RunKey& run) { OnStart(at, run); };
    }
    ReportRunners();
    std::uniform_int_distribution<std::uint64_t> offset(
        0, ToMillis(kReportInterval));
    for (const auto& item : m_runners) {
      Schedule(Millis(offset(m_random)),
               [this, id = item.first] { Heartbeat(id); });
    }
  });
  Duration delay = Duration::zero();
  for (std::size_t i = 0; i < kPhases; ++i) {
    Schedule(delay, [this, i] { BeginPhase(static_cast<Phase>(i)); });
    delay += m_pattern.m_lengths[i];
  }
}

void OverloadModel::BeginPhase(Phase phase) {
  m_phase = phase;
  Current().m_length_s =
      std::chrono::duration<double>(
          m_pattern.m_lengths[static_cast<std::size_t>(phase)])
          .count();
  if (phase == Phase::kSteady) {
    Arrive();
  } else if (phase == Phase::kOverload && m_pattern.m_added_queues > 0) {
    Configure(2, m_pattern.m_queues + m_pattern.m_added_queues);
    m_label = "b";
    ReportRunners();
  }
}

void OverloadModel::Configure(std::uint64_t version, std::size_t queues) {
  wire::PutConfigCallT put;
  put.config = std::make_unique<wire::FleetConfigT>();
  put.config->version = version;
  put.config->document = "{}";
  for (std::size_t i = 0; i < kPools; ++i) {
    auto pool = std::make_unique<wire::PoolSpecT>();
    pool->name = PoolName(i);
    put.config->pools.push_back(std::move(pool));
  }
  for (std::size_t i = 0; i < queues; ++i) {
    auto queue = std::make_unique<wire::QueueSpecT>();
    queue->name = QueueName(i);
    queue->host = kHost;
    queue->path_prefix = "/" + QueueName(i) + "/";
    queue->pool = PoolName(i % kPools);
    queue->attempts = 3;
    queue->slack_factor = kSlackFactor;
    queue->objective_ms = kTargetMs;
    queue->timeout_ms = static_cast<std::uint32_t>(ToMillis(kPatience));
    put.config->queues.push_back(std::move(queue));
  }
  wire::CallBodyUnion body;
  body.Set(std::move(put));
  StartCall(std::move(body), false);
}

void OverloadModel::ReportRunners() {
  for (const auto& [id, runner] : m_runners) {
    ReportRunner(runner);
  }
}

void OverloadModel::Heartbeat(const std::string& id) {
  ReportRunner(m_runners.at(id));
  Schedule(kReportInterval, [this, id] { Heartbeat(id); });
}

void OverloadModel::ReportRunner(const FakeRunner& runner) {
  const std::size_t index = std::stoul(runner.id().substr(2));
  wire::ReportRunnerCallT report;
  report.runner = std::make_unique<wire::RunnerRecordT>();
  report.runner->id = runner.id();
  report.runner->born_ms = runner.born_ms();
  report.runner->machine = std::to_string(index);
  report.runner->address = "127.0.0.1:" + std::to_string(index + 1);
  report.runner->pool = PoolName(index % kPools);
  report.runner->labels = {m_label, "rack" + std::to_string(index / 20)};
  report.runner->cpu_milli = kRunnerMilli;
  report.runner->memory_mb = 128'000;
  report.runner->sequence = ++m_next_report;
  wire::CallBodyUnion body;
  body.Set(std::move(report));
  StartCall(std::move(body), false);
}

void OverloadModel::Arrive() {
  if (m_phase == Phase::kFinish) {
    return;
  }
  double rate = m_pattern.m_jobs_per_s;
  if (m_phase == Phase::kOverload) {
    rate = m_pattern.m_overload_jobs_per_s;
  } else if (m_phase > Phase::kOverload) {
    rate = m_pattern.m_later_jobs_per_s;
  }
  std::poisson_distribution<int> arrivals(
      rate * std::chrono::duration<double>(kArrivalStep).count());
  for (int i = arrivals(m_random); i > 0; --i) {
    SubmitJob();
  }
  Schedule(kArrivalStep, [this] { Arrive(); });
}

void OverloadModel::SubmitJob() {
  const jobs::JobId id = m_next_job++;
  Submission& submission = m_submissions[id];
  submission.m_phase = m_phase;
  submission.m_sent = m_now;
  submission.m_path = "/" + QueueName(m_random() % m_pattern.m_queues) + "/" +
                      jobs::JobIdText(id);
  ++Current().m_jobs;
  wire::SubmitCallT submit;
  submit.host = kHost;
  submit.path = submission.m_path;
  submit.job = std::make_unique<wire::JobSpecT>();
  submit.job->id = jobs::JobIdText(id);
  auto step = std::make_unique<wire::StepSpecT>();
  step->count = kTasks;
  step->cpu_milli = kTaskMilli;
  step->memory_mb = 1000;
  step->estimate_ms = kTaskMs;
  submit.job->steps.push_back(std::move(step));
  wire::CallBodyUnion body;
  body.Set(std::move(submit));
  StartCall(std::move(body), true);
}

void OverloadModel::Poll(jobs::JobId id) {
  const Submission& submission = m_submissions.at(id);
  const jobs::Job* const job = m_core->state().FindJob(id);
  if (m_now > submission.m_sent + kMaxPollAge ||
      (job != nullptr && job->m_state != jobs::JobState::kActive)) {
    return;
  }
  wire::ReadJobCallT read;
  read.host = kHost;
  read.path = submission.m_path;
  wire::CallBodyUnion body;
  body.Set(std::move(read));
  StartCall(std::move(body), true);
  Schedule(kPollInterval, [this, id] { Poll(id); });
}

void OverloadModel::StartCall(wire::CallBodyUnion body, bool is_counted) {
  const std::uint64_t id = m_next_call++;
  Caller& caller = m_callers[id];
  caller.m_call.id = id;
  caller.m_call.body = std::move(body);
  caller.m_phase = m_phase;
  caller.m_gives_up = m_now + kPatience;
  caller.m_is_counted = is_counted;
  Current().m_calls += is_counted ? 1 : 0;
  Schedule(kPatience, [this, id] { m_callers.erase(id); });
  Send(id);
}

// Like LeaderLink, sends a call once over a live connection, with the time that
// its caller still waits.
void OverloadModel::Send(std::uint64_t id) {
  const auto found = m_callers.find(id);
  if (found == m_callers.end() || m_now >= found->second.m_gives_up) {
    return;
  }
  Caller& caller = found->second;
  const Duration patience = caller.m_gives_up - m_now;
  caller.m_call.wait_ms = static_cast<std::uint32_t>(ToMillis(patience));
  Work work;
  work.m_kind = KindOf(caller.m_call.body);
  work.m_call = id;
  work.m_path = PathOf(caller.m_call.body);
  work.m_perform = [this, bytes = EncodeFrame(caller.m_call)] {
    const auto frame = wire::Decode<wire::Frame>(bytes);
    const wire::CallT& call = *frame->body.AsCall();
    m_core->OnCall(call.id, call, VirtualMoment());
  };
  Schedule(kNetworkDelay, [this, work, patience] { Receive(work, patience); });
}

void OverloadModel::OnReply(const wire::CallReplyT& reply) {
  const auto found = m_callers.find(reply.id);
  if (found == m_callers.end()) {
    return;
  }
  if (reply.outcome == wire::CallOutcome::NotLeader ||
      reply.outcome == wire::CallOutcome::Unknown) {
    Schedule(kNoLeaderRetryInterval, [this, id = reply.id] { Send(id); });
    return;
  }
  const Caller& caller = found->second;
  PhaseResult& phase =
      m_result.m_phases[static_cast<std::size_t>(caller.m_phase)];
  phase.m_answered += caller.m_is_counted ? 1 : 0;
  if (const auto* const submit = caller.m_call.body.AsSubmitCall()) {
    const jobs::JobId id = *jobs::ParseJobId(submit->job->id);
    phase.m_refused += reply.outcome == wire::CallOutcome::Refused ? 1 : 0;
    if (reply.outcome == wire::CallOutcome::Accepted) {
      m_submissions.at(id).m_accepted = true;
      Schedule(kFirstPoll, [this, id] { Poll(id); });
    }
  }
  m_callers.erase(found);
}

ProcessorLoad OverloadModel::CurrentLoad(const Work& work) const {
  ProcessorLoad load;
  load.m_runners = m_core->state().runners().size();
  load.m_routes = m_core->state().queues().config().queues.size();
  if (!work.m_path.empty()) {
    m_core->state().queues().Route(kHost, work.m_path,
                                   &load.m_compared_prefixes);
  }
  load.m_active_jobs = m_core->state().active().size();
  load.m_batch_bytes = m_batch_bytes;
  return load;
}

void OverloadModel::Receive(Work work, Duration patience) {
  CountOffered(work);
  const WorkClass work_class = ClassOf(work.m_kind);
  m_inbox.Push(work_class, std::move(work), m_now, patience);
  ServeNext();
}

void OverloadModel::ReceiveLocal(Work work) {
  CountOffered(work);
  m_local.emplace_back(m_now, std::move(work));
  ServeNext();
}

void OverloadModel::CountOffered(const Work& work) {
  Current().m_offered_s +=
      std::chrono::duration<double>(CostOf(work.m_kind, CurrentLoad(work)))
          .count() /
      m_pattern.m_processor_share;
}

void OverloadModel::ServeNext() {
  if (m_is_busy) {
    return;
  }
  if (!m_local.empty()) {
    const auto [arrived, work] = std::move(m_local.front());
    m_local.pop_front();
    Serve(work, m_now - arrived, InboxState::kDue);
  } else if (const auto popped = m_inbox.Pop(m_now)) {
    Serve(popped->m_item, popped->m_waited, popped->m_state);
  }
}

void OverloadModel::Serve(const Work& work, Duration waited, InboxState state) {
  m_is_busy = true;
  WorkKind kind = work.m_kind;
  if (state == InboxState::kOverdue) {
    kind = WorkKind::kDropped;
  } else if (state == InboxState::kTooOld) {
    kind = WorkKind::kRefused;
  }
  ProcessorLoad load = CurrentLoad(work);
  const bool is_plan_due =
      kind == WorkKind::kSynced || m_now >= m_last_plan + kMaxPlanInterval;
  load.m_plans = is_plan_due && m_now >= m_last_plan + kMinPlanInterval;
  if (load.m_plans) {
    m_last_plan = m_now;
  }
  m_span = std::chrono::duration_cast<Duration>(CostOf(kind, load) /
                                                m_pattern.m_processor_share);
  Current().m_max_wait = std::max(Current().m_max_wait, waited);
  Current().m_busy_s += std::chrono::duration<double>(m_span).count();
  const Duration begun = Meter() == nullptr ? Duration::zero() : ThreadTime();
  if (state == InboxState::kDue) {
    work.m_perform();
  } else if (state == InboxState::kTooOld) {
    Refuse(work.m_call);
  } else {
    ++m_result.m_dropped_calls;
  }
  TakeActions();
  if (Meter() != nullptr) {
    Meter()->Add(kind, load, ThreadTime() - begun);
  }
  Schedule(m_span, [this] {
    m_is_busy = false;
    ServeNext();
  });
}

// A submit that waited too long: it is not decoded, and the core is not asked.
void OverloadModel::Refuse(std::uint64_t call) {
  wire::CallReplyT reply;
  reply.id = call;
  reply.outcome = wire::CallOutcome::Refused;
  EncodeFrame(reply);
  Schedule(m_span + kNetworkDelay, [this, reply] { OnReply(reply); });
}

void OverloadModel::ScheduleTick() {
  Schedule(kTickInterval, [this] {
    ReceiveLocal({WorkKind::kTick, [this] { Tick(); }});
  });
}

void OverloadModel::Tick() {
  for (const runs::RunnerCall& call : m_relays.TakeOverdue(m_now)) {
    m_core->OnRunnerAnswer(call, runs::RunnerAnswer(), VirtualMoment());
  }
  m_core->Tick(VirtualMoment());
  Schedule(m_span, [this] { ScheduleTick(); });
}

void OverloadModel::TakeActions() {
  m_core->TakePeerMessages();
  m_core->TakeAdviceRequests();
  m_core->TakeMachineRequests();
  m_core->TakeUnusedAddresses();
  WriteBatch();
  for (const OutgoingReply& reply : m_core->TakeReplies()) {
    EncodeFrame(reply.m_reply);
    Schedule(m_span + kNetworkDelay,
             [this, reply = reply.m_reply] { OnReply(reply); });
  }
  SendRunnerCalls();
  for (const auto& [cause, runs] : m_core->TakeLostRuns()) {
    m_result.m_lost_runs += runs;
  }
}

void OverloadModel::WriteBatch() {
  if (m_batch || !m_core->HasBatch()) {
    return;
  }
  m_batch = m_core->TakeBatch(m_now);
  const Instant stall_start =
      m_pattern.m_stall_start == Duration::max()
          ? Instant::max()
          : m_begin + m_pattern.m_lengths[0] + m_pattern.m_stall_start;
  const bool stalls =
      m_now >= stall_start && m_now < stall_start + m_pattern.m_stall_length;
  const Duration time = stalls ? stall_start + m_pattern.m_stall_length - m_now
                               : m_pattern.m_sync_time;
  Schedule(m_span + time, [this] {
    ReceiveLocal({WorkKind::kSynced, [this] {
                    m_disk.Sync(*m_batch);
                    m_batch.reset();
                    m_core->BatchSynced(VirtualMoment());
                  }});
  });
  m_batch_bytes = 0;
  for (const auto& entry : m_batch->m_batch.entries) {
    m_batch_bytes += entry->payload.size();
  }
}

// As MemberNode::SendRunnerCalls. Direct calls get their answer however late.
void OverloadModel::SendRunnerCalls() {
  std::map<std::string, wire::RelayedCallsT> batches;
  for (const runs::RunnerCall& call : m_core->TakeRunnerCalls()) {
    const runs::RunnerLink* const link =
        m_core->dispatcher().FindLink(call.m_runner);
    const std::string relay =
        link == nullptr || link->m_consecutive_timeouts > 0
            ? ""
            : m_relays.ChooseMember(call.m_runner, m_runners.size(), m_now);
    if (relay.empty()) {
      Schedule(m_span + kNetworkDelay, [this, call] {
        CallRunner({call, "", 0, Instant()});
      });
    } else {
      batches[relay].calls.push_back(std::make_unique<wire::RelayedCallT>(
          m_relays.Add(relay, call, m_core->ServesUntil(), m_now)));
    }
  }
  for (auto& [relay, batch] : batches) {
    Schedule(m_span + kNetworkDelay,
             [this, relay = relay, bytes = EncodeFrame(std::move(batch))] {
               RelayCalls(relay, bytes);
             });
  }
}

void OverloadModel::RelayCalls(const std::string& relay,
                               const std::vector<std::uint8_t>& bytes) {
  const auto frame = wire::Decode<wire::Frame>(bytes);
  for (const auto& call : frame->body.AsRelayedCalls()->calls) {
    const OpenCall open{FromWire(*call), relay, call->id, Instant()};
    if (ClockMs() > call->not_after_ms) {
      AnswerCall(open, runs::RunnerAnswer());
    } else {
      Schedule(kNetworkDelay, [this, open] { CallRunner(open); });
    }
  }
}

void OverloadModel::CallRunner(OpenCall open) {
  const runs::RunnerCall& call = open.m_call;
  FakeRunner& runner = m_runners.at(call.m_runner);
  const runs::RunnerAnswer answer =
      runner.Handle(call, m_now, Millis(kTaskMs), false);
  if (call.m_kind == runs::CallKind::kHold && call.m_wait_ms > 0 &&
      answer.m_kind == runs::AnswerKind::kOk && answer.m_ended.empty()) {
    open.m_until = m_now + Millis(call.m_wait_ms);
    m_holds.emplace(call.m_runner, open);
    Schedule(Millis(call.m_wait_ms),
             [this, id = call.m_runner] { CheckHolds(id); });
    return;
  }
  AnswerCall(open, answer);
  CheckHolds(call.m_runner);
}

void OverloadModel::CheckHolds(const std::string& id) {
  FakeRunner& runner = m_runners.at(id);
  runner.AdvanceTo(m_now);
  const auto [begin, end] = m_holds.equal_range(id);
  for (auto hold = begin; hold != end;) {
    const OpenCall& open = hold->second;
    if (m_now < open.m_until &&
        !runner.HasEndsAfter(open.m_call.AcknowledgedEnd())) {
      ++hold;
      continue;
    }
    AnswerCall(open,
               runner.Handle(open.m_call, m_now, Duration::zero(), false));
    hold = m_holds.erase(hold);
  }
}

void OverloadModel::AnswerCall(const OpenCall& open,
                               const runs::RunnerAnswer& answer) {
  if (open.m_relay.empty()) {
    Schedule(kNetworkDelay, [this, open, answer] {
      Receive({WorkKind::kAnswer, [this, open, answer] {
                 m_core->OnRunnerAnswer(open.m_call, answer, VirtualMoment());
               }});
    });
    return;
  }
  wire::RelayedAnswersT answers;
  answers.answers.push_back(
      std::make_unique<wire::RelayedAnswerT>(ToWire(answer)));
  answers.answers.back()->id = open.m_id;
  Schedule(kNetworkDelay * 2, [this, relay = open.m_relay,
                               bytes = EncodeFrame(std::move(answers))] {
    Receive({WorkKind::kAnswer,
             [this, relay, bytes] { OnRelayedAnswers(relay, bytes); }});
  });
}

void OverloadModel::OnRelayedAnswers(const std::string& relay,
                                     const std::vector<std::uint8_t>& bytes) {
  const auto frame = wire::Decode<wire::Frame>(bytes);
  m_relays.OnFrame(relay, m_now);
  for (const auto& relayed : frame->body.AsRelayedAnswers()->answers) {
    if (const auto call = m_relays.Take(relay, relayed->id)) {
      m_core->OnRunnerAnswer(*call, FromWire(*relayed), VirtualMoment());
    }
  }
}

void OverloadModel::SendViews() {
  for (const char* relay : kRelays) {
    Receive({WorkKind::kView, [this, relay, clock_ms = ClockMs()] {
               m_relays.OnFrame(relay, m_now);
               m_relays.OnClock(relay, clock_ms, m_now);
             }});
  }
  Schedule(kViewInterval, [this] { SendViews(); });
}

void OverloadModel::OnStart(const FakeRunner& runner, const jobs::RunKey& run) {
  const auto [earlier, is_first] =
      m_started.try_emplace(run.m_task, StartedRun{runner.id()});
  if (!is_first) {
    FakeRunner& other = m_runners.at(earlier->second.m_runner);
    if (&other != &runner) {
      other.AdvanceTo(m_now);
    }
    m_result.m_doubled_runs +=
        earlier->second.m_done || other.running().contains(run.m_task) ? 1 : 0;
    earlier->second = {runner.id()};
  }
  const std::string id = runner.id();
  Schedule(Millis(kTaskMs) - Duration(1), [this, id, run] {
    FakeRunner& at = m_runners.at(id);
    at.AdvanceTo(m_now);
    const auto running = at.running().find(run.m_task);
    if (running != at.running().end() && running->second.m_run == run.m_run) {
      m_started.at(run.m_task).m_done = true;
    } else {
      ++m_result.m_unfinished_runs;
    }
  });
  Schedule(Millis(kTaskMs), [this, id] { CheckHolds(id); });
}

OverloadResult OverloadModel::Summarise() {
  for (const auto& [id, submission] : m_submissions) {
    if (!submission.m_accepted) {
      continue;
    }
    const jobs::Job* const job = m_core->state().FindJob(id);
    if (job == nullptr || job->m_state != jobs::JobState::kCompleted) {
      ++m_result.m_unended_jobs;
      continue;
    }
    const std::uint64_t sent_ms =
        kWallClockStartMs + ToMillis(submission.m_sent.time_since_epoch());
    PhaseResult& phase =
        m_result.m_phases[static_cast<std::size_t>(submission.m_phase)];
    phase.m_on_time +=
        job->m_ended_ms <= sent_ms + ToMillis(kObjective) ? 1 : 0;
  }
  return m_result;
}

}  // namespace bronzebarrow::node
