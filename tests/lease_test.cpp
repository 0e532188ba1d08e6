// The lease by itself, among several candidates.

#include "lease/lease.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "sim/key_value_store.hpp"
#include "sim/settings_text.hpp"
#include "sim/sim_runtime.hpp"

namespace {

using namespace sim;

// Candidates that claim at the same time: one gets the lease, and all know who.
TEST(Lease, GoesToOneOfSimultaneousCandidates) {
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
    std::vector<std::unique_ptr<Candidate>> all;
    for (int i = 0; i < 3; ++i) all.push_back(std::make_unique<Candidate>(simulator, network, i));
    for (auto& c : all) c->lease.campaign();
    simulator.run_until(3);
    const auto held =
        std::count_if(all.begin(), all.end(), [](auto& c) { return c->lease.held(); });
    EXPECT_EQ(held, 1) << "seed " << seed;
    for (auto& c : all) EXPECT_EQ(c->lease.holder(), all.front()->lease.holder());
    for (auto& c : all) {
      if (c->lease.held()) c->lease.withdraw();
    }
    simulator.run_until(20);
    EXPECT_EQ(std::count_if(all.begin(), all.end(), [](auto& c) { return c->lease.held(); }), 1);
  }
}

}  // namespace
