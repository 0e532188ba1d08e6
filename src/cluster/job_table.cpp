#include "cluster/job_table.hpp"

namespace asterstair::cluster {

Job* JobTable::find(const std::string& id) {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? nullptr : it->second;
}

const Job* JobTable::find(const std::string& id) const {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? nullptr : it->second;
}

void JobTable::erase(const std::string& id) {
  const auto it = all_.find(id);
  if (it == all_.end()) return;
  by_id_.erase(it->first);
  all_.erase(it);
}

Job& JobTable::add(JobSpec spec, std::uint64_t version, WallTime accepted) {
  const auto [it, added] = all_.try_emplace(spec.id);
  Job& job = it->second;
  if (!added) return job;
  by_id_.emplace(it->first, &job);
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
  const auto it = job.assignments.find(index);
  if (it != job.assignments.end()) {
    return it->second.machine == assignment.machine && it->second.attempt == assignment.attempt;
  }
  job.waiting.erase(index);
  job.assignments.emplace(index, std::move(assignment));
  return true;
}

std::uint32_t JobTable::take_waiting(Job& job) { return job.waiting.take_first(); }

void JobTable::mark_running(Job& job, std::uint32_t index, const Assignment& assignment) {
  const auto it = job.assignments.find(index);
  if (it == job.assignments.end() || it->second.running ||
      it->second.machine != assignment.machine || it->second.attempt != assignment.attempt) {
    return;
  }
  it->second.running = true;
  ++job.running;
}

void JobTable::unassign(Job& job, std::uint32_t index, const Assignment& assignment) {
  const auto it = job.assignments.find(index);
  if (it == job.assignments.end() || it->second.machine != assignment.machine ||
      it->second.attempt != assignment.attempt) {
    return;
  }
  if (it->second.running) --job.running;
  job.assignments.erase(it);
  if (!job.done[index]) job.waiting.insert(index);
}

bool JobTable::mark_done(Job& job, std::uint32_t index, std::size_t chunk) {
  if (index >= job.spec->tasks || job.done[index]) return false;
  job.done[index] = true;
  ++job.done_count;
  job.dirty.insert(chunk);
  job.waiting.erase(index);
  return true;
}

void JobTable::rebuild_waiting(Job& job) {
  job.waiting.clear();
  for (std::uint32_t i = 0; i < job.spec->tasks; ++i) {
    if (!job.done[i] && job.assignments.count(i) == 0) job.waiting.insert(i);
  }
}

}  // namespace asterstair::cluster
