// Runs seeded simulations with faults and prints, for each, a digest of all messages that the nodes
// send: requests, responses and gossip. A change that preserves the program's behaviour preserves
// every digest.
//
// Usage: asterstair_traffic_digest [seconds] [seed]

#include <fmt/format.h>

#include <array>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string_view>

#include "base/log.hpp"
#include "sim/fault_injection.hpp"

namespace {

using namespace sim;

// FNV-1a, 64 bits: http://www.isthe.com/chongo/tech/comp/fnv/
class Digest {
 public:
  void add(std::string_view text) {
    for (const char c : text) add_byte(static_cast<unsigned char>(c));
    add_byte(kSeparator);
  }
  std::uint64_t value() const { return value_; }

 private:
  static constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325ULL;
  static constexpr std::uint64_t kPrime = 0x100000001b3ULL;
  static constexpr unsigned char kSeparator = 0xff;  // never occurs in UTF-8 text

  void add_byte(unsigned char byte) { value_ = (value_ ^ byte) * kPrime; }

  std::uint64_t value_ = kOffsetBasis;
};

// Computes a digest of all messages that the scenario's nodes send.
class TrafficRecorder {
 public:
  explicit TrafficRecorder(Scenario& scenario) {
    scenario.network.on_request = [this](const std::string& from, const std::string& to,
                                         const HttpRequest& request) {
      if (is_node(from)) add({"request", from, to, request.method, request.target, request.body});
    };
    scenario.network.on_response = [this, addresses = scenario.node_list.addresses](
                                       const std::string& to, const std::string& from,
                                       const HttpResponse& response) {
      if (std::find(addresses.begin(), addresses.end(), from) == addresses.end()) return;
      const auto retry_after = response.retry_after.value_or(std::chrono::seconds(0)).count();
      add({"response", from, to, std::to_string(response.status), response.body,
           std::to_string(retry_after)});
    };
    scenario.on_peer_message = [this](const std::string& from, const std::string& to,
                                      const std::string& message) {
      add({"message", from, to, message});
    };
  }

  std::uint64_t digest() const { return digest_.value(); }
  std::uint64_t messages() const { return messages_; }

 private:
  static bool is_node(const std::string& host) { return host.starts_with("ghat-"); }

  void add(std::initializer_list<std::string_view> parts) {
    ++messages_;
    for (const auto part : parts) digest_.add(part);
  }

  Digest digest_;
  std::uint64_t messages_ = 0;
};

const std::array<FaultMix, 6> kFaultMixes{{
    {.name = "quiet"},
    {.name = "machines",
     .spot_preemptions = true,
     .failing_machines = true,
     .cloud_outages = true,
     .lost_commands = true,
     .machine_hangs = true},
    {.name = "leaders",
     .node_crashes = true,
     .store_outages = true,
     .duplicate_requests = true,
     .late_transactions = true,
     .mass_cancellations = true,
     .leader_crashes = true,
     .nodes = 5},
    {.name = "zones",
     .spot_preemptions = true,
     .lost_heartbeats = true,
     .zone_partitions = true,
     .slow_responses = true,
     .nodes = 5},
    {.name = "isolated",
     .message_loss = true,
     .submission_burst = true,
     .isolated_controllers = true,
     .rapid_crashes = true,
     .mass_cancellations = true,
     .cancellations_at_completion = true,
     .invalid_requests = true,
     .nodes = 5},
    {.name = "outages",
     .isolated_hosts = true,
     .duplicate_requests = true,
     .mass_cancellations = true,
     .all_nodes_down = true,
     .refusal_then_outage = true},
}};

int run(int argc, char** argv) {
  spdlog::set_level(spdlog::level::off);
  const double length = argc > 1 ? std::strtod(argv[1], nullptr) : 240;
  const std::uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  bool rules_hold = true;
  for (const auto& faults : kFaultMixes) {
    for (const bool with_features : {true, false}) {
      Scenario scenario(seed, 3, faults.nodes, {}, Features{with_features});
      const TrafficRecorder recorder(scenario);
      run_randomized(scenario, faults, length);
      rules_hold = rules_hold && scenario.checker.violations.empty();
      std::cout << fmt::format("{:016x} {} features {}: {} messages, {} tasks done\n",
                               recorder.digest(), faults.name, with_features ? "on" : "off",
                               recorder.messages(), scenario.checker.completed_tasks)
                << scenario.checker.report();
    }
  }
  return rules_hold ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
  } catch (...) {
    std::fputs("terminated by an unknown exception\n", stderr);
  }
  return 1;
}
