// Whole-gang stops and spot notices, and the direct path that tells a gang in time.

#include "fleet/fleet.hpp"
#include "sched/score.hpp"
#include "wire/worker.hpp"

namespace asterstair::fleet {
namespace {

constexpr double kEndsInTime = 0.7;  // of a notice: estimates are rough
constexpr Seconds kRestartTime{1};   // of a task that finds its image

}  // namespace

void Fleet::check_gangs() {
  // A gang that lost a task stops whole (DESIGN). The others must be told within gang_peer_s.
  std::vector<std::pair<std::string, Command>> direct;
  for (auto& [id, job] : jobs_.all()) {
    if (!job.spec->gang() || job.placed.empty() || job.waiting.empty()) continue;
    for (const auto& [index, placed] : job.placed) {
      Machine* m = machines_.find(placed.machine);
      if (m == nullptr) continue;
      const auto it = m->occupants.find({TaskId{id, index}, placed.attempt});
      if (it == m->occupants.end() || it->second.stop) continue;
      stop_occupant(it->second, Seconds(0));
      if (it->second.phase == Occupant::Phase::Present) {
        direct.emplace_back(m->id, Command{Command::Op::Stop, it->second.task, placed.attempt});
      }
    }
  }
  send_direct(direct);
}

void Fleet::send_direct(const std::vector<std::pair<std::string, Command>>& stops) {
  if (stops.empty() || !election_.entitled()) return;
  std::map<std::string, std::vector<Command>> by_machine;
  for (const auto& [machine, c] : stops) by_machine[machine].push_back(c);
  for (const auto& [id, commands] : by_machine) {
    const Machine* m = machines_.find(id);
    if (m == nullptr || m->address.empty()) continue;
    // The answer is not read: reports alone say what is on a machine.
    runtime_.http(
        m->address,
        {"POST", std::string(wire::kDirectPath), wire::encode_direct(token_, m->session, commands)},
        2s, [](const HttpResponse&) {});
  }
}

void Fleet::check_notices() {
  const auto now = runtime_.now();
  std::vector<std::pair<std::string, Command>> direct;
  for (auto& [mid, m] : machines_.all()) {
    if (!m.goes_at && !m.draining && !m.faulty) continue;
    const Seconds left = m.goes_at ? Seconds(*m.goes_at - now) : Seconds(3600);
    for (auto& [key, o] : m.occupants) {
      if (o.phase != Occupant::Phase::Present || o.stop || !o.job) continue;
      if (!m.goes_at && !m.faulty) continue;  // a drained machine's tasks may end by themselves
      const auto& job = *o.job;
      const bool saves =
          job.checkpoint.count() > 0 && sched::final_save_fits(job.save, kRestartTime, left);
      if (!saves) {
        // What cannot be saved and will not end in time is lost anyway; elsewhere at once is
        // better than after the machine's lease has run out.
        const Seconds ran =
            o.running_since == TimePoint{} ? Seconds(0) : Seconds(now - o.running_since);
        if (!m.goes_at || job.estimate - ran <= left * kEndsInTime) continue;
      }
      Job* live = jobs_.find(o.task.job);
      if (live == nullptr) continue;
      // The whole gang is told at once, wherever its tasks are.
      for (const auto& [index, placed] : live->placed) {
        if (!job.gang() && index != o.task.index) continue;
        Machine* other = machines_.find(placed.machine);
        if (other == nullptr) continue;
        const auto it = other->occupants.find({TaskId{o.task.job, index}, placed.attempt});
        if (it == other->occupants.end() || it->second.stop) continue;
        const Seconds grace = saves ? job.save + Seconds(settings_.gang_peer) : Seconds(0);
        stop_occupant(it->second, grace);
        if (job.gang() && job.tasks > 1) {
          direct.emplace_back(placed.machine,
                              Command{Command::Op::Stop, it->second.task, placed.attempt, grace});
        }
      }
    }
  }
  send_direct(direct);
}

}  // namespace asterstair::fleet
