// One member of the group as a process: the I/O layer around the work core,
// with its sockets, timers and the thread that writes to disk.
#ifndef BRONZEBARROW_NODE_MEMBER_NODE_H_
#define BRONZEBARROW_NODE_MEMBER_NODE_H_

#include <array>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bronzebarrow/base/metrics.h"
#include "bronzebarrow/consensus.h"
#include "bronzebarrow/net.h"
#include "bronzebarrow/net/frame_listener.h"
#include "bronzebarrow/node/leader_link.h"
#include "bronzebarrow/node/organisation_gauges.h"
#include "bronzebarrow/node/protocol_codec.h"
#include "bronzebarrow/node/relay_table.h"
#include "bronzebarrow/node/work_core.h"
#include "bronzebarrow/node/work_inbox.h"

namespace bronzebarrow::node {

struct MemberSettings {
  std::string m_name;  // Host and port at which other members reach it.
  Address m_listen;
  // Names (host and port) of the members to contact first.
  std::vector<std::string> m_seeds;
  std::string m_data_folder;  // Path of the data folder.
  /**
   * Whether the seeds create the group. To be set only when the whole system
   * is new.
   */
  bool m_is_first_start = false;
  std::size_t m_tolerated_losses = 1;  // Members that may be lost at once.
  // Host and port of the platform; empty: none.
  std::string m_platform_address;
  std::string m_adviser_address;  // Host and port; empty: none.
  Duration m_election_timeout = Millis(600);
  Duration m_heartbeat = Millis(100);
  MachineOptions m_machines;
  RelayOptions m_relays;
  bool m_keeps_gaps = false;  // As WorkCoreOptions::m_keeps_gaps.
  WorkInboxOptions m_inbox;
  net::FrameListenerLimits m_frames;  // From members and entries.
  std::size_t m_max_job_bytes = 0;    // As WorkCoreOptions::m_max_job_bytes.
  // Connections to runners, the platform and the adviser.
  net::TargetPoolOptions m_connection_options;
};

/** Why a request got no response. */
enum class RequestFailure {
  kRefused,          // Nothing accepted the connection; it was not sent.
  kConnectionEnded,  // The connection ended before the response.
  kNotPermitted,     // The permission to send it had expired.
  kOther,            // Timed out, malformed, or not connected.
};

/** Runs on one executor that handles one event at a time. */
class MemberNode : public std::enable_shared_from_this<MemberNode> {
 public:
  /** Opens the data folder, creates the group if asked, builds the node. */
  static Result<std::shared_ptr<MemberNode>> Open(
      boost::asio::any_io_executor executor, MemberSettings settings,
      std::shared_ptr<const ProtocolCodec> codec);

  /** Starts to listen, to connect to the members and to tick. */
  Result<void> Start();
  /**
   * Asks another voter to take over the leadership and stops the node when
   * the pending calls are answered or a time limit has passed; then calls
   * `done`.
   */
  void HandOffAndStop(std::function<void()> done);
  void SetSeeds(std::vector<std::string> seeds);

  /**
   * Sends a call to the leader, which may be this member, until it is answered
   * or the deadline has passed.
   * @return the reply; its outcome is Unknown when an attempt may have been
   * executed without an answer.
   */
  boost::asio::awaitable<wire::CallReplyT> Call(wire::CallBodyUnion body,
                                                Instant deadline);

  const WorkCore& core() const { return *m_core; }
  /** @return the request limits of the applied configuration; null if none. */
  const wire::RequestLimitsT* request_limits() const {
    return m_core->state().queues().config().limits.get();
  }
  Metrics& metrics() { return m_metrics; }

 private:
  /** A call to this member's own core that waits for the reply. */
  struct LocalCall {
    explicit LocalCall(const boost::asio::any_io_executor& executor)
        : m_reply_timer(executor) {}
    boost::asio::steady_timer m_reply_timer;
    std::optional<wire::CallReplyT> m_reply;
  };

  /** Work that other members or entries sent; queued until it is served. */
  struct Incoming {
    net::FrameConnectionPtr m_connection;  // Null for answers.
    // Null for answers. Shared by the calls of one frame.
    std::shared_ptr<const net::ReceivedFrame> m_frame;
    std::uint32_t m_index = 0;  // Of the relayed call in the frame.
    // Answers of a member that relays calls.
    std::string m_member;
    std::unique_ptr<wire::RelayedAnswersT> m_answers;
  };
  using Inbox = WorkInbox<Incoming>;
  using Server = void (MemberNode::*)(Inbox::Popped&);

  /** What the member did since it last logged its load. */
  struct Load {
    Duration m_max_lateness = Duration::zero();  // Of its ticks.
    std::uint64_t m_frames = 0;                  // Received.
    std::uint64_t m_calls = 0;          // Received, with repeated ones.
    std::uint64_t m_relayed_calls = 0;  // Received to be carried out.
    // Relayed by others for this member and not answered in time.
    std::uint64_t m_overdue_calls = 0;
  };

  MemberNode(boost::asio::any_io_executor executor, MemberSettings settings,
             std::shared_ptr<const ProtocolCodec> codec,
             std::unique_ptr<consensus::LogStore> store);

  void ScheduleTick();
  // Records how late the tick is, and logs the load once a second.
  void RecordTick();
  void OnFrame(const net::FrameConnectionPtr& connection,
               net::ReceivedFrame received);
  void Push(WorkClass work_class, Incoming incoming,
            Duration patience = Inbox::kUnlimited);
  // Serves the inbox for a few milliseconds, and then lets the sockets and
  // timers have their turn.
  void ServeSlice();
  // Serves what the decisions of a tick depend on.
  void ServeBeforeTick();
  void Serve(Inbox::Popped& popped);
  // One for each class of work.
  static const std::array<Server, kWorkClasses>& Servers();
  void ServeMemberFrame(Inbox::Popped& popped);
  void ServeAnswers(Inbox::Popped& popped);
  void ServeRelayedCall(Inbox::Popped& popped);
  void ServeCall(Inbox::Popped& popped);
  // Whether the job may be accepted already, by an earlier submit.
  bool MayBeKnown(const wire::SubmitCall* submit) const;
  void RefuseSubmit(const Inbox::Popped& popped, const wire::Call& call);
  void PerformActions();
  void StartBatchWrite();
  void SendReply(OutgoingReply& reply);
  void SendViewsIfChanged();
  void SendView(const net::FrameConnectionPtr& connection);
  // `may_send` is asked again once there is a connection. `failure` is valid
  // if there is no response.
  boost::asio::awaitable<std::optional<net::HttpResponse>> SendRequest(
      std::string address, net::HttpRequest request, Duration timeout,
      std::function<bool()> may_send, RequestFailure& failure);
  boost::asio::awaitable<std::optional<net::HttpResponse>> SendLeaderRequest(
      std::string address, net::HttpRequest request, Duration timeout);
  boost::asio::awaitable<runs::RunnerAnswer> CallRunner(
      const runs::RunnerCall& call, std::function<bool()> may_send);
  boost::asio::awaitable<void> SendRunnerCall(runs::RunnerCall call);
  // The leader's side of relayed calls.
  void SendRunnerCalls(std::vector<runs::RunnerCall> calls);
  void OnMemberFrame(const std::string& member, wire::FrameT& frame);
  void HandleOverdueCalls();
  void OnRunnerAnswer(const runs::RunnerCall& call,
                      const runs::RunnerAnswer& answer);
  // The side of the member that relays calls.
  boost::asio::awaitable<void> CarryOut(
      net::FrameConnectionPtr leader, std::unique_ptr<wire::RelayedCallT> call);
  void SendRelayedAnswers();
  boost::asio::awaitable<void> SendMachineRequest(
      fleet::MachineRequest request);
  boost::asio::awaitable<void> ReadMachineInventory();
  boost::asio::awaitable<void> RequestAdvice(AdviceRequest request);
  boost::asio::awaitable<wire::CallReplyT> CallLocally(
      const wire::CallBodyUnion& body, Instant deadline);

  boost::asio::any_io_executor m_executor;
  MemberSettings m_settings;
  std::shared_ptr<const ProtocolCodec> m_codec;
  std::unique_ptr<consensus::LogStore> m_log_store;
  consensus::ReplicaId m_id;
  std::unique_ptr<WorkCore> m_core;
  LeaderLink m_leader_link;
  RelayTable m_relays;
  // Answers to relayed calls that are sent at the end of the current events.
  std::map<net::FrameConnectionPtr, wire::RelayedAnswersT> m_relayed_answers;
  Inbox m_inbox;
  bool m_slice_scheduled = false;  // Set while the inbox is not empty.
  Instant m_next_return;  // When the last caller that was refused may return.
  Metrics m_metrics;
  OrganisationGauges m_organisation_gauges;
  net::TargetPool m_connection_pool;
  boost::asio::steady_timer m_tick_timer;
  boost::asio::thread_pool m_disk_thread{1};
  std::shared_ptr<net::FrameListener> m_listener;
  // Connections that receive a view whenever the leader changes.
  std::set<net::FrameConnectionPtr> m_watchers;
  std::map<CallSource, net::FrameConnectionPtr> m_remote_calls;
  std::map<CallSource, std::shared_ptr<LocalCall>> m_local_calls;
  CallSource m_next_source = 1;
  // Whether this member serves as leader, and the leader's name, as last sent
  // to the watchers.
  bool m_sent_leading = false;
  std::string m_sent_leader;
  bool m_is_reading_inventory = false;
  bool m_stopping = false;
  Instant m_tick_due;
  Load m_load;
  Instant m_next_load_log;
};

}  // namespace bronzebarrow::node

#endif  // BRONZEBARROW_NODE_MEMBER_NODE_H_
