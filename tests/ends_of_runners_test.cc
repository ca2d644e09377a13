// Tests what the dispatcher takes as proof that a run or a runner has ended,
// observation by observation (docs/decisions/0009). The runners work on.
#include "owner_and_runners.h"

namespace bronzebarrow::runs {
namespace {

class EndsOfRunnersTest : public OwnerAndRunners {
  CPPUNIT_TEST_SUITE(EndsOfRunnersTest);
  CPPUNIT_TEST(RunsOutliveABriefCut);
  CPPUNIT_TEST(OneWayCutKeepsTheLease);
  CPPUNIT_TEST(LateAnswersKeepTheLease);
  CPPUNIT_TEST(InheritedRunsKeepTheLeaseOfTheFormerOwner);
  CPPUNIT_TEST(SecondStartThatFailsIsNoProof);
  CPPUNIT_TEST(RejectionOfTheSecondStartIsNoProof);
  CPPUNIT_TEST(FirstStartThatIsRejectedIsProof);
  CPPUNIT_TEST(StartIsRejectedAfterItsStopWasConfirmed);
  CPPUNIT_TEST(StartIsAnsweredAfterItsStop);
  CPPUNIT_TEST(ListSentBeforeAStartWasConfirmed);
  CPPUNIT_TEST(AnswersOfAnEarlierEpochShowNothing);
  CPPUNIT_TEST(StartAnsweredAfterTheLapse);
  CPPUNIT_TEST(InventoryRequestedBeforeTheSilence);
  CPPUNIT_TEST(InventoryAnsweredAfterTheNextRegistration);
  CPPUNIT_TEST(OtherAnswerAtAnEarlierAddress);
  CPPUNIT_TEST(ListedRunsOutliveAnOddHeartbeat);
  CPPUNIT_TEST(EarlierStartTimesInTwoAnswers);
  CPPUNIT_TEST(LaterStartTimeInAnswersOfAWorkingRunner);
  CPPUNIT_TEST(StopAnsweredByTheEarlierIncarnation);
  CPPUNIT_TEST(ListOfTheNextIncarnationFromBeforeTheStop);
  CPPUNIT_TEST(OtherMembersOfAGangWorkOn);
  CPPUNIT_TEST(LeaseIsRenewedWhileEndsAreCommitted);
  CPPUNIT_TEST(RunnerThatWasNotAskedIsAskedFirst);
  CPPUNIT_TEST(FailureOfAnEarlierCallIsNoProofOfSilence);
  CPPUNIT_TEST(InheritedRunnerThatWasNotAskedIsAskedFirst);
  CPPUNIT_TEST(CallsThatWereNotSentShowNothing);
  CPPUNIT_TEST(CallThatARelayDidNotSendIsRepeatedDirectly);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a cut of 300 ms that ends all runs of a runner.
  void RunsOutliveABriefCut() {
    struct Cut {
      RunnerAnswer m_failure;
      bool m_carried_out;
      std::size_t m_lost;  // Starts that do not arrive.
    };
    for (const Cut& cut : {Cut{Failed(AnswerKind::kRefused), false, 2},
                           Cut{Failed(AnswerKind::kNoAnswer), false, 2},
                           Cut{Failed(AnswerKind::kNoAnswer), true, 0},
                           Cut{Failed(AnswerKind::kNoAnswer, true), false, 2},
                           Cut{Failed(AnswerKind::kNoAnswer, true), true, 0}}) {
      setUp();
      Assign(1, 3, Id(0));
      Work(Millis(200));
      AcceptJob(2, 2);
      AssignRuns({Run(2), Run(2, 1)}, Id(0));
      for (int round = 0; round < 5; ++round) {
        std::vector<RunnerCall> calls = m_dispatcher->TakeOutgoingCalls();
        for (int step = 0; step < 15; ++step) {
          for (const RunnerCall& call : calls) {
            if (call.m_runner != Id(0) || cut.m_carried_out) {
              const RunnerAnswer answer = Execute(call);
              Return(call, call.m_runner == Id(0) ? cut.m_failure : answer);
            } else {
              Return(call, cut.m_failure);
            }
          }
          calls = Step();
        }
        for (const RunnerCall& call : calls) {
          Return(call, Execute(call));
        }
        Work(Millis(2000));
      }
      CPPUNIT_ASSERT_EQUAL(cut.m_lost, m_lost.size());
      for (std::uint16_t index = 0; index < 3; ++index) {
        CPPUNIT_ASSERT(IsAssigned(Run(1, index)) && IsRunning(Run(1, index)));
      }
      CPPUNIT_ASSERT(m_removed.empty());
    }
  }

  // Guards against leases that are taken for expired although calls arrive and
  // only the responses are lost.
  void OneWayCutKeepsTheLease() {
    Assign(1, 2, Id(0));
    Work(Millis(500));
    Play(Millis(10'000), [this](const RunnerCall& call) {
      Execute(call);
      return Failed(AnswerKind::kNoAnswer);
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_lost.size());
  }

  // Guards against readings of the runner's clock that are older than the one
  // before.
  void LateAnswersKeepTheLease() {
    Assign(1, 2, Id(0));
    Work(Millis(500));
    std::vector<std::pair<RunnerCall, RunnerAnswer>> late;
    for (int round = 0; round < 20; ++round) {
      Assign(10 + round, 1, Id(0));
      for (const RunnerCall& call : m_dispatcher->TakeOutgoingCalls()) {
        late.emplace_back(call, Execute(call));
      }
      for (int step = 0; step < 35; ++step) {
        for (const RunnerCall& call : Step()) {
          late.emplace_back(call, Execute(call));
        }
      }
      for (; !late.empty(); late.pop_back()) {
        Return(late.back().first, late.back().second);
      }
    }
    CPPUNIT_ASSERT(m_lost.empty());
    Play(Millis(10'000), [this](const RunnerCall& call) {
      Execute(call);
      return Failed(AnswerKind::kNoAnswer);
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{22}, m_lost.size());
  }

  // Guards against a new owner that takes leases for expired which the former
  // one still extends, or which calls that were relayed late carry.
  void InheritedRunsKeepTheLeaseOfTheFormerOwner() {
    for (const Duration delay : {Millis(0), Millis(900), Millis(3000)}) {
      setUp();
      Assign(1, 2, Id(0));
      Work(Millis(500));
      Assign(2, 1, Id(0));  // Its start is relayed late.
      std::vector<std::pair<Instant, RunnerCall>> relayed;
      for (const RunnerCall& call : m_dispatcher->TakeOutgoingCalls()) {
        relayed.emplace_back(m_now + delay, call);
      }
      const std::unique_ptr<Dispatcher> former = std::move(m_dispatcher);
      m_dispatcher =
          std::make_unique<Dispatcher>(*m_state, DispatcherOptions());
      m_dispatcher->BecomeLeader(TakeOwnership(), m_now);
      const Instant former_stops = m_now + DispatcherOptions().m_owner_overlap;
      for (const Instant end = m_now + Millis(12'000); m_now < end;) {
        for (const RunnerCall& call : Step()) {
          Return(call, Failed(AnswerKind::kNoAnswer));
        }
        if (m_now <= former_stops) {
          former->Tick(m_now);
          for (const RunnerCall& call : former->TakeOutgoingCalls()) {
            relayed.emplace_back(m_now + delay, call);
          }
        }
        for (auto next = relayed.begin(); next != relayed.end();) {
          if (next->first > m_now) {
            ++next;
            continue;
          }
          former->OnAnswer(next->second, Execute(next->second), m_now);
          next = relayed.erase(next);
        }
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_lost.size());
    }
  }

  // Guards against a first start that is carried out late, after the second was
  // refused or its connection ended.
  void SecondStartThatFailsIsNoProof() {
    for (const RunnerAnswer& failure :
         {Failed(AnswerKind::kRefused), Failed(AnswerKind::kNoAnswer, true)}) {
      setUp();
      const RunnerCall first = StartThatTimesOut();
      FailStarts(failure);
      DeliverLate(first);
    }
  }

  // As above, after the second was rejected.
  void RejectionOfTheSecondStartIsNoProof() {
    for (const AnswerKind kind :
         {AnswerKind::kLeaseExpired, AnswerKind::kNoCapacity,
          AnswerKind::kNoTicket, AnswerKind::kUnhealthy,
          AnswerKind::kInvalid}) {
      setUp();
      const RunnerCall first = StartThatTimesOut();
      FailStarts(Failed(kind));
      DeliverLate(first);
    }
  }

  // A runner that rejects the only start has not carried it out; its other runs
  // go on.
  void FirstStartThatIsRejectedIsProof() {
    for (const AnswerKind kind :
         {AnswerKind::kFenced, AnswerKind::kStaleRun, AnswerKind::kLeaseExpired,
          AnswerKind::kNoCapacity, AnswerKind::kNoTicket,
          AnswerKind::kUnhealthy, AnswerKind::kInvalid}) {
      setUp();
      Assign(2, 2, Id(0));
      Work(Millis(500));
      Assign(1, 1, Id(0));
      FailStarts(Failed(kind));
      Work(Millis(1000));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_lost.size());
      CPPUNIT_ASSERT(!IsAssigned(Run(1)));
      CPPUNIT_ASSERT(IsAssigned(Run(2)) && IsAssigned(Run(2, 1)));
    }
  }

  // Guards against a start that is carried out after its stop was confirmed and
  // the run list did not name it.
  void StartIsRejectedAfterItsStopWasConfirmed() {
    Assign(1, 1, Id(0));
    const std::vector<RunnerCall> starts = m_dispatcher->TakeOutgoingCalls();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    m_dispatcher->StopRun(Id(0), Run(1).m_task, m_now);
    Work(Millis(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_lost.size());
    const RunnerAnswer answer = Execute(starts[0]);
    CPPUNIT_ASSERT(answer.m_kind == AnswerKind::kStaleRun);
    Return(starts[0], answer);
    Work(Millis(500));
    CPPUNIT_ASSERT(!IsRunning(Run(1)));
  }

  // Guards against a run that counts as started because its start is answered
  // after its stop.
  void StartIsAnsweredAfterItsStop() {
    Assign(1, 1, Id(0));
    const std::vector<RunnerCall> starts = m_dispatcher->TakeOutgoingCalls();
    const RunnerAnswer started = Execute(starts[0]);
    m_dispatcher->StopRun(Id(0), Run(1).m_task, m_now);
    for (const RunnerCall& call : m_dispatcher->TakeOutgoingCalls()) {
      Return(call, Execute(call));
    }
    Return(starts[0], started);
    Work(Millis(500));
    CPPUNIT_ASSERT(m_lost.empty());  // The list names its end.
    CPPUNIT_ASSERT(!IsAssigned(Run(1)));
  }

  // Guards against a run list that was made before the start was carried out.
  void ListSentBeforeAStartWasConfirmed() {
    Assign(2, 1, Id(0));
    Work(Millis(500));
    for (int round = 0; round < 10; ++round) {
      std::vector<std::pair<RunnerCall, RunnerAnswer>> lists;
      for (const RunnerCall& call : Step()) {
        if (call.m_runner == Id(0) && call.m_kind == CallKind::kHold) {
          lists.emplace_back(call, Execute(call));
        } else {
          Return(call, Execute(call));
        }
      }
      Assign(10 + round, 2, Id(0));
      for (const RunnerCall& call : m_dispatcher->TakeOutgoingCalls()) {
        Return(call, Execute(call));
      }
      m_now += Millis(round * 10);
      for (const auto& [call, answer] : lists) {
        Return(call, answer);
      }
      CPPUNIT_ASSERT(m_lost.empty());
      Work(Millis(100));
    }
    CPPUNIT_ASSERT(m_lost.empty());
  }

  // Guards against a response to a call of an earlier term of the same owner.
  void AnswersOfAnEarlierEpochShowNothing() {
    Assign(1, 2, Id(0));
    Work(Millis(500));
    Assign(2, 1, Id(0));
    std::vector<RunnerCall> earlier = m_dispatcher->TakeOutgoingCalls();
    for (const RunnerCall& call : Step()) {
      earlier.push_back(call);
    }
    m_dispatcher->StepDown();
    m_dispatcher->BecomeLeader(TakeOwnership(), m_now);
    for (const AnswerKind kind :
         {AnswerKind::kOk, AnswerKind::kOtherIncarnation, AnswerKind::kRefused,
          AnswerKind::kUnhealthy, AnswerKind::kInvalid, AnswerKind::kFenced}) {
      m_now += Millis(5);
      for (const RunnerCall& call : earlier) {
        if (call.m_runner == Id(0)) {
          Return(call, Failed(kind));
        }
      }
    }
    CPPUNIT_ASSERT(m_lost.empty() && m_removed.empty());
    CPPUNIT_ASSERT(IsRunning(Run(1)) && IsAssigned(Run(1)));
  }

  // Guards against a second end of a run whose start is answered after its loss
  // was proposed and before that is committed.
  void StartAnsweredAfterTheLapse() {
    Assign(1, 1, Id(0));
    const std::vector<RunnerCall> starts = m_dispatcher->TakeOutgoingCalls();
    const RunnerAnswer started = Execute(starts[0]);
    std::vector<wire::WorkBodyUnion> uncommitted;
    for (const Instant end = m_now + Millis(8000);
         m_now < end && uncommitted.empty();) {
      m_now += kStep;
      m_runners.at(Id(0))->AdvanceTo(m_now);
      m_dispatcher->Tick(m_now);
      for (const RunnerCall& call : m_dispatcher->TakeOutgoingCalls()) {
        m_dispatcher->OnAnswer(call, Failed(AnswerKind::kNoAnswer), m_now);
      }
      uncommitted = CheckCommands();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_lost.size());
    m_now += kStep;
    m_dispatcher->OnAnswer(starts[0], started, m_now);
    CPPUNIT_ASSERT(m_dispatcher->FindLink(Id(0))
                       ->m_tracked_runs.at(Run(1).m_task)
                       .m_state == TrackedRunState::kEndProposed);
    for (int round = 0; round < 3; ++round) {
      m_now += kStep;
      m_dispatcher->Tick(m_now);
      for (const RunnerCall& call : m_dispatcher->TakeOutgoingCalls()) {
        if (call.m_kind == CallKind::kHold) {
          RunnerAnswer list = Execute(call);
          list.m_ended.clear();  // Forgotten.
          m_dispatcher->OnAnswer(call, list, m_now);
        }
      }
      CheckCommands();
    }
  }

  // Guards against a list of machines from before the runner fell silent.
  void InventoryRequestedBeforeTheSilence() {
    Assign(1, 2, Id(0));
    Work(Millis(500));
    const Instant requested_at = m_now;
    m_dispatcher->OnEndListed(Id(0), requested_at, true, m_now);
    Work(Millis(200));
    Play(Millis(100),
         [](const RunnerCall&) { return Failed(AnswerKind::kNoAnswer); });
    m_dispatcher->OnEndListed(Id(0), requested_at, true, m_now);
    m_dispatcher->OnEndListed(Id(0), requested_at, false, m_now);
    Work(Millis(400));
    // One that was requested during the silence arrives after its end.
    m_dispatcher->OnEndListed(Id(0), m_now - Millis(400), true, m_now);
    Work(Millis(400));
    CPPUNIT_ASSERT(m_lost.empty() && m_removed.empty());
  }

  // Guards against a list of machines that shows the end of the runner's
  // earlier incarnation under the same id.
  void InventoryAnsweredAfterTheNextRegistration() {
    Play(Millis(100),
         [](const RunnerCall&) { return Failed(AnswerKind::kNoAnswer); });
    const Instant requested_at = m_now;
    Boot(Id(0), kBornMs + 1);
    Register(Id(0), kBornMs + 1, "address0", 2);
    Work(Millis(400));
    Assign(1, 2, Id(0));
    Work(Millis(400));
    m_dispatcher->OnEndListed(Id(0), requested_at, true, m_now);
    Play(Millis(100),
         [](const RunnerCall&) { return Failed(AnswerKind::kNoAnswer); });
    m_dispatcher->OnEndListed(Id(0), requested_at, true, m_now);
    Work(Millis(400));
    CPPUNIT_ASSERT(m_lost.empty() && m_removed.empty());
    CPPUNIT_ASSERT(IsRunning(Run(1)) && IsAssigned(Run(1)));
  }

  // Guards against a response from the holder of an address that the runner was
  // registered with before.
  void OtherAnswerAtAnEarlierAddress() {
    Assign(1, 2, Id(0));
    Work(Millis(500));
    std::vector<RunnerCall> earlier;
    for (const RunnerCall& call : Step()) {
      if (call.m_runner == Id(0)) {
        earlier.push_back(call);
      } else {
        Return(call, Execute(call));
      }
    }
    CPPUNIT_ASSERT(!earlier.empty());
    Register(Id(0), kBornMs, "address4", 2);
    for (const RunnerCall& call : earlier) {
      Return(call, Failed(AnswerKind::kOtherIncarnation));
    }
    Work(Millis(500));
    CPPUNIT_ASSERT(m_lost.empty() && m_removed.empty());
    CPPUNIT_ASSERT(m_dispatcher->IsUsable(Id(0), m_now));
  }

  // Guards against one heartbeat of another writer, with a later start time,
  // that ends all runs of a working runner.
  void ListedRunsOutliveAnOddHeartbeat() {
    Assign(1, 3, Id(0));
    Work(Millis(500));
    m_dispatcher->OnRestarted(Id(0), m_now);
    ApplyCommands();
    Work(Millis(500));
    CPPUNIT_ASSERT(m_lost.empty() && m_removed.empty());
    CPPUNIT_ASSERT(m_dispatcher->IsUsable(Id(0), m_now));
  }

  // Guards against late answers that name an earlier incarnation.
  void EarlierStartTimesInTwoAnswers() {
    Assign(1, 2, Id(0));
    Work(Millis(500));
    for (int round = 0; round < 5; ++round) {
      int earlier = 0;
      Play(Millis(1500), [&](const RunnerCall& call) {
        RunnerAnswer answer = Execute(call);
        if (call.m_runner == Id(0) && call.m_kind == CallKind::kHold &&
            ++earlier <= 2) {
          answer.m_born_ms = kBornMs - 1;
          answer.m_running.clear();
        }
        return answer;
      });
    }
    CPPUNIT_ASSERT(m_lost.empty() && m_removed.empty());
  }

  // Guards against a registered start time that is earlier than the runner's
  // own: its answers seem to come from a next incarnation.
  void LaterStartTimeInAnswersOfAWorkingRunner() {
    Boot(Id(0), kBornMs + 1);
    Assign(1, 2, Id(0));
    for (const RunnerCall& call : m_dispatcher->TakeOutgoingCalls()) {
      Return(call, Execute(call));
    }
    CPPUNIT_ASSERT(IsRunning(Run(1)) && IsRunning(Run(1, 1)));
    Work(Millis(2000));
    CPPUNIT_ASSERT(m_removed == std::set<std::string>{Id(0)});
    CPPUNIT_ASSERT(!IsAssigned(Run(1)) && !IsAssigned(Run(1, 1)));
  }

  // Guards against a stop that the earlier incarnation carried out and that
  // counts for the next one under its id, which carries out the start.
  void StopAnsweredByTheEarlierIncarnation() {
    const RunnerCall start = StartThatTimesOut();
    m_dispatcher->StopRun(Id(0), Run(1).m_task, m_now);
    std::vector<std::pair<RunnerCall, RunnerAnswer>> late;
    for (const RunnerCall& call : m_dispatcher->TakeOutgoingCalls()) {
      late.emplace_back(call, Execute(call));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, late.size());
    m_now += kStep;
    Boot(Id(0), kBornMs + 1);
    CPPUNIT_ASSERT(!m_dispatcher->OnRestarted(Id(0), m_now));
    m_now += kStep;
    Return(late[0].first, late[0].second);
    Work(Millis(500));
    const RunnerAnswer answer = Execute(start);
    CPPUNIT_ASSERT(answer.m_kind != AnswerKind::kOk);
    CPPUNIT_ASSERT(m_removed.contains(Id(0)));
  }

  // Guards against a list of the next incarnation from before it carried out
  // the start: the stop is confirmed when the list arrives, and the run is
  // ending.
  void ListOfTheNextIncarnationFromBeforeTheStop() {
    const RunnerCall start = StartThatTimesOut();
    Boot(Id(0), kBornMs + 1);
    CPPUNIT_ASSERT(!m_dispatcher->OnRestarted(Id(0), m_now));
    std::vector<RunnerCall> calls = m_dispatcher->TakeOutgoingCalls();
    for (const RunnerCall& call : Step()) {
      calls.push_back(call);
    }
    std::vector<std::pair<RunnerCall, RunnerAnswer>> lists;
    for (const RunnerCall& call : calls) {
      if (call.m_runner == Id(0) && call.m_kind == CallKind::kHold) {
        lists.emplace_back(call, Execute(call));
      }
    }
    CPPUNIT_ASSERT(!lists.empty());
    CPPUNIT_ASSERT(Execute(start).m_kind == AnswerKind::kOk);
    m_now += kStep;
    for (const RunnerCall& call : calls) {
      if (call.m_runner == Id(0) && call.m_kind == CallKind::kStop) {
        // The stop is accepted, and the run is ending.
        Return(call, Failed(AnswerKind::kOk));
      }
    }
    m_now += kStep;
    for (const auto& [call, answer] : lists) {
      Return(call, answer);
    }
    CPPUNIT_ASSERT(m_lost.empty() && m_removed.empty());
    Work(Millis(1000));
    CPPUNIT_ASSERT(!IsAssigned(Run(1)));
  }

  // Guards against ending the runs of all members of a gang when the runner of
  // one ends, or when one of them fails.
  void OtherMembersOfAGangWorkOn() {
    m_gang = true;
    AcceptJob(1, 3);
    for (std::uint16_t index = 0; index < 3; ++index) {
      AssignRuns({Run(1, index)}, Id(index));
    }
    Work(Millis(500));
    Play(Millis(100), [this](const RunnerCall& call) {
      return call.m_runner == Id(0) ? Failed(AnswerKind::kRefused)
                                    : Execute(call);
    });
    m_runners.erase(Id(0));
    m_dispatcher->OnEndListed(Id(0), m_now, true, m_now);
    ApplyCommands();
    CPPUNIT_ASSERT(m_removed == std::set<std::string>{Id(0)});
    Work(Millis(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_lost.size());
    CPPUNIT_ASSERT(IsAssigned(Run(1, 1)) && IsAssigned(Run(1, 2)));
  }

  // Guards against leases that expire because ends take long to commit, and
  // against a busy loop: a runner with ends that are not recorded answers holds
  // at once.
  void LeaseIsRenewedWhileEndsAreCommitted() {
    Assign(1, 2, Id(0));
    Work(Millis(500));
    Execute(Stop(Run(1, 1)));
    std::vector<wire::WorkBodyUnion> uncommitted;
    std::size_t holds = 0;
    for (const Instant end = m_now + Millis(12'000); m_now < end;) {
      m_now += kStep;
      m_runners.at(Id(0))->AdvanceTo(m_now);
      m_dispatcher->Tick(m_now);
      for (const RunnerCall& call : m_dispatcher->TakeOutgoingCalls()) {
        holds += call.m_runner == Id(0) ? 1 : 0;
        CPPUNIT_ASSERT(call.AcknowledgedEnd() == 0);
        m_dispatcher->OnAnswer(call, Execute(call), m_now);
      }
      for (wire::WorkBodyUnion& body : CheckCommands()) {
        uncommitted.push_back(std::move(body));
      }
    }
    CPPUNIT_ASSERT(IsRunning(Run(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, uncommitted.size());
    CPPUNIT_ASSERT(holds <= 9);  // One each third of a lease.
    ApplyBody(std::move(uncommitted[0]));
    Work(Millis(500));
    CPPUNIT_ASSERT(m_lost.empty());
    CPPUNIT_ASSERT(IsRunning(Run(1)) && IsAssigned(Run(1)));
    CPPUNIT_ASSERT(!IsAssigned(Run(1, 1)));
  }

  // Guards against an owner that was late itself and takes the runs of a runner
  // for lost whose list is about to show that they are done.
  void RunnerThatWasNotAskedIsAskedFirst() {
    for (const bool in_flight : {true, false}) {
      setUp();
      Assign(1, 2, Id(0));
      Work(Millis(500));
      std::vector<RunnerCall> calls;
      if (in_flight) {
        calls = Step();
      }
      Execute(Stop(Run(1, 1)));
      SkipTo(m_now + Millis(7000));
      for (const RunnerCall& call : Step()) {
        CPPUNIT_ASSERT(call.m_runner != Id(0) || call.m_expires_ms == 0);
        calls.push_back(call);
      }
      CPPUNIT_ASSERT(m_lost.empty());
      for (const RunnerCall& call : calls) {
        Return(call, Execute(call));
      }
      Work(Millis(500));
      CPPUNIT_ASSERT(m_lost.empty());  // The list names both ends.
      CPPUNIT_ASSERT(!IsAssigned(Run(1)) && !IsAssigned(Run(1, 1)));
      Assign(2, 1, Id(0));  // The lease is renewed again.
      Work(Millis(10'000));
      CPPUNIT_ASSERT(IsRunning(Run(2)) && IsAssigned(Run(2)));
    }
  }

  // Guards against a call from before the last response that fails after it.
  void FailureOfAnEarlierCallIsNoProofOfSilence() {
    Assign(1, 1, Id(0));
    Work(Millis(500));
    Assign(2, 1, Id(0));
    const std::vector<RunnerCall> starts = m_dispatcher->TakeOutgoingCalls();
    Work(Millis(200));
    Return(starts[0], Failed(AnswerKind::kNoAnswer));
    std::vector<RunnerCall> calls = Step();
    SkipTo(m_now + Millis(7000));
    for (const RunnerCall& call : Step()) {
      calls.push_back(call);
    }
    CPPUNIT_ASSERT(m_lost.empty());
    for (const RunnerCall& call : calls) {
      if (call.m_kind == CallKind::kHold) {
        Return(call, Failed(AnswerKind::kNoAnswer));
      }
    }
    // That hold was sent before the lease expired.
    Work(kStep);
    CPPUNIT_ASSERT(m_lost.empty());
    Play(Millis(300),
         [](const RunnerCall&) { return Failed(AnswerKind::kNoAnswer); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_lost.size());
  }

  // Guards against a new owner that has asked no runner yet when the leases of
  // the former one expire.
  void InheritedRunnerThatWasNotAskedIsAskedFirst() {
    Assign(1, 1, Id(0));
    Work(Millis(500));
    m_dispatcher->BecomeLeader(TakeOwnership(), m_now);
    SkipTo(m_now + Millis(8000));
    const std::vector<RunnerCall> calls = Step();
    CPPUNIT_ASSERT(m_lost.empty());
    for (const RunnerCall& call : calls) {
      Return(call, Execute(call));
    }
    CPPUNIT_ASSERT(m_lost.empty() && !IsAssigned(Run(1)));
  }

  // Guards against a lapsed permission to send that counts as the silence of
  // the runner, and against a start attempt that it costs.
  void CallsThatWereNotSentShowNothing() {
    Assign(1, 2, Id(0));
    Work(Millis(500));
    Assign(2, 1, Id(0));
    std::vector<RunnerCall> calls = m_dispatcher->TakeOutgoingCalls();
    m_dispatcher->StopRun(Id(0), Run(1, 1).m_task, m_now);
    constexpr int kSteps = 400;
    std::ptrdiff_t sent = 0;
    for (int step = 0; step < kSteps; ++step) {
      std::size_t holds = 0;
      for (const RunnerCall& call : calls) {
        holds += call.m_kind == CallKind::kHold && call.m_runner == Id(0);
        Return(call, Failed(AnswerKind::kNotSent));
        CPPUNIT_ASSERT(m_dispatcher->IsUsable(call.m_runner, m_now));
      }
      CPPUNIT_ASSERT(holds <= 1);
      sent += static_cast<std::ptrdiff_t>(holds);
      calls = Step();
    }
    // Again and again, but not at each tick: the member that did not send them
    // is late.
    const Duration pace = DispatcherOptions().m_retry_delay;
    CPPUNIT_ASSERT(sent >= kSteps * kStep / (pace + kStep));
    CPPUNIT_ASSERT(sent <= kSteps * kStep / pace + 2);
    CPPUNIT_ASSERT(m_lost.empty() && m_removed.empty());
    const RunnerLink& link = *m_dispatcher->FindLink(Id(0));
    CPPUNIT_ASSERT(link.m_silent_since == Instant());
    for (const RunnerCall& call : calls) {
      Return(call, Execute(call));
    }
    Work(Millis(700));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1},
                         link.m_tracked_runs.at(Run(2).m_task).m_attempts);
    CPPUNIT_ASSERT(m_lost.empty());
    CPPUNIT_ASSERT(IsRunning(Run(2)) && IsAssigned(Run(2)));
    CPPUNIT_ASSERT(!IsRunning(Run(1, 1)) && !IsAssigned(Run(1, 1)));
  }

  // Guards against a hold that waits for the next interval, or goes to the same
  // late member again, when that member did not send it.
  void CallThatARelayDidNotSendIsRepeatedDirectly() {
    Assign(1, 1, Id(0));
    Work(Millis(500));
    const RunnerLink& link = *m_dispatcher->FindLink(Id(0));
    std::vector<RunnerCall> calls;
    while (calls.empty()) {
      calls = Step();
    }
    for (const RunnerCall& call : calls) {
      Return(call, Failed(AnswerKind::kNotSent));
    }
    CPPUNIT_ASSERT(link.m_bypasses_relay);
    const std::vector<RunnerCall> repeated = Step();
    CPPUNIT_ASSERT_EQUAL(calls.size(), repeated.size());
    for (const RunnerCall& call : repeated) {
      CPPUNIT_ASSERT(call.m_kind == CallKind::kHold);
      Return(call, Execute(call));
    }
    CPPUNIT_ASSERT(!link.m_bypasses_relay);
  }

 private:
  // The owner's process does not run until then.
  void SkipTo(Instant time) {
    m_now = time;
    for (const auto& [id, runner] : m_runners) {
      runner->AdvanceTo(m_now);
    }
  }

  // @return a call that ends the run at its runner, not made by the owner
  RunnerCall Stop(const jobs::RunKey& run) const {
    RunnerCall call;
    call.m_kind = CallKind::kStop;
    call.m_runner = Id(0);
    call.m_born_ms = kBornMs;
    call.m_epoch = m_state->epoch();
    call.m_run = run;
    return call;
  }

  // @return a start of Run(1) that has not arrived; the owner waits no longer
  RunnerCall StartThatTimesOut() {
    Assign(1, 1, Id(0));
    const std::vector<RunnerCall> starts = m_dispatcher->TakeOutgoingCalls();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    CPPUNIT_ASSERT(starts[0].m_kind == CallKind::kStart);
    m_now += kStep;
    Return(starts[0], Failed(AnswerKind::kNoAnswer));
    return starts[0];
  }

  // The next start does not arrive and has this response.
  void FailStarts(const RunnerAnswer& failure) {
    std::vector<RunnerCall> calls = m_dispatcher->TakeOutgoingCalls();
    for (int step = 0; step < 20; ++step) {
      for (const RunnerCall& call : calls) {
        Return(call, call.m_kind == CallKind::kStart ? failure : Execute(call));
      }
      calls = Step();
    }
    for (const RunnerCall& call : calls) {
      Return(call, Execute(call));
    }
  }

  // The runner carries the start out, or rejects it, in each phase of the stop
  // that follows.
  void DeliverLate(const RunnerCall& start) {
    Work(Millis(1000));
    Execute(start);
    Work(Millis(1000));
    CPPUNIT_ASSERT(!IsRunning(Run(1)) || IsAssigned(Run(1)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndsOfRunnersTest);

}  // namespace
}  // namespace bronzebarrow::runs
