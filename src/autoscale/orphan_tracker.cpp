#include "autoscale/orphan_tracker.hpp"

#include "base/log.hpp"

namespace asterstair::autoscale {
namespace {

// Resolved orphans are shown to administrators until this long after they were first noticed.
// Waiting orphans are always shown.
constexpr auto kResolvedRetention = 10min;
// Bounds the record in the state service. Further orphans that the cloud lists appear only in the
// log.
constexpr std::size_t kMaxOrphans = 100;

}  // namespace

void OrphanTracker::add(const std::string& machine, const Orphan& orphan) {
  if (orphans_.size() < kMaxOrphans) orphans_[machine] = orphan;
}

void OrphanTracker::add_listed(const std::string& machine, TimePoint now) {
  log::info(
      "machine {} is orphaned: listed, but neither in the operation log nor known to the leader",
      machine);
  add(machine, {State::Waiting, now});
}

void OrphanTracker::resolve(const std::string& machine, State state) {
  const auto it = orphans_.find(machine);
  if (it == orphans_.end() || it->second.state != State::Waiting) return;
  it->second.state = state;
  log::info("orphaned machine {}: {}", machine, provisioning::to_string(state));
}

void OrphanTracker::on_missing(const std::string& machine, TimePoint now) {
  if (orphans_.count(machine) != 0) {
    resolve(machine, State::Vanished);
  } else {
    add(machine, {State::NeverAppeared, now});
  }
}

void OrphanTracker::prune(TimePoint now) {
  std::erase_if(orphans_, [&](const auto& entry) {
    const Orphan& orphan = entry.second;
    return orphan.state != State::Waiting && now - orphan.since > kResolvedRetention;
  });
}

std::vector<provisioning::OrphanedInstance> OrphanTracker::snapshot(TimePoint now,
                                                                    WallTime wall) const {
  std::vector<provisioning::OrphanedInstance> out;
  for (const auto& [machine, orphan] : orphans_) {
    const auto age = std::chrono::duration_cast<WallTime::duration>(now - orphan.since);
    out.push_back({machine, orphan.state, wall - age});
  }
  return out;
}

}  // namespace asterstair::autoscale
