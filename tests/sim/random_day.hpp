#pragma once
// Random days of a whole deployment: random jobs, and the faults that a day asks for. Everything
// follows from the scenario's seed.

#include <array>
#include <ostream>
#include <string>
#include <vector>

#include "sim/scenario.hpp"

namespace sim {

struct Day {
  const char* name;
  bool crashes = false, outages = false, cuts = false, spot = false, sick = false, cloud = false,
       losses = false, burst = false;
  // Machines that answers do not reach; late copies; a controller with nothing but its workers;
  // ends and starts within a fraction of a second.
  bool deaf = false, copies = false, alone = false, flapping = false;
  // The meetings that operators have seen: transactions carried out late; machines that hang for
  // less and more than a lease, or reach no controller; a zone with its controller cut off; jobs
  // called off many at a time, or as their last task ends; odd requests; leaders that change ten
  // times in two minutes; all controllers away for longer than a lease; the leader alone refused,
  // then an outage for longer than a cancellation may take.
  bool late_writes = false, hangs = false, mute = false, zones = false, cancels = false,
       at_end = false, odd = false, leaders = false, away = false, gap = false, slow = false;
  int nodes = 3;
};

inline void PrintTo(const Day& d, std::ostream* out) { *out << d.name; }

// Submits random jobs and injects the day's faults, then runs the simulation until `length`
// seconds.
inline void play(Scenario& s, const Day& day, double length) {
  auto& w = s.world;
  std::vector<std::string> ids;
  const int n = s.count();
  const double rate = day.burst ? 2.5 : 4.0;
  for (double t = 1; t < length; t += w.uniform(0.5, 1.5) * rate) {
    w.at(to_duration(Seconds(t)), [&s, &w] {
      const auto id = s.submit(s.random_ask());
      if (w.chance(0.15)) {
        w.at(to_duration(Seconds(w.uniform(0.5, 40))), [&s, id] { s.cancel(id); });
      }
      if (w.chance(0.1))
        s.ask_node("req-999999", {"GET", "/v2/runs/req-999999", ""}, 2s, false, [](int) {});
    });
  }
  const auto often = [&](double every, auto action) {
    for (double t = w.uniform(0.3, 1) * every; t < length; t += w.uniform(0.5, 1.5) * every) {
      w.at(to_duration(Seconds(t)), action);
    }
  };
  if (day.crashes) {
    often(25, [&s, &w] {
      const int leader = s.leader();
      const int which = leader >= 0 && w.chance(0.7) ? leader : s.any_node();
      s.crash(which, w.chance(0.3) ? 0.2 : 4);
      if (w.chance(0.2)) {
        for (int i = 0; i < s.count(); ++i) s.crash(i, w.uniform(0.2, 5));
      }
    });
  }
  if (day.outages) {
    often(60, [&s, &w] {
      if (w.chance(0.4)) {
        // The leader's node alone, half the time.
        const int leader = s.leader();
        const int which = leader >= 0 && w.chance(0.5) ? leader : s.any_node();
        const std::string host = "ghat-" + std::to_string(which);
        w.refuse(host, "state", true);
        w.at(to_duration(Seconds(w.uniform(3, 45))),
             [&w, host] { w.refuse(host, "state", false); });
        return;
      }
      s.state.outage(true);
      w.at(to_duration(Seconds(w.uniform(3, 30))), [&s] { s.state.outage(false); });
    });
  }
  if (day.cuts) {
    often(20, [&s, &w] {
      auto machines = s.cloud.running();
      std::string host = "ghat-" + std::to_string(s.any_node());
      if (!machines.empty() && w.chance(0.7)) {
        host = machines[static_cast<std::size_t>(w.uniform(0, 0.999) *
                                                 static_cast<double>(machines.size()))]
                   ->id;
      }
      w.cut(host);
      w.at(to_duration(Seconds(w.uniform(2, 40))), [&w, host] { w.heal(host); });
    });
  }
  if (day.spot) {
    often(30, [&s, &w] {
      for (const auto& m : s.cloud.running()) {
        if (!m->spot || !w.chance(0.5)) continue;
        const double notice = w.chance(0.4) ? 0 : w.uniform(4, 12);
        if (notice > 0) m->notice(notice);
        w.at(to_duration(Seconds(notice)), [&s, m] {
          if (!m->ended) s.cloud.take(m->id);
        });
      }
    });
  }
  if (day.sick) {
    often(40, [&s, &w] {
      const auto machines = s.cloud.running();
      if (machines.empty()) return;
      const auto& m = machines[static_cast<std::size_t>(w.uniform(0, 0.999) *
                                                        static_cast<double>(machines.size()))];
      m->sick = true;
      w.at(30s, [m] { m->sick = false; });
    });
  }
  if (day.cloud) {
    s.cloud.never_boots = 0.15;
    often(60, [&s, &w] {
      s.cloud.down = true;
      w.at(to_duration(Seconds(w.uniform(5, 30))), [&s] { s.cloud.down = false; });
    });
  }
  if (day.deaf) {
    often(12, [&s, &w, n] {
      const auto machines = s.cloud.running();
      if (machines.empty()) return;
      const auto& m = machines[static_cast<std::size_t>(w.uniform(0, 0.999) *
                                                        static_cast<double>(machines.size()))];
      for (int i = 0; i < n; ++i) w.deafen(s.name(i), m->id, true);
      w.at(to_duration(Seconds(w.uniform(3, 60))), [&s, &w, m, n] {
        for (int i = 0; i < n; ++i) w.deafen(s.name(i), m->id, false);
      });
    });
  }
  if (day.alone) {
    often(45, [&s, &w] {
      const int which = s.leader() >= 0 && w.chance(0.8) ? s.leader() : s.any_node();
      s.leave_alone(which, true);
      w.at(to_duration(Seconds(w.uniform(5, 50))), [&s, which] { s.leave_alone(which, false); });
    });
  }
  if (day.flapping) {
    often(9, [&s, &w] {
      if (s.leader() >= 0) s.crash(s.leader(), w.uniform(0.02, 0.7));
      if (w.chance(0.5)) s.crash(s.any_node(), w.uniform(0.02, 0.7));
      // Once more, in the middle of what the first end set off.
      w.at(to_duration(Seconds(w.uniform(0.02, 1.5))),
           [&s, &w] { s.crash(s.any_node(), w.uniform(0.02, 0.3)); });
    });
  }
  const auto some_machine = [&s, &w]() -> std::shared_ptr<Worker> {
    const auto machines = s.cloud.running();
    if (machines.empty()) return nullptr;
    return machines[static_cast<std::size_t>(w.uniform(0, 0.999) *
                                             static_cast<double>(machines.size()))];
  };
  const auto cancel_some = [&s, &w](std::size_t most) {
    std::vector<std::string> out;
    for (const auto& [id, ask] : s.asks) {
      if (out.size() >= most) break;
      if (s.checker.on(id) == 0 || s.checker.over(id) || w.chance(0.4)) continue;
      out.push_back(id);
      w.at(to_duration(Seconds(w.uniform(0, 0.2))), [&s, id = id] { s.cancel(id); });
    }
    return out;
  };
  if (day.late_writes) w.late_writes = 0.2;
  if (day.slow) w.slow = [&w](const HttpRequest&) { return w.chance(0.1) ? 0.4 : 0.0; };
  if (day.hangs) {
    often(10, [&w, some_machine] {
      if (const auto m = some_machine()) m->hang(w.uniform(2, 25));
    });
  }
  if (day.mute) {
    often(12, [&s, &w, n, some_machine] {
      const auto m = some_machine();
      if (!m) return;
      for (int i = 0; i < n; ++i) w.deafen(m->id, s.name(i), true);
      w.at(to_duration(Seconds(w.uniform(3, 30))), [&s, &w, m, n] {
        for (int i = 0; i < n; ++i) w.deafen(m->id, s.name(i), false);
      });
    });
  }
  if (day.zones) {
    often(70, [&s, &w, n] {
      const std::array<const char*, 3> zones{"north", "south", "east"};
      const auto which = static_cast<std::size_t>(w.uniform(0, 2.999));
      std::set<std::string> hosts;
      for (int i = 0; i < n; ++i) {
        if (static_cast<std::size_t>(i) % 3 == which) hosts.insert(s.name(i));
      }
      for (const auto& m : s.cloud.running()) {
        if (m->zone == zones.at(which)) hosts.insert(m->id);
      }
      w.cut_off(hosts);
      w.at(to_duration(Seconds(w.uniform(5, 40))), [&w] { w.join_again(); });
    });
  }
  if (day.cancels) {
    often(25, [&s, &w, cancel_some] {
      cancel_some(6);
      if (!w.chance(0.5)) return;
      for (const auto& m : s.cloud.running()) {
        if (w.chance(0.3)) m->hang(w.uniform(1, 30));
      }
    });
  }
  if (day.at_end) {
    s.checker.on_last = [&s, &w](const std::string& id) {
      if (!w.chance(0.5)) return;
      w.at(to_duration(Seconds(w.uniform(0, 0.7))), [&s, id] {
        s.cancel(id);
        s.submit_again(id, Scenario::description(id, s.asks.at(id)));
        s.ask_node(id, {"GET", "/v2/runs/" + id, ""}, 2s, false, [](int) {});
      });
    };
  }
  if (day.odd) {
    often(3, [&s, &w] {
      for (const auto& [id, ask] : s.asks) {
        if (!w.chance(0.05)) continue;
        auto body = Scenario::description(id, ask);
        if (w.chance(0.3)) body.erase("bundle");
        if (w.chance(0.2)) body["owner"] = "nobody";
        if (s.checker.accepted(id)) s.submit_again(id, body);
        if (s.checker.final_of(id) == "done") s.cancel(id);
      }
      s.submit_unsound(s.random_ask(), [&w](Json& body) {
        switch (static_cast<int>(w.uniform(0, 6.999))) {
          case 0: {
            const std::array<const char*, 9> keys{"accelerators", "together", "scatter",
                                                  "loaner",       "stashS",   "bookmarkS",
                                                  "cores",        "ramGb",    "expectS"};
            body.erase(keys.at(static_cast<std::size_t>(w.uniform(0, 8.999))));
            break;
          }
          case 1:
            body["yard"] = "atlantis";
            break;
          case 2:
            body["cores"] = 1000.0;
            break;
          case 3:
            body["flavors"] = Json::array({"abacus"});
            break;
          case 4:
            body["owner"] = "nobody";
            break;
          case 5:
            body["shape"] = "ensemble";
            body["pieces"] = 2;
            body["scatter"] = true;
            body["yard"] = "north";
            break;
          default:
            body["pieces"] = "4";
        }
      });
    });
  }
  if (day.leaders) {
    often(11, [&s, &w] {
      if (s.leader() >= 0) s.crash(s.leader(), w.uniform(0.1, 12));
    });
  }
  if (day.away) {
    often(90, [&s, &w, n] {
      const double lease = s.timing.lease_s;
      const int first = s.any_node();
      for (int i = 0; i < n; ++i) {
        s.crash(i, i == first && w.chance(0.4) ? 0.3 : lease + w.uniform(0, 10));
      }
    });
  }
  if (day.gap) {
    for (const double at : {50.0, 170.0}) {
      w.at(to_duration(Seconds(at + w.uniform(0, 10))), [&s, &w, cancel_some] {
        const int leader = s.leader();
        if (leader < 0) return;
        const auto host = s.name(leader);
        const double alone = w.uniform(0.5, 12);
        w.refuse(host, "state", true);
        cancel_some(8);
        w.at(to_duration(Seconds(w.uniform(0.2, alone))), [cancel_some] { cancel_some(8); });
        w.at(to_duration(Seconds(alone)), [&s] { s.state.outage(true); });
        w.at(to_duration(Seconds(alone + s.timing.cancel_s + 10)), [&s, &w, host] {
          w.refuse(host, "state", false);
          s.state.outage(false);
        });
        if (w.chance(0.3)) {
          w.at(to_duration(Seconds(alone + 3)), [&s, leader] { s.crash(leader, 0.3); });
        }
      });
    }
  }
  if (day.copies) w.copies = 0.04;
  if (day.losses) {
    w.lose = 0.01;
    w.delay = 0.02;
  }
  w.run_until(length);
}

}  // namespace sim
