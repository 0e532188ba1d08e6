// The leader's table of machines: which heartbeats count, and what they say of task attempts.

#include "cluster/machine_table.hpp"

#include <gtest/gtest.h>

namespace {

using namespace asterstair;

class MachineTable : public testing::Test {
 protected:
  static Heartbeat report(std::uint64_t epoch, std::uint64_t sequence,
                          std::vector<TaskStatus> tasks = {}) {
    Heartbeat r;
    r.machine = "n-1";
    r.epoch = epoch;
    r.sequence = sequence;
    r.tasks = std::move(tasks);
    return r;
  }
  static TaskStatus task(std::uint64_t attempt) {
    return {{"req-1", 0}, attempt, TaskState::Running, ExitCause::None, false};
  }
  cluster::MachineTable machines;
  std::vector<cluster::TaskEvent> events;
};

// A heartbeat of an epoch whose lease has expired here comes late, however new it looks.
TEST_F(MachineTable, IgnoresHeartbeatsOfAnExpiredEpoch) {
  machines.apply(report(1, 5, {task(7)}), {}, 0, events);
  auto& m = machines.at("n-1");
  machines.clear(m, events);
  m.lease_expired = true;
  m.first_valid_epoch = m.epoch + 1;
  events.clear();
  EXPECT_EQ(machines.apply(report(1, 6, {task(7)}), {}, 0, events),
            cluster::MachineTable::Order::Late);
  EXPECT_TRUE(events.empty());
  EXPECT_TRUE(m.attempts.empty());
  EXPECT_TRUE(m.lease_expired);
  EXPECT_EQ(machines.apply(report(2, 7), {}, 0, events), cluster::MachineTable::Order::New);
  EXPECT_FALSE(m.lease_expired);
}

// An answer with a start may be under way while a direct command is answered. The task that is
// missing in that answer may still start, and must count as present.
TEST_F(MachineTable, SettlesNoDispatchByADirectAnswer) {
  machines.apply(report(1, 1), {}, 0, events);
  auto& m = machines.at("n-1");
  cluster::TaskAttempt o;
  o.task = {"req-1", 0};
  o.attempt = 9;
  o.phase = cluster::TaskAttempt::Phase::Dispatched;
  m.attempts.emplace(cluster::AttemptId{9, o.task}, o);
  events.clear();
  machines.apply(report(1, 2), {}, 0, events, cluster::MachineTable::Source::DirectAnswer);
  EXPECT_TRUE(events.empty());
  EXPECT_EQ(m.attempts.size(), 1U);
  machines.apply(report(1, 3), {}, 0, events);
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(events[0].kind, cluster::TaskEvent::Kind::NotStarted);
  EXPECT_TRUE(m.attempts.empty());
}

}  // namespace
