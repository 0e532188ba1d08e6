// Whole-gang stops and spot notices, and the direct path that tells a gang in time.

#include "base/log.hpp"
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
      Occupant* o = m->occupant({id, index}, placed.attempt);
      if (o == nullptr || o->stop) continue;
      stop_occupant(*m, *o, Seconds(0));
      if (o->phase == Occupant::Phase::Present) {
        direct.emplace_back(m->id, Command{Command::Op::Stop, o->task, placed.attempt});
      }
    }
  }
  send_direct(direct);
}

void Fleet::send_direct(const std::vector<std::pair<std::string, Command>>& stops,
                        bool read_answers) {
  if (stops.empty() || !election_.entitled()) return;
  std::map<std::string, std::vector<Command>> by_machine;
  for (const auto& [machine, c] : stops) by_machine[machine].push_back(c);
  for (const auto& [id, commands] : by_machine) {
    const Machine* m = machines_.find(id);
    if (m == nullptr || m->address.empty()) continue;
    runtime_.http(
        m->address,
        {"POST", std::string(wire::kDirectPath), wire::encode_direct(token_, m->session, commands)},
        2s, [self = weak_from_this(), read_answers](const HttpResponse& response) {
          const auto f = self.lock();
          if (!read_answers || response.status != 200 || !f || !f->alive()) return;
          try {
            f->direct_answer(wire::decode_report(response.body));
          } catch (const wire::BadMessage& e) {
            log::error("malformed answer to a direct command: {}", e.what());
          }
        });
  }
}

void Fleet::check_notice(Machine& m) {
  // A drained machine's tasks may end by themselves.
  if (!m.goes_at && !m.faulty) return;
  const auto now = runtime_.now();
  std::vector<std::pair<std::string, Command>> direct;
  const Seconds left = m.goes_at ? Seconds(*m.goes_at - now) : Seconds(3600);
  for (auto& [key, o] : m.occupants) {
    if (o.phase != Occupant::Phase::Present || o.stop || !o.job) continue;
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
    const Seconds grace = saves ? job.save + Seconds(settings_.gang_peer) : Seconds(0);
    if (!job.gang()) {
      stop_occupant(m, o, grace);
      continue;
    }
    Job* live = jobs_.find(o.task.job);
    if (live == nullptr) continue;
    // The whole gang is told at once, wherever its tasks are.
    for (const auto& [index, placed] : live->placed) {
      Machine* other = machines_.find(placed.machine);
      Occupant* peer =
          other == nullptr ? nullptr : other->occupant({o.task.job, index}, placed.attempt);
      if (peer == nullptr || peer->stop) continue;
      stop_occupant(*other, *peer, grace);
      if (job.tasks > 1) {
        direct.emplace_back(placed.machine,
                            Command{Command::Op::Stop, peer->task, placed.attempt, grace});
      }
    }
  }
  send_direct(direct);
}

}  // namespace asterstair::fleet
