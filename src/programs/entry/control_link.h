// An entry's client of the control group: lease renewal, state updates and
// calls to the idempotency ledger.
#ifndef BRONZEBARROW_SRC_PROGRAMS_ENTRY_CONTROL_LINK_H_
#define BRONZEBARROW_SRC_PROGRAMS_ENTRY_CONTROL_LINK_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "bronzebarrow/net.h"
#include "bronzebarrow/routing.h"
#include "programs/entry/entry_settings.h"

namespace bronzebarrow::programs {

/**
 * Parts of a report to build. The view of the targets is expensive, so it is
 * built only for a report that is sent.
 */
enum class ReportScope { kWithoutView, kComplete };

/** State that the entry reports with each lease request. */
struct EntryReport {
  std::uint64_t m_config_version = 0;
  std::uint64_t m_fleet_version = 0;
  // Planned stops whose target has no request in flight at this entry.
  std::vector<std::string> m_drained_stops;
  // Targets present at this entry; empty for ReportScope::kWithoutView.
  std::vector<wire::ObservationT> m_observations;
};

/** Runs on m_strand; HoldsLease and the ledger call may run on any thread. */
class ControlLink : public std::enable_shared_from_this<ControlLink> {
 public:
  using MakeReport = std::function<EntryReport(ReportScope)>;
  using OnUpdate = std::function<void(const wire::StateUpdateT&)>;

  ControlLink(boost::asio::any_io_executor executor,
              const EntrySettings& settings);

  void Start(MakeReport make_report, OnUpdate on_update);
  void Stop();

  /** @return whether the entry may start new work under these versions. */
  bool HoldsLease(std::uint64_t config_version,
                  std::uint64_t fleet_version) const;

  /**
   * Sends a command to the ledger and retries across leader changes.
   * @return the reply, or the verdict Unavailable if none came by the deadline
   */
  boost::asio::awaitable<wire::LedgerReplyT> CallLedger(
      wire::LedgerCommandT command, Instant deadline);

 private:
  /** A ledger call whose reply has not been received. */
  struct PendingCall {
    explicit PendingCall(const boost::asio::any_io_executor& executor)
        : m_wait_timer(executor) {}
    // Cancelled on a reply or a new leader.
    boost::asio::steady_timer m_wait_timer;
    std::optional<wire::LedgerReplyT> m_reply;
  };

  boost::asio::awaitable<wire::LedgerReplyT> CallLedgerOnStrand(
      wire::LedgerCommandT command, Instant deadline);
  void ScheduleTick();
  void Tick(Instant now);
  void SendReport(const EntryReport& report, Instant now);
  void OnFrame(const std::string& member, std::unique_ptr<wire::FrameT> frame);
  void OnGrant(const wire::LeaseGrantT& grant);
  void OnNotLeader(const std::string& member, const wire::NotLeaderT& reply);
  void SwitchLeader(const std::string& leader);
  std::string NextMember() const;
  bool SendToLeader(wire::BodyUnion body);

  std::string m_name;
  Duration m_renewal_interval;
  boost::asio::any_io_executor m_executor;
  boost::asio::strand<boost::asio::any_io_executor> m_strand;
  boost::asio::steady_timer m_tick_timer;
  MakeReport m_make_report;
  OnUpdate m_on_update;
  std::map<std::string, std::shared_ptr<net::FrameDialer>> m_members;
  std::string m_leader;  // The presumed leader; a key of m_members.
  Instant m_last_report_time;
  Instant m_last_switch_time;
  // Send time of the oldest report that m_leader has not answered.
  std::optional<Instant> m_unanswered_since;
  EntryReport m_last_sent_report;  // The base of the next changes.
  bool m_need_full_view = true;
  // Ledger calls in flight, by request id.
  std::map<std::uint64_t, std::shared_ptr<PendingCall>> m_pending_calls;
  std::uint64_t m_next_call = 1;
  bool m_stopping = false;

  mutable std::mutex m_lease_mutex;  // Guards m_lease; a leaf lock.
  routing::EntryLease m_lease;
};

}  // namespace bronzebarrow::programs

#endif  // BRONZEBARROW_SRC_PROGRAMS_ENTRY_CONTROL_LINK_H_
