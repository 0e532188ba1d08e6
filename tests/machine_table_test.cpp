// The leader's table of machines: which heartbeats are applied, and how they change task attempts.

#include "cluster/machine_table.hpp"

#include <gtest/gtest.h>

namespace {

using namespace asterstair;

class MachineTable : public testing::Test {
 protected:
  static Heartbeat heartbeat_of(std::uint64_t epoch, std::uint64_t sequence,
                                std::vector<TaskStatus> tasks = {}) {
    Heartbeat heartbeat;
    heartbeat.machine = "n-1";
    heartbeat.epoch = epoch;
    heartbeat.sequence = sequence;
    heartbeat.tasks = std::move(tasks);
    return heartbeat;
  }
  static TaskStatus task(std::uint64_t attempt) {
    return {{"req-1", 0}, attempt, TaskState::Running, ExitCause::None, false};
  }
  cluster::MachineTable machines;
  std::vector<cluster::TaskEvent> events;
};

// Once the leader has seen a lease expire, a heartbeat of its epoch is stale, even with a higher
// sequence number.
TEST_F(MachineTable, IgnoresHeartbeatsOfAnExpiredEpoch) {
  machines.apply(heartbeat_of(1, 5, {task(7)}), {}, 0, events);
  auto& machine = machines.at("n-1");
  machines.clear(machine, events);
  machine.lease_expired = true;
  machine.first_valid_epoch = machine.epoch + 1;
  events.clear();
  EXPECT_EQ(machines.apply(heartbeat_of(1, 6, {task(7)}), {}, 0, events),
            cluster::MachineTable::ApplyResult::Stale);
  EXPECT_TRUE(events.empty());
  EXPECT_TRUE(machine.attempts.empty());
  EXPECT_TRUE(machine.lease_expired);
  EXPECT_EQ(machines.apply(heartbeat_of(2, 7), {}, 0, events),
            cluster::MachineTable::ApplyResult::Applied);
  EXPECT_FALSE(machine.lease_expired);
}

// A response with a start command may be in flight while the worker answers a direct command. The
// task is missing in that answer but may still start, so its attempt must stay until the next
// heartbeat.
TEST_F(MachineTable, KeepsADispatchedAttemptThatADirectResponseOmits) {
  machines.apply(heartbeat_of(1, 1), {}, 0, events);
  auto& machine = machines.at("n-1");
  cluster::TaskAttempt attempt;
  attempt.task = {"req-1", 0};
  attempt.attempt = 9;
  attempt.phase = cluster::TaskAttempt::Phase::Dispatched;
  machine.attempts.emplace(cluster::AttemptId{9, attempt.task}, attempt);
  events.clear();
  machines.apply(heartbeat_of(1, 2), {}, 0, events, cluster::MachineTable::Source::DirectResponse);
  EXPECT_TRUE(events.empty());
  EXPECT_EQ(machine.attempts.size(), 1U);
  machines.apply(heartbeat_of(1, 3), {}, 0, events);
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(events[0].kind, cluster::TaskEvent::Kind::NotStarted);
  EXPECT_TRUE(machine.attempts.empty());
}

// A gang task that waited in vain is started again under the same number. A direct response may
// still show its earlier exit while the response with that start is in flight. If the exit counted,
// the task could be started elsewhere too. Only the next heartbeat settles it.
TEST_F(MachineTable, KeepsARejoiningAttemptWhoseEarlierExitADirectResponseShows) {
  const TaskStatus exited{{"req-1", 0}, 9, TaskState::Exited, ExitCause::PeersMissing, false};
  machines.apply(heartbeat_of(1, 1, {exited}), {}, 0, events);
  auto& machine = machines.at("n-1");
  auto& attempt = machine.attempts.at({9, {"req-1", 0}});
  attempt.begin_rejoin();
  attempt.phase = cluster::TaskAttempt::Phase::Dispatched;
  events.clear();
  machines.apply(heartbeat_of(1, 2, {exited}), {}, 0, events,
                 cluster::MachineTable::Source::DirectResponse);
  EXPECT_TRUE(events.empty());
  EXPECT_EQ(attempt.phase, cluster::TaskAttempt::Phase::Dispatched);
  machines.apply(heartbeat_of(1, 3, {exited}), {}, 0, events);
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(events[0].kind, cluster::TaskEvent::Kind::Exited);
}

}  // namespace
