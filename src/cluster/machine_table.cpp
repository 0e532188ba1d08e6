#include "cluster/machine_table.hpp"

#include <algorithm>

namespace asterstair::cluster {

bool Machine::has_active_attempts() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const auto& o) { return o.second.holds_resources(); });
}

TaskAttempt* Machine::find_attempt(const TaskId& task, std::uint64_t attempt) {
  const auto it = attempts.find({attempt, task});
  return it == attempts.end() ? nullptr : &it->second;
}

ResourceUsage Machine::compute_usage() const {
  ResourceUsage out;
  for (const auto& task_attempt : attempts) {
    const TaskAttempt& o = task_attempt.second;
    if (!o.holds_resources()) continue;
    if (!o.job) {
      out.unknown = true;
      continue;
    }
    const JobSpec& job = *o.job;
    out.used.add(job);
    if (o.stop) out.freeing.add(job);
    auto team = std::find_if(out.teams.begin(), out.teams.end(),
                             [&](const auto& t) { return t.first == job.team; });
    if (team == out.teams.end()) team = out.teams.insert(team, {job.team, {}});
    team->second.add(job);
    if (job.one_zone || job.spread) {
      auto zoned = std::find_if(out.zoned.begin(), out.zoned.end(),
                                [&](const auto& z) { return z.first == o.job; });
      if (zoned == out.zoned.end()) zoned = out.zoned.insert(zoned, {o.job, 0});
      ++zoned->second;
    }
  }
  return out;
}

void Machine::use_image(const JobSpec& job, double cache_gb) {
  if (!image_use.empty() && image_use.back().first == job.image) return;
  const auto it = std::find_if(image_use.begin(), image_use.end(),
                               [&](const auto& i) { return i.first == job.image; });
  if (it != image_use.end()) {
    image_use.splice(image_use.end(), image_use, it);
    return;
  }
  image_use.emplace_back(job.image, job.image_gb);
  images.insert(job.image);
  double total = 0;
  for (const auto& [name, gb] : image_use) total += gb;
  while (cache_gb > 0 && total > cache_gb && image_use.size() > 1) {
    total -= image_use.front().second;
    images.erase(image_use.front().first);
    image_use.pop_front();
  }
}

Machine* MachineTable::find(const std::string& id) {
  const auto it = all_.find(id);
  return it == all_.end() ? nullptr : &it->second;
}

const Machine* MachineTable::find(const std::string& id) const {
  const auto it = all_.find(id);
  return it == all_.end() ? nullptr : &it->second;
}

void MachineTable::clear(Machine& m, std::vector<TaskEvent>& events) {
  for (auto& [key, o] : m.attempts) {
    if (o.phase == TaskAttempt::Phase::Terminated) continue;
    events.push_back({o.phase == TaskAttempt::Phase::Pending ? TaskEvent::Kind::NotStarted
                                                             : TaskEvent::Kind::Vanished,
                      o});
  }
  m.attempts.clear();
  m.changed = true;
}

namespace {

void take_over_state(Machine& m, const Heartbeat& r, TimePoint now) {
  if (!m.reconciled) m.first_heartbeat = now;
  m.id = r.machine;
  m.address = r.address;
  m.type = r.type;
  m.zone = r.zone;
  m.spot = r.spot;
  m.epoch = r.epoch;
  m.sequence = r.sequence;
  m.reconciled = true;
  m.lease_expired = false;
  m.last_heartbeat = now;
  m.reclaim_at.reset();
  if (r.preemption_notice) m.reclaim_at = now + to_duration(*r.preemption_notice);
}

// Whether the heartbeat shows that the task's image is there.
bool shows_image(const TaskStatus& t) {
  if (t.state == TaskState::Exited) return t.cause == ExitCause::Done;
  return t.state != TaskState::Fetching;
}

void take_over_task(Machine& m, const TaskStatus& t, TimePoint now, double cache_gb,
                    std::vector<TaskEvent>& events) {
  const auto [it, adopted] = m.attempts.try_emplace({t.attempt, t.task});
  TaskAttempt& o = it->second;
  o.observed_sequence = m.sequence;
  if (adopted) {
    m.changed = true;
    o.task = t.task;
    o.attempt = t.attempt;
    o.assigned_at = now;
  }
  const auto before = o.phase;
  if (before == TaskAttempt::Phase::Terminated) return;
  const bool was_running = before == TaskAttempt::Phase::Observed && o.state == TaskState::Running;
  const bool begins_to_run = t.state == TaskState::Running && !was_running;
  o.state = t.state;
  if (begins_to_run && o.running_since == TimePoint{}) o.running_since = now;
  if (o.job && shows_image(t)) m.use_image(*o.job, cache_gb);
  if (t.state == TaskState::Exited) {
    m.changed = true;
    o.phase = TaskAttempt::Phase::Terminated;
    o.cause = t.cause;
    o.saved = t.saved;
    events.push_back({TaskEvent::Kind::Exited, o});
    return;
  }
  o.phase = TaskAttempt::Phase::Observed;
  if (adopted) {
    events.push_back({TaskEvent::Kind::Adopted, o});
  } else if (before != TaskAttempt::Phase::Observed) {
    events.push_back({TaskEvent::Kind::Started, o});
  }
  if (begins_to_run) events.push_back({TaskEvent::Kind::Running, o});
}

// What the heartbeat does not name is gone, or was never started. An order sent in the answer to an
// earlier heartbeat is settled by the next one: the worker drops the answer to a heartbeat that it
// has given up. An exited task was cleared, as told.
void drop_unreported(Machine& m, MachineTable::Source source, std::vector<TaskEvent>& events) {
  for (auto it = m.attempts.begin(); it != m.attempts.end();) {
    const TaskAttempt& o = it->second;
    // An answer to a heartbeat may be under way while a direct command is answered: only the next
    // report can settle what it ordered.
    const bool open =
        o.phase == TaskAttempt::Phase::Dispatched && source == MachineTable::Source::DirectAnswer;
    if (o.observed_sequence == m.sequence || open || o.phase == TaskAttempt::Phase::Pending) {
      ++it;
      continue;
    }
    if (o.phase == TaskAttempt::Phase::Dispatched) {
      events.push_back({TaskEvent::Kind::NotStarted, o});
    } else if (o.phase == TaskAttempt::Phase::Observed) {
      events.push_back({TaskEvent::Kind::Vanished, o});
    }
    it = m.attempts.erase(it);
    m.changed = true;
  }
}

}  // namespace

MachineTable::Order MachineTable::apply(const Heartbeat& r, TimePoint now, double cache_gb,
                                    std::vector<TaskEvent>& events, Source source) {
  Machine& m = all_[r.machine];
  // Once a lease has run out here, what its epoch reported comes late, however new it looks:
  // the worker has killed and forgotten all of it.
  if (r.epoch < m.first_valid_epoch) return Order::Late;
  if (m.reconciled && std::pair(r.epoch, r.sequence) <= std::pair(m.epoch, m.sequence))
    return Order::Late;
  // A new epoch begins after the worker has killed and forgotten everything.
  if (r.epoch > m.epoch) clear(m, events);
  take_over_state(m, r, now);
  for (const auto& t : r.tasks) take_over_task(m, t, now, cache_gb, events);
  drop_unreported(m, source, events);
  return Order::New;
}

}  // namespace asterstair::cluster
