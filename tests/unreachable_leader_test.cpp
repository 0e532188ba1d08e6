// Failover from a leader that some or all other nodes cannot reach, although its lease may still be
// valid. A test that names a guard fails if that guard is removed.

#include <gtest/gtest.h>

#include "sim/scenario.hpp"

namespace {

using namespace sim;

// Partitions the leader and all workers from the other nodes and the state service. The workers
// reach only this leader, so their leases expire once it stops answering them.
void isolate_with_all_workers(Scenario& scenario, int leader) {
  scenario.set_control_plane_drop(leader, true);
  for (const auto& worker : scenario.cloud.running_workers()) {
    for (int i = 0; i < scenario.node_count(); ++i) {
      if (i != leader) scenario.network.set_two_way_drop(worker->id, scenario.node_name(i), true);
    }
  }
}

// The leader freezes for longer than a worker's lease, and its store lease lasts even longer. A
// majority of the nodes suspects it, so a peer must take over early enough that the workers find
// the new leader before their leases expire. Guard: LeadershipMonitor::check_leader_liveness.
TEST(UnreachableLeader, IsReplacedBeforeWorkerLeasesExpire) {
  for (const std::uint64_t seed : {71, 72, 73}) {
    Scenario scenario(seed, 3, 5);
    for (int i = 0; i < 6; ++i) scenario.users.submit(array_job(6, 200));
    scenario.run_until(40);
    const int old = scenario.leader();
    ASSERT_GE(old, 0);
    const auto epochs = scenario.cloud.epochs_of_busy_workers();
    scenario.freeze(old, 20);
    scenario.run_until(48);
    EXPECT_GE(scenario.leader(old), 0);
    scenario.run_until(100);
    for (const auto& worker : scenario.cloud.running_workers()) {
      const auto busy = epochs.find(worker->id);
      if (busy == epochs.end()) continue;
      EXPECT_EQ(worker->epoch(), busy->second)
          << worker->id << ": its lease has expired, seed " << seed;
    }
    scenario.run_until(500);
    EXPECT_TRUE(scenario.checker.violations.empty()) << "seed " << seed << "\n"
                                                     << scenario.checker.report();
  }
}

// The leader reaches everything except its peers, which replace it. It must notice that although it
// can still renew its store lease. Guard: Renewer::renew reads the key first.
TEST(UnreachableLeader, StepsDownWhenOnlyItsPeersAreUnreachable) {
  Scenario scenario(74, 3, 5);
  for (int i = 0; i < 6; ++i) scenario.users.submit(array_job(6, 200));
  scenario.run_until(40);
  const int old = scenario.leader();
  ASSERT_GE(old, 0);
  for (int i = 0; i < scenario.node_count(); ++i) {
    if (i == old) continue;
    scenario.network.set_two_way_drop(scenario.node_name(old), scenario.node_name(i), true);
  }
  scenario.run_until(52);
  EXPECT_NE(scenario.leader(), old);
  EXPECT_GE(scenario.leader(), 0);
  EXPECT_FALSE(scenario.process(old).node->leading());
  scenario.run_until(400);
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// Only one node does not receive the leader's messages, because that node is isolated. The leader
// must not be replaced.
TEST(UnreachableLeader, KeepsLeadingWhileAMajorityReceivesItsMessages) {
  Scenario scenario(75, 3, 5);
  scenario.users.submit(array_job(6, 200));
  scenario.run_until(20);
  const int leader = scenario.leader();
  ASSERT_GE(leader, 0);
  const int isolated = (leader + 1) % scenario.node_count();
  for (int i = 0; i < scenario.node_count(); ++i) {
    scenario.network.set_two_way_drop(scenario.node_name(isolated), scenario.node_name(i), true);
  }
  scenario.run_until(100);
  EXPECT_EQ(scenario.leader(), leader);
}

// A leader that reaches neither its peers nor the state service is replaced while its lease is
// still valid, and the workers reach only the old leader. Until its lease expires it may renew
// their leases, so their tasks must not start elsewhere. Guard: Lease::previous_holders_expiry.
TEST(UnreachableLeader, DelaysTheRestartOfItsWorkersTasks) {
  for (const std::uint64_t seed : {76, 77, 78}) {
    Scenario scenario(seed, 3, 5);
    const auto id = scenario.users.submit(array_job(13, 300));
    scenario.run_until(40);
    ASSERT_EQ(scenario.checker.tasks_present(id), 13U);
    const int old = scenario.leader();
    ASSERT_GE(old, 0);
    isolate_with_all_workers(scenario, old);
    scenario.run_until(50);
    EXPECT_GE(scenario.leader(old), 0)
        << "the old leader was not replaced, so the test checks nothing";
    scenario.run_until(100);
    EXPECT_TRUE(scenario.checker.violations.empty()) << "seed " << seed << "\n"
                                                     << scenario.checker.report();
    scenario.network.clear_drops();
    scenario.run_until(600);
    EXPECT_EQ(scenario.checker.final_stage(id), "done");
    EXPECT_TRUE(scenario.checker.violations.empty()) << "seed " << seed << "\n"
                                                     << scenario.checker.report();
  }
}

// The new leader steps down or crashes within a second of its forced claim. Its successor must
// delay the restart of tasks as long as it would have. Guard: the leader record states that the
// claim was forced.
TEST(UnreachableLeader, DelaysRestartsAcrossASecondFailover) {
  for (const std::uint64_t seed : {79, 80, 81}) {
    Scenario scenario(seed, 3, 5);
    const auto id = scenario.users.submit(array_job(13, 300));
    scenario.run_until(40);
    const int old = scenario.leader();
    ASSERT_GE(old, 0);
    isolate_with_all_workers(scenario, old);
    const int next = scenario.run_until_led(60, old);
    ASSERT_GE(next, 0);
    scenario.crash(next, 0.1);
    scenario.run_until(110);
    EXPECT_TRUE(scenario.checker.violations.empty()) << "seed " << seed << "\n"
                                                     << scenario.checker.report();
    scenario.network.clear_drops();
    scenario.run_until(600);
    EXPECT_EQ(scenario.checker.final_stage(id), "done");
    EXPECT_TRUE(scenario.checker.violations.empty()) << "seed " << seed << "\n"
                                                     << scenario.checker.report();
  }
}

// A leader crashes long after its forced claim, when the lease of the leader before it has expired.
// Its successor must wait for a machine without heartbeats only for a worker's lease, not for a
// store lease and a worker's lease. Guard: PreviousHolders::record_when_expired.
TEST(UnreachableLeader, DelaysNothingOnceItsLeaseHasExpired) {
  Scenario scenario(82, 3, 3);
  scenario.users.submit(array_job(8, 400));
  scenario.run_until(40);
  const int old = scenario.leader();
  ASSERT_GE(old, 0);
  scenario.freeze(old, 8);
  scenario.run_until(50);
  const int next = scenario.leader(old);
  ASSERT_GE(next, 0) << "the old leader was not replaced, so the test checks nothing";
  scenario.run_until(80);
  const auto machines = scenario.cloud.running_workers();
  ASSERT_FALSE(machines.empty());
  scenario.network.isolate(machines.front()->id);
  scenario.crash(next, 0.2);
  scenario.run_until(81);
  const auto id = scenario.users.submit(array_job(1, 5, "red"));
  // A worker's lease, the machine's next heartbeat and the image. A store lease would add 20 s.
  scenario.run_until(81 + 10 + 8);
  EXPECT_TRUE(scenario.checker.has_begun(id));
  scenario.network.reconnect(machines.front()->id);
  scenario.run_until(200);
  EXPECT_EQ(scenario.checker.final_stage(id), "done");
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

// A leader reaches only its workers, neither the state service nor its peers. The election of the
// next leader must not be delayed, and a cancellation that another node confirms must take effect.
TEST(UnreachableLeader, GivesWayWhenOnlyItsWorkersReachIt) {
  Scenario scenario(23, 3, 5);
  const auto id = scenario.users.submit(array_job(4, 300));
  scenario.run_until(40);
  const int old = scenario.leader();
  ASSERT_GE(old, 0);
  scenario.set_control_plane_drop(old, true);
  scenario.simulator.schedule(2s, [&] { scenario.users.cancel(id); });
  int next = -1;
  for (double t = 40; t < 75 && next < 0; t += 0.5) {
    scenario.run_until(t);
    for (int i = 0; i < scenario.node_count(); ++i) {
      if (i != old && scenario.process(i).node->leading()) next = i;
    }
  }
  EXPECT_GE(next, 0) << "no node took over within 35 s";
  scenario.run_until(200);
  EXPECT_EQ(scenario.checker.final_stage(id), "withdrawn");
  EXPECT_TRUE(scenario.checker.violations.empty()) << scenario.checker.report();
}

}  // namespace
