// Tests of a lease with several candidates, without the rest of the node.

#include "lease/lease.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "sim/key_value_store.hpp"
#include "sim/settings_text.hpp"
#include "sim/sim_runtime.hpp"

namespace {

using namespace sim;

// Several candidates claim the lease at the same time. Exactly one must acquire it, and all must
// agree on the holder. After the holder has withdrawn, again exactly one must acquire it.
TEST(Lease, IsAcquiredByOneOfSimultaneousCandidates) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Simulator simulator(seed);
    Network network(simulator);
    KeyValueStore state(simulator, network, "10.2.0.1:2379");
    struct Candidate {
      Settings settings;
      SimRuntime runtime;
      store::Store store;
      lease::Lease lease;
      Candidate(Simulator& simulator, Network& network, int i)
          : settings(parse_settings(settings_text(i, 3, {}))),
            runtime(simulator, network, settings.node,
                    [](const std::string&, const std::string&) {}),
            store(runtime, settings),
            lease(runtime, store, {"duty/test", settings.node, 10s}, {[](auto, bool) {}, [] {}}) {}
    };
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

}  // namespace
