#include "fleet/jobs.hpp"

#include <algorithm>

namespace asterstair::fleet {

Job* Jobs::find(const std::string& id) {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? nullptr : it->second;
}

const Job* Jobs::find(const std::string& id) const {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? nullptr : it->second;
}

void Jobs::erase(const std::string& id) {
  const auto it = all_.find(id);
  if (it == all_.end()) return;
  by_id_.erase(it->first);
  all_.erase(it);
}

Job& Jobs::add(JobSpec spec, std::uint64_t version, WallTime accepted) {
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

bool Jobs::place(Job& job, std::uint32_t index, Placed placed) {
  if (index >= job.spec->tasks || job.done[index]) return false;
  const auto it = job.placed.find(index);
  if (it != job.placed.end()) {
    return it->second.machine == placed.machine && it->second.attempt == placed.attempt;
  }
  const auto w = std::find(job.waiting.begin(), job.waiting.end(), index);
  if (w != job.waiting.end()) job.waiting.erase(w);
  job.placed.emplace(index, std::move(placed));
  return true;
}

std::uint32_t Jobs::take_waiting(Job& job) {
  const auto index = job.waiting.back();
  job.waiting.pop_back();
  return index;
}

void Jobs::unplace(Job& job, std::uint32_t index, const Placed& placed) {
  const auto it = job.placed.find(index);
  if (it == job.placed.end() || it->second.machine != placed.machine ||
      it->second.attempt != placed.attempt) {
    return;
  }
  job.placed.erase(it);
  if (!job.done[index]) job.waiting.push_back(index);
}

bool Jobs::set_done(Job& job, std::uint32_t index, std::size_t chunk) {
  if (index >= job.spec->tasks || job.done[index]) return false;
  job.done[index] = true;
  ++job.done_count;
  job.dirty.insert(chunk);
  if (job.placed.count(index) == 0) {
    const auto w = std::find(job.waiting.begin(), job.waiting.end(), index);
    if (w != job.waiting.end()) job.waiting.erase(w);
  }
  return true;
}

void Jobs::rebuild_waiting(Job& job) {
  job.waiting.clear();
  for (std::uint32_t i = job.spec->tasks; i-- > 0;) {
    if (!job.done[i] && job.placed.count(i) == 0) job.waiting.push_back(i);
  }
}

}  // namespace asterstair::fleet
