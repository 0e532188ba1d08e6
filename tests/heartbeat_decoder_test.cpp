// Decoding of workers' heartbeats: which messages are rejected, and that the event-based decoder
// agrees with a decoder that reads the same message from a JSON tree. Guards against a malformed
// heartbeat that is accepted, in particular one whose missing task list would look like an idle
// machine.

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <random>

#include "wire/worker.hpp"

namespace {

using namespace asterstair;
using Json = nlohmann::json;

const char* const kHeartbeat =
    R"({"host":"n-1","endpoint":"10.1.0.1:9000","flavor":"g8","yard":"a","loaner":true,"tenure":1,)"
    R"("tick":88,"baton":41,"warningS":7.5,"pieces":[{"piece":"req-000412/3","try":2,)"
    R"("stage":"running"},{"piece":"req-000398/0","try":1,"stage":"exited","cause":"halted",)"
    R"("stored":true}],"extra":{"a":[1,-2,{"piece":"x"}],"host":"other"}})";

// Reference decoder: reads the message from a JSON tree, field by field. Returns none if the
// message must be rejected.
std::optional<Heartbeat> decode_from_tree(const std::string& text) {
  const auto in = Json::parse(text, nullptr, false);
  if (!in.is_object()) return std::nullopt;
  for (const char* key : {"host", "endpoint", "flavor", "yard"}) {
    if (!in.contains(key) || !in[key].is_string()) return std::nullopt;
  }
  for (const char* key : {"tenure", "tick", "baton"}) {
    if (!in.contains(key) || !in[key].is_number_unsigned()) return std::nullopt;
  }
  if (!in.contains("loaner") || !in["loaner"].is_boolean()) return std::nullopt;
  if (!in.contains("pieces") || !in["pieces"].is_array()) return std::nullopt;
  Heartbeat out;
  out.machine = in["host"];
  out.address = in["endpoint"];
  out.type = in["flavor"];
  out.zone = in["yard"];
  out.spot = in["loaner"];
  out.epoch = in["tenure"];
  out.sequence = in["tick"];
  out.token = in["baton"];
  if (in.contains("warningS") && in["warningS"].is_number()) {
    if (in["warningS"] < 0) return std::nullopt;
    out.preemption_notice = Seconds(in["warningS"].get<double>());
  }
  for (const auto& t : in["pieces"]) {
    if (!t.is_object() || !t.contains("piece") || !t["piece"].is_string()) return std::nullopt;
    if (!t.contains("try") || !t["try"].is_number_unsigned()) return std::nullopt;
    if (!t.contains("stage") || !t["stage"].is_string()) return std::nullopt;
    const std::string name = t["piece"], stage = t["stage"];
    const auto slash = name.rfind('/');
    if (slash == std::string::npos) return std::nullopt;
    const auto number = name.substr(slash + 1);
    if (number.empty() || number.size() > 9) return std::nullopt;
    if (number.find_first_not_of("0123456789") != std::string::npos) return std::nullopt;
    TaskStatus task;
    task.task = {name.substr(0, slash), static_cast<std::uint32_t>(std::stoul(number))};
    task.attempt = t["try"];
    const std::map<std::string, TaskState> states{{"pulling", TaskState::Fetching},
                                                  {"gathering", TaskState::Waiting},
                                                  {"running", TaskState::Running},
                                                  {"saving", TaskState::Saving},
                                                  {"exited", TaskState::Exited}};
    if (states.count(stage) == 0) return std::nullopt;
    task.state = states.at(stage);
    out.tasks.push_back(task);
  }
  return out;
}

std::optional<Heartbeat> decode(const std::string& text) {
  try {
    return wire::decode_heartbeat(text);
  } catch (const wire::DecodeError&) {
    return std::nullopt;
  }
}

bool is_equal(const Heartbeat& a, const Heartbeat& b) {
  const auto fields = [](const Heartbeat& r) {
    return std::tie(r.machine, r.address, r.type, r.zone, r.spot, r.epoch, r.sequence, r.token,
                    r.preemption_notice);
  };
  return fields(a) == fields(b) &&
         std::equal(a.tasks.begin(), a.tasks.end(), b.tasks.begin(), b.tasks.end(),
                    [](const TaskStatus& x, const TaskStatus& y) {
                      return x.task == y.task && x.attempt == y.attempt && x.state == y.state;
                    });
}

TEST(HeartbeatDecoder, DecodesEveryFieldAndIgnoresUnknownFields) {
  const auto heartbeat = wire::decode_heartbeat(kHeartbeat);
  EXPECT_EQ(heartbeat.machine, "n-1");
  EXPECT_EQ(heartbeat.address, "10.1.0.1:9000");
  EXPECT_EQ(heartbeat.type, "g8");
  EXPECT_EQ(heartbeat.zone, "a");
  EXPECT_TRUE(heartbeat.spot);
  EXPECT_EQ(heartbeat.epoch, 1U);
  EXPECT_EQ(heartbeat.sequence, 88U);
  EXPECT_EQ(heartbeat.token, 41U);
  EXPECT_EQ(heartbeat.preemption_notice, Seconds(7.5));
  ASSERT_EQ(heartbeat.tasks.size(), 2U);
  EXPECT_EQ(heartbeat.tasks[0].state, TaskState::Running);
  EXPECT_EQ(heartbeat.tasks[0].attempt, 2U);
  EXPECT_EQ(heartbeat.tasks[1].cause, ExitCause::Stopped);
  EXPECT_TRUE(heartbeat.tasks[1].saved);
}

TEST(HeartbeatDecoder, RejectsHeartbeatsThatLackAField) {
  const auto valid = Json::parse(kHeartbeat);
  ASSERT_TRUE(decode(valid.dump()));
  // The leader would take a heartbeat without a task list for one of an idle machine.
  for (const char* key :
       {"host", "endpoint", "flavor", "yard", "loaner", "tenure", "tick", "baton", "pieces"}) {
    auto invalid = valid;
    invalid.erase(key);
    EXPECT_FALSE(decode(invalid.dump())) << key;
    invalid[key] = nullptr;
    EXPECT_FALSE(decode(invalid.dump())) << key << " null";
    invalid[key] = Json::object();
    EXPECT_FALSE(decode(invalid.dump())) << key << " of the wrong type";
  }
  for (const char* key : {"piece", "try", "stage"}) {
    auto invalid = valid;
    invalid["pieces"][1].erase(key);
    EXPECT_FALSE(decode(invalid.dump())) << key;
    invalid["pieces"][1][key] = -1;
    EXPECT_FALSE(decode(invalid.dump())) << key << " negative";
  }
  auto without_notice = valid;
  without_notice.erase("warningS");
  EXPECT_TRUE(decode(without_notice.dump()));
}

TEST(HeartbeatDecoder, RejectsBodiesOtherThanOneJsonObject) {
  const std::string valid = kHeartbeat;
  EXPECT_FALSE(decode(""));
  EXPECT_FALSE(decode("[" + valid + "]"));
  EXPECT_FALSE(decode(valid + valid));
  EXPECT_FALSE(decode(valid + std::string(1, '\0') + "x"));
  EXPECT_FALSE(decode(valid.substr(0, valid.size() - 1)));
  EXPECT_FALSE(decode("\"text\""));
  EXPECT_FALSE(decode("null"));
}

// The bodies stay within the 64 KB that the server accepts. A recursive parser would overflow the
// stack on them.
TEST(HeartbeatDecoder, RejectsDeepNestingAndHugeNumbers) {
  const std::size_t max_body_bytes = std::size_t{64} * 1024;
  std::string deep = R"({"extra":)";
  deep.append(max_body_bytes - deep.size(), '[');
  EXPECT_FALSE(decode(deep));
  std::string objects;
  while (objects.size() < max_body_bytes) objects += R"({"a":)";
  EXPECT_FALSE(decode(objects));
  auto closed = R"({"extra":)" + std::string(20000, '[') + std::string(20000, ']') + "," +
                std::string(kHeartbeat).substr(1);
  EXPECT_TRUE(decode(closed)) << "an unknown field is ignored at any nesting depth";
  auto valid = Json::parse(kHeartbeat).dump();
  const auto at = valid.find("88");
  EXPECT_FALSE(decode(valid.replace(at, 2, std::string(400, '9'))));
  EXPECT_FALSE(decode(valid.replace(at, 400, "1e999")));
}

std::string mutate(std::string text, std::mt19937_64& rng) {
  const auto below = [&rng](std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(rng);
  };
  const std::string alphabet = "{}[]\":,0123456789.-+eE\\utrfn \x01\x7f\xc3\xff";
  const auto changes = 1 + below(4);
  for (std::size_t i = 0; i < changes && !text.empty(); ++i) {
    const auto at = below(text.size());
    switch (below(5)) {
      case 0:
        text[at] = alphabet[below(alphabet.size())];
        break;
      case 1:
        text.erase(at, 1 + below(8));
        break;
      case 2:
        text.insert(at, 1, alphabet[below(alphabet.size())]);
        break;
      case 3:
        text.resize(at);
        break;
      default: {
        // Drawn one by one: the order of evaluation of arguments differs between compilers.
        const auto length = below(24);
        const auto start = below(text.size());
        text.insert(at, text.substr(start, length));
        break;
      }
    }
  }
  return text;
}

// Returns whether a field occurs twice. The test skips such messages: the JSON tree keeps the last
// occurrence whatever its type, so the two decoders may differ.
bool has_duplicate_field(const std::string& text) {
  for (const char* key : {"\"host\"", "\"endpoint\"", "\"flavor\"", "\"yard\"", "\"loaner\"",
                          "\"tenure\"", "\"tick\"", "\"baton\"", "\"warningS\"", "\"pieces\""}) {
    const auto first = text.find(key);
    if (first == std::string::npos) continue;
    const auto second = text.find(key, first + 1);
    const bool in_extra = std::string_view(key) == "\"host\"" && second != std::string::npos;
    if (in_extra && text.find(key, second + 1) == std::string::npos) continue;
    if (second != std::string::npos) return true;
  }
  return false;
}

TEST(HeartbeatDecoder, AgreesWithATreeDecoderOnMutatedMessages) {
  std::mt19937_64 rng(20261202);
  std::size_t rejected = 0, decoded_alike = 0;
  for (int i = 0; i < 40000; ++i) {
    const auto text = mutate(kHeartbeat, rng);
    if (has_duplicate_field(text)) continue;
    const auto expected = decode_from_tree(text);
    const auto actual = decode(text);
    ASSERT_EQ(expected.has_value(), actual.has_value()) << "message " << i << ": " << text;
    if (!expected) {
      ++rejected;
      continue;
    }
    ASSERT_TRUE(is_equal(*expected, *actual)) << "message " << i << ": " << text;
    ++decoded_alike;
  }
  EXPECT_GT(rejected, 10000U);
  EXPECT_GT(decoded_alike, 1000U);
}

}  // namespace
