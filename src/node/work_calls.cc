// WorkCore: the calls of entries, operators and runners that a leader serves.
#include <algorithm>
#include <utility>

#include "bronzebarrow/base/event_log.h"
#include "bronzebarrow/node/work_core.h"

namespace bronzebarrow::node {
namespace {

// This many heartbeats of a removed runner after its last one are ignored,
// because delayed ones must not register it again at once; a runner that sends
// more is running and is registered again.
constexpr std::uint64_t kIgnoredHeartbeatsAfterRemoval = 2;
// A runner that leaves is answered when its runs have ended, or after this
// time: it asks another member after a second.
constexpr Duration kLeaveTimeout = Millis(700);
// One in this many repeated heartbeats still reaches the leader, which compares
// the sequence numbers of delayed ones with it.
constexpr std::uint64_t kHeartbeatsPerForwarded = 4;
// When a caller may return whose job found no memory. Jobs end and are
// forgotten all the time; the wait only keeps refused callers from pressing.
constexpr std::uint32_t kNoRoomRetryMs = 5000;

bool IsUnchanged(const wire::RunnerRecordT& record,
                 const wire::RunnerRecordT& reported) {
  return record.born_ms == reported.born_ms &&
         record.address == reported.address && record.pool == reported.pool &&
         record.draining == reported.draining &&
         record.labels == reported.labels &&
         record.cpu_milli == reported.cpu_milli &&
         record.memory_mb == reported.memory_mb && record.gpu == reported.gpu;
}

}  // namespace

const std::map<wire::CallBody, WorkCore::CallHandler>&
WorkCore::CallHandlers() {
  using wire::CallBody;
  static const std::map<CallBody, CallHandler> handlers = {
      {CallBody::SubmitCall, &WorkCore::Submit},
      {CallBody::ReadJobCall, &WorkCore::ReadJob},
      {CallBody::CancelCall, &WorkCore::Cancel},
      {CallBody::PutConfigCall, &WorkCore::PutConfig},
      {CallBody::ReadConfigCall, &WorkCore::ReadConfig},
      {CallBody::ReportRunnerCall, &WorkCore::ReportRunner},
      {CallBody::StartUpkeepCall, &WorkCore::StartUpkeep},
      {CallBody::ReadUpkeepCall, &WorkCore::ReadUpkeep},
  };
  return handlers;
}

void WorkCore::OnCall(CallSource source, const wire::CallT& call,
                      Moment moment) {
  m_moment = moment;
  const auto handler = CallHandlers().find(call.body.type);
  if (!CanServe(moment.m_now)) {
    Reply(source, call.id, wire::CallOutcome::NotLeader,
          m_replica.leader() ? m_replica.leader()->m_name : "");
  } else if (handler == CallHandlers().end() || call.body.value == nullptr) {
    Reply(source, call.id, wire::CallOutcome::Invalid, "unknown call");
  } else {
    (this->*handler->second)(source, call.id, call.body);
  }
  ProcessUpdates();
}

void WorkCore::Reply(CallSource source, std::uint64_t call_id,
                     wire::CallOutcome outcome, std::string text,
                     std::uint32_t retry_after_ms) {
  OutgoingReply& out = m_replies.emplace_back();
  out.m_source = source;
  out.m_reply.id = call_id;
  out.m_reply.outcome = outcome;
  out.m_reply.text = std::move(text);
  out.m_reply.retry_after_ms = retry_after_ms;
}

void WorkCore::AddPendingCall(std::uint64_t token, CallSource source,
                              std::uint64_t call_id, wire::WorkBody kind) {
  m_pending_calls[token].push_back({source, call_id, kind});
}

void WorkCore::ReplyCommitted(const PendingCall& waiting,
                              const jobs::ApplyResult& applied) {
  if (waiting.m_kind == wire::WorkBody::AcceptJob) {
    if (m_state.FindJob(applied.m_job) == nullptr) {
      EventLine(Event::kJobRefused)
          .Field("job", jobs::JobIdText(applied.m_job))
          .Field("why", applied.m_has_no_queue ? "the queue was removed"
                                               : "the key was removed")
          .Field("config", m_state.queues().version());
      Reply(waiting.m_source, waiting.m_call_id,
            applied.m_has_no_queue ? wire::CallOutcome::NoQueue
                                   : wire::CallOutcome::Unauthorised);
      return;
    }
    EventLine(Event::kJobAccepted)
        .Field("job", jobs::JobIdText(applied.m_job))
        .Field("new", applied.m_changed)
        .Field("config", m_state.queues().version());
  } else if (waiting.m_kind == wire::WorkBody::CancelJob) {
    EventLine(Event::kJobCancelled)
        .Field("job", jobs::JobIdText(applied.m_job))
        .Field("changed", applied.m_changed);
  } else if (waiting.m_kind == wire::WorkBody::PutConfig) {
    EventLine(Event::kConfigInForce)
        .Field("version", m_state.queues().version())
        .Field("changed", applied.m_changed);
  }
  Reply(waiting.m_source, waiting.m_call_id, wire::CallOutcome::Accepted);
}

bool WorkCore::MayHaveJob(std::string_view id) const {
  const auto job = jobs::ParseJobId(id);
  return !job || m_state.FindJob(*job) != nullptr ||
         m_pending_submits.contains(*job);
}

// The state that the leader has applied judges each call, so that a key that
// was taken away ends everywhere with the lease of a leader that lacks the
// change.
bool WorkCore::Authorise(CallSource source, std::uint64_t call_id,
                         const std::string& host, const std::string& path,
                         const std::string& key_digest, Caller& caller) {
  if (m_state.queues().version() == 0) {
    Reply(source, call_id, wire::CallOutcome::NotRun, "no configuration yet");
    return false;
  }
  caller.m_queue = m_state.queues().Route(host, path);
  if (caller.m_queue == nullptr) {
    Reply(source, call_id, wire::CallOutcome::NoQueue);
    return false;
  }
  if (!m_state.organisations().RequiresKeys()) {
    return true;
  }
  const organisations::Organisation* const organisation =
      m_state.organisations().FindByKey(key_digest);
  if (organisation != nullptr) {
    caller.m_organisation = organisation->m_name;
    return true;
  }
  if (key_digest.empty() && caller.m_queue->is_public) {
    return true;
  }
  ++m_keys_refused;
  EventLine(Event::kCallRefused, Severity::kWarning)
      .Field("queue", caller.m_queue->name)
      .Field("why", key_digest.empty() ? "no key" : "unknown key")
      .Field("config", m_state.queues().version());
  Reply(source, call_id, wire::CallOutcome::Unauthorised,
        key_digest.empty() ? "the queue needs a key" : "unknown key");
  return false;
}

const jobs::Job* WorkCore::FindJobOf(const Caller& caller,
                                     jobs::JobId id) const {
  const jobs::Job* const job = m_state.FindJob(id);
  if (job == nullptr || job->m_organisation.empty() ||
      job->m_organisation == caller.m_organisation) {
    return job;
  }
  const bool is_of_public_queue =
      caller.m_organisation.empty() && caller.m_queue->is_public &&
      job->m_queue == jobs::AddressOf(*caller.m_queue);
  return is_of_public_queue || !m_state.organisations().RequiresKeys()
             ? job
             : nullptr;
}

void WorkCore::Submit(CallSource source, std::uint64_t call_id,
                      const wire::CallBodyUnion& body) {
  const wire::SubmitCallT& submit = *body.AsSubmitCall();
  Caller caller;
  if (!Authorise(source, call_id, submit.host, submit.path, submit.key_digest,
                 caller)) {
    return;
  }
  const wire::QueueSpecT* const queue = caller.m_queue;
  const auto id = submit.job && submit.path.substr(queue->path_prefix.size()) ==
                                    submit.job->id
                      ? jobs::ParseJobId(submit.job->id)
                      : std::nullopt;
  const std::string problem =
      id ? jobs::ProblemOf(*submit.job) : "a job's id has 16 hex digits";
  if (!problem.empty()) {
    Reply(source, call_id, wire::CallOutcome::Invalid, problem);
    return;
  }
  if (m_state.FindJob(*id) != nullptr) {
    if (FindJobOf(caller, *id) != nullptr) {
      Reply(source, call_id, wire::CallOutcome::Accepted);
    } else {
      Reply(source, call_id, wire::CallOutcome::Invalid, "the id is in use");
    }
    return;
  }
  const auto submitting = m_pending_submits.find(*id);
  if (submitting != m_pending_submits.end()) {
    if (submitting->second.m_organisation == caller.m_organisation) {
      AddPendingCall(submitting->second.m_token, source, call_id,
                     wire::WorkBody::AcceptJob);
    } else {
      Reply(source, call_id, wire::CallOutcome::Invalid, "the id is in use");
    }
    return;
  }
  const std::size_t job_bytes = jobs::StoredBytes(*submit.job, 1);
  if (!m_job_room.FitsJob(m_state.job_bytes(), job_bytes)) {
    EventLine(Event::kJobRefused, Severity::kWarning)
        .Field("job", submit.job->id)
        .Field("queue", queue->name)
        .Field("why", "no memory for the job")
        .Field("bytes", job_bytes)
        .Field("active", m_state.job_bytes().m_active)
        .Field("stored", m_state.job_bytes().m_all);
    Reply(source, call_id, wire::CallOutcome::Refused,
          "the memory for jobs is used up", kNoRoomRetryMs);
    return;
  }
  jobs::Job job;
  job.m_id = *id;
  job.m_queue = jobs::AddressOf(*queue);
  job.m_organisation = caller.m_organisation;
  job.SetSpec(*submit.job);
  if (const std::string over_cap = placement::GangOverCap(
          job, m_state.organisations().CapOf(caller.m_organisation));
      !over_cap.empty()) {
    EventLine(Event::kJobRefused)
        .Field("job", submit.job->id)
        .Field("queue", queue->name)
        .Field("organisation", caller.m_organisation)
        .Field("why", over_cap);
    Reply(source, call_id, wire::CallOutcome::Invalid, over_cap);
    return;
  }
  const placement::AdmissionDecision decision =
      m_admission.Decide(*queue, job, m_moment.m_now);
  if (!decision.m_accepted) {
    EventLine(Event::kJobRefused)
        .Field("job", submit.job->id)
        .Field("queue", queue->name)
        .Field("organisation", caller.m_organisation)
        .Field("wait_ms", decision.m_wait_ms)
        .Field("cap_wait_ms", decision.m_cap_wait_ms)
        .Field("age_ms", decision.m_age_ms)
        .Field("retry_after_ms", decision.m_retry_after_ms);
    Reply(source, call_id, wire::CallOutcome::Refused,
          decision.IsForCap() ? "the organisation's cap is reached"
                              : "the queue's demand exceeds its capacity",
          decision.m_retry_after_ms);
    return;
  }
  wire::AcceptJobT accept;
  accept.queue = queue->name;
  accept.host = job.m_queue.m_host;
  accept.path_prefix = job.m_queue.m_path_prefix;
  accept.organisation = caller.m_organisation;
  accept.key_digest = caller.m_organisation.empty() ? "" : submit.key_digest;
  accept.job = std::make_unique<wire::JobSpecT>(*submit.job);
  wire::WorkBodyUnion command;
  command.Set(std::move(accept));
  const std::uint64_t token = AddCommand(std::move(command));
  m_pending_submits[*id] = {token, caller.m_organisation};
  m_job_room.Propose(*id, job_bytes);
  AddPendingCall(token, source, call_id, wire::WorkBody::AcceptJob);
}

void WorkCore::ReadJob(CallSource source, std::uint64_t call_id,
                       const wire::CallBodyUnion& body) {
  const wire::ReadJobCallT& read = *body.AsReadJobCall();
  Caller caller;
  if (!Authorise(source, call_id, read.host, read.path, read.key_digest,
                 caller)) {
    return;
  }
  const wire::QueueSpecT* const queue = caller.m_queue;
  const std::string rest = read.path.substr(queue->path_prefix.size());
  if (rest.empty()) {
    Reply(source, call_id, wire::CallOutcome::Count);
    m_replies.back().m_reply.count =
        m_state.WaitingCount(jobs::AddressOf(*queue));
    return;
  }
  const auto id = jobs::ParseJobId(rest);
  const jobs::Job* const job = id ? FindJobOf(caller, *id) : nullptr;
  if (job == nullptr && id && m_pending_submits.contains(*id)) {
    Reply(source, call_id, wire::CallOutcome::NotRun, "being accepted");
  } else if (job == nullptr) {
    Reply(source, call_id, wire::CallOutcome::Missing);
  } else {
    Reply(source, call_id, wire::CallOutcome::Found);
    m_replies.back().m_reply.phase = job->Phase();
  }
}

void WorkCore::Cancel(CallSource source, std::uint64_t call_id,
                      const wire::CallBodyUnion& body) {
  const wire::CancelCallT& cancel = *body.AsCancelCall();
  Caller caller;
  if (!Authorise(source, call_id, cancel.host, cancel.path, cancel.key_digest,
                 caller)) {
    return;
  }
  const wire::QueueSpecT* const queue = caller.m_queue;
  const auto id =
      jobs::ParseJobId(cancel.path.substr(queue->path_prefix.size()));
  const jobs::Job* const job = id ? FindJobOf(caller, *id) : nullptr;
  const bool is_being_accepted =
      id && m_pending_submits.contains(*id) &&
      m_pending_submits.at(*id).m_organisation == caller.m_organisation;
  if (!id || (job == nullptr && !is_being_accepted)) {
    Reply(source, call_id, wire::CallOutcome::Missing);
    return;
  }
  if (job != nullptr && job->m_state != jobs::JobState::kActive) {
    Reply(source, call_id, wire::CallOutcome::Accepted);
    return;
  }
  wire::CancelJobT command;
  command.job = *id;
  wire::WorkBodyUnion command_body;
  command_body.Set(command);
  AddPendingCall(AddCommand(std::move(command_body)), source, call_id,
                 wire::WorkBody::CancelJob);
}

void WorkCore::PutConfig(CallSource source, std::uint64_t call_id,
                         const wire::CallBodyUnion& body) {
  const auto& config = body.AsPutConfigCall()->config;
  if (!config) {
    Reply(source, call_id, wire::CallOutcome::Invalid, "no configuration");
    return;
  }
  const std::string problem = jobs::ProblemOf(*config);
  if (!problem.empty()) {
    EventLine(Event::kChangeRefused, Severity::kWarning)
        .Field("version", config->version)
        .Field("problem", problem);
    Reply(source, call_id, wire::CallOutcome::Invalid, problem);
    return;
  }
  if (config->version <= m_state.queues().version()) {
    Reply(source, call_id, wire::CallOutcome::Accepted);
    return;
  }
  wire::PutConfigT put;
  put.config = std::make_unique<wire::FleetConfigT>(*config);
  wire::WorkBodyUnion command;
  command.Set(std::move(put));
  AddPendingCall(AddCommand(std::move(command)), source, call_id,
                 wire::WorkBody::PutConfig);
}

void WorkCore::ReadConfig(CallSource source, std::uint64_t call_id,
                          const wire::CallBodyUnion&) {
  if (m_state.queues().version() == 0) {
    Reply(source, call_id, wire::CallOutcome::NotRun, "no configuration yet");
    return;
  }
  Reply(source, call_id, wire::CallOutcome::Found,
        m_state.queues().config().document);
}

void WorkCore::ReportRunner(CallSource source, std::uint64_t call_id,
                            const wire::CallBodyUnion& body) {
  const wire::ReportRunnerCallT& report = *body.AsReportRunnerCall();
  if (!report.runner || report.runner->id.empty()) {
    Reply(source, call_id, wire::CallOutcome::Invalid, "no runner");
    return;
  }
  const std::string& id = report.runner->id;
  const jobs::Runner* const registered = m_state.FindRunner(id);
  const std::uint64_t born_ms = report.runner->born_ms;
  if (report.leaves) {
    // A late report of an earlier incarnation says nothing of this one.
    if (registered == nullptr ||
        (born_ms != 0 && born_ms != registered->m_record.born_ms)) {
      Reply(source, call_id, wire::CallOutcome::Accepted);
      return;
    }
    Heartbeat& last_report = m_heartbeats[id];
    last_report.m_born_ms = registered->m_record.born_ms;
    last_report.m_sequence =
        std::max(last_report.m_sequence, report.runner->sequence);
    m_pending_leaves[id].push_back(
        {source, call_id, m_moment.m_now + kLeaveTimeout});
    m_dispatcher.OnLeaving(id, born_ms, m_moment.m_now);
    TakeDispatcherCommands();
    return;
  }
  const std::uint64_t sequence = report.runner->sequence;
  const auto removed = m_removed_runners.find(id);
  if (removed != m_removed_runners.end()) {
    if (born_ms < removed->second.m_born_ms ||
        (born_ms == removed->second.m_born_ms &&
         sequence <=
             removed->second.m_sequence + kIgnoredHeartbeatsAfterRemoval)) {
      Reply(source, call_id, wire::CallOutcome::Accepted);
      return;
    }
    m_removed_runners.erase(removed);
  }
  Heartbeat& last_heartbeat = m_heartbeats[id];
  if (born_ms < last_heartbeat.m_born_ms ||
      (born_ms == last_heartbeat.m_born_ms &&
       sequence < last_heartbeat.m_sequence)) {
    Reply(source, call_id, wire::CallOutcome::Accepted);  // Out of order.
    return;
  }
  if (registered != nullptr && born_ms > registered->m_record.born_ms) {
    const bool removed_now = m_dispatcher.OnRestarted(id, m_moment.m_now);
    TakeDispatcherCommands();
    if (!removed_now) {
      m_next_incarnations[id] = *report.runner;
      Reply(source, call_id, wire::CallOutcome::Accepted);
      return;
    }
  }
  last_heartbeat = {born_ms, sequence};
  wire::RunnerRecordT record;
  if (registered != nullptr) {
    record = registered->m_record;
    record.sequence = sequence;
  }
  const bool is_unchanged =
      registered != nullptr && IsUnchanged(record, *report.runner);
  const bool is_older_incarnation =
      registered != nullptr && born_ms < registered->m_record.born_ms;
  if (is_unchanged || is_older_incarnation) {
    Reply(source, call_id, wire::CallOutcome::Accepted);
    return;
  }
  EventLine(Event::kRunnerRegistered)
      .Field("runner", id)
      .Field("born", born_ms)
      .Field("machine", report.runner->machine)
      .Field("address", report.runner->address)
      .Field("pool", report.runner->pool)
      .Field("draining", report.runner->draining);
  wire::RegisterRunnerT command;
  command.runner = std::make_unique<wire::RunnerRecordT>(*report.runner);
  wire::WorkBodyUnion command_body;
  command_body.Set(std::move(command));
  AddPendingCall(AddCommand(std::move(command_body)), source, call_id,
                 wire::WorkBody::RegisterRunner);
}

void WorkCore::AnswerLeaves(const std::string& runner) {
  const auto leaves = m_pending_leaves.find(runner);
  if (leaves == m_pending_leaves.end()) {
    return;
  }
  for (const PendingLeave& leave : leaves->second) {
    Reply(leave.m_source, leave.m_call_id, wire::CallOutcome::Accepted);
  }
  m_pending_leaves.erase(leaves);
}

void WorkCore::AnswerOverdueLeaves() {
  std::vector<std::string> overdue;
  for (const auto& [runner, leaves] : m_pending_leaves) {
    if (m_moment.m_now >= leaves.front().m_answer_at) {
      overdue.push_back(runner);
    }
  }
  for (const std::string& runner : overdue) {
    AnswerLeaves(runner);
  }
}

bool WorkCore::IsRepeatedReport(const wire::ReportRunnerCallT& report) const {
  if (report.leaves || !report.runner ||
      report.runner->sequence % kHeartbeatsPerForwarded == 0) {
    return false;
  }
  const jobs::Runner* const registered = m_state.FindRunner(report.runner->id);
  return registered != nullptr &&
         IsUnchanged(registered->m_record, *report.runner);
}

void WorkCore::StartUpkeep(CallSource source, std::uint64_t call_id,
                           const wire::CallBodyUnion& body) {
  const auto& upkeep = body.AsStartUpkeepCall()->upkeep;
  if (!upkeep) {
    Reply(source, call_id, wire::CallOutcome::Invalid, "no wave");
    return;
  }
  if (m_state.waves().contains(upkeep->wave)) {
    Reply(source, call_id, wire::CallOutcome::Accepted);
    return;
  }
  EventLine(Event::kUpkeepStarted)
      .Field("wave", upkeep->wave)
      .Field("machines", upkeep->machines.size())
      .Field("cap", upkeep->cap)
      .Field("complete_by_ms", upkeep->complete_by_ms);
  wire::WorkBodyUnion command;
  command.Set(wire::StartUpkeepT(*upkeep));
  AddPendingCall(AddCommand(std::move(command)), source, call_id,
                 wire::WorkBody::StartUpkeep);
}

void WorkCore::ReadUpkeep(CallSource source, std::uint64_t call_id,
                          const wire::CallBodyUnion& body) {
  const auto wave = m_state.waves().find(body.AsReadUpkeepCall()->wave);
  if (wave == m_state.waves().end()) {
    Reply(source, call_id, wire::CallOutcome::Missing);
    return;
  }
  Reply(source, call_id, wire::CallOutcome::Found);
  m_replies.back().m_reply.phase = wave->second.IsCompleted()
                                       ? wire::JobPhase::Completed
                                       : wire::JobPhase::Running;
}

}  // namespace bronzebarrow::node
