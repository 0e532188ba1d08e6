#include "cluster/machine.hpp"

#include <algorithm>

namespace asterstair::cluster {
namespace {

/// Returns the value for the key in a small list of pairs; adds it if it is missing.
template <typename Key, typename Value>
Value& find_or_add(std::vector<std::pair<Key, Value>>& entries, const Key& key) {
  auto entry = std::find_if(entries.begin(), entries.end(),
                            [&](const auto& candidate) { return candidate.first == key; });
  if (entry == entries.end()) entry = entries.insert(entry, {key, {}});
  return entry->second;
}

}  // namespace

bool Machine::has_active_attempts() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const auto& entry) { return entry.second.holds_resources(); });
}

TaskAttempt* Machine::find_attempt(const TaskId& task, std::uint64_t attempt) {
  const auto entry = attempts.find({attempt, task});
  return entry == attempts.end() ? nullptr : &entry->second;
}

void Machine::request_stop(TaskAttempt& attempt, Seconds grace) {
  if (attempt.stopping() && *attempt.stop_grace <= grace) return;
  usage_stale = true;
  attempt.stop_grace = grace;
  if (attempt.phase == TaskAttempt::Phase::Terminated) attempt.acknowledge = true;
}

ResourceUsage Machine::compute_usage() const {
  ResourceUsage usage;
  for (const auto& entry : attempts) {
    const TaskAttempt& attempt = entry.second;
    if (!attempt.holds_resources()) continue;
    if (!attempt.job) {
      usage.has_unknown_jobs = true;
      continue;
    }
    const JobSpec& job = *attempt.job;
    usage.used.add(job);
    if (attempt.stopping()) usage.freeing.add(job);
    find_or_add(usage.teams, job.team).add(job);
    if (job.one_zone || job.spread) ++find_or_add(usage.zone_constrained, attempt.job);
  }
  return usage;
}

}  // namespace asterstair::cluster
