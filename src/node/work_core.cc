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
constexpr std::uint64_t kMaxBatchesInFlight = 2;
constexpr Duration kHousekeepingInterval = Millis(1000);
// A sync takes 9 ms on the users' machines; one that takes thirty times as long
// counts as a disk fault.
constexpr Duration kDiskStallTimeout = Millis(300);
// Limit of due occurrences of one job that are opened with one command.
constexpr std::uint32_t kMaxOccurrencesPerOpening = 8;
// Organisations in logs and metrics: their number must not grow with that of
// the customers.
constexpr std::size_t kReportedOrganisations = 10;

}  // namespace

WorkCore::WorkCore(WorkCoreOptions options, consensus::DurableState durable,
                   Moment moment)
    : m_options(std::move(options)),
      m_replica(m_options.m_replica, std::move(durable), moment.m_now),
      m_dispatcher(m_state, m_options.m_dispatcher),
      m_machine_planner(m_state, m_dispatcher, m_options.m_machines),
      m_admission(m_options.m_admission),
      m_advice_cache(m_state),
      m_moment(moment),
      m_job_room(m_options.m_max_job_bytes),
      m_next_token(m_options.m_first_token) {
  m_dispatcher.SetDownAsRequested([this](const jobs::Runner& runner) {
    return m_machine_planner.IsDownAsRequested(runner);
  });
  m_admission.SetOrganisations(m_state.organisations(), m_state.usage());
  ApplyCommitted();
}

void WorkCore::OnUnattended(Duration span, Moment moment) {
  m_replica.OnUnattended(span, moment.m_now);
}

void WorkCore::Tick(Moment moment) {
  m_moment = moment;
  m_replica.Tick(moment.m_now);
  if (m_dispatcher.leading()) {
    m_replica.RequestLeadershipConfirmation();
    HandOffIfDiskStalled();
    AnswerOverdueLeaves();
    if (CanServe(moment.m_now)) {
      m_dispatcher.Tick(moment.m_now);
      if (m_machine_planner.IsBalanceDue(moment.m_now)) {
        m_machine_planner.SetDemandInputs(
            m_admission.RejectedMilli(moment.m_now), m_admission.typical());
      }
      m_machine_planner.Tick(
          moment, {m_next_token, m_pending_assignments.empty()
                                     ? m_next_token
                                     : *m_pending_assignments.begin()});
    }
    if (auto outlook = m_machine_planner.TakeOutlook()) {
      m_admission.Update(std::move(*outlook));
    }
    for (wire::WorkBodyUnion& body : m_machine_planner.TakeCommands()) {
      AddCommand(std::move(body));
    }
    OpenDueOccurrences();
    if (moment.m_now >= m_next_housekeeping) {
      m_next_housekeeping = moment.m_now + kHousekeepingInterval;
      PurgeEndedJobs();
      LogSummary();
    }
  }
  ProcessUpdates();
}

void WorkCore::OnPeerMessage(const consensus::ReplicaId& from,
                             const wire::BodyUnion& body, Moment moment) {
  m_moment = moment;
  m_replica.Receive(from, body, moment.m_now);
  ProcessUpdates();
}

consensus::DurableBatchOut WorkCore::TakeBatch(Instant now) {
  m_sync_started = now;
  return m_replica.TakeBatch();
}

// A leader with a stalled disk applies no entries, while the other members
// could commit under a new leader.
void WorkCore::HandOffIfDiskStalled() {
  const Instant now = m_moment.m_now;
  if (!m_sync_started || now < *m_sync_started + kDiskStallTimeout ||
      now < m_next_leadership_offer) {
    return;
  }
  m_next_leadership_offer = now + kDiskStallTimeout;
  const bool offered = m_replica.TransferLeadership();
  EventLine(Event::kLeadershipOffered, Severity::kWarning)
      .Field("asked", offered)
      .Field("cause", "the disk does not answer")
      .Field("age_ms",
             std::chrono::duration_cast<Millis>(now - *m_sync_started).count());
}

void WorkCore::BatchSynced(Moment moment) {
  m_moment = moment;
  m_sync_started.reset();
  m_replica.BatchSynced(moment.m_now);
  ProcessUpdates();
}

void WorkCore::OnRunnerAnswer(const runs::RunnerCall& call,
                              const runs::RunnerAnswer& answer, Moment moment) {
  m_moment = moment;
  m_dispatcher.OnAnswer(call, answer, moment.m_now);
  if (answer.m_born_ms != 0 && answer.m_born_ms < call.m_born_ms) {
    // The runner itself contradicts its latest heartbeat.
    m_heartbeats.erase(call.m_runner);
  }
  if (call.m_kind == runs::CallKind::kHold &&
      answer.m_kind == runs::AnswerKind::kOk &&
      answer.m_born_ms == call.m_born_ms) {
    // The report of a later start was a delayed one or not the runner's.
    m_next_incarnations.erase(call.m_runner);
  }
  ProcessUpdates();
}

bool WorkCore::TakeInventoryRequest(Instant now) {
  const bool for_planner = m_machine_planner.TakeInventoryRequest(now);
  m_planner_awaits_inventory = m_planner_awaits_inventory || for_planner;
  const bool for_dispatcher = m_dispatcher.TakeInventoryRequest(now);
  return for_planner || for_dispatcher;
}

void WorkCore::OnMachineInventory(std::vector<fleet::Machine> machines,
                                  Instant requested_at, Moment moment) {
  m_moment = moment;
  CheckSilentRunners(machines, requested_at);
  if (std::exchange(m_planner_awaits_inventory, false)) {
    m_machine_planner.OnMachineInventory(std::move(machines), moment.m_now);
  }
  ProcessUpdates();
}

// A runner that was silent when the list was requested had started before. Its
// machine has had only one life since, unless the list shows another one.
void WorkCore::CheckSilentRunners(const std::vector<fleet::Machine>& machines,
                                  Instant requested_at) {
  std::map<std::string, const fleet::Machine*> listed;
  for (const fleet::Machine& machine : machines) {
    listed[machine.m_name] = &machine;
  }
  for (const auto& [id, runner] : m_state.runners()) {
    const auto found = listed.find(runner.m_record.machine);
    if (found == listed.end()) {
      continue;
    }
    const fleet::Machine& machine = *found->second;
    const bool is_busy = machine.m_state == fleet::MachineState::kMoving ||
                         machine.m_state == fleet::MachineState::kUpkeep;
    const bool has_other_runner = machine.m_state == fleet::MachineState::kUp &&
                                  !machine.m_runner.empty() &&
                                  machine.m_runner != id;
    if (is_busy || has_other_runner ||
        machine.m_state == fleet::MachineState::kDown) {
      m_dispatcher.OnEndListed(id, requested_at, !is_busy, m_moment.m_now);
    }
  }
}

void WorkCore::OnMachineAnswer(const fleet::MachineRequest& request,
                               fleet::MachineResponse answer, Moment moment) {
  m_moment = moment;
  m_machine_planner.OnAnswer(request, answer, moment.m_now);
  for (wire::WorkBodyUnion& body : m_machine_planner.TakeCommands()) {
    AddCommand(std::move(body));
  }
  ProcessUpdates();
}

void WorkCore::OnAdvice(const AdviceRequest& request,
                        const std::map<std::string, std::string>* tickets,
                        std::uint32_t valid_ms, Moment moment) {
  m_moment = moment;
  m_advice_cache.OnAdvice(request, tickets, Millis(valid_ms), moment.m_now);
  m_plan_needed = true;
  ProcessUpdates();
}

void WorkCore::SetPeers(std::vector<std::string> peers) {
  m_replica.SetPeers(std::move(peers));
}

void WorkCore::TransferLeadership(Moment moment) {
  m_moment = moment;
  const bool offered = m_replica.TransferLeadership();
  EventLine(Event::kLeadershipOffered).Field("asked", offered);
  ProcessUpdates();
}

std::vector<consensus::Outgoing> WorkCore::TakePeerMessages() {
  return std::exchange(m_messages, {});
}

std::map<std::string, std::uint64_t> WorkCore::TakeLostRuns() {
  std::map<std::string, std::uint64_t> lost = m_dispatcher.TakeLostRuns();
  lost.merge(m_machine_planner.TakeLostRuns());
  return lost;
}

std::vector<OutgoingReply> WorkCore::TakeReplies() {
  return std::exchange(m_replies, {});
}

// A leader that was suspended or disconnected must not extend leases: there may
// be a new leader, which waits only for leases that were granted while this
// one's leadership was confirmed.
std::vector<runs::RunnerCall> WorkCore::TakeRunnerCalls() {
  std::vector<runs::RunnerCall> calls = m_dispatcher.TakeOutgoingCalls();
  if (!calls.empty() && !CanServe(m_moment.m_now)) {
    runs::RunnerAnswer not_sent;
    not_sent.m_kind = runs::AnswerKind::kNotSent;
    for (const runs::RunnerCall& call : calls) {
      m_dispatcher.OnAnswer(call, not_sent, m_moment.m_now);
    }
    return {};
  }
  return calls;
}

std::vector<fleet::MachineRequest> WorkCore::TakeMachineRequests() {
  return m_machine_planner.TakeRequests();
}

std::vector<AdviceRequest> WorkCore::TakeAdviceRequests() {
  return m_dispatcher.leading() ? m_advice_cache.TakeRequests(m_moment.m_now)
                                : std::vector<AdviceRequest>();
}

bool WorkCore::CanServe(Instant now) const {
  return m_dispatcher.leading() && m_replica.IsReadyLeader() &&
         m_replica.confirmed_at() &&
         now <= *m_replica.confirmed_at() + m_options.m_leader_lease;
}

Instant WorkCore::ServesUntil() const {
  return m_replica.confirmed_at()
             ? *m_replica.confirmed_at() + m_options.m_leader_lease
             : Instant();
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

void WorkCore::ProcessDeferredUpdates(Moment moment) {
  m_moment = moment;
  m_defers_updates = false;
  ProcessUpdates();
}

void WorkCore::ProcessUpdates() {
  const bool same_role =
      m_replica.role() == m_last_role && m_replica.term() == m_last_term;
  if (m_defers_updates && same_role) {
    return;
  }
  HandleRoleChange();
  LogMembershipChange();
  ApplyCommitted();
  TakeDispatcherCommands();
  PlanAssignments();
  ProposeCommands();
  for (consensus::Outgoing& message : m_replica.TakeMessages(m_moment.m_now)) {
    m_messages.push_back(std::move(message));
  }
}

void WorkCore::HandleRoleChange() {
  const consensus::Role role = m_replica.role();
  if (role == m_last_role && m_replica.term() == m_last_term) {
    return;
  }
  EventLine(Event::kRoleChanged)
      .Field("role", NameOf(role))
      .Field("term", m_replica.term())
      .Field("leader", m_replica.leader() ? m_replica.leader()->m_name : "");
  const bool was_leader = m_last_role == consensus::Role::kLeader;
  m_last_role = role;
  m_last_term = m_replica.term();
  if (was_leader) {
    EventLine(Event::kLeadershipLost).Field("term", m_replica.term());
    m_dispatcher.StepDown();
    m_machine_planner.StepDown();
    m_advice_cache.Clear();
    ClearLeaderState();
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

void WorkCore::LogMembershipChange() {
  const consensus::Membership& membership = m_replica.membership();
  if (membership == m_logged_membership) {
    return;
  }
  m_logged_membership = membership;
  std::string voters;
  std::string learners;
  for (const consensus::Member& member : membership.members()) {
    std::string& list = member.m_voter ? voters : learners;
    list += (list.empty() ? "" : ",") + member.m_id.m_name + '/' +
            std::to_string(member.m_id.m_generation);
  }
  EventLine(Event::kMembershipChanged)
      .Field("role", NameOf(m_replica.role()))
      .Field("term", m_replica.term())
      .Field("quorum", membership.Quorum())
      .Field("voters", voters)
      .Field("learners", learners);
}

void WorkCore::ClearLeaderState() {
  for (const auto& [token, waiting] : m_pending_calls) {
    for (const PendingCall& call : waiting) {
      Reply(call.m_source, call.m_call_id, wire::CallOutcome::Unknown);
    }
  }
  m_pending_calls.clear();
  for (const auto& [runner, leaves] : m_pending_leaves) {
    for (const PendingLeave& leave : leaves) {
      Reply(leave.m_source, leave.m_call_id, wire::CallOutcome::Unknown);
    }
  }
  m_pending_leaves.clear();
  m_commands.clear();
  m_pending_submits.clear();
  m_job_room.Clear();
  m_pending_assignments.clear();
  m_pending_openings.clear();
  m_heartbeats.clear();
  m_removed_runners.clear();
  m_next_incarnations.clear();
  m_planner_awaits_inventory = false;
  m_admission.Clear();
  m_ownership_token.reset();
  m_batches_in_flight = 0;
}

void WorkCore::ApplyCommitted() {
  if (const consensus::SnapshotPtr snapshot =
          m_replica.TakeInstalledSnapshot()) {
    BRONZEBARROW_INVARIANT(m_state.Load(snapshot->data));
    m_ended_jobs.clear();
    for (const auto& [id, job] : m_state.jobs()) {
      if (job.m_state != jobs::JobState::kActive) {
        m_ended_jobs.emplace_back(m_moment.m_now, id);
      }
    }
    m_applied_index = snapshot->last_index;
    m_last_compacted = snapshot->last_index;
    EventLine(Event::kSnapshotInstalled).Field("index", m_applied_index);
  }
  for (const wire::LogEntryT& entry : m_replica.TakeCommitted()) {
    ApplyEntry(entry);
  }
  CompactIfDue();
}

void WorkCore::ApplyEntry(const wire::LogEntryT& entry) {
  BRONZEBARROW_INVARIANT(entry.index == m_applied_index + 1);
  m_applied_index = entry.index;
  if (entry.kind != wire::EntryKind::Command) {
    return;
  }
  const auto batch = wire::Decode<wire::WorkBatch>(entry.payload);
  BRONZEBARROW_INVARIANT(batch != nullptr);
  const bool is_own_entry =
      entry.term == m_last_term && m_last_role == consensus::Role::kLeader;
  if (is_own_entry && m_batches_in_flight > 0) {
    --m_batches_in_flight;
  }
  for (const auto& command : batch->commands) {
    const jobs::ApplyResult applied = m_state.Apply(*command, entry.index);
    m_machine_planner.OnApplied(applied, m_moment.m_now);
    for (const jobs::JobId id : applied.m_jobs_ended) {
      RecordEndedJob(id);
    }
    if (!is_own_entry) {
      continue;
    }
    m_pending_assignments.erase(applied.m_token);
    if (m_ownership_token && applied.m_token == *m_ownership_token) {
      m_ownership_token.reset();
      EventLine(Event::kOwnershipTaken)
          .Field("epoch", m_state.epoch())
          .Field("runners", m_state.runners().size())
          .Field("active_jobs", m_state.active().size());
      m_dispatcher.BecomeLeader(m_state.epoch(), m_moment.m_now);
      m_machine_planner.BecomeLeader(m_state.epoch(), m_moment.m_now);
    }
    m_dispatcher.OnApplied(applied, m_moment.m_now);
    // A recorded start makes no room and no task startable.
    m_plan_needed =
        m_plan_needed || applied.m_kind != wire::WorkBody::RecordStarts;
    if (applied.m_kind == wire::WorkBody::RemoveRunner && applied.m_changed) {
      RecordRemoval(applied.m_runner, applied.m_born_ms);
      RegisterNextIncarnation(applied.m_runner, applied.m_born_ms);
      AnswerLeaves(applied.m_runner);
    }
    if (applied.m_kind == wire::WorkBody::AcceptJob) {
      m_pending_submits.erase(applied.m_job);
      m_job_room.OnApplied(applied.m_job);
    } else if (applied.m_kind == wire::WorkBody::OpenOccurrences) {
      m_pending_openings.erase(applied.m_job);
      m_job_room.OnApplied(applied.m_job);
    }
    for (const jobs::RunKey& run : applied.m_given_up) {
      LogGivenUp(run);
    }
    for (const jobs::JobId id : applied.m_jobs_ended) {
      const jobs::Job& job = *m_state.FindJob(id);
      EventLine(Event::kJobEnded)
          .Field("job", jobs::JobIdText(id))
          .Field("phase", wire::EnumNameJobPhase(job.Phase()))
          .Field("queue", m_state.QueueNameOf(job))
          .Field("age_ms", job.m_ended_ms - job.m_accepted_ms);
    }
    const auto waiting = m_pending_calls.find(applied.m_token);
    if (waiting != m_pending_calls.end()) {
      for (const PendingCall& call : waiting->second) {
        ReplyCommitted(call, applied);
      }
      m_pending_calls.erase(waiting);
    }
  }
}

void WorkCore::RecordRemoval(const std::string& runner, std::uint64_t born_ms) {
  const auto last_heartbeat = m_heartbeats.find(runner);
  if (last_heartbeat != m_heartbeats.end() &&
      last_heartbeat->second.m_born_ms == born_ms) {
    m_removed_runners[runner] = last_heartbeat->second;
    m_heartbeats.erase(last_heartbeat);
  }
}

void WorkCore::RegisterNextIncarnation(const std::string& runner,
                                       std::uint64_t born_ms) {
  const auto next = m_next_incarnations.find(runner);
  if (next == m_next_incarnations.end()) {
    return;
  }
  if (next->second.born_ms > born_ms) {
    m_heartbeats[runner] = {next->second.born_ms, next->second.sequence};
    wire::RegisterRunnerT command;
    command.runner =
        std::make_unique<wire::RunnerRecordT>(std::move(next->second));
    wire::WorkBodyUnion body;
    body.Set(std::move(command));
    AddCommand(std::move(body));
  }
  m_next_incarnations.erase(next);
}

void WorkCore::LogGivenUp(const jobs::RunKey& run) {
  ++m_tasks_given_up;
  const jobs::Job& job = *m_state.FindJob(run.m_task.m_job);
  std::string runners;
  std::string ages_ms;
  for (const jobs::RunnerCrash& crash : job.FindTask(run.m_task)->m_crashes) {
    const std::string separator = runners.empty() ? "" : ",";
    runners += separator + crash.m_runner;
    ages_ms += separator + std::to_string(crash.m_time_ms - job.m_accepted_ms);
  }
  EventLine(Event::kTaskGivenUp, Severity::kWarning)
      .Field("task", jobs::TaskText(run.m_task))
      .Field("run", run.m_run)
      .Field("queue", m_state.QueueNameOf(job))
      .Field("crashed_runners", runners)
      .Field("crash_ages_ms", ages_ms);
}

void WorkCore::CompactIfDue() {
  if (m_applied_index < m_last_compacted + m_options.m_snapshot_entries ||
      m_replica.HasBatch()) {
    return;
  }
  m_replica.Compact(m_applied_index, m_state.Image(),
                    m_options.m_trailing_entries);
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

void WorkCore::PlanAssignments() {
  if (!CanServe(m_moment.m_now) || !m_pending_assignments.empty() ||
      m_moment.m_now < m_last_plan + m_plan_pause ||
      !(m_plan_needed || m_moment.m_now >= m_next_plan)) {
    return;
  }
  m_plan_needed = false;
  // Even when no command is applied: with time, runners become usable again and
  // the order of the jobs changes.
  m_next_plan = m_moment.m_now + placement::kMaxPlanInterval;
  m_last_plan = m_moment.m_now;
  placement::PlanInput input(m_state);
  input.m_now_ms = m_moment.m_wall_ms;
  input.m_typical = &m_admission.typical();
  input.m_is_usable = [this](const jobs::Runner& runner) {
    return m_dispatcher.IsUsable(runner.m_record.id, m_moment.m_now) &&
           m_machine_planner.AcceptsWork(runner);
  };
  input.m_is_trying = [this](const jobs::Runner& runner) {
    return m_dispatcher.IsTrying(runner.m_record.id, m_moment.m_now);
  };
  input.m_has_unsettled_run = [this](const jobs::Runner& runner) {
    return m_dispatcher.HasUnsettledRun(runner.m_record.id, m_moment.m_now);
  };
  input.m_keeps_jobs_apart = [this](const std::string& pool) {
    return m_dispatcher.CrashesFollowStarts(pool, m_moment.m_now);
  };
  input.m_starting_jobs = [this](const jobs::Runner& runner) {
    return m_dispatcher.StartingJobs(runner.m_record.id, m_moment.m_now);
  };
  input.m_count_crashed = [this](const std::string& pool) {
    return m_dispatcher.CountCrashed(pool, m_moment.m_now);
  };
  input.m_goes_down_soon = [this](const std::string& machine) {
    return m_machine_planner.IsUpkeepDue(machine);
  };
  if (m_options.m_keeps_gaps) {
    input.m_run_age_ms = [this](const jobs::Runner& runner,
                                const jobs::TaskKey& task) {
      return RunAgeMs(runner, task);
    };
  }
  input.m_adviser = &m_advice_cache;
  placement::PlanCost cost;
  const auto placements = placement::PlanAssignments(input, &cost);
  // In a burst several commits share one plan.
  m_plan_pause = placement::PauseAfterPlan(cost);
  m_gaps_kept += cost.m_gaps;
  for (const placement::Placement& placement : placements) {
    wire::AssignRunsT assign;
    assign.runner = placement.m_runner;
    assign.born_ms = placement.m_born_ms;
    assign.records_starts = true;
    for (const jobs::RunKey& run : placement.m_runs) {
      assign.tasks.push_back(jobs::ToWire(run));
      const jobs::Job* const job = m_state.FindJob(run.m_task.m_job);
      const wire::QueueSpecT* const queue = m_state.FindQueue(*job);
      std::string ticket;
      if (queue != nullptr && queue->needs_advice) {
        ticket = m_advice_cache.TicketFor(run.m_task, placement.m_runner)
                     .value_or("");
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
    m_pending_assignments.insert(AddCommand(std::move(body)));
  }
}

std::optional<std::int64_t> WorkCore::RunAgeMs(
    const jobs::Runner& runner, const jobs::TaskKey& task) const {
  const runs::RunnerLink* const link =
      m_dispatcher.FindLink(runner.m_record.id);
  if (link == nullptr) {
    return std::nullopt;
  }
  const auto run = link->m_tracked_runs.find(task);
  if (run == link->m_tracked_runs.end() ||
      run->second.m_assigned_at == Instant()) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Millis>(m_moment.m_now -
                                            run->second.m_assigned_at)
      .count();
}

void WorkCore::OpenDueOccurrences() {
  for (const auto& [number, periodic] : m_state.periodic()) {
    const jobs::Job& job = *periodic;
    const jobs::JobId id = job.m_id;
    if (m_pending_openings.contains(id) ||
        job.DueMs(job.m_opened) > m_moment.m_wall_ms) {
      continue;
    }
    const std::size_t each = jobs::OccurrenceBytes(job.m_spec);
    const std::size_t unfinished = job.m_occurrences.size() * each;
    std::uint32_t due = job.m_opened;
    std::size_t added = 0;
    while (due < job.m_spec.times &&
           due < job.m_opened + kMaxOccurrencesPerOpening &&
           job.DueMs(due) <= m_moment.m_wall_ms &&
           m_job_room.FitsOccurrences(m_state.job_bytes(), unfinished + added,
                                      added + each)) {
      ++due;
      added += each;
    }
    if (due > job.m_opened) {
      m_job_room.Propose(id, added);
      wire::OpenOccurrencesT open;
      open.job = id;
      open.up_to = due;
      wire::WorkBodyUnion body;
      body.Set(open);
      AddCommand(std::move(body));
      m_pending_openings.insert(id);
    }
  }
}

bool WorkCore::IsEndedJob(jobs::JobId id) const {
  const jobs::Job* const job = m_state.FindJob(id);
  return job != nullptr && job->m_state != jobs::JobState::kActive;
}

void WorkCore::RecordEndedJob(jobs::JobId id) {
  while (!m_ended_jobs.empty() && !IsEndedJob(m_ended_jobs.front().second)) {
    m_ended_jobs.pop_front();
  }
  m_ended_jobs.emplace_back(m_moment.m_now, id);
}

void WorkCore::PurgeEndedJobs() {
  wire::ForgetJobsT forget;
  for (const auto& [applied_at, id] : m_ended_jobs) {
    if (m_moment.m_now < applied_at + m_options.m_ended_job_retention) {
      break;
    }
    if (IsEndedJob(id)) {
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
      .Field("former_queues", m_state.former_queue_count())
      .Field("applied", m_applied_index)
      .Field("config", m_state.queues().version());
  LogOrganisations();
}

std::vector<OrganisationUse> WorkCore::LargestOrganisations() const {
  Resources total;
  for (const auto& [id, runner] : m_state.runners()) {
    total.Add(runner.TotalResources(), 1);
  }
  const organisations::FairShares shares(m_state.organisations(),
                                         m_state.usage(), total);
  std::vector<OrganisationUse> largest;
  for (const auto& [name, used] : m_state.usage()) {
    largest.push_back({name, used, shares.WeightedShare(name)});
  }
  const std::size_t kept = std::min(largest.size(), kReportedOrganisations);
  std::partial_sort(largest.begin(),
                    largest.begin() + static_cast<std::ptrdiff_t>(kept),
                    largest.end(), [](const auto& a, const auto& b) {
                      return a.m_weighted_share > b.m_weighted_share;
                    });
  largest.resize(kept);
  return largest;
}

void WorkCore::LogOrganisations() const {
  for (const OrganisationUse& use : LargestOrganisations()) {
    const Resources cap = m_state.organisations().CapOf(use.m_name);
    EventLine(Event::kSummary)
        .Field("organisation", use.m_name)
        .Field("weight", m_state.organisations().WeightOf(use.m_name))
        .Field("weighted_share", use.m_weighted_share)
        .Field("used_milli", use.m_used.m_cpu_milli)
        .Field("cap_milli", cap.m_cpu_milli)
        .Field("used_mb", use.m_used.m_memory_mb)
        .Field("cap_mb", cap.m_memory_mb)
        .Field("used_gpu", use.m_used.m_gpu)
        .Field("cap_gpu", cap.m_gpu);
  }
}

void WorkCore::ProposeCommands() {
  runs::StartRecorder& starts = m_dispatcher.start_recorder();
  if ((m_commands.empty() && !starts.IsDue(m_moment.m_now)) ||
      m_batches_in_flight >= kMaxBatchesInFlight ||
      m_replica.role() != consensus::Role::kLeader) {
    return;
  }
  if (auto record = starts.TakeCommand()) {
    wire::WorkBodyUnion body;
    body.Set(std::move(*record));
    AddCommand(std::move(body));
  }
  wire::WorkBatchT batch;
  batch.commands = std::exchange(m_commands, {});
  if (m_replica.Propose(wire::Encode<wire::WorkBatch>(batch), m_moment.m_now)) {
    ++m_batches_in_flight;
  }
}

}  // namespace bronzebarrow::node
