// Tests of the calls that a MemberNode sends to a leader, and of those that it
// serves as the leader of a group of one.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>
#include <vector>

#include "bronzebarrow/node.h"
#include "fake_member.h"
#include "scratch_folder.h"

namespace bronzebarrow::node {
namespace {

namespace asio = boost::asio;

constexpr Duration kTestLimit = Millis(6000);
constexpr const char* kJob = "00000000000000a1";

/** Encodes empty requests; these tests have no platform and no runners. */
class EmptyCodec : public ProtocolCodec {
 public:
  net::HttpRequest Encode(const runs::RunnerCall&) const override { return {}; }
  runs::RunnerAnswer Decode(const runs::RunnerCall&,
                            const net::HttpResponse&) const override {
    return {};
  }
  net::HttpRequest EncodeInventoryRequest(const std::string&) const override {
    return {};
  }
  std::optional<std::string> DecodeInventoryPage(
      const net::HttpResponse&, std::vector<fleet::Machine>&) const override {
    return std::nullopt;
  }
  net::HttpRequest Encode(const fleet::MachineRequest&) const override {
    return {};
  }
  fleet::MachineResponse Decode(const net::HttpResponse&) const override {
    return fleet::MachineResponse::kNoAnswer;
  }
  net::HttpRequest EncodeAdvice(
      const std::string&, const std::vector<std::string>&) const override {
    return {};
  }
  std::optional<Advice> DecodeAdvice(const net::HttpResponse&) const override {
    return std::nullopt;
  }
};

class MemberCallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberCallsTest);
  CPPUNIT_TEST(SlowLeaderGetsOneCopy);
  CPPUNIT_TEST(RefusesSubmitsThatWaitedTooLong);
  CPPUNIT_TEST(ServesSubmitsOfKnownJobs);
  CPPUNIT_TEST(RefusedCallersReturnOneAfterTheOther);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_scratch = std::make_unique<ScratchFolder>();
    m_io = std::make_unique<asio::io_context>(1);
  }
  void tearDown() override {
    m_link->Stop();
    bool stopped = false;
    m_node->HandOffAndStop([&] { stopped = true; });
    RunUntil([&] { return stopped; });
    m_io->run_for(Millis(100));
    m_link.reset();
    m_node.reset();
    m_leader.reset();
    m_io.reset();
    m_scratch.reset();
  }

  // Guards against a member that sends a report again and again to a leader
  // that is short of processor time.
  void SlowLeaderGetsOneCopy() {
    m_leader = std::make_unique<FakeMember>(*m_io);
    StartNode(m_leader->name(), WorkInboxOptions());
    m_leader->SetView(5, true, {m_leader->name()});
    std::optional<wire::CallReplyT> reply;
    asio::co_spawn(
        *m_io,
        [&]() -> asio::awaitable<void> {
          wire::CallBodyUnion body;
          body.Set(wire::ReadConfigCallT());
          reply = co_await m_node->Call(std::move(body), Now() + Millis(4000));
        },
        asio::detached);
    RunUntil([&] { return m_leader->m_calls > 0; });
    m_io->run_for(Millis(1500));
    m_leader->ReplyToLastCall(wire::CallOutcome::Found);
    RunUntil([&] { return reply.has_value(); });
    CPPUNIT_ASSERT_EQUAL(1, m_leader->m_calls);
    CPPUNIT_ASSERT(reply->outcome == wire::CallOutcome::Found);
  }

  void RefusesSubmitsThatWaitedTooLong() {
    StartLeaderThatRefuses();
    PutConfig();
    const wire::CallReplyT reply = Submit();
    CPPUNIT_ASSERT(reply.outcome == wire::CallOutcome::Refused);
    CPPUNIT_ASSERT(reply.retry_after_ms > 0);
    m_io->run_for(Millis(200));
    CPPUNIT_ASSERT(m_node->core().state().FindJob(0xa1) == nullptr);
    // Calls of other kinds are served, however long they waited.
    CPPUNIT_ASSERT(Ask(wire::ReadConfigCallT()).outcome !=
                   wire::CallOutcome::Refused);
    CPPUNIT_ASSERT(
        m_node->metrics().Expose().find(
            "bronzebarrow_calls_refused_total{class=\"submit\"} 1") !=
        std::string::npos);
  }

  // Guards against a refusal of a job that an earlier submit has had accepted:
  // a refused job never runs.
  void ServesSubmitsOfKnownJobs() {
    StartLeaderThatRefuses();
    PutConfig();
    // The member's own calls do not wait in the inbox.
    std::optional<wire::CallReplyT> reply;
    asio::co_spawn(
        *m_io,
        [&]() -> asio::awaitable<void> {
          wire::CallBodyUnion body;
          body.Set(SubmitOf(kJob));
          reply = co_await m_node->Call(std::move(body), Now() + Millis(3000));
        },
        asio::detached);
    RunUntil([&] { return reply.has_value(); });
    CPPUNIT_ASSERT(reply->outcome == wire::CallOutcome::Accepted);
    CPPUNIT_ASSERT(Submit().outcome == wire::CallOutcome::Accepted);
    CPPUNIT_ASSERT(!m_node->core().MayHaveJob("00000000000000a2"));
  }

  void RefusedCallersReturnOneAfterTheOther() {
    StartLeaderThatRefuses();
    constexpr std::size_t kCallers = 5;
    const Instant sent_at = Now();
    std::vector<wire::CallReplyT> replies;
    for (std::size_t i = 0; i < kCallers; ++i) {
      asio::co_spawn(
          *m_io,
          [&]() -> asio::awaitable<void> {
            wire::CallBodyUnion body;
            body.Set(SubmitOf(kJob));
            replies.push_back(
                co_await m_link->Call(std::move(body), Now() + Millis(3000)));
          },
          asio::detached);
    }
    RunUntil([&] { return replies.size() == kCallers; });
    const auto served_ms =
        static_cast<std::uint32_t>(ToMillis(Now() - sent_at));
    std::vector<std::uint32_t> returns_ms;
    for (const wire::CallReplyT& reply : replies) {
      CPPUNIT_ASSERT(reply.retry_after_ms <= 4000);
      returns_ms.push_back(reply.retry_after_ms);
    }
    // Counted in whole milliseconds from the replies, which differ by the time
    // that serving took.
    std::sort(returns_ms.begin(), returns_ms.end());
    CPPUNIT_ASSERT(returns_ms.back() + served_ms + 1 >=
                   returns_ms.front() + (kCallers - 1) * 5);
  }

 private:
  void StartLeaderThatRefuses() {
    // Below zero: all submits are too old.
    StartNode("", WorkInboxOptions{Millis(-1)});
  }

  /** Starts a member; it creates a group of its own if `seed` is empty. */
  void StartNode(const std::string& seed, WorkInboxOptions inbox) {
    const std::string name = "127.0.0.1:" + std::to_string(FreePort());
    MemberSettings settings;
    settings.m_name = name;
    settings.m_listen = std::get<Address>(
        Capture<Address>([&] { return Address::Parse(name); }));
    settings.m_seeds = {seed.empty() ? name : seed};
    settings.m_data_folder = m_scratch->path() + "/data";
    settings.m_is_first_start = seed.empty();
    settings.m_inbox = inbox;
    auto opened = Capture<std::shared_ptr<MemberNode>>([&] {
      return MemberNode::Open(m_io->get_executor(), settings,
                              std::make_shared<EmptyCodec>());
    });
    m_node = std::get<std::shared_ptr<MemberNode>>(opened);
    CPPUNIT_ASSERT(m_node->Start());
    m_link = std::make_unique<LeaderLink>(m_io->get_executor(), "entry",
                                          std::vector<std::string>{name});
    m_link->Start();
    if (seed.empty()) {
      RunUntil([&] { return m_link->leader() == name; });
    }
  }

  std::uint16_t FreePort() {
    const asio::ip::tcp::acceptor acceptor(
        *m_io, {asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
  }

  template <typename Body>
  wire::CallReplyT Ask(Body call) {
    std::optional<wire::CallReplyT> reply;
    asio::co_spawn(
        *m_io,
        [&]() -> asio::awaitable<void> {
          wire::CallBodyUnion body;
          body.Set(std::move(call));
          reply = co_await m_link->Call(std::move(body), Now() + Millis(3000));
        },
        asio::detached);
    RunUntil([&] { return reply.has_value(); });
    return *reply;
  }

  void PutConfig() {
    wire::PutConfigCallT put;
    put.config = std::make_unique<wire::FleetConfigT>();
    put.config->version = 1;
    put.config->pools.push_back(std::make_unique<wire::PoolSpecT>());
    put.config->pools.back()->name = "pool";
    auto queue = std::make_unique<wire::QueueSpecT>();
    queue->name = "queue";
    queue->host = "host";
    queue->path_prefix = "/q/";
    queue->pool = "pool";
    queue->attempts = 1;
    queue->slack_factor = 1000;
    queue->objective_ms = 1'000'000;
    queue->timeout_ms = 1'000'000;
    put.config->queues.push_back(std::move(queue));
    CPPUNIT_ASSERT(Ask(std::move(put)).outcome == wire::CallOutcome::Accepted);
  }

  wire::CallReplyT Submit() { return Ask(SubmitOf(kJob)); }

  static wire::SubmitCallT SubmitOf(const std::string& job) {
    wire::SubmitCallT submit;
    submit.host = "host";
    submit.path = "/q/" + job;
    submit.job = std::make_unique<wire::JobSpecT>();
    submit.job->id = job;
    auto step = std::make_unique<wire::StepSpecT>();
    step->count = 1;
    step->cpu_milli = 100;
    step->memory_mb = 10;
    step->estimate_ms = 100;
    submit.job->steps.push_back(std::move(step));
    return submit;
  }

  template <typename Condition>
  void RunUntil(Condition condition) {
    const Instant limit = Now() + kTestLimit;
    while (!condition()) {
      m_io->run_one_until(limit);
      CPPUNIT_ASSERT(Now() < limit);
    }
  }

  std::unique_ptr<ScratchFolder> m_scratch;
  std::unique_ptr<asio::io_context> m_io;
  std::unique_ptr<FakeMember> m_leader;  // May be null.
  std::shared_ptr<MemberNode> m_node;
  std::unique_ptr<LeaderLink> m_link;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberCallsTest);

}  // namespace
}  // namespace bronzebarrow::node
