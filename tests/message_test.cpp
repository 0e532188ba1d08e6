// Messages of workers and peers, and the chunks of progress records: round trips and limits.

#include <gtest/gtest.h>

#include <random>

#include "store/records.hpp"
#include "wire/json.hpp"
#include "wire/peer.hpp"
#include "wire/worker.hpp"

namespace {

using namespace asterstair;

TEST(WorkerMessage, DecodesHeartbeatsAndEncodesCommands) {
  const auto r =
      wire::decode_heartbeat(R"({"host":"n-1","endpoint":"10.1.0.1:9000","flavor":"g8","yard":"a",
    "loaner":true,"tenure":1,"tick":88,"baton":41,"warningS":7.5,"pieces":[
    {"piece":"req-000412/3","try":2,"stage":"running"},
    {"piece":"req-000398/0","try":1,"stage":"exited","cause":"halted","stored":true}]})");
  ASSERT_EQ(r.tasks.size(), 2U);
  EXPECT_EQ(r.tasks[0].task, (TaskId{"req-000412", 3}));
  EXPECT_EQ(r.tasks[1].cause, ExitCause::Stopped);
  EXPECT_TRUE(r.tasks[1].saved);
  EXPECT_EQ(r.preemption_notice, Seconds(7.5));
  EXPECT_THROW(wire::decode_heartbeat("{}"), wire::DecodeError);
  const auto out =
      wire::parse(wire::encode_commands(41, {{Command::Op::Stop, {"req-1", 2}, 7, Seconds(10)},
                                             {Command::Op::Acknowledge, {"req-1", 3}, 8}}));
  EXPECT_EQ(
      out,
      wire::parse(R"({"baton":41,"orders":[{"verb":"kill","piece":"req-1/2","try":7,"leewayS":10.0},
                                {"verb":"clear","piece":"req-1/3","try":8}]})"));
}

TEST(CommandWriter, StaysWithinTheMessageLimit) {
  std::vector<Command> many(5000, Command{Command::Op::Start, {"req-000001", 1}, 9});
  EXPECT_LT(wire::encode_commands(1, many).size(), 64U * 1024);
}

TEST(GossipMessage, RoundTripsAndRefusesNonsense) {
  const wire::GossipMessage hint{"ghat-1",          "ghat-2",           77, true, 250, 66,
                                 {{"req-1", 3, 4}}, {"req-2", "req-9"}, 125};
  const auto back = wire::decode_gossip(wire::encode_gossip(hint));
  ASSERT_TRUE(back);
  EXPECT_EQ(back->leader, "ghat-2");
  EXPECT_EQ(back->token, 77U);
  EXPECT_EQ(back->store_age_ms, 250U);
  EXPECT_EQ(back->heartbeat_age_ms, 125U);
  EXPECT_EQ(back->stepped_down_token, 66U);
  ASSERT_EQ(back->counts.size(), 1U);
  EXPECT_EQ(back->counts[0].running, 4U);
  EXPECT_EQ(back->cancelled, (std::vector<std::string>{"req-2", "req-9"}));
  EXPECT_FALSE(wire::decode_gossip("nonsense"));
  EXPECT_FALSE(wire::decode_gossip(""));
}

TEST(ProgressRecord, SplitsIntoChunksThatFit) {
  const std::size_t value = 8192;
  std::vector<bool> done(100000);
  std::mt19937_64 rng(3);
  for (std::size_t i = 0; i < done.size(); ++i) done[i] = (rng() & 1U) != 0;
  std::vector<bool> back(done.size());
  const auto chunks = store::progress_chunk_count(100000, value);
  EXPECT_GT(chunks, 1U);
  for (std::size_t c = 0; c < chunks; ++c) {
    const auto json = store::encode_progress_chunk(done, c, value);
    EXPECT_LE(json.dump().size(), value);
    store::decode_progress_chunk(json, c, value, back);
  }
  EXPECT_EQ(done, back);
  EXPECT_EQ(store::parse_progress_key("progress/req-000001/2"),
            (std::pair<std::string, std::size_t>{"req-000001", 2}));
  EXPECT_FALSE(store::parse_progress_key("progress/req-000001"));
}

}  // namespace
