// Tests of a lease with several candidates, without the rest of the node.

#include "lease/lease.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "sim/key_value_store.hpp"
#include "sim/settings_text.hpp"
#include "sim/sim_runtime.hpp"

namespace {

using namespace sim;

constexpr const char* kStateAddress = "10.2.0.1:2379";
constexpr const char* kLeaseKey = "duty/test";

/// A node that claims the lease.
struct Candidate {
  Settings settings;
  SimRuntime runtime;
  store::Store store;
  lease::Lease lease;

  Candidate(Simulator& simulator, Network& network, int node)
      : settings(parse_settings(settings_text(node, 3, {}))),
        runtime(simulator, network, settings.node, [](const std::string&, const std::string&) {}),
        store(runtime, settings),
        lease(runtime, store, {kLeaseKey, settings.node, 10s}, {[](auto, bool) {}, [] {}}) {}
};

// Several candidates claim the lease at the same time. Exactly one must acquire it, and all must
// agree on the holder. After the holder has withdrawn, again exactly one must acquire it.
TEST(Lease, IsAcquiredByOneOfSimultaneousCandidates) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Simulator simulator(seed);
    Network network(simulator);
    KeyValueStore state(simulator, network, kStateAddress);
    std::vector<std::unique_ptr<Candidate>> candidates;
    for (int i = 0; i < 3; ++i)
      candidates.push_back(std::make_unique<Candidate>(simulator, network, i));
    for (auto& candidate : candidates) candidate->lease.campaign();
    simulator.run_until(3);
    const auto held = std::count_if(candidates.begin(), candidates.end(),
                                    [](auto& candidate) { return candidate->lease.held(); });
    EXPECT_EQ(held, 1) << "seed " << seed;
    for (auto& candidate : candidates)
      EXPECT_EQ(candidate->lease.holder(), candidates.front()->lease.holder());
    for (auto& candidate : candidates) {
      if (candidate->lease.held()) candidate->lease.withdraw();
    }
    simulator.run_until(20);
    EXPECT_EQ(std::count_if(candidates.begin(), candidates.end(),
                            [](auto& candidate) { return candidate->lease.held(); }),
              1);
  }
}

// A record that could not be decoded, for instance one of a newer version, was overwritten once a
// peer had stepped down from it. It may contain conditions that this version does not know, so it
// must stay until it changes. Guard: Acquirer::on_item.
TEST(Lease, IsNeverClaimedFromARecordThatCannotBeRead) {
  const std::vector<Json> values{{{"form", 2}, {"node", "ghat-9"}, {"claim", 7}},
                                 {{"node", 7}, {"claim", 7}},
                                 {{"node", ""}, {"claim", 7}},
                                 "ghat-9"};
  for (const auto& value : values) {
    Simulator simulator(1);
    Network network(simulator);
    KeyValueStore state(simulator, network, kStateAddress);
    Candidate candidate(simulator, network, 0);
    state.overwrite(kLeaseKey, value);
    candidate.lease.campaign();
    simulator.run_until(5);
    candidate.lease.claim_after_step_down(state.records().at(kLeaseKey).second);
    simulator.run_until(10);
    candidate.lease.force_claim();
    simulator.run_until(15);
    EXPECT_EQ(state.records().at(kLeaseKey).first, value);
    EXPECT_FALSE(candidate.lease.held()) << value;
    // A record that can be read again is claimed as usual.
    state.overwrite(kLeaseKey, {{"node", "ghat-9"}, {"claim", 7}});
    simulator.run_until(20);
    EXPECT_FALSE(candidate.lease.held()) << value;
    candidate.lease.claim_after_step_down(state.records().at(kLeaseKey).second);
    simulator.run_until(25);
    EXPECT_TRUE(candidate.lease.held()) << value;
  }
}

}  // namespace
