// Dispatcher: ownership changes, timers, calls to runners and their responses.
#include "bronzebarrow/runs/dispatcher.h"

#include <algorithm>
#include <memory>
#include <string_view>
#include <utility>

#include "bronzebarrow/base/event_log.h"

namespace bronzebarrow::runs {
namespace {

// A runner's clock may be up to 2% slow (the platform's bound), so a lease
// timed by it may last longer by this factor on the owner's clock. The margin
// covers the delay of the clock reading.
constexpr double kSlowestClockRate = 0.98;
constexpr Duration kExpiryMargin = Millis(150);
// Holds for each lease while reported ends are committed.
constexpr int kRenewalsPerLease = 3;
// Start calls sent for one run before it is stopped and its task is assigned
// again.
constexpr std::uint32_t kMaxStartAttempts = 2;
// A runner with this many consecutive timeouts is unresponsive and gets no new
// runs.
constexpr std::uint32_t kUnresponsiveTimeouts = 1;

// The inventory is read this long after a runner has fallen silent, and again
// after pauses that double up to the limit.
constexpr Duration kMinInventoryPause = Millis(100);
constexpr Duration kMaxInventoryPause = Millis(1600);

// A runner lists at most this many ends at a time (platform documentation).
constexpr std::size_t kMaxListedEnds = 500;

// Ends are numbered one by one. A number that is higher than the last recorded
// one by more than this is not one of the runner's.
constexpr std::uint64_t kMaxEndNumberStep = 1'000'000;

// Answers in a row with an earlier start time than the registered one after
// which the registered one is taken to be wrong.
constexpr std::uint32_t kEarlierAnswersToBelieve = 3;

// At most one in this many runners of a pool is quarantined at a time.
constexpr std::size_t kQuarantineShareDivisor = 4;
// Runs of one runner that must be stalled at the same time before it is
// quarantined; a single stalled run may be caused by its task.
constexpr std::size_t kMinStalledRuns = 2;
// Progress is reported in whole percent, so the value of a long task changes
// rarely. A run may go without a change for its estimate divided by this
// number; the margin is wide because the estimate may be far too low.
constexpr std::uint32_t kStallEstimateDivisor = 5;

std::unique_ptr<wire::RunEndT> MakeEnd(const jobs::RunKey& run,
                                       wire::EndKind how,
                                       const std::string& checkpoint) {
  auto end = std::make_unique<wire::RunEndT>();
  end->task = std::make_unique<wire::TaskRef>(ToWire(run));
  end->how = how;
  end->checkpoint = checkpoint;
  return end;
}

// Whether a start or stop is to be sent once m_next_attempt is reached.
bool NeedsCall(const TrackedRun& run) {
  if (run.m_call_in_flight || run.m_state == TrackedRunState::kEndProposed) {
    return false;
  }
  return run.m_stop_requested ? !run.m_stop_confirmed
                              : run.m_state == TrackedRunState::kStarting;
}

}  // namespace

Dispatcher::Dispatcher(const jobs::WorkState& state, DispatcherOptions options)
    : m_state(state), m_options(options), m_start_recorder(state) {}

void Dispatcher::BecomeLeader(std::uint64_t epoch, Instant now) {
  m_epoch = epoch;
  m_links.clear();
  m_signs_by_machine.clear();
  m_signs_by_address.clear();
  m_tickets.clear();
  m_calls.clear();
  m_commands.clear();
  m_start_recorder.Clear();
  m_next_inventory = now;
  for (const auto& [id, runner] : m_state.runners()) {
    RefreshLink(id, now);
  }
  for (const auto& [id, job] : m_state.jobs()) {
    if (job.m_state != jobs::JobState::kActive) {
      StopRunsOfEndedJob(id, now);
    }
  }
}

void Dispatcher::StepDown() {
  m_epoch = 0;
  for (const auto& [id, link] : m_links) {
    m_unused_addresses.push_back(link.m_address);
  }
  m_links.clear();
  m_calls.clear();
  m_commands.clear();
  m_start_recorder.Clear();
}

std::vector<RunnerCall> Dispatcher::TakeOutgoingCalls() {
  return std::exchange(m_calls, {});
}

std::vector<wire::WorkBodyUnion> Dispatcher::TakeCommands() {
  return std::exchange(m_commands, {});
}

std::map<std::string, std::uint64_t> Dispatcher::TakeLostRuns() {
  return std::exchange(m_lost_runs, {});
}

std::vector<std::string> Dispatcher::TakeUnusedAddresses() {
  return std::exchange(m_unused_addresses, {});
}

const RunnerLink* Dispatcher::FindLink(const std::string& runner) const {
  const auto link = m_links.find(runner);
  return link == m_links.end() ? nullptr : &link->second;
}

bool Dispatcher::IsUsable(const std::string& runner, Instant now) const {
  const RunnerLink* const link = FindLink(runner);
  return link != nullptr && link->m_fenced && link->m_clock_ms != 0 &&
         !link->m_removal_proposed && !link->m_is_leaving &&
         !link->m_is_superseded && !link->m_leases_expired &&
         link->m_consecutive_timeouts < kUnresponsiveTimeouts &&
         now >= link->m_backoff_until && !link->m_health.IsQuarantined(now);
}

void Dispatcher::SetTicket(const jobs::TaskKey& task, std::string ticket) {
  m_tickets[task] = std::move(ticket);
}

void Dispatcher::RefreshLink(const std::string& id, Instant now) {
  const jobs::Runner* const runner = m_state.FindRunner(id);
  const auto known = m_links.find(id);
  if (known != m_links.end() &&
      (runner == nullptr ||
       known->second.m_address != runner->m_record.address)) {
    m_unused_addresses.push_back(known->second.m_address);
  }
  if (runner == nullptr) {
    m_links.erase(id);
    return;
  }
  if (known != m_links.end() &&
      known->second.m_born_ms == runner->m_record.born_ms) {
    known->second.m_address = runner->m_record.address;
    return;
  }
  RunnerLink& link = m_links[id];
  link = RunnerLink();
  link.m_born_ms = runner->m_record.born_ms;
  link.m_address = runner->m_record.address;
  link.m_next_hold = now;
  link.m_last_answer = now;
  if (!runner->m_assigned.empty()) {
    const auto longest = std::chrono::duration_cast<Duration>(
        m_options.m_lease / kSlowestClockRate);
    link.m_inherited_leases_expire =
        now + m_options.m_owner_overlap + longest + kExpiryMargin;
  }
  for (const auto& [task, run] : runner->m_assigned) {
    TrackedRun& tracked = link.m_tracked_runs[task];
    AddTrial(link, task);
    tracked.m_run = run;
    tracked.m_state = TrackedRunState::kInherited;
    tracked.m_confirmed_at = now;
    tracked.m_reported_at = now;
  }
}

Instant Dispatcher::LeaseExpiry(const RunnerLink& link) const {
  Instant expiry = link.m_inherited_leases_expire;
  if (link.m_expires_ms > link.m_clock_ms) {
    const Millis left(link.m_expires_ms - link.m_clock_ms);
    const auto longest = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(left) / kSlowestClockRate);
    expiry = std::max(expiry, link.m_clock_read_at + longest + kExpiryMargin);
  }
  return expiry;
}

bool Dispatcher::MayHaveLapsed(const RunnerLink& link, Instant now) const {
  const Instant expiry = LeaseExpiry(link);
  return !link.m_tracked_runs.empty() && link.m_last_answer < expiry &&
         now >= expiry;
}

// A runner answers at once while it has ends that are not acknowledged. Until
// those are recorded, holds only keep its lease.
Instant Dispatcher::NextHold(const RunnerLink& link) const {
  return link.m_ends_proposed && link.m_consecutive_timeouts == 0
             ? std::max(
                   link.m_next_hold,
                   link.m_last_hold + m_options.m_lease / kRenewalsPerLease)
             : link.m_next_hold;
}

Instant Dispatcher::NextTick(const RunnerLink& link) const {
  const bool may_end = link.m_silent_since != Instant() || link.m_is_leaving ||
                       link.m_ignored_call_sent != Instant();
  if (may_end) {
    return Instant();
  }
  Instant next = link.m_hold_in_flight ? Instant::max() : NextHold(link);
  for (const auto& [task, tracked] : link.m_tracked_runs) {
    if (NeedsCall(tracked)) {
      next = std::min(next, tracked.m_next_attempt);
    }
  }
  return next;
}

RunnerCall Dispatcher::MakeCall(CallKind kind, const std::string& runner,
                                RunnerLink& link, Instant now) const {
  RunnerCall call;
  call.m_kind = kind;
  call.m_runner = runner;
  call.m_born_ms = link.m_born_ms;
  call.m_address = link.m_address;
  call.m_epoch = m_epoch;
  call.m_sent = now;
  // The lease of an unresponsive, leaving or superseded runner is not extended:
  // its runs are lost, and their tasks assigned again, when the last lease it
  // may have received expires. The same holds for one that is asked whether its
  // lease has expired.
  if (link.m_consecutive_timeouts > 0 || link.m_is_leaving ||
      link.m_is_superseded ||
      (kind == CallKind::kHold && MayHaveLapsed(link, now))) {
    call.m_expires_ms = kind == CallKind::kStart ? link.m_expires_ms : 0;
  } else if (link.m_clock_ms != 0 &&
             (kind == CallKind::kHold || kind == CallKind::kStart)) {
    call.m_expires_ms = link.m_clock_ms + ToMillis(now - link.m_clock_read_at +
                                                   m_options.m_lease);
    link.m_expires_ms = std::max(link.m_expires_ms, call.m_expires_ms);
  }
  return call;
}

void Dispatcher::SendStart(const std::string& runner, RunnerLink& link,
                           const jobs::TaskKey& task, TrackedRun& tracked,
                           Instant now) {
  const jobs::Job* const job = m_state.FindJob(task.m_job);
  const jobs::Task* const state =
      job == nullptr ? nullptr : job->FindTask(task);
  if (state == nullptr) {
    return;
  }
  RunnerCall call = MakeCall(CallKind::kStart, runner, link, now);
  call.m_run = {task, tracked.m_run};
  call.m_job_name = job->m_spec.id;
  call.m_spec = job->m_spec.spec;
  call.m_checkpoint = state->m_start_checkpoint;
  call.m_ticket = tracked.m_ticket;
  ++tracked.m_attempts;
  tracked.m_state = TrackedRunState::kStarting;
  tracked.m_call_in_flight = true;
  m_calls.push_back(std::move(call));
}

void Dispatcher::SendStop(const std::string& runner, RunnerLink& link,
                          const jobs::RunKey& run, Instant now) {
  RunnerCall call = MakeCall(CallKind::kStop, runner, link, now);
  call.m_run = run;
  const jobs::Job* const job = m_state.FindJob(run.m_task.m_job);
  call.m_job_name =
      job == nullptr ? jobs::JobIdText(run.m_task.m_job) : job->m_spec.id;
  m_calls.push_back(std::move(call));
}

void Dispatcher::SendHold(const std::string& runner, RunnerLink& link,
                          Instant now) {
  const jobs::Runner* const known = m_state.FindRunner(runner);
  if (known == nullptr) {
    return;
  }
  RunnerCall call = MakeCall(CallKind::kHold, runner, link, now);
  call.m_last_recorded_end = known->m_last_recorded_end;
  call.m_acknowledges = link.m_fenced && link.m_consecutive_timeouts == 0 &&
                        !link.m_is_superseded;
  const bool may_wait = link.m_fenced && link.m_consecutive_timeouts == 0 &&
                        !link.m_leases_expired &&
                        !link.m_tracked_runs.empty() &&
                        !MayHaveLapsed(link, now);
  call.m_wait_ms =
      may_wait ? static_cast<std::uint32_t>(ToMillis(m_options.m_hold_wait))
               : 0;
  link.m_hold_in_flight = true;
  link.m_last_hold = now;
  m_calls.push_back(std::move(call));
}

void Dispatcher::Throttle(const std::string& runner, const jobs::TaskKey& task,
                          std::uint32_t percent, Instant now) {
  const auto link = m_links.find(runner);
  if (!leading() || link == m_links.end()) {
    return;
  }
  const auto tracked = link->second.m_tracked_runs.find(task);
  if (tracked == link->second.m_tracked_runs.end() ||
      tracked->second.m_state != TrackedRunState::kStarted) {
    return;
  }
  RunnerCall call = MakeCall(CallKind::kThrottle, runner, link->second, now);
  call.m_run = {task, tracked->second.m_run};
  const jobs::Job* const job = m_state.FindJob(task.m_job);
  call.m_job_name = job == nullptr ? "" : job->m_spec.id;
  call.m_percent = percent;
  tracked->second.m_throttle_percent = percent;
  m_calls.push_back(std::move(call));
}

void Dispatcher::StopRun(const std::string& runner, const jobs::TaskKey& task,
                         Instant now) {
  const auto link = m_links.find(runner);
  if (link == m_links.end()) {
    return;
  }
  const auto tracked = link->second.m_tracked_runs.find(task);
  if (tracked == link->second.m_tracked_runs.end() ||
      tracked->second.m_stop_requested ||
      tracked->second.m_state == TrackedRunState::kEndProposed) {
    return;
  }
  link->second.m_tick_due = Instant();
  tracked->second.m_stop_requested = true;
  tracked->second.m_next_attempt = now + m_options.m_retry_delay * 2;
  tracked->second.m_call_in_flight = true;
  SendStop(runner, link->second, {task, tracked->second.m_run}, now);
}

void Dispatcher::StopRunsOfEndedJob(jobs::JobId id, Instant now) {
  const jobs::Job* const job = m_state.FindJob(id);
  if (job == nullptr) {
    return;
  }
  for (const auto& [number, occurrence] : job->m_occurrences) {
    for (std::size_t step = 0; step < occurrence.m_steps.size(); ++step) {
      if (occurrence.m_steps[step].m_assigned == 0) {
        continue;
      }
      const auto& tasks = occurrence.m_steps[step].m_tasks;
      for (std::size_t index = 0; index < tasks.size(); ++index) {
        if (tasks[index].m_state == jobs::TaskState::kAssigned) {
          StopRun(tasks[index].m_runner,
                  {id, number, static_cast<std::uint16_t>(step),
                   static_cast<std::uint16_t>(index)},
                  now);
        }
      }
    }
  }
}

TrackedRun* Dispatcher::FindTracked(RunnerLink& link, const jobs::RunKey& run) {
  const auto tracked = link.m_tracked_runs.find(run.m_task);
  return tracked == link.m_tracked_runs.end() ||
                 tracked->second.m_run != run.m_run
             ? nullptr
             : &tracked->second;
}

bool Dispatcher::StopTracking(RunnerLink& link, const jobs::RunKey& run) {
  const auto tracked = link.m_tracked_runs.find(run.m_task);
  if (tracked == link.m_tracked_runs.end() ||
      tracked->second.m_run != run.m_run) {
    return false;
  }
  link.m_tracked_runs.erase(tracked);
  std::erase(link.m_trials, run.m_task);
  return true;
}

void Dispatcher::OnApplied(const jobs::ApplyResult& applied, Instant now) {
  if (!leading()) {
    return;
  }
  m_start_recorder.OnApplied(applied);
  if (applied.m_kind == wire::WorkBody::RegisterRunner ||
      applied.m_kind == wire::WorkBody::RemoveRunner) {
    RefreshLink(applied.m_runner, now);
  }
  const auto found = m_links.find(applied.m_runner);
  if (found != m_links.end()) {
    RunnerLink& link = found->second;
    link.m_tick_due = Instant();
    if (applied.m_kind == wire::WorkBody::EndRuns) {
      link.m_ends_proposed = false;
      link.m_next_hold = std::min(link.m_next_hold, now);
    }
    for (const jobs::RunKey& run : applied.m_assigned) {
      TrackedRun& tracked = link.m_tracked_runs[run.m_task];
      tracked = TrackedRun();
      AddTrial(link, run.m_task);
      tracked.m_run = run.m_run;
      tracked.m_assigned_at = now;
      tracked.m_reported_at = now;
      const auto ticket = m_tickets.find(run.m_task);
      if (ticket != m_tickets.end()) {
        tracked.m_ticket = std::move(ticket->second);
        m_tickets.erase(ticket);
      }
      // A start sent now could still reach a runner whose runs are about to be
      // declared lost.
      const bool is_ending = link.m_is_leaving || link.m_is_superseded;
      if (is_ending && !link.m_removal_proposed) {
        ProposeLostRuns(applied.m_runner, link, {run}, "not started");
      } else if (!link.m_removal_proposed) {
        SendStart(applied.m_runner, link, run.m_task, tracked, now);
      }
    }
  }
  for (const jobs::RunKey& run : applied.m_ended) {
    const bool tracked_here =
        found != m_links.end() && StopTracking(found->second, run);
    // When one member of a gang is done, the runs of the others end too; they
    // are tracked under their own runners.
    for (auto link = m_links.begin(); !tracked_here && link != m_links.end();
         ++link) {
      if (StopTracking(link->second, run)) {
        break;
      }
    }
  }
  for (const jobs::JobId job : applied.m_jobs_ended) {
    StopRunsOfEndedJob(job, now);
  }
}

void Dispatcher::Tick(Instant now) {
  if (!leading()) {
    return;
  }
  for (auto& [runner, link] : m_links) {
    if (!link.m_removal_proposed && now >= link.m_tick_due) {
      TickLink(runner, link, now);
      link.m_tick_due = NextTick(link);
    }
  }
}

bool Dispatcher::TakeInventoryRequest(Instant now) {
  if (!leading() || now < m_next_inventory) {
    return false;
  }
  const bool needed =
      std::any_of(m_links.begin(), m_links.end(), [](const auto& item) {
        const RunnerLink& link = item.second;
        return link.m_silent_since != Instant() && !link.m_removal_proposed &&
               !link.m_leases_expired && !link.m_tracked_runs.empty();
      });
  // Without need the links are not looked through again until a call fails.
  m_next_inventory = needed ? now + m_inventory_pause : Instant::max();
  m_inventory_pause = std::min(m_inventory_pause * 2, kMaxInventoryPause);
  return needed;
}

void Dispatcher::OnEndListed(const std::string& runner, Instant requested_at,
                             bool crashed, Instant now) {
  const auto link = m_links.find(runner);
  if (leading() && link != m_links.end() &&
      link->second.m_silent_since != Instant() &&
      link->second.m_silent_since <= requested_at) {
    ProposeRemoval(
        runner, link->second,
        crashed ? RemovalCause::kListedDown : RemovalCause::kListedBusy, now);
  }
}

void Dispatcher::OnLeaving(const std::string& runner, std::uint64_t born_ms,
                           Instant now) {
  const auto found = m_links.find(runner);
  if (!leading() || found == m_links.end() ||
      (born_ms != 0 && born_ms != found->second.m_born_ms)) {
    return;
  }
  RunnerLink& link = found->second;
  link.m_tick_due = Instant();
  if (!link.m_is_leaving) {
    link.m_is_leaving = true;
    EventLine(Event::kRunnerLeaving)
        .Field("runner", runner)
        .Field("born", link.m_born_ms)
        .Field("runs", link.m_tracked_runs.size());
  }
  EmptyLeavingRunner(runner, link, now);
}

void Dispatcher::EmptyLeavingRunner(const std::string& runner, RunnerLink& link,
                                    Instant now) {
  if (link.m_tracked_runs.empty()) {
    ProposeRemoval(runner, link, RemovalCause::kLeft, now);
    return;
  }
  std::vector<jobs::TaskKey> tasks;
  for (const auto& [task, run] : link.m_tracked_runs) {
    tasks.push_back(task);
  }
  for (const jobs::TaskKey& task : tasks) {
    StopRun(runner, task, now);
  }
}

bool Dispatcher::HasSuccessor(const std::string& runner,
                              const RunnerLink& link) const {
  const auto is_up_later = [&](const SignsOfLife& signs,
                               const std::string& key) {
    const auto sign = signs.find(key);
    return sign != signs.end() && sign->second.m_runner != runner &&
           sign->second.m_call_sent >= link.m_last_answer;
  };
  const jobs::Runner* const known = m_state.FindRunner(runner);
  return known != nullptr &&
         (is_up_later(m_signs_by_machine, known->m_record.machine) ||
          is_up_later(m_signs_by_address, known->m_record.address));
}

void Dispatcher::TickLink(const std::string& runner, RunnerLink& link,
                          Instant now) {
  if (link.m_silent_since != Instant() && HasSuccessor(runner, link)) {
    ProposeRemoval(runner, link, RemovalCause::kSuccessor, now);
    return;
  }
  if (link.m_is_leaving) {
    EmptyLeavingRunner(runner, link, now);
    if (link.m_removal_proposed) {
      return;
    }
  }
  if (!link.m_hold_in_flight && now >= NextHold(link)) {
    SendHold(runner, link, now);
  }
  // Only a call that was sent after the expiry shows that the runner is silent:
  // an owner that was late itself may not have read the answer to an earlier
  // one, or not have asked.
  const bool unresponsive = link.m_ignored_call_sent >= LeaseExpiry(link) &&
                            now - link.m_last_answer >
                                m_options.m_hold_wait + m_options.m_retry_delay;
  if (unresponsive && !link.m_leases_expired) {
    link.m_leases_expired = true;
    std::vector<jobs::RunKey> runs;
    for (const auto& [task, tracked] : link.m_tracked_runs) {
      runs.push_back({task, tracked.m_run});
    }
    EventLine(Event::kRunnerLapsed, Severity::kWarning)
        .Field("runner", runner)
        .Field("runs", runs.size())
        .Field("silent_ms", ToMillis(now - link.m_last_answer));
    ProposeLostRuns(runner, link, runs, "lapsed");
  }
  for (auto& [task, tracked] : link.m_tracked_runs) {
    if (!NeedsCall(tracked) || now < tracked.m_next_attempt) {
      continue;
    }
    if (tracked.m_stop_requested) {
      tracked.m_call_in_flight = true;
      tracked.m_next_attempt = now + m_options.m_retry_delay * 2;
      SendStop(runner, link, {task, tracked.m_run}, now);
    } else {
      SendStart(runner, link, task, tracked, now);
    }
  }
}

void Dispatcher::ProposeLostRuns(const std::string& runner, RunnerLink& link,
                                 const std::vector<jobs::RunKey>& runs,
                                 std::string_view cause) {
  wire::EndRunsT ends;
  ends.runner = runner;
  ends.born_ms = link.m_born_ms;
  for (const jobs::RunKey& run : runs) {
    TrackedRun& tracked = link.m_tracked_runs[run.m_task];
    if (tracked.m_state == TrackedRunState::kEndProposed) {
      continue;
    }
    tracked.m_state = TrackedRunState::kEndProposed;
    ends.ends.push_back(
        MakeEnd(run, wire::EndKind::Lost, tracked.m_checkpoint));
    ++m_lost_runs[std::string(cause)];
    EventLine(Event::kRunEnded)
        .Field("task", jobs::TaskText(run.m_task))
        .Field("run", run.m_run)
        .Field("runner", runner)
        .Field("how", "lost")
        .Field("cause", cause);
  }
  if (!ends.ends.empty()) {
    m_commands.emplace_back().Set(std::move(ends));
  }
}

void Dispatcher::OnAnswer(const RunnerCall& call, const RunnerAnswer& answer,
                          Instant now) {
  const auto found = m_links.find(call.m_runner);
  if (!leading() || call.m_epoch != m_epoch || found == m_links.end() ||
      found->second.m_born_ms != call.m_born_ms) {
    return;
  }
  RunnerLink& link = found->second;
  link.m_tick_due = Instant();
  if (answer.m_kind == AnswerKind::kNotSent) {
    OnNotSent(call, link, now);
    return;
  }
  // Unless the incarnation itself answers.
  if (call.m_sent >= link.m_last_answer) {
    link.m_ignored_call_sent = std::max(link.m_ignored_call_sent, call.m_sent);
  }
  link.m_bypasses_relay = false;
  const bool is_at_earlier_address =
      answer.m_kind == AnswerKind::kOtherIncarnation &&
      call.m_address != link.m_address;
  if (answer.m_born_ms != 0 && answer.m_born_ms != link.m_born_ms &&
      !is_at_earlier_address) {
    OnOtherIncarnation(call, answer, link, now);
    return;
  }
  link.m_earlier_answers = 0;
  if (answer.m_kind == AnswerKind::kNoAnswer ||
      answer.m_kind == AnswerKind::kRefused ||
      answer.m_kind == AnswerKind::kOtherIncarnation) {
    OnSilence(call, answer, link, now);
  } else {
    link.m_consecutive_timeouts = 0;
    link.m_silent_since = Instant();
    link.m_ignored_call_sent = Instant();
    link.m_last_answer = now;
    // Other answers do not name the incarnation.
    if (call.m_kind == CallKind::kHold) {
      link.m_alive_until = now;
    }
    if (answer.m_clock_ms != 0) {
      link.m_clock_ms = answer.m_clock_ms;
      link.m_clock_read_at = now;
    }
  }
  HandleByKind(call, answer, link, now);
}

void Dispatcher::OnNotSent(const RunnerCall& call, RunnerLink& link,
                           Instant now) {
  // The next attempt is the owner's own. If it may not send either, it waits.
  const Instant next_attempt =
      link.m_bypasses_relay ? now + m_options.m_retry_delay : now;
  link.m_bypasses_relay = true;
  if (call.m_kind == CallKind::kHold) {
    link.m_hold_in_flight = false;
    link.m_next_hold = next_attempt;
    link.m_last_hold = Instant();
    return;
  }
  TrackedRun* const tracked = FindTracked(link, call.m_run);
  if (tracked == nullptr || call.m_kind == CallKind::kThrottle) {
    return;
  }
  tracked->m_call_in_flight = false;
  tracked->m_next_attempt = next_attempt;
  if (call.m_kind == CallKind::kStart) {
    --tracked->m_attempts;
  }
}

void Dispatcher::HandleByKind(const RunnerCall& call,
                              const RunnerAnswer& answer, RunnerLink& link,
                              Instant now) {
  switch (call.m_kind) {
    case CallKind::kStart:
      if (answer.m_kind == AnswerKind::kOk) {
        m_start_recorder.OnStarted(call.m_run.m_task.m_job, now);
      }
      OnStart(call, answer, link, now);
      break;
    case CallKind::kStop:
      OnStop(call, answer, link, now);
      break;
    case CallKind::kHold:
      OnHold(call, answer, link, now);
      break;
    case CallKind::kThrottle:
      break;
  }
}

void Dispatcher::OnOtherIncarnation(const RunnerCall& call,
                                    const RunnerAnswer& answer,
                                    RunnerLink& link, Instant now) {
  if (answer.m_kind == AnswerKind::kOtherIncarnation) {
    // It rejects calls to this one.
    const auto tracked = link.m_tracked_runs.find(call.m_run.m_task);
    if (call.m_kind == CallKind::kStart &&
        tracked != link.m_tracked_runs.end() &&
        tracked->second.m_run == call.m_run.m_run &&
        tracked->second.m_attempts == 1) {
      tracked->second.m_state = TrackedRunState::kRejected;
    }
    ProposeRemoval(call.m_runner, link, RemovalCause::kOtherAnswer, now);
    return;
  }
  if (call.m_kind != CallKind::kHold) {
    // Only a run list shows what runs there.
    link.MarkSuperseded(now);
    link.m_next_hold = std::min(link.m_next_hold, now);
    HandleByKind(call, answer, link, now);
    return;
  }
  link.m_hold_in_flight = false;
  link.m_next_hold = now + m_options.m_retry_delay;
  // An earlier incarnation that answers again and again shows that the
  // registered start time is not that of the runner.
  if (answer.m_born_ms < link.m_born_ms &&
      ++link.m_earlier_answers < kEarlierAnswersToBelieve) {
    return;
  }
  link.MarkSuperseded(now);
  bool may_run_there =
      StopRunsAtNextIncarnation(call.m_runner, link, call.m_sent, now);
  for (const ReportedRun& row : answer.m_running) {
    if (FindTracked(link, row.m_run) != nullptr) {
      m_start_recorder.OnStarted(row.m_run.m_task.m_job, now);
      may_run_there = true;
      SendStop(call.m_runner, link, row.m_run, now);
    }
  }
  wire::EndRunsT ends;
  ends.runner = call.m_runner;
  ends.born_ms = link.m_born_ms;
  ends.seen = call.m_last_recorded_end;
  for (const ReportedEnd& row : answer.m_ended) {
    TrackedRun* const tracked = FindTracked(link, row.m_run);
    if (tracked != nullptr &&
        tracked->m_state != TrackedRunState::kEndProposed) {
      tracked->m_state = TrackedRunState::kEndProposed;
      ends.ends.push_back(MakeEnd(row.m_run, row.m_how, row.m_checkpoint));
    }
  }
  if (!ends.ends.empty()) {
    m_commands.emplace_back().Set(std::move(ends));
  }
  if (!may_run_there) {
    ProposeRemoval(call.m_runner, link, RemovalCause::kOtherAnswer, now);
  }
}

bool Dispatcher::StopRunsAtNextIncarnation(const std::string& runner,
                                           RunnerLink& link, Instant list_sent,
                                           Instant now) {
  bool may_run_there = false;
  for (auto& [task, tracked] : link.m_tracked_runs) {
    // A call of an earlier owner is rejected from the first call of this one
    // on.
    const bool start_was_sent = tracked.m_state == TrackedRunState::kStarting ||
                                tracked.m_state == TrackedRunState::kStarted;
    if (!start_was_sent || tracked.m_attempts == 0 ||
        tracked.HasOnlyRunHere() ||
        (tracked.m_is_stopped_at_next && tracked.m_confirmed_at < list_sent)) {
      continue;
    }
    may_run_there = true;
    if (!tracked.m_call_in_flight && !tracked.m_is_stopped_at_next) {
      tracked.m_stop_requested = true;
      tracked.m_call_in_flight = true;
      SendStop(runner, link, {task, tracked.m_run}, now);
    }
  }
  return may_run_there;
}

void Dispatcher::OnSilence(const RunnerCall& call, const RunnerAnswer& answer,
                           RunnerLink& link, Instant now) {
  // A hold that is kept open breaks as soon as the runner's process ends.
  if (answer.m_kind == AnswerKind::kNoAnswer &&
      call.m_kind == CallKind::kHold &&
      now < call.m_sent + Millis(call.m_wait_ms)) {
    link.m_alive_until = now;
  }
  ++link.m_consecutive_timeouts;
  if (link.m_silent_since != Instant()) {
    m_next_inventory = m_next_inventory == Instant::max()
                           ? now + m_inventory_pause
                           : m_next_inventory;
  } else {
    link.m_silent_since = now;
    m_next_inventory = std::min(m_next_inventory, now + kMinInventoryPause);
    m_inventory_pause = kMinInventoryPause;
    EventLine(Event::kRunnerSilent, Severity::kWarning)
        .Field("runner", call.m_runner)
        .Field("call", NameOf(call.m_kind))
        .Field("answer", NameOf(answer.m_kind))
        .Field("connection_ended", answer.m_connection_ended)
        .Field("runs", link.m_tracked_runs.size())
        .Field("age_ms", ToMillis(now - link.m_last_answer));
  }
  if (answer.m_kind != AnswerKind::kNoAnswer && link.m_tracked_runs.empty()) {
    ProposeRemoval(call.m_runner, link,
                   answer.m_kind == AnswerKind::kRefused
                       ? RemovalCause::kRefused
                       : RemovalCause::kOtherAnswer,
                   now);
  }
}

void Dispatcher::OnStart(const RunnerCall& call, const RunnerAnswer& answer,
                         RunnerLink& link, Instant now) {
  const auto found = link.m_tracked_runs.find(call.m_run.m_task);
  if (found == link.m_tracked_runs.end() ||
      found->second.m_run != call.m_run.m_run) {
    return;
  }
  TrackedRun& tracked = found->second;
  tracked.m_call_in_flight = false;
  tracked.m_confirmed_at = now;
  if (tracked.m_state == TrackedRunState::kEndProposed) {
    return;
  }
  if (answer.m_kind == AnswerKind::kOk) {
    tracked.MarkStarted(now);
    if (link.m_next_hold > now) {
      // The runner is no longer idle.
      link.m_next_hold = now;
    }
    return;
  }
  EventLine(Event::kRunRejected, Severity::kWarning)
      .Field("task", jobs::TaskText(call.m_run.m_task))
      .Field("run", call.m_run.m_run)
      .Field("runner", call.m_runner)
      .Field("answer", NameOf(answer.m_kind))
      .Field("connection_ended", answer.m_connection_ended)
      .Field("attempt", tracked.m_attempts);
  tracked.m_start_interrupted =
      tracked.m_start_interrupted || answer.m_connection_ended;
  switch (answer.m_kind) {
    case AnswerKind::kRefused:
      if (tracked.m_attempts == 1 && !tracked.m_stop_requested) {
        break;  // It was not sent.
      }
      [[fallthrough]];
    case AnswerKind::kOtherIncarnation:
    case AnswerKind::kNoAnswer:
      tracked.m_next_attempt = now + m_options.m_retry_delay;
      if (tracked.m_attempts >= kMaxStartAttempts) {
        // The next run list or the lease expiry shows whether the run is lost.
        tracked.m_stop_requested = true;
      }
      return;
    case AnswerKind::kStaleRun:
    case AnswerKind::kFenced:
      tracked.m_state = TrackedRunState::kRejected;
      link.m_next_hold = std::min(link.m_next_hold, now);
      return;
    case AnswerKind::kNoCapacity:
    case AnswerKind::kUnhealthy:
    case AnswerKind::kInvalid:
      link.m_backoff_until = now + Millis(500);
      break;
    default:
      break;
  }
  if (tracked.m_attempts == 1 && !tracked.m_stop_requested) {
    ProposeLostRuns(call.m_runner, link, {call.m_run}, NameOf(answer.m_kind));
  } else if (!tracked.m_stop_requested) {
    // An earlier start that timed out may still be executed.
    tracked.m_stop_requested = true;
    tracked.m_call_in_flight = true;
    SendStop(call.m_runner, link, call.m_run, now);
  }
}

void Dispatcher::OnStop(const RunnerCall& call, const RunnerAnswer& answer,
                        RunnerLink& link, Instant now) {
  const auto found = link.m_tracked_runs.find(call.m_run.m_task);
  if (found == link.m_tracked_runs.end() ||
      found->second.m_run != call.m_run.m_run) {
    return;
  }
  TrackedRun& tracked = found->second;
  tracked.m_call_in_flight = false;
  if (answer.m_kind == AnswerKind::kOk ||
      answer.m_kind == AnswerKind::kStaleRun) {
    tracked.m_stop_confirmed = true;
    // The earlier incarnation may have answered a call that was sent before.
    tracked.m_is_stopped_at_next =
        link.m_is_superseded &&
        (call.m_sent >= link.m_superseded_at ||
         (answer.m_born_ms != 0 && answer.m_born_ms != link.m_born_ms));
    tracked.m_confirmed_at = now;
    link.m_next_hold = std::min(link.m_next_hold, now);
  } else {
    tracked.m_next_attempt = now + m_options.m_retry_delay;
  }
}

void Dispatcher::OnHold(const RunnerCall& call, const RunnerAnswer& answer,
                        RunnerLink& link, Instant now) {
  link.m_hold_in_flight = false;
  if (answer.m_kind != AnswerKind::kOk) {
    link.m_next_hold = now + m_options.m_retry_delay;
    return;
  }
  if (!link.m_fenced) {
    EventLine(Event::kRunnerFenced)
        .Field("runner", call.m_runner)
        .Field("epoch", m_epoch)
        .Field("running", answer.m_running.size())
        .Field("ended", answer.m_ended.size());
  }
  const jobs::Runner* const known = m_state.FindRunner(call.m_runner);
  const SignOfLife sign = {call.m_runner, call.m_sent};
  if (known != nullptr && !known->m_record.machine.empty()) {
    m_signs_by_machine[known->m_record.machine] = sign;
  }
  if (!call.m_address.empty()) {
    m_signs_by_address[call.m_address] = sign;
  }
  // The first hold grants no lease because the runner's clock has not been read
  // yet; a hold to an unresponsive runner grants none either.
  const bool gave_lease = call.m_expires_ms != 0;
  link.m_is_superseded = false;
  link.m_fenced = true;
  link.m_leases_expired = false;
  link.m_next_hold = link.m_tracked_runs.empty() && gave_lease
                         ? now + m_options.m_idle_hold_interval
                         : now;
  ReconcileRunList(call, answer, link, now);
}

void Dispatcher::ReconcileRunList(const RunnerCall& call,
                                  const RunnerAnswer& answer, RunnerLink& link,
                                  Instant now) {
  for (const ReportedRun& row : answer.m_running) {
    const auto tracked = link.m_tracked_runs.find(row.m_run.m_task);
    if (tracked == link.m_tracked_runs.end() ||
        tracked->second.m_run != row.m_run.m_run) {
      m_start_recorder.OnStarted(row.m_run.m_task.m_job, now);
      SendStop(call.m_runner, link, row.m_run, now);
      continue;
    }
    if (!tracked->second.m_is_listed) {
      m_start_recorder.OnStarted(row.m_run.m_task.m_job, now);
    }
    tracked->second.m_checkpoint = row.m_checkpoint;
    if (tracked->second.m_progress != row.m_percent ||
        tracked->second.m_progressed_at == Instant()) {
      tracked->second.m_progressed_at = now;
    }
    tracked->second.m_progress = row.m_percent;
    tracked->second.m_load = row.m_load;
    tracked->second.m_reported_at = now;
    tracked->second.m_is_listed = true;
    if (tracked->second.m_state != TrackedRunState::kEndProposed) {
      tracked->second.MarkStarted(now);
      tracked->second.m_confirmed_at = now;
    }
  }
  wire::EndRunsT ends;
  ends.runner = call.m_runner;
  ends.born_ms = link.m_born_ms;
  ends.seen = call.m_last_recorded_end;
  std::uint64_t acknowledgeable = answer.m_acknowledgeable;
  for (const ReportedEnd& row : answer.m_ended) {
    if (row.m_end_number <= call.m_last_recorded_end) {
      continue;
    }
    if (row.m_end_number > call.m_last_recorded_end + kMaxEndNumberStep) {
      acknowledgeable = std::min(acknowledgeable, ends.seen);
      continue;
    }
    ends.seen = std::max(ends.seen, row.m_end_number);
    if (row.m_end_number <= link.m_last_processed_end) {
      continue;
    }
    const auto tracked = link.m_tracked_runs.find(row.m_run.m_task);
    if (tracked == link.m_tracked_runs.end() ||
        tracked->second.m_run != row.m_run.m_run) {
      EventLine(Event::kRunEnded, Severity::kWarning)
          .Field("task", jobs::TaskText(row.m_run.m_task))
          .Field("run", row.m_run.m_run)
          .Field("runner", call.m_runner)
          .Field("how", wire::EnumNameEndKind(row.m_how))
          .Field("cause", "not assigned to the runner");
      m_start_recorder.OnStarted(row.m_run.m_task.m_job, now);
      continue;
    }
    tracked->second.m_reported_at = now;
    tracked->second.m_state = TrackedRunState::kEndProposed;
    ends.ends.push_back(MakeEnd(row.m_run, row.m_how, row.m_checkpoint));
    if (link.m_health.RecordEnd(row.m_run.m_task.m_job, row.m_how)) {
      Quarantine(call.m_runner, link, "runs of several jobs failed in a row",
                 now);
    }
    EventLine(Event::kRunEnded)
        .Field("task", jobs::TaskText(row.m_run.m_task))
        .Field("run", row.m_run.m_run)
        .Field("runner", call.m_runner)
        .Field("how", wire::EnumNameEndKind(row.m_how));
  }
  if (answer.m_ended.empty()) {
    StopStalled(call.m_runner, link, now);
  }
  link.m_last_processed_end = std::max(link.m_last_processed_end, ends.seen);
  const bool has_odd_end =
      ends.seen > acknowledgeable || acknowledgeable != kAllEnds;
  ends.seen =
      std::max(call.m_last_recorded_end, std::min(ends.seen, acknowledgeable));
  const bool acknowledges_more =
      ends.seen > call.m_last_recorded_end && !link.m_ends_proposed;
  if (acknowledges_more || !ends.ends.empty()) {
    link.m_ends_proposed = true;
    link.m_next_hold = now + m_options.m_end_batch_delay;
    m_commands.emplace_back().Set(std::move(ends));
  } else if (has_odd_end) {
    // A runner with an end that is not acknowledged answers at once.
    link.m_next_hold = now + m_options.m_retry_delay;
  }
  if (answer.m_is_running_incomplete ||
      answer.m_ended.size() >= kMaxListedEnds) {
    return;  // The ends that are missing may be in the next list.
  }
  std::vector<jobs::RunKey> lost;
  for (const auto& [task, tracked] : link.m_tracked_runs) {
    const bool in_run_list =
        tracked.m_reported_at == now && tracked.m_confirmed_at <= now;
    if (in_run_list || tracked.m_state == TrackedRunState::kEndProposed ||
        tracked.m_confirmed_at >= call.m_sent) {
      continue;
    }
    const bool list_is_conclusive =
        tracked.m_state == TrackedRunState::kInherited ||
        tracked.m_state == TrackedRunState::kStarted ||
        tracked.m_state == TrackedRunState::kRejected ||
        tracked.m_stop_confirmed;
    if (list_is_conclusive && !tracked.m_call_in_flight) {
      lost.push_back({task, tracked.m_run});
    }
  }
  ProposeLostRuns(call.m_runner, link, lost, "missing from the run list");
}

// Limits the quarantine to a share of the pool, so that jobs that fail on every
// runner cannot make the whole pool unusable.
void Dispatcher::Quarantine(const std::string& runner, RunnerLink& link,
                            const char* cause, Instant now) {
  const jobs::Runner* const known = m_state.FindRunner(runner);
  if (known == nullptr || link.m_health.IsQuarantined(now)) {
    return;
  }
  std::size_t pool_runners = 0;
  std::size_t quarantined = 0;
  for (const auto& [id, peer_link] : m_links) {
    const jobs::Runner* const peer = m_state.FindRunner(id);
    if (peer != nullptr && peer->m_record.pool == known->m_record.pool) {
      ++pool_runners;
      quarantined += peer_link.m_health.IsQuarantined(now) ? 1 : 0;
    }
  }
  if ((quarantined + 1) * kQuarantineShareDivisor > pool_runners) {
    return;
  }
  link.m_health.Quarantine(now);
  EventLine(Event::kRunnerAside, Severity::kWarning)
      .Field("runner", runner)
      .Field("cause", cause)
      .Field("aside", quarantined + 1)
      .Field("pool", known->m_record.pool)
      .Field("runners", pool_runners);
}

// Stops runs without progress so that their tasks are assigned to other
// runners. Gangs are skipped, because stopping one member ends the runs of all
// members.
void Dispatcher::StopStalled(const std::string& runner, RunnerLink& link,
                             Instant now) {
  std::vector<jobs::TaskKey> stalled;
  for (const auto& [task, tracked] : link.m_tracked_runs) {
    if (tracked.m_state != TrackedRunState::kStarted ||
        tracked.m_stop_requested || tracked.m_reported_at != now ||
        now < tracked.m_progressed_at + m_options.m_stall_timeout) {
      continue;
    }
    const wire::StepSpecT* const step = m_state.FindStep(task);
    // A best-effort task may legitimately get no CPU for a while.
    if (step != nullptr && !step->lasting && !step->gang && !step->fills &&
        now >= tracked.m_progressed_at +
                   Millis(step->estimate_ms / kStallEstimateDivisor)) {
      stalled.push_back(task);
    }
  }
  if (stalled.size() < kMinStalledRuns) {
    return;
  }
  Quarantine(runner, link, "several runs stalled", now);
  if (!link.m_health.IsQuarantined(now)) {
    return;
  }
  for (const jobs::TaskKey& task : stalled) {
    EventLine(Event::kRunStopped, Severity::kWarning)
        .Field("task", jobs::TaskText(task))
        .Field("runner", runner)
        .Field("why", "no progress");
    StopRun(runner, task, now);
  }
}

}  // namespace bronzebarrow::runs
