// Encoding of the messages of workers and peers and of progress records: decoding restores what was
// encoded, malformed input is rejected, and encoded commands and chunks stay within their maximum
// size.

#include <gtest/gtest.h>

#include <random>

#include "store/records.hpp"
#include "wire/json.hpp"
#include "wire/peer.hpp"
#include "wire/worker.hpp"

namespace {

using namespace asterstair;

TEST(WorkerMessage, DecodesHeartbeatsAndEncodesCommands) {
  const auto heartbeat =
      wire::decode_heartbeat(R"({"host":"n-1","endpoint":"10.1.0.1:9000","flavor":"g8","yard":"a",
    "loaner":true,"tenure":1,"tick":88,"baton":41,"warningS":7.5,"pieces":[
    {"piece":"req-000412/3","try":2,"stage":"running"},
    {"piece":"req-000398/0","try":1,"stage":"exited","cause":"halted","stored":true}]})");
  ASSERT_EQ(heartbeat.tasks.size(), 2U);
  EXPECT_EQ(heartbeat.tasks[0].task, (TaskId{"req-000412", 3}));
  EXPECT_EQ(heartbeat.tasks[1].cause, ExitCause::Stopped);
  EXPECT_TRUE(heartbeat.tasks[1].saved);
  EXPECT_EQ(heartbeat.preemption_notice, Seconds(7.5));
  EXPECT_THROW(wire::decode_heartbeat("{}"), wire::DecodeError);
  const auto commands =
      wire::parse(wire::encode_commands(41, {{Command::Op::Stop, {"req-1", 2}, 7, Seconds(10)},
                                             {Command::Op::Acknowledge, {"req-1", 3}, 8}}));
  EXPECT_EQ(
      commands,
      wire::parse(R"({"baton":41,"orders":[{"verb":"kill","piece":"req-1/2","try":7,"leewayS":10.0},
                                {"verb":"clear","piece":"req-1/3","try":8}]})"));
}

TEST(WorkerMessage, CommandsStayWithinTheSizeLimit) {
  std::vector<Command> commands(5000, Command{Command::Op::Start, {"req-000001", 1}, 9});
  EXPECT_LT(wire::encode_commands(1, commands).size(), 64U * 1024);
}

TEST(GossipMessage, RoundTripsAndRejectsMalformedInput) {
  const wire::GossipMessage message{"ghat-1",          "ghat-2",           77, true, 250, 66,
                                    {{"req-1", 3, 4}}, {"req-2", "req-9"}, 125};
  const auto decoded = wire::decode_gossip(wire::encode_gossip(message));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->leader, "ghat-2");
  EXPECT_EQ(decoded->token, 77U);
  EXPECT_EQ(decoded->store_age_ms, 250U);
  EXPECT_EQ(decoded->heartbeat_age_ms, 125U);
  EXPECT_EQ(decoded->stepped_down_token, 66U);
  ASSERT_EQ(decoded->counts.size(), 1U);
  EXPECT_EQ(decoded->counts[0].running, 4U);
  EXPECT_EQ(decoded->cancelled, (std::vector<std::string>{"req-2", "req-9"}));
  EXPECT_FALSE(wire::decode_gossip("nonsense"));
  EXPECT_FALSE(wire::decode_gossip(""));
}

TEST(ProgressRecord, SplitsIntoChunksThatFitIntoAValue) {
  const std::size_t value_bytes = 8192;
  std::vector<bool> done(100000);
  std::mt19937_64 rng(3);
  for (std::size_t i = 0; i < done.size(); ++i) done[i] = (rng() & 1U) != 0;
  std::vector<bool> decoded(done.size());
  const auto chunks = store::progress_chunk_count(100000, value_bytes);
  EXPECT_GT(chunks, 1U);
  for (std::size_t chunk = 0; chunk < chunks; ++chunk) {
    const auto json = store::encode_progress_chunk(done, chunk, value_bytes);
    EXPECT_LE(json.dump().size(), value_bytes);
    store::decode_progress_chunk(json, chunk, value_bytes, decoded);
  }
  EXPECT_EQ(done, decoded);
  EXPECT_EQ(store::parse_progress_key("progress/req-000001/2"),
            (std::pair<std::string, std::size_t>{"req-000001", 2}));
  EXPECT_FALSE(store::parse_progress_key("progress/req-000001"));
}

}  // namespace
