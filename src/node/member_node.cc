// The member's I/O layer: frames between members, the disk thread, and calls
// to runners, the machines' platform and the adviser.
#include "bronzebarrow/node/member_node.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdlib>
#include <random>
#include <utility>

#include "bronzebarrow/base/event_log.h"
#include "bronzebarrow/node/data_folder.h"

namespace bronzebarrow::node {
namespace {

namespace asio = boost::asio;

constexpr Duration kTickInterval = Millis(25);
// A tick that is later than this shows that frames of other members, which send
// one each 400 ms, were not read meanwhile.
constexpr Duration kMinUnattended = Millis(400);
constexpr Duration kLoadLogInterval = Millis(1000);
// Time allowed for a runner's response beyond the wait that the call asks for:
// two trips between zones, the runner's processing and a margin for delays.
constexpr Duration kRunnerResponseTimeout = Millis(700);
constexpr Duration kMachineTimeout = Millis(1500);
constexpr Duration kAdviceTimeout = Millis(6000);
constexpr int kMaxInventoryPages = 64;
constexpr Duration kRetirePollInterval = Millis(50);
constexpr int kMaxRetirePolls = 30;
// Members send their view every 400 ms; two may be missing.
constexpr Duration kRecentLeaderContact = Millis(1000);

// Longest time between two turns of the sockets and timers.
constexpr Duration kSliceTime = Millis(4);
// Callers that are refused because the member is late return one after the
// other at this interval, not sooner and not later than the two limits.
constexpr Duration kReturnInterval = Millis(5);
constexpr Duration kMinReturnDelay = Millis(500);
constexpr Duration kMaxReturnDelay = Millis(4000);

WorkClass ClassOf(wire::CallBody call) {
  switch (call) {
    case wire::CallBody::SubmitCall:
      return WorkClass::kSubmit;
    case wire::CallBody::ReadJobCall:
    case wire::CallBody::CancelCall:
      return WorkClass::kRead;
    default:
      return WorkClass::kReport;
  }
}

WorkClass ClassOf(runs::CallKind call) {
  switch (call) {
    case runs::CallKind::kHold:
      return WorkClass::kHold;
    case runs::CallKind::kStart:
      return WorkClass::kStart;
    default:
      return WorkClass::kStop;
  }
}

// By class of work.
const std::string& ClassLabel(WorkClass work_class) {
  static const std::array<std::string, kWorkClasses> labels = [] {
    std::array<std::string, kWorkClasses> built;
    for (std::size_t i = 0; i < kWorkClasses; ++i) {
      built[i] =
          "class=\"" + std::string(NameOf(static_cast<WorkClass>(i))) + '"';
    }
    return built;
  }();
  return labels[static_cast<std::size_t>(work_class)];
}

// The clock by which the leader limits how long a relayed call may be sent.
std::uint64_t ClockMillis() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Millis>(Now().time_since_epoch()).count());
}

WorkCoreOptions MakeCoreOptions(const MemberSettings& settings,
                                const consensus::ReplicaId& id) {
  std::random_device random;
  WorkCoreOptions options;
  options.m_replica.m_id = id;
  options.m_replica.m_peers = settings.m_seeds;
  std::erase(options.m_replica.m_peers, settings.m_name);
  options.m_replica.m_election_timeout = settings.m_election_timeout;
  options.m_replica.m_heartbeat_interval = settings.m_heartbeat;
  options.m_replica.m_seed = random();
  options.m_replica.m_removes_unresponsive = true;
  options.m_replica.m_min_voters = 2 * settings.m_tolerated_losses + 1;
  options.m_machines = settings.m_machines;
  options.m_keeps_gaps = settings.m_keeps_gaps;
  options.m_max_job_bytes = settings.m_max_job_bytes;
  options.m_first_token = static_cast<std::uint64_t>(random()) << 32;
  return options;
}

// The connection pool needs no strands: a member runs on one executor that
// handles one event at a time.
net::TargetPoolOptions SerialPoolOptions(net::TargetPoolOptions options) {
  options.m_executor_is_serial = true;
  return options;
}

DataFolderSettings MakeFolderSettings(const MemberSettings& settings) {
  const bool is_seed =
      std::find(settings.m_seeds.begin(), settings.m_seeds.end(),
                settings.m_name) != settings.m_seeds.end();
  DataFolderSettings folder;
  folder.m_folder = settings.m_data_folder;
  folder.m_member = settings.m_name;
  if (settings.m_is_first_start && is_seed) {
    folder.m_initial_members = settings.m_seeds;
  }
  return folder;
}

}  // namespace

Result<std::shared_ptr<MemberNode>> MemberNode::Open(
    asio::any_io_executor executor, MemberSettings settings,
    std::shared_ptr<const ProtocolCodec> codec) {
  BOOST_LEAF_AUTO(store, OpenDataFolder(MakeFolderSettings(settings)));
  const auto& recovered = store->recovered();
  EventLine(Event::kLogRecovered)
      .Field("member", settings.m_name)
      .Field("generation", recovered.m_id.m_generation)
      .Field("entries", recovered.m_state.m_entries.size())
      .Field("base", recovered.m_state.m_base_index)
      .Field("cut_bytes", recovered.m_cut_bytes)
      .Field("is_new", recovered.m_is_new);
  return std::shared_ptr<MemberNode>(
      new MemberNode(std::move(executor), std::move(settings), std::move(codec),
                     std::move(store)));
}

MemberNode::MemberNode(asio::any_io_executor executor, MemberSettings settings,
                       std::shared_ptr<const ProtocolCodec> codec,
                       std::unique_ptr<consensus::LogStore> store)
    : m_executor(executor),
      m_settings(std::move(settings)),
      m_codec(std::move(codec)),
      m_log_store(std::move(store)),
      m_id(m_log_store->recovered().m_id),
      m_core(std::make_unique<WorkCore>(
          MakeCoreOptions(m_settings, m_id),
          std::move(m_log_store->recovered().m_state), CurrentMoment())),
      m_leader_link(executor, m_settings.m_name, m_settings.m_seeds),
      m_relays(m_settings.m_relays),
      m_inbox(m_settings.m_inbox),
      m_organisation_gauges(m_metrics),
      m_connection_pool(executor,
                        SerialPoolOptions(m_settings.m_connection_options)),
      m_tick_timer(executor) {}

Result<void> MemberNode::Start() {
  const auto self = shared_from_this();
  BOOST_LEAF_ASSIGN(m_listener,
                    net::FrameListener::Listen(
                        m_executor, m_settings.m_listen, m_settings.m_frames,
                        [self](const net::FrameConnectionPtr& from,
                               net::ReceivedFrame frame) {
                          self->OnFrame(from, std::move(frame));
                        },
                        [self](const net::FrameConnectionPtr& from) {
                          self->m_watchers.erase(from);
                        }));
  m_leader_link.SetObservers(
      [this](const std::string& member, wire::FrameT& frame) {
        OnMemberFrame(member, frame);
      },
      [this](const std::string& member) { m_relays.OnConnect(member); });
  m_leader_link.Start();
  PerformActions();
  ScheduleTick();
  return {};
}

void MemberNode::HandOffAndStop(std::function<void()> done) {
  m_core->TransferLeadership(CurrentMoment());
  PerformActions();
  asio::co_spawn(
      m_executor,
      [self = shared_from_this(),
       done = std::move(done)]() -> asio::awaitable<void> {
        asio::steady_timer timer(self->m_executor);
        boost::system::error_code ignored;
        for (int i = 0; i < kMaxRetirePolls; ++i) {
          timer.expires_after(kRetirePollInterval);
          co_await timer.async_wait(
              asio::redirect_error(asio::use_awaitable, ignored));
          if (!self->m_core->CanServe(Now()) && self->m_remote_calls.empty() &&
              self->m_local_calls.empty() && self->m_inbox.empty()) {
            break;
          }
        }
        self->m_stopping = true;
        self->m_tick_timer.cancel();
        self->m_leader_link.Stop();
        done();
      },
      asio::detached);
}

void MemberNode::SetSeeds(std::vector<std::string> seeds) {
  m_settings.m_seeds = std::move(seeds);
  m_leader_link.SetSeeds(m_settings.m_seeds);
}

void MemberNode::ScheduleTick() {
  m_tick_due = Now() + kTickInterval;
  m_tick_timer.expires_after(kTickInterval);
  m_tick_timer.async_wait([self = shared_from_this()](const auto& error) {
    if (error || self->m_stopping) {
      return;
    }
    self->RecordTick();
    std::vector<std::string> peers(self->m_leader_link.members().begin(),
                                   self->m_leader_link.members().end());
    peers.insert(peers.end(), self->m_settings.m_seeds.begin(),
                 self->m_settings.m_seeds.end());
    std::sort(peers.begin(), peers.end());
    peers.erase(std::unique(peers.begin(), peers.end()), peers.end());
    std::erase(peers, self->m_settings.m_name);
    self->m_core->SetPeers(std::move(peers));
    self->ServeBeforeTick();
    self->HandleOverdueCalls();
    self->m_core->Tick(CurrentMoment());
    self->PerformActions();
    if (self->m_core->CanServe(Now())) {
      self->m_leader_link.EndCalls();
    }
    FlushLog();
    self->ScheduleTick();
  });
}

void MemberNode::RecordTick() {
  const Instant now = Now();
  const Duration lateness = std::max(now - m_tick_due, Duration::zero());
  if (lateness >= kMinUnattended) {
    m_relays.OnUnattended(lateness, now);
    m_core->OnUnattended(lateness, CurrentMoment());
  }
  m_metrics.Observe("bronzebarrow_tick_late_seconds", "",
                    std::chrono::duration<double>(lateness).count());
  m_load.m_max_lateness = std::max(m_load.m_max_lateness, lateness);
  if (now < m_next_load_log) {
    return;
  }
  m_next_load_log = now + kLoadLogInterval;
  m_organisation_gauges.Set(m_core->CanServe(now)
                                ? m_core->LargestOrganisations()
                                : std::vector<OrganisationUse>());
  EventLine(Event::kLoad)
      .Field("max_late_ms",
             std::chrono::duration_cast<Millis>(m_load.m_max_lateness).count())
      .Field("frames", m_load.m_frames)
      .Field("calls", m_load.m_calls)
      .Field("relayed_calls", m_load.m_relayed_calls)
      .Field("overdue_calls", m_load.m_overdue_calls);
  m_load = Load();
}

void MemberNode::OnFrame(const net::FrameConnectionPtr& connection,
                         net::ReceivedFrame received) {
  if (m_stopping) {
    return;
  }
  ++m_load.m_frames;
  Incoming incoming;
  incoming.m_connection = connection;
  incoming.m_frame =
      std::make_shared<const net::ReceivedFrame>(std::move(received));
  const wire::Frame& frame = incoming.m_frame->table();
  if (const wire::RelayedCalls* relayed = frame.body_as_RelayedCalls()) {
    const std::uint32_t calls =
        relayed->calls() == nullptr ? 0 : relayed->calls()->size();
    m_load.m_relayed_calls += calls;
    for (std::uint32_t i = 0; i < calls; ++i) {
      Push(ClassOf(
               static_cast<runs::CallKind>(relayed->calls()->Get(i)->kind())),
           {connection, incoming.m_frame, i, {}, nullptr});
    }
  } else if (const wire::Call* call = frame.body_as_Call()) {
    ++m_load.m_calls;
    m_metrics.Count("bronzebarrow_calls_received_total",
                    std::string("call=\"") +
                        wire::EnumNameCallBody(call->body_type()) + '"');
    const WorkClass work_class = ClassOf(call->body_type());
    const Duration patience =
        call->wait_ms() == 0 ? Inbox::kUnlimited : Millis(call->wait_ms());
    Push(work_class, std::move(incoming), patience);
  } else {
    if (frame.body_type() == wire::Body::ViewRequest) {
      m_watchers.insert(connection);
    }
    Push(WorkClass::kConsensus, std::move(incoming));
  }
}

void MemberNode::Push(WorkClass work_class, Incoming incoming,
                      Duration patience) {
  m_inbox.Push(work_class, std::move(incoming), Now(), patience);
  if (!m_slice_scheduled) {
    m_slice_scheduled = true;
    asio::post(m_executor, [self = shared_from_this()] { self->ServeSlice(); });
  }
}

void MemberNode::ServeSlice() {
  m_slice_scheduled = false;
  if (m_stopping) {
    return;
  }
  m_core->DeferUpdates();
  Instant now = Now();
  const Instant end = now + kSliceTime;
  while (now < end) {
    auto popped = m_inbox.Pop(now);
    if (!popped) {
      break;
    }
    Serve(*popped);
    now = Now();
  }
  m_core->ProcessDeferredUpdates(CurrentMoment());
  PerformActions();
  if (!m_inbox.empty() && !m_slice_scheduled) {
    m_slice_scheduled = true;
    asio::post(m_executor, [self = shared_from_this()] { self->ServeSlice(); });
  }
}

// A late member must not take another one for silent whose messages it has.
void MemberNode::ServeBeforeTick() {
  m_core->DeferUpdates();
  while (m_inbox.size(WorkClass::kConsensus) +
             m_inbox.size(WorkClass::kRunnerAnswer) >
         0) {
    auto popped = m_inbox.Pop(Now());
    Serve(*popped);
  }
  m_core->ProcessDeferredUpdates(CurrentMoment());
}

void MemberNode::Serve(Inbox::Popped& popped) {
  const std::string& label = ClassLabel(popped.m_class);
  m_metrics.Observe("bronzebarrow_inbox_seconds", label,
                    std::chrono::duration<double>(popped.m_waited).count());
  // The sender has sent its calls again on another connection.
  const bool is_abandoned = popped.m_class != WorkClass::kConsensus &&
                            popped.m_item.m_connection != nullptr &&
                            popped.m_item.m_connection->is_closed();
  if (popped.m_state == InboxState::kOverdue || is_abandoned) {
    m_metrics.Count("bronzebarrow_calls_dropped_total", label);
    return;
  }
  (this->*Servers()[static_cast<std::size_t>(popped.m_class)])(popped);
}

const std::array<MemberNode::Server, kWorkClasses>& MemberNode::Servers() {
  static const std::array<Server, kWorkClasses> servers = {
      &MemberNode::ServeMemberFrame, &MemberNode::ServeAnswers,
      &MemberNode::ServeRelayedCall, &MemberNode::ServeRelayedCall,
      &MemberNode::ServeRelayedCall, &MemberNode::ServeCall,
      &MemberNode::ServeCall,        &MemberNode::ServeCall};
  return servers;
}

void MemberNode::ServeMemberFrame(Inbox::Popped& popped) {
  const wire::Frame& table = popped.m_item.m_frame->table();
  if (table.body_type() == wire::Body::ViewRequest) {
    SendView(popped.m_item.m_connection);
  } else if (table.receiver_generation() == 0 ||
             table.receiver_generation() == m_id.m_generation) {
    const std::unique_ptr<wire::FrameT> frame = popped.m_item.m_frame->Unpack();
    m_core->OnPeerMessage({frame->sender, frame->generation}, frame->body,
                          CurrentMoment());
  }
}

void MemberNode::ServeAnswers(Inbox::Popped& popped) {
  const std::string& member = popped.m_item.m_member;
  for (const auto& relayed : popped.m_item.m_answers->answers) {
    if (const auto call = m_relays.Take(member, relayed->id)) {
      OnRunnerAnswer(*call, FromWire(*relayed));
    }
  }
}

void MemberNode::ServeRelayedCall(Inbox::Popped& popped) {
  const wire::RelayedCall* const call =
      popped.m_item.m_frame->table().body_as_RelayedCalls()->calls()->Get(
          popped.m_item.m_index);
  asio::co_spawn(m_executor,
                 CarryOut(popped.m_item.m_connection,
                          std::unique_ptr<wire::RelayedCallT>(call->UnPack())),
                 asio::detached);
}

void MemberNode::ServeCall(Inbox::Popped& popped) {
  const wire::Call& call = *popped.m_item.m_frame->table().body_as_Call();
  if (popped.m_state == InboxState::kTooOld && m_core->CanServe(Now()) &&
      !MayBeKnown(call.body_as_SubmitCall())) {
    RefuseSubmit(popped, call);
    return;
  }
  const CallSource source = m_next_source++;
  m_remote_calls[source] = popped.m_item.m_connection;
  wire::CallT unpacked;
  call.UnPackTo(&unpacked);
  m_core->OnCall(source, unpacked, CurrentMoment());
}

bool MemberNode::MayBeKnown(const wire::SubmitCall* submit) const {
  return submit == nullptr || submit->job() == nullptr ||
         submit->job()->id() == nullptr ||
         m_core->MayHaveJob(submit->job()->id()->string_view());
}

void MemberNode::RefuseSubmit(const Inbox::Popped& popped,
                              const wire::Call& call) {
  m_metrics.Count("bronzebarrow_calls_refused_total",
                  ClassLabel(popped.m_class));
  const Instant now = Now();
  const Instant first_return = now + std::max(kMinReturnDelay, popped.m_waited);
  m_next_return = std::max(m_next_return + kReturnInterval, first_return);
  if (m_next_return > now + kMaxReturnDelay) {
    m_next_return = first_return;  // The whole time is given out: start again.
  }
  wire::CallReplyT reply;
  reply.id = call.id();
  reply.outcome = wire::CallOutcome::Refused;
  reply.text = "the leader is behind with its work";
  reply.retry_after_ms = static_cast<std::uint32_t>(
      ToMillis(std::min(m_next_return - now, kMaxReturnDelay)));
  wire::FrameT frame;
  frame.sender = m_settings.m_name;
  frame.body.Set(std::move(reply));
  popped.m_item.m_connection->Send(frame);
}

void MemberNode::SendView(const net::FrameConnectionPtr& connection) {
  wire::FrameT frame;
  frame.sender = m_settings.m_name;
  wire::GroupViewT view = m_core->View(Now());
  view.clock_ms = ClockMillis();
  if (const auto& limits = m_core->state().queues().config().limits) {
    view.limits = std::make_unique<wire::RequestLimitsT>(*limits);
  }
  frame.body.Set(std::move(view));
  connection->Send(frame);
}

void MemberNode::SendViewsIfChanged() {
  const bool leading = m_core->CanServe(Now());
  const auto& leader = m_core->replica().leader();
  const std::string name = leader ? leader->m_name : "";
  if (leading == m_sent_leading && name == m_sent_leader) {
    return;
  }
  m_sent_leading = leading;
  m_sent_leader = name;
  m_metrics.SetGauge("bronzebarrow_leading", "", leading ? 1 : 0);
  for (const net::FrameConnectionPtr& connection : m_watchers) {
    SendView(connection);
  }
}

void MemberNode::PerformActions() {
  if (const std::uint64_t given_up = m_core->TakeTasksGivenUp()) {
    m_metrics.Count("bronzebarrow_tasks_given_up_total", "", given_up);
  }
  if (const std::uint64_t kept = m_core->TakeGapsKept()) {
    m_metrics.Count("bronzebarrow_gaps_kept_total", "", kept);
  }
  if (const std::uint64_t refused = m_core->TakeKeysRefused()) {
    m_metrics.Count("bronzebarrow_keys_refused_total", "", refused);
  }
  for (const auto& [cause, runs] : m_core->TakeLostRuns()) {
    m_metrics.Count("bronzebarrow_runs_lost_total", "cause=\"" + cause + "\"",
                    runs);
  }
  for (consensus::Outgoing& message : m_core->TakePeerMessages()) {
    wire::FrameT frame;
    frame.sender = m_id.m_name;
    frame.generation = m_id.m_generation;
    frame.receiver_generation = message.m_to.m_generation;
    frame.body = std::move(message.m_body);
    m_leader_link.Send(message.m_to.m_name, frame);
  }
  StartBatchWrite();
  for (OutgoingReply& reply : m_core->TakeReplies()) {
    SendReply(reply);
  }
  SendRunnerCalls(m_core->TakeRunnerCalls());
  for (const std::string& address : m_core->TakeUnusedAddresses()) {
    const auto parsed =
        Capture<Address>([&] { return Address::Parse(address); });
    if (const auto* vacated = std::get_if<Address>(&parsed)) {
      m_connection_pool.CloseIdle(*vacated);
    }
  }
  for (fleet::MachineRequest& request : m_core->TakeMachineRequests()) {
    asio::co_spawn(m_executor, SendMachineRequest(std::move(request)),
                   asio::detached);
  }
  for (AdviceRequest& request : m_core->TakeAdviceRequests()) {
    asio::co_spawn(m_executor, RequestAdvice(std::move(request)),
                   asio::detached);
  }
  if (!m_is_reading_inventory && m_core->TakeInventoryRequest(Now())) {
    m_is_reading_inventory = true;
    asio::co_spawn(m_executor, ReadMachineInventory(), asio::detached);
  }
  SendViewsIfChanged();
}

void MemberNode::StartBatchWrite() {
  if (!m_core->HasBatch()) {
    return;
  }
  auto batch =
      std::make_shared<consensus::DurableBatchOut>(m_core->TakeBatch(Now()));
  asio::post(m_disk_thread, [self = shared_from_this(), batch] {
    WriteUntilStored(*self->m_log_store, *batch);
    asio::post(self->m_executor, [self] {
      self->m_core->BatchSynced(CurrentMoment());
      self->PerformActions();
    });
  });
}

void MemberNode::SendReply(OutgoingReply& reply) {
  const auto remote = m_remote_calls.find(reply.m_source);
  if (remote != m_remote_calls.end()) {
    wire::FrameT frame;
    frame.sender = m_settings.m_name;
    frame.body.Set(std::move(reply.m_reply));
    remote->second->Send(frame);
    m_remote_calls.erase(remote);
    return;
  }
  const auto local = m_local_calls.find(reply.m_source);
  if (local != m_local_calls.end()) {
    local->second->m_reply = std::move(reply.m_reply);
    local->second->m_reply_timer.cancel();
  }
}

asio::awaitable<wire::CallReplyT> MemberNode::CallLocally(
    const wire::CallBodyUnion& body, Instant deadline) {
  const CallSource source = m_next_source++;
  const auto local = std::make_shared<LocalCall>(m_executor);
  m_local_calls[source] = local;
  wire::CallT call;
  call.id = source;
  call.body = body;
  m_core->OnCall(source, call, CurrentMoment());
  PerformActions();
  if (!local->m_reply) {
    local->m_reply_timer.expires_after(
        std::max(deadline - Now(), Duration::zero()));
    boost::system::error_code ignored;
    co_await local->m_reply_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  m_local_calls.erase(source);
  wire::CallReplyT unknown;
  unknown.outcome = wire::CallOutcome::Unknown;
  co_return local->m_reply ? std::move(*local->m_reply) : std::move(unknown);
}

asio::awaitable<wire::CallReplyT> MemberNode::Call(wire::CallBodyUnion body,
                                                   Instant deadline) {
  wire::CallReplyT reply;
  const auto* const report = body.AsReportRunnerCall();
  if (report != nullptr && m_core->IsRepeatedReport(*report) &&
      m_leader_link.HasRecentLeaderContact(Now(), kRecentLeaderContact)) {
    reply.outcome = wire::CallOutcome::Accepted;
    co_return reply;
  }
  reply.outcome = wire::CallOutcome::NotRun;
  bool uncertain = false;
  while (Now() < deadline && !m_stopping) {
    // The tick ends remote calls when this member has become the leader.
    if (m_core->CanServe(Now())) {
      reply = co_await CallLocally(body, deadline);
    } else {
      wire::CallBodyUnion copy = body;
      reply = co_await m_leader_link.Call(std::move(copy), deadline);
    }
    uncertain = uncertain || reply.outcome == wire::CallOutcome::Unknown;
    if (reply.outcome != wire::CallOutcome::NotRun &&
        reply.outcome != wire::CallOutcome::NotLeader &&
        reply.outcome != wire::CallOutcome::Unknown) {
      break;
    }
    if (reply.outcome == wire::CallOutcome::NotRun && !reply.text.empty()) {
      break;  // The leader itself refused the call and gave the reason.
    }
  }
  if (reply.outcome == wire::CallOutcome::NotLeader) {
    reply.outcome = wire::CallOutcome::NotRun;
  }
  if (uncertain && (reply.outcome == wire::CallOutcome::NotRun ||
                    reply.outcome == wire::CallOutcome::Refused)) {
    reply.outcome = wire::CallOutcome::Unknown;
  }
  co_return reply;
}

asio::awaitable<std::optional<net::HttpResponse>> MemberNode::SendRequest(
    std::string address, net::HttpRequest request, Duration timeout,
    std::function<bool()> may_send, RequestFailure& failure) {
  failure = RequestFailure::kOther;
  const auto parsed = Capture<Address>([&] { return Address::Parse(address); });
  if (std::holds_alternative<Failure>(parsed)) {
    co_return std::nullopt;
  }
  const Address& target = std::get<Address>(parsed);
  const Instant deadline = Now() + timeout;
  bool refused = false;
  const net::TargetConnectionPtr connection =
      co_await m_connection_pool.Acquire(target, deadline, &refused);
  if (!connection) {
    failure = refused ? RequestFailure::kRefused : RequestFailure::kOther;
    co_return std::nullopt;
  }
  // Only the leader may call runners and the platform. If this process was
  // suspended while it connected, a new leader may have sent requests since
  // that this one would contradict.
  if (!may_send()) {
    m_connection_pool.Release(target, connection);
    EventLine(Event::kCallUncertain, Severity::kWarning)
        .Field("call", std::string_view(request.target()))
        .Field("address", address)
        .Field("why", "not sent: the leadership was not confirmed in time");
    failure = RequestFailure::kNotPermitted;
    co_return std::nullopt;
  }
  request.set(boost::beast::http::field::host, address);
  request.prepare_payload();
  net::ExchangeResult result = co_await m_connection_pool.Exchange(
      connection, target, std::move(request), deadline);
  if (result.m_verdict != net::ExchangeVerdict::kAnswered) {
    if (result.m_verdict == net::ExchangeVerdict::kBroken) {
      failure = RequestFailure::kConnectionEnded;
    }
    co_return std::nullopt;
  }
  co_return std::move(result.m_response);
}

asio::awaitable<std::optional<net::HttpResponse>> MemberNode::SendLeaderRequest(
    std::string address, net::HttpRequest request, Duration timeout) {
  const std::function<bool()> may_send = [this] {
    return m_core->CanServe(Now());
  };
  RequestFailure failure = RequestFailure::kOther;
  co_return co_await SendRequest(std::move(address), std::move(request),
                                 timeout, may_send, failure);
}

asio::awaitable<runs::RunnerAnswer> MemberNode::CallRunner(
    const runs::RunnerCall& call, std::function<bool()> may_send) {
  const Instant begun = Now();
  RequestFailure failure = RequestFailure::kOther;
  const std::optional<net::HttpResponse> response =
      co_await SendRequest(call.m_address, m_codec->Encode(call),
                           kRunnerResponseTimeout + Millis(call.m_wait_ms),
                           std::move(may_send), failure);
  runs::RunnerAnswer answer;
  if (response) {
    answer = m_codec->Decode(call, *response);
  } else if (failure == RequestFailure::kRefused) {
    answer.m_kind = runs::AnswerKind::kRefused;
  } else if (failure == RequestFailure::kNotPermitted) {
    answer.m_kind = runs::AnswerKind::kNotSent;
  } else {
    answer.m_connection_ended = failure == RequestFailure::kConnectionEnded;
  }
  const std::string label = "call=\"" + std::string(NameOf(call.m_kind)) + "\"";
  m_metrics.Observe("bronzebarrow_runner_call_seconds", label,
                    std::chrono::duration<double>(Now() - begun).count());
  co_return answer;
}

asio::awaitable<void> MemberNode::SendRunnerCall(runs::RunnerCall call) {
  const auto self = shared_from_this();
  const std::function<bool()> may_send = [this] {
    return m_core->CanServe(Now());
  };
  const runs::RunnerAnswer answer = co_await CallRunner(call, may_send);
  OnRunnerAnswer(call, answer);
  PerformActions();
}

void MemberNode::OnRunnerAnswer(const runs::RunnerCall& call,
                                const runs::RunnerAnswer& answer) {
  if (answer.m_kind != runs::AnswerKind::kOk) {
    m_metrics.Count("bronzebarrow_runner_calls_failed_total",
                    "call=\"" + std::string(NameOf(call.m_kind)) +
                        "\",answer=\"" + std::string(NameOf(answer.m_kind)) +
                        "\"");
  }
  m_core->OnRunnerAnswer(call, answer, CurrentMoment());
}

// Calls to a runner that left the last one unanswered go directly, in case only
// the other member cannot reach it.
void MemberNode::SendRunnerCalls(std::vector<runs::RunnerCall> calls) {
  std::stable_sort(calls.begin(), calls.end(),
                   [](const runs::RunnerCall& a, const runs::RunnerCall& b) {
                     return ClassOf(a.m_kind) < ClassOf(b.m_kind);
                   });
  const Instant now = Now();
  const std::size_t runners = m_core->state().runners().size();
  std::map<std::string, wire::RelayedCallsT> batches;
  for (runs::RunnerCall& call : calls) {
    const runs::RunnerLink* const link =
        m_core->dispatcher().FindLink(call.m_runner);
    const std::string member =
        link == nullptr || link->m_consecutive_timeouts > 0 ||
                link->m_bypasses_relay
            ? ""
            : m_relays.ChooseMember(call.m_runner, runners, now);
    if (member.empty()) {
      asio::co_spawn(m_executor, SendRunnerCall(std::move(call)),
                     asio::detached);
    } else {
      batches[member].calls.push_back(std::make_unique<wire::RelayedCallT>(
          m_relays.Add(member, call, m_core->ServesUntil(), now)));
    }
  }
  for (auto& [member, batch] : batches) {
    m_metrics.Count("bronzebarrow_relayed_calls_total",
                    "member=\"" + member + "\"", batch.calls.size());
    wire::FrameT frame;
    frame.sender = m_settings.m_name;
    frame.body.Set(std::move(batch));
    if (m_leader_link.Send(member, frame)) {
      continue;
    }
    for (const auto& relayed : frame.body.AsRelayedCalls()->calls) {
      if (auto call = m_relays.Take(member, relayed->id)) {
        asio::co_spawn(m_executor, SendRunnerCall(std::move(*call)),
                       asio::detached);
      }
    }
  }
}

void MemberNode::OnMemberFrame(const std::string& member, wire::FrameT& frame) {
  const Instant now = Now();
  m_relays.OnFrame(member, now);
  if (const auto* view = frame.body.AsGroupView()) {
    m_relays.OnClock(member, view->clock_ms, now);
    return;
  }
  auto* const batch = frame.body.AsRelayedAnswers();
  if (batch == nullptr || m_stopping) {
    return;
  }
  Incoming incoming;
  incoming.m_member = member;
  incoming.m_answers =
      std::make_unique<wire::RelayedAnswersT>(std::move(*batch));
  Push(WorkClass::kRunnerAnswer, std::move(incoming));
}

void MemberNode::HandleOverdueCalls() {
  for (const runs::RunnerCall& call : m_relays.TakeOverdue(Now())) {
    ++m_load.m_overdue_calls;
    OnRunnerAnswer(call, runs::RunnerAnswer());
  }
}

asio::awaitable<void> MemberNode::CarryOut(
    net::FrameConnectionPtr leader, std::unique_ptr<wire::RelayedCallT> call) {
  const auto self = shared_from_this();
  const std::uint64_t not_after_ms = call->not_after_ms;
  const std::function<bool()> may_send = [not_after_ms] {
    return ClockMillis() <= not_after_ms;
  };
  const runs::RunnerCall runner_call = FromWire(*call);
  wire::RelayedAnswerT relayed;
  if (may_send()) {
    relayed = ToWire(co_await CallRunner(runner_call, may_send));
  } else {
    EventLine(Event::kCallUncertain, Severity::kWarning)
        .Field("call", NameOf(runner_call.m_kind))
        .Field("runner", runner_call.m_runner)
        .Field("late_ms", ClockMillis() - not_after_ms)
        .Field("why", "not sent: the leader's permission has expired");
    runs::RunnerAnswer not_sent;
    not_sent.m_kind = runs::AnswerKind::kNotSent;
    relayed = ToWire(not_sent);
  }
  relayed.id = call->id;
  if (m_relayed_answers.empty()) {
    asio::post(m_executor, [self] { self->SendRelayedAnswers(); });
  }
  m_relayed_answers[leader].answers.push_back(
      std::make_unique<wire::RelayedAnswerT>(std::move(relayed)));
}

void MemberNode::SendRelayedAnswers() {
  for (auto& [leader, answers] : std::exchange(m_relayed_answers, {})) {
    wire::FrameT frame;
    frame.sender = m_settings.m_name;
    frame.body.Set(std::move(answers));
    leader->Send(frame);
  }
}

asio::awaitable<void> MemberNode::SendMachineRequest(
    fleet::MachineRequest request) {
  const auto self = shared_from_this();
  const auto response = co_await SendLeaderRequest(
      m_settings.m_platform_address, m_codec->Encode(request), kMachineTimeout);
  m_core->OnMachineAnswer(
      request,
      response ? m_codec->Decode(*response) : fleet::MachineResponse::kNoAnswer,
      CurrentMoment());
  PerformActions();
}

asio::awaitable<void> MemberNode::ReadMachineInventory() {
  const auto self = shared_from_this();
  const Instant requested_at = Now();
  std::vector<fleet::Machine> machines;
  std::string page;
  for (int i = 0; i < kMaxInventoryPages; ++i) {
    const auto response = co_await SendLeaderRequest(
        m_settings.m_platform_address, m_codec->EncodeInventoryRequest(page),
        kMachineTimeout);
    const auto next = response
                          ? m_codec->DecodeInventoryPage(*response, machines)
                          : std::nullopt;
    if (!next) {
      EventLine(Event::kCallUncertain, Severity::kWarning)
          .Field("call", "machine inventory")
          .Field("page", page);
      m_is_reading_inventory = false;
      co_return;
    }
    if (next->empty()) {
      break;
    }
    page = *next;
  }
  EventLine(Event::kSummary).Field("machines_listed", machines.size());
  m_is_reading_inventory = false;
  m_core->OnMachineInventory(std::move(machines), requested_at,
                             CurrentMoment());
  PerformActions();
}

asio::awaitable<void> MemberNode::RequestAdvice(AdviceRequest request) {
  const auto self = shared_from_this();
  const std::string step = request.m_job_name + '.' +
                           std::to_string(request.m_step.m_occurrence) + '.' +
                           std::to_string(request.m_step.m_step);
  const auto response = co_await SendLeaderRequest(
      m_settings.m_adviser_address,
      m_codec->EncodeAdvice(step, request.m_runners), kAdviceTimeout);
  const std::optional<Advice> advice =
      response ? m_codec->DecodeAdvice(*response) : std::nullopt;
  EventLine(Event::kAdviceTaken)
      .Field("step", step)
      .Field("asked", request.m_runners.size())
      .Field("allowed",
             advice ? std::to_string(advice->m_tickets.size()) : "no answer");
  m_core->OnAdvice(request, advice ? &advice->m_tickets : nullptr,
                   advice ? advice->m_valid_ms : 0, CurrentMoment());
  PerformActions();
}

}  // namespace bronzebarrow::node
