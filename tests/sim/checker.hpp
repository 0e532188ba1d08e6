#pragma once
// The rules of PROTOCOL, judged from what workers do and users are told alone. Shares no code with
// the service.

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sim/world.hpp"

namespace sim {

struct TrueJob {
  std::string team, zone;
  bool gang = false, one_zone = false, spread = false, spot = false;
  bool sound = true;  // can run, and lacks no field
  std::uint32_t tasks = 0;
  double cpus = 0, gpus = 0;
  std::vector<std::string> types;  // empty: any
};

struct TruePlace {
  std::string machine, type, zone;
  bool spot = false;
};

class Checker {
 public:
  struct Team {
    double cpus_max = 0, gpus_max = 0;
  };

  Checker(World& world, std::map<std::string, Team> teams, double cancel_s)
      : world_(world), teams_(std::move(teams)), cancel_s_(cancel_s) {}

  std::vector<std::string> broken;
  std::function<void(const std::string&)> on_last;  // the last task of a job has ended
  std::uint64_t starts = 0, done_tasks = 0;
  // Of jobs whose user had been told of the cancellation. Counted, not a broken rule: a start may
  // be under way to a machine that nothing else reaches.
  std::uint64_t starts_after_cancel = 0;

  void submitted(const std::string& id, const TrueJob& job) { jobs_[id] = job; }

  // The task has its image: from now on it is on the machine.
  void present(const std::string& id, std::uint32_t index, const TruePlace& place) {
    ++starts;
    ++starts_of_[id];
    if (told_cancelled_.count(id) != 0) ++starts_after_cancel;
    began_.emplace(id, world_.t());
    const auto& job = jobs_.at(id);
    auto& here = on_[id];
    const auto it = here.find(index);
    if (it != here.end()) {
      fail("ran_twice", id, index, place.machine + " while on " + it->second.machine);
    }
    if ((!job.types.empty() &&
         std::find(job.types.begin(), job.types.end(), place.type) == job.types.end()) ||
        (!job.zone.empty() && job.zone != place.zone) || (place.spot && !job.spot)) {
      fail("wrong_place", id, index, place.machine);
    }
    std::uint32_t same_zone = 1;
    for (const auto& [i, p] : here) {
      if (job.one_zone && p.zone != place.zone) fail("wrong_place", id, index, "another zone");
      if (p.zone == place.zone) ++same_zone;
    }
    if (job.spread && same_zone > (job.tasks + 1) / 2) fail("wrong_place", id, index, "spread");
    here[index] = place;
    const auto cancelled = told_cancelled_.find(id);
    if (cancelled != told_cancelled_.end() && world_.t() > cancelled->second + cancel_s_) {
      fail("ran_cancelled", id, index, "started");
    }
    const auto& team = teams_[job.team];
    double cpus = 0, gpus = 0;
    for (const auto& [other, tasks] : on_) {
      const auto& o = jobs_.at(other);
      if (o.team != job.team) continue;
      cpus += o.cpus * static_cast<double>(tasks.size());
      gpus += o.gpus * static_cast<double>(tasks.size());
    }
    if ((team.cpus_max > 0 && cpus > team.cpus_max + 1e-6) ||
        (team.gpus_max > 0 && gpus > team.gpus_max + 1e-6)) {
      fail("quota", id, index, job.team);
    }
  }
  void absent(const std::string& id, std::uint32_t index, const std::string& machine) {
    auto& here = on_[id];
    const auto it = here.find(index);
    if (it != here.end() && it->second.machine == machine) here.erase(it);
  }
  void completed(const std::string& id, std::uint32_t index) {
    if (!done_[id].insert(index).second) return;
    ++done_tasks;
    if (on_last && done_[id].size() == jobs_.at(id).tasks) on_last(id);
  }

  // What a user was told, and when the user had asked. An answer under way while another was told
  // may be the older one; only what was asked for later must not be.
  void answered(const std::string& id, int status, const std::string& stage, bool submit,
                double asked) {
    const bool known = jobs_.count(id) != 0;
    if (!known) {
      if (status == 200) fail("invented", id, 0, stage);
      return;
    }
    const auto accepted = accepted_.find(id);
    if (accepted != accepted_.end() && asked >= accepted->second &&
        (status == 404 || (submit && (status == 400 || status == 422)))) {
      fail("forgotten", id, 0, std::to_string(status));
    }
    if (status != 200 && status != 201) return;
    asked_since_.erase(id);
    accepted_.emplace(id, world_.t());
    if (!jobs_.at(id).sound) fail("unsound", id, 0, "accepted");
    const bool done = stage == "done", cancelled = stage == "withdrawn";
    if (done && done_[id].size() < jobs_.at(id).tasks) fail("not_done", id, 0, "");
    if (cancelled && asked_cancel_.count(id) == 0) fail("went_back", id, 0, "not asked for");
    const auto before = final_.find(id);
    if (before != final_.end() && before->second.first != stage && asked >= before->second.second) {
      fail("went_back", id, 0, before->second.first + " then " + stage);
    }
    if (done || cancelled) final_.emplace(id, std::pair(stage, world_.t()));
    if (cancelled) told_cancelled_.emplace(id, world_.t());
  }
  // Troubles are over: from now on every accepted job's question must be answered again within the
  // time, on one node or another.
  void troubles_over() { quiet_since_ = world_.t(); }
  void asks(const std::string& id) {
    if (accepted_.count(id) == 0 || quiet_since_ < 0) return;
    const auto since = std::max(quiet_since_, asked_since_.emplace(id, world_.t()).first->second);
    if (world_.t() - since > kForgottenAfter && unanswered_.insert(id).second) {
      fail("forgotten", id, 0, "no question answered");
    }
  }
  // A machine that is up and hears the leader, and what it has left.
  struct Room {
    TruePlace place;
    double cpus = 0, gpus = 0, memory_gb = 0;
  };
  // Looked at now and then once the troubles are over: no job waits for kWaitsAtMost while there is
  // room for it all along. What `waits` says of a job may be known only to the simulation.
  void look_at_room(const std::vector<Room>& rooms,
                    const std::function<double(const std::string&)>& memory_gb) {
    if (quiet_since_ < 0) return;
    std::map<std::string, std::pair<double, double>> used;
    for (const auto& [id, here] : on_) {
      auto& u = used[jobs_.at(id).team];
      u.first += jobs_.at(id).cpus * static_cast<double>(here.size());
      u.second += jobs_.at(id).gpus * static_cast<double>(here.size());
    }
    for (const auto& [id, at] : accepted_) {
      const auto& job = jobs_.at(id);
      const bool waits = final_.count(id) == 0 && asked_cancel_.count(id) == 0 &&
                         done_[id].size() < job.tasks && on_[id].empty() &&
                         has_room(job, rooms, used[job.team], memory_gb(id));
      if (!waits) {
        waits_since_.erase(id);
      } else if (world_.t() - waits_since_.emplace(id, world_.t()).first->second > kWaitsAtMost) {
        fail("waits", id, 0, "for more than 90 s beside a machine with room");
        waits_since_[id] = world_.t();
      }
    }
  }
  // Whether of each class, of each team and of each class's largest jobs at least half were served,
  // and the largest began in time. `could` says of a job whether it could have begun.
  void look_at_service(const std::function<bool(const std::string&)>& could) {
    struct Share {
      unsigned all = 0, served = 0;
    };
    std::map<std::string, Share> shares;
    std::map<bool, std::vector<std::uint32_t>> sizes;
    for (const auto& [id, job] : jobs_) {
      if (accepted_.count(id) != 0 && asked_cancel_.count(id) == 0) {
        sizes[job.gang].push_back(job.tasks);
      }
    }
    for (auto& [gang, list] : sizes) std::sort(list.begin(), list.end());
    for (const auto& [id, job] : jobs_) {
      if (accepted_.count(id) == 0 || asked_cancel_.count(id) != 0) continue;
      const auto& list = sizes[job.gang];
      const bool largest = job.tasks >= list[list.size() * 9 / 10];
      const bool served = done_[id].size() >= job.tasks;
      const std::string name = job.gang ? "gangs" : "arrays";
      for (const auto& key : {name, "team " + job.team, largest ? "largest " + name : ""}) {
        if (key.empty()) continue;
        ++shares[key].all;
        if (served) ++shares[key].served;
      }
      const auto began = began_.find(id);
      const double waited = (began == began_.end() ? world_.t() : began->second) - accepted_[id];
      if (largest && waited > kBeginWithin && could(id)) {
        fail("served", id, 0, "began after " + std::to_string(waited) + " s");
      }
    }
    for (const auto& [key, share] : shares) {
      if (share.served * 2 < share.all) fail("served", key, share.served, "of too many");
    }
  }

  void asks_cancel(const std::string& id) { asked_cancel_.insert(id); }
  bool began(const std::string& id) const { return began_.count(id) != 0; }
  bool over(const std::string& id) const { return final_.count(id) != 0; }
  std::string final_of(const std::string& id) const {
    const auto it = final_.find(id);
    return it == final_.end() ? "" : it->second.first;
  }
  const std::string& team_of(const std::string& id) const { return jobs_.at(id).team; }
  bool accepted(const std::string& id) const { return accepted_.count(id) != 0; }

  // After each step.
  void look() {
    for (const auto& [id, since] : told_cancelled_) {
      if (world_.t() <= since + cancel_s_ || reported_.count(id) != 0) continue;
      const auto it = on_.find(id);
      if (it != on_.end() && !it->second.empty()) {
        reported_.insert(id);
        fail("ran_cancelled", id, it->second.begin()->first, "still there");
      }
    }
  }

  bool told_cancelled(const std::string& id) const { return told_cancelled_.count(id) != 0; }
  double told_cancelled_at(const std::string& id) const { return told_cancelled_.at(id); }
  std::uint64_t starts_of(const std::string& id) const {
    const auto it = starts_of_.find(id);
    return it == starts_of_.end() ? 0 : it->second;
  }
  // Where tasks of the job are.
  std::size_t on(const std::string& id) const {
    const auto it = on_.find(id);
    return it == on_.end() ? 0 : it->second.size();
  }

  bool found(const std::string& rule) const {
    for (const auto& b : broken) {
      if (b.rfind(rule, 0) == 0) return true;
    }
    return false;
  }
  std::string text() const {
    std::string out;
    for (std::size_t i = 0; i < broken.size() && i < 10; ++i) out += broken[i] + "\n";
    return out;
  }

 private:
  void fail(const std::string& rule, const std::string& id, std::uint32_t index,
            const std::string& detail) {
    broken.push_back(rule + " at " + std::to_string(world_.t()) + " s: " + id + "/" +
                     std::to_string(index) + " " + detail);
  }

  // Whether the next task, or all of a gang, would find room as things are.
  bool has_room(const TrueJob& job, const std::vector<Room>& rooms,
                const std::pair<double, double>& used, double memory_gb) const {
    const std::uint32_t wanted = job.gang ? job.tasks : 1;
    const auto limit = teams_.find(job.team);
    if (limit != teams_.end()) {
      const auto& t = limit->second;
      if (t.cpus_max > 0 && used.first + job.cpus * wanted > t.cpus_max + 1e-6) return false;
      if (t.gpus_max > 0 && used.second + job.gpus * wanted > t.gpus_max + 1e-6) return false;
    }
    std::map<std::string, std::uint32_t> by_zone;
    for (const auto& r : rooms) {
      if ((r.place.spot && !job.spot) || (!job.zone.empty() && job.zone != r.place.zone)) continue;
      if (!job.types.empty() &&
          std::find(job.types.begin(), job.types.end(), r.place.type) == job.types.end()) {
        continue;
      }
      double n = wanted;
      if (job.cpus > 0) n = std::min(n, std::floor(r.cpus / job.cpus + 1e-6));
      if (job.gpus > 0) n = std::min(n, std::floor(r.gpus / job.gpus + 1e-6));
      if (memory_gb > 0) n = std::min(n, std::floor(r.memory_gb / memory_gb + 1e-6));
      by_zone[r.place.zone] += static_cast<std::uint32_t>(std::max(0.0, n));
    }
    const std::uint32_t half = (job.tasks + 1) / 2;
    std::uint32_t all = 0, most = 0;
    for (const auto& [zone, n] : by_zone) {
      all += job.spread ? std::min(n, half) : n;
      most = std::max(most, n);
    }
    return (job.one_zone ? most : all) >= wanted;
  }

  static constexpr double kForgottenAfter = 75, kBeginWithin = 240, kWaitsAtMost = 90;

  World& world_;
  double quiet_since_ = -1;
  std::map<std::string, double> asked_since_, began_, waits_since_;
  std::map<std::string, std::uint64_t> starts_of_;
  std::set<std::string> unanswered_;
  std::map<std::string, Team> teams_;
  double cancel_s_;
  std::map<std::string, TrueJob> jobs_;
  std::map<std::string, std::map<std::uint32_t, TruePlace>> on_;
  std::map<std::string, std::set<std::uint32_t>> done_;
  std::set<std::string> asked_cancel_, reported_;
  std::map<std::string, double> accepted_;
  std::map<std::string, std::pair<std::string, double>> final_;
  std::map<std::string, double> told_cancelled_;
};

}  // namespace sim
