// Measures, in simulated time and over several seeds, the failover of provisioning: the time from
// the crash of the node that rents machines to its successor's first rental, and the writes to the
// state service. Runs both without and with the records of the provisioning lease.
//
// Usage: asterstair_provisioning_failover [runs] [machines per pool]

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "sim/scenario.hpp"

namespace {

using namespace sim;

struct Result {
  double seconds = 0;                   // from the crash to the first rental
  std::uint64_t writes = 0, bytes = 0;  // to the state service
  std::size_t rentals = 0;
};

Result measure_failover(std::uint64_t seed, std::size_t per_pool, bool recorded) {
  Scenario scenario(seed, per_pool, 3, {}, Features{recorded});
  const auto tasks = static_cast<std::uint32_t>(per_pool * 16);
  scenario.users.submit(array_job(tasks, 400));
  scenario.run_until(60);
  scenario.crash(scenario.leader(), 300);
  // More tasks than the machines have room for, so that the successor must rent at once.
  scenario.users.submit(array_job(tasks, 400));
  const auto before = scenario.cloud.requests.rentals.size();
  double t = 60;
  while (scenario.cloud.requests.rentals.size() == before && t < 160) scenario.run_until(t += 0.1);
  return {t - 60, scenario.store.writes, scenario.store.bytes_written,
          scenario.cloud.requests.rentals.size()};
}

void measure(std::size_t runs, std::size_t per_pool, bool recorded) {
  std::vector<Result> results;
  for (std::size_t i = 0; i < runs; ++i)
    results.push_back(measure_failover(100 + i, per_pool, recorded));
  std::sort(results.begin(), results.end(),
            [](const Result& a, const Result& b) { return a.seconds < b.seconds; });
  Result sum;
  for (const auto& r : results) {
    sum.writes += r.writes;
    sum.bytes += r.bytes;
    sum.rentals += r.rentals;
  }
  std::printf(
      "%s: %zu runs, first rental after %.1f s (median), %.1f s (worst); %llu writes, %llu "
      "bytes, %zu rentals in all\n",
      recorded ? "recorded" : "unrecorded", runs, results[runs / 2].seconds, results.back().seconds,
      static_cast<unsigned long long>(sum.writes), static_cast<unsigned long long>(sum.bytes),
      sum.rentals);
}

}  // namespace

int main(int argc, char** argv) {
  spdlog::set_level(spdlog::level::off);
  const auto runs = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 20UL;
  const auto per_pool = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 6UL;
  if (runs == 0) return 2;
  measure(runs, per_pool, false);
  measure(runs, per_pool, true);
  return 0;
}
