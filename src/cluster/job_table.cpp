#include "cluster/job_table.hpp"

#include <memory>
#include <utility>

namespace asterstair::cluster {
namespace {

bool same_attempt(const Assignment& left, const Assignment& right) {
  return left.machine == right.machine && left.attempt == right.attempt;
}

}  // namespace

Job* JobTable::find(const std::string& id) {
  const auto entry = by_id_.find(id);
  return entry == by_id_.end() ? nullptr : entry->second;
}

const Job* JobTable::find(const std::string& id) const {
  const auto entry = by_id_.find(id);
  return entry == by_id_.end() ? nullptr : entry->second;
}

void JobTable::erase(const std::string& id) {
  const auto entry = jobs_.find(id);
  if (entry == jobs_.end()) return;
  by_id_.erase(entry->first);
  jobs_.erase(entry);
}

Job& JobTable::add(JobSpec spec, std::uint64_t version, WallTime accepted) {
  const auto [entry, added] = jobs_.try_emplace(spec.id);
  Job& job = entry->second;
  if (!added) return job;
  by_id_.emplace(entry->first, &job);
  job.version = version;
  job.accepted = accepted;
  job.done.assign(spec.tasks, false);
  job.durable = job.done;
  job.spec = std::make_shared<const JobSpec>(std::move(spec));
  rebuild_waiting(job);
  return job;
}

bool JobTable::assign(Job& job, std::uint32_t index, Assignment assignment) {
  if (index >= job.spec->tasks || job.done[index]) return false;
  const auto present = job.assignments.find(index);
  if (present != job.assignments.end()) return same_attempt(present->second, assignment);
  job.waiting.erase(index);
  job.assignments.emplace(index, std::move(assignment));
  return true;
}

std::uint32_t JobTable::take_waiting(Job& job) { return job.waiting.take_first(); }

void JobTable::mark_running(Job& job, std::uint32_t index, const Assignment& assignment) {
  const auto present = job.assignments.find(index);
  if (present == job.assignments.end() || !same_attempt(present->second, assignment)) return;
  if (present->second.running) return;
  present->second.running = true;
  ++job.running;
}

void JobTable::unassign(Job& job, std::uint32_t index, const Assignment& assignment) {
  const auto present = job.assignments.find(index);
  if (present == job.assignments.end() || !same_attempt(present->second, assignment)) return;
  if (present->second.running) --job.running;
  job.assignments.erase(present);
  if (!job.done[index]) job.waiting.insert(index);
}

bool JobTable::mark_done(Job& job, std::uint32_t index, std::size_t chunk) {
  if (index >= job.spec->tasks || job.done[index]) return false;
  job.done[index] = true;
  ++job.done_count;
  job.dirty_chunks.insert(chunk);
  job.waiting.erase(index);
  return true;
}

void JobTable::rebuild_waiting(Job& job) {
  job.waiting.clear();
  for (std::uint32_t index = 0; index < job.spec->tasks; ++index) {
    if (!job.done[index] && job.assignments.count(index) == 0) job.waiting.insert(index);
  }
}

}  // namespace asterstair::cluster
