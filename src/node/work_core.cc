// WorkCore: applies the log and makes the periodic decisions of a leader.
#include "bronzebarrow/node/work_core.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "bronzebarrow/base/check.h"
#include "bronzebarrow/base/event_log.h"
#include "bronzebarrow/placement.h"
#include "bronzebarrow/wire/codec.h"

namespace bronzebarrow::node {
namespace {

// Limit of log entries proposed and not yet applied: one that is being synced
// and one behind it. Further commands are gathered into the next entry.
constexpr std::uint64_t kMaxBatchesOut = 2;
// A plan is made at least this often, even when no command was applied: with
// time, runners become usable again and the order of the jobs changes.
constexpr Duration kPlanInterval = Millis(100);
// Minimum interval between two plans. A plan scans all runners and active
// jobs, so in a burst several commits share one plan.
constexpr Duration kMinPlanPause = Millis(15);
constexpr Duration kSecond = Millis(1000);
// A sync takes 9 ms on the users' machines; one that takes thirty times as long
// counts as a disk fault.
constexpr Duration kDiskStall = Millis(300);
// Limit of due occurrences of one job that are opened with one command.
constexpr std::uint32_t kMaxOpenAhead = 8;

}  // namespace

WorkCore::WorkCore(WorkCoreOptions options, consensus::DurableState durable,
                   Moment moment)
    : m_options(std::move(options)),
      m_replica(m_options.m_replica, std::move(durable), moment.m_now),
      m_dispatcher(m_state, m_options.m_dispatcher),
      m_machines(m_state, m_dispatcher, m_options.m_machines),
      m_advice(m_state),
      m_moment(moment),
      m_next_token(m_options.m_first_token) {
  ApplyCommitted();
}

void WorkCore::Tick(Moment moment) {
  m_moment = moment;
  m_replica.Tick(moment.m_now);
  if (m_dispatcher.leading()) {
    m_replica.RequestProof();
    LeaveStalledDisk();
    if (CanServe(moment.m_now)) {
      m_dispatcher.Tick(moment.m_now);
      m_machines.Tick(
          moment, {m_next_token,
                   m_assigning.empty() ? m_next_token : *m_assigning.begin()});
    }
    for (wire::WorkBodyUnion& body : m_machines.TakeCommands()) {
      AddCommand(std::move(body));
    }
    OpenDueOccurrences();
    if (moment.m_now >= m_next_second) {
      m_next_second = moment.m_now + kSecond;
      ForgetOldJobs();
      LogSummary();
    }
  }
  Settle();
}

void WorkCore::OnPeerMessage(const consensus::ReplicaId& from,
                             const wire::BodyUnion& body, Moment moment) {
  m_moment = moment;
  m_replica.Receive(from, body, moment.m_now);
  Settle();
}

consensus::DurableBatchOut WorkCore::TakeBatch(Instant now) {
  m_batch_since = now;
  return m_replica.TakeBatch();
}

// A leader with a stalled disk applies no entries, while the other members
// could commit under a new leader.
void WorkCore::LeaveStalledDisk() {
  const Instant now = m_moment.m_now;
  if (!m_batch_since || now < *m_batch_since + kDiskStall ||
      now < m_next_offer) {
    return;
  }
  m_next_offer = now + kDiskStall;
  const bool offered = m_replica.OfferLeadership();
  EventLine(Event::kLeadershipOffered, Severity::kWarning)
      .Field("asked", offered)
      .Field("cause", "the disk does not answer")
      .Field("age_ms",
             std::chrono::duration_cast<Millis>(now - *m_batch_since).count());
}

void WorkCore::BatchSynced(Moment moment) {
  m_moment = moment;
  m_batch_since.reset();
  m_replica.BatchSynced(moment.m_now);
  Settle();
}

void WorkCore::OnRunnerAnswer(const runs::RunnerCall& call,
                              const runs::RunnerAnswer& answer, Moment moment) {
  m_moment = moment;
  m_dispatcher.OnAnswer(call, answer, moment.m_now);
  if (answer.m_kind == runs::AnswerKind::kGone ||
      answer.m_kind == runs::AnswerKind::kOtherIncarnation) {
    const auto heard = m_heartbeats.find(call.m_runner);
    if (heard != m_heartbeats.end()) {
      m_removed[call.m_runner] = heard->second;
      m_heartbeats.erase(heard);
    }
  }
  Settle();
}

void WorkCore::OnMachineList(std::vector<fleet::Machine> machines,
                             Moment moment) {
  m_moment = moment;
  m_machines.OnList(std::move(machines), moment.m_now);
}

void WorkCore::OnMachineAnswer(const fleet::MachineOrder& order,
                               fleet::MachineAnswer answer, Moment moment) {
  m_moment = moment;
  m_machines.OnAnswer(order, answer, moment.m_now);
  for (wire::WorkBodyUnion& body : m_machines.TakeCommands()) {
    AddCommand(std::move(body));
  }
  Settle();
}

void WorkCore::OnAdvice(const AdviceRequest& request,
                        const std::map<std::string, std::string>* tickets,
                        std::uint32_t valid_ms, Moment moment) {
  m_moment = moment;
  m_advice.OnAdvice(request, tickets, Millis(valid_ms), moment.m_now);
  m_plan_wanted = true;
  Settle();
}

void WorkCore::SetPeers(std::vector<std::string> peers) {
  m_replica.SetPeers(std::move(peers));
}

void WorkCore::OfferLeadership(Moment moment) {
  m_moment = moment;
  const bool offered = m_replica.OfferLeadership();
  EventLine(Event::kLeadershipOffered).Field("asked", offered);
  Settle();
}

std::vector<consensus::Outgoing> WorkCore::TakePeerMessages() {
  return std::exchange(m_messages, {});
}

std::vector<ReplyOut> WorkCore::TakeReplies() {
  return std::exchange(m_replies, {});
}

// A leader that was suspended or disconnected must not extend leases: there may
// be a new leader, which waits only for leases that were granted while this
// one's leadership was confirmed.
std::vector<runs::RunnerCall> WorkCore::TakeRunnerCalls() {
  std::vector<runs::RunnerCall> calls = m_dispatcher.TakeCalls();
  if (!calls.empty() && !CanServe(m_moment.m_now)) {
    for (const runs::RunnerCall& call : calls) {
      m_dispatcher.OnAnswer(call, runs::RunnerAnswer(), m_moment.m_now);
    }
    return {};
  }
  return calls;
}

std::vector<fleet::MachineOrder> WorkCore::TakeMachineOrders() {
  return m_machines.TakeOrders();
}

std::vector<AdviceRequest> WorkCore::TakeAdviceRequests() {
  return m_dispatcher.leading() ? m_advice.TakeRequests(m_moment.m_now)
                                : std::vector<AdviceRequest>();
}

bool WorkCore::CanServe(Instant now) const {
  return m_dispatcher.leading() && m_replica.IsReadyLeader() &&
         m_replica.proven_at() &&
         now <= *m_replica.proven_at() + m_options.m_lead_lease;
}

wire::GroupViewT WorkCore::View(Instant now) const {
  wire::GroupViewT view;
  view.term = m_replica.term();
  view.leading = CanServe(now);
  if (m_replica.leader()) {
    view.leader = m_replica.leader()->m_name;
  }
  for (const consensus::Member& member : m_replica.membership().members()) {
    view.members.push_back(member.m_id.m_name);
  }
  return view;
}

std::uint64_t WorkCore::AddCommand(wire::WorkBodyUnion body) {
  auto command = std::make_unique<wire::WorkCommandT>();
  command->token = m_next_token++;
  command->time_ms = m_moment.m_wall_ms;
  command->body = std::move(body);
  const std::uint64_t token = command->token;
  m_commands.push_back(std::move(command));
  return token;
}

void WorkCore::Settle() {
  NoteRole();
  ApplyCommitted();
  TakeDispatcherCommands();
  PlanWork();
  ProposeCommands();
  for (consensus::Outgoing& message : m_replica.TakeMessages(m_moment.m_now)) {
    m_messages.push_back(std::move(message));
  }
}

void WorkCore::NoteRole() {
  const consensus::Role role = m_replica.role();
  if (role == m_last_role && m_replica.term() == m_last_term) {
    return;
  }
  EventLine(Event::kRoleChanged)
      .Field("role", NameOf(role))
      .Field("term", m_replica.term())
      .Field("leader", m_replica.leader() ? m_replica.leader()->m_name : "");
  const bool led = m_last_role == consensus::Role::kLeader;
  m_last_role = role;
  m_last_term = m_replica.term();
  if (led) {
    EventLine(Event::kLeadershipLost).Field("term", m_replica.term());
    m_dispatcher.StopLeading();
    m_machines.StopLeading();
    m_advice.Clear();
    FailWaiting();
  }
  if (role == consensus::Role::kLeader) {
    EventLine(Event::kLeadershipTaken).Field("term", m_replica.term());
    wire::TakeOwnershipT take;
    take.member = m_replica.id().m_name;
    wire::WorkBodyUnion body;
    body.Set(std::move(take));
    m_ownership_token = AddCommand(std::move(body));
  }
}

void WorkCore::FailWaiting() {
  for (const auto& [token, waiting] : m_waiting) {
    for (const Waiting& call : waiting) {
      Reply(call.m_source, call.m_call, wire::CallOutcome::Unknown);
    }
  }
  m_waiting.clear();
  m_commands.clear();
  m_submitting.clear();
  m_assigning.clear();
  m_opening.clear();
  m_heartbeats.clear();
  m_removed.clear();
  m_ownership_token.reset();
  m_batches_out = 0;
}

void WorkCore::ApplyCommitted() {
  if (const consensus::SnapshotPtr snapshot =
          m_replica.TakeInstalledSnapshot()) {
    BRONZEBARROW_INVARIANT(m_state.Load(snapshot->data));
    m_applied_index = snapshot->last_index;
    m_last_compacted = snapshot->last_index;
    EventLine(Event::kSnapshotInstalled).Field("index", m_applied_index);
  }
  for (const wire::LogEntryT& entry : m_replica.TakeCommitted()) {
    ApplyEntry(entry);
  }
  CompactIfLong();
}

void WorkCore::ApplyEntry(const wire::LogEntryT& entry) {
  BRONZEBARROW_INVARIANT(entry.index == m_applied_index + 1);
  m_applied_index = entry.index;
  if (entry.kind != wire::EntryKind::Command) {
    return;
  }
  const auto batch = wire::Decode<wire::WorkBatch>(entry.payload);
  BRONZEBARROW_INVARIANT(batch != nullptr);
  const bool own =
      entry.term == m_last_term && m_last_role == consensus::Role::kLeader;
  if (own && m_batches_out > 0) {
    --m_batches_out;
  }
  for (const auto& command : batch->commands) {
    const jobs::Applied applied = m_state.Apply(*command, entry.index);
    m_machines.OnApplied(applied, m_moment.m_now);
    if (!own) {
      continue;
    }
    m_assigning.erase(applied.m_token);
    if (m_ownership_token && applied.m_token == *m_ownership_token) {
      m_ownership_token.reset();
      EventLine(Event::kOwnershipTaken)
          .Field("epoch", m_state.epoch())
          .Field("runners", m_state.runners().size())
          .Field("active_jobs", m_state.active().size());
      m_dispatcher.Lead(m_state.epoch(), m_moment.m_now);
      m_machines.Lead(m_state.epoch(), m_moment.m_now);
    }
    m_dispatcher.OnApplied(applied, m_moment.m_now);
    m_plan_wanted = true;
    if (applied.m_kind == wire::WorkBody::AcceptJob) {
      m_submitting.erase(applied.m_job);
    } else if (applied.m_kind == wire::WorkBody::OpenOccurrences) {
      m_opening.erase(applied.m_job);
    }
    for (const jobs::JobId id : applied.m_jobs_ended) {
      const jobs::Job& job = *m_state.FindJob(id);
      EventLine(Event::kJobEnded)
          .Field("job", jobs::JobIdText(id))
          .Field("phase", wire::EnumNameJobPhase(job.Phase()))
          .Field("queue", job.m_queue)
          .Field("age_ms", job.m_ended_ms - job.m_accepted_ms);
    }
    const auto waiting = m_waiting.find(applied.m_token);
    if (waiting != m_waiting.end()) {
      for (const Waiting& call : waiting->second) {
        ReplyCommitted(call, applied);
      }
      m_waiting.erase(waiting);
    }
  }
}

void WorkCore::CompactIfLong() {
  if (m_applied_index < m_last_compacted + m_options.m_snapshot_entries ||
      m_replica.HasBatch()) {
    return;
  }
  m_replica.Compact(m_applied_index, m_state.Image(), m_options.m_kept_entries);
  m_last_compacted = m_applied_index;
  EventLine(Event::kSnapshotWritten)
      .Field("index", m_applied_index)
      .Field("jobs", m_state.jobs().size());
}

void WorkCore::TakeDispatcherCommands() {
  for (wire::WorkBodyUnion& body : m_dispatcher.TakeCommands()) {
    AddCommand(std::move(body));
  }
}

void WorkCore::PlanWork() {
  if (!CanServe(m_moment.m_now) || !m_assigning.empty() ||
      m_moment.m_now < m_last_plan + kMinPlanPause ||
      !(m_plan_wanted || m_moment.m_now >= m_next_plan)) {
    return;
  }
  m_plan_wanted = false;
  m_next_plan = m_moment.m_now + kPlanInterval;
  m_last_plan = m_moment.m_now;
  placement::PlanInput input(m_state);
  input.m_now_ms = m_moment.m_wall_ms;
  input.m_is_usable = [this](const std::string& runner) {
    return m_dispatcher.IsUsable(runner, m_moment.m_now) &&
           m_machines.IsOpen(runner);
  };
  input.m_is_due = [this](const std::string& machine) {
    return m_machines.IsDue(machine);
  };
  input.m_adviser = &m_advice;
  for (placement::Placement& placement : placement::Plan(input)) {
    wire::AssignRunsT assign;
    assign.runner = placement.m_runner;
    assign.born_ms = placement.m_born_ms;
    for (const jobs::RunKey& run : placement.m_runs) {
      assign.tasks.push_back(jobs::ToWire(run));
      const jobs::Job* const job = m_state.FindJob(run.m_task.m_job);
      const wire::QueueSpecT* const queue = m_state.queues().Find(job->m_queue);
      std::string ticket;
      if (queue != nullptr && queue->needs_advice) {
        ticket =
            m_advice.TicketFor(run.m_task, placement.m_runner).value_or("");
        m_dispatcher.SetTicket(run.m_task, ticket);
      }
      EventLine(Event::kRunAssigned)
          .Field("task", jobs::TaskText(run.m_task))
          .Field("run", run.m_run)
          .Field("runner", placement.m_runner)
          .Field("age_ms", m_moment.m_wall_ms - std::min(m_moment.m_wall_ms,
                                                         job->m_accepted_ms));
    }
    wire::WorkBodyUnion body;
    body.Set(std::move(assign));
    m_assigning.insert(AddCommand(std::move(body)));
  }
}

void WorkCore::OpenDueOccurrences() {
  for (const auto& [number, id] : m_state.active()) {
    const jobs::Job& job = *m_state.FindJob(id);
    if (job.m_spec.times == 0 || m_opening.contains(id)) {
      continue;
    }
    std::uint32_t due = job.m_opened;
    while (due < job.m_spec.times && due < job.m_opened + kMaxOpenAhead &&
           job.DueMs(due) <= m_moment.m_wall_ms) {
      ++due;
    }
    if (due > job.m_opened) {
      wire::OpenOccurrencesT open;
      open.job = id;
      open.up_to = due;
      wire::WorkBodyUnion body;
      body.Set(open);
      AddCommand(std::move(body));
      m_opening.insert(id);
    }
  }
}

void WorkCore::ForgetOldJobs() {
  const auto keep_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<Millis>(m_options.m_retention).count());
  wire::ForgetJobsT forget;
  for (const auto& [id, job] : m_state.jobs()) {
    if (job.m_state != jobs::JobState::kActive &&
        job.m_ended_ms + keep_ms < m_moment.m_wall_ms) {
      forget.jobs.push_back(id);
    }
  }
  if (!forget.jobs.empty()) {
    wire::WorkBodyUnion body;
    body.Set(std::move(forget));
    AddCommand(std::move(body));
  }
}

void WorkCore::LogSummary() {
  std::size_t usable = 0;
  std::size_t assigned = 0;
  for (const auto& [id, runner] : m_state.runners()) {
    usable += m_dispatcher.IsUsable(id, m_moment.m_now) ? 1 : 0;
    assigned += runner.m_assigned.size();
  }
  EventLine(Event::kSummary)
      .Field("runners", m_state.runners().size())
      .Field("usable", usable)
      .Field("assigned_runs", assigned)
      .Field("active_jobs", m_state.active().size())
      .Field("applied", m_applied_index)
      .Field("config", m_state.queues().version());
}

void WorkCore::ProposeCommands() {
  if (m_commands.empty() || m_batches_out >= kMaxBatchesOut ||
      m_replica.role() != consensus::Role::kLeader) {
    return;
  }
  wire::WorkBatchT batch;
  batch.commands = std::exchange(m_commands, {});
  if (m_replica.Propose(wire::Encode<wire::WorkBatch>(batch), m_moment.m_now)) {
    ++m_batches_out;
  }
}

}  // namespace bronzebarrow::node
