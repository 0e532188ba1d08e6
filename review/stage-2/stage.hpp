#pragma once
// What the scripts of review/4 and later have in common: each case is a program of its own.

#include <cstdlib>
#include <exception>
#include <iostream>

#include "world.hpp"

namespace stage {

enum Outcome { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

// Calls `check` four times a second until it returns true, or until the time is over. Returns
// whether it has returned true.
inline bool run_until(World& world, double end, const std::function<bool()>& check) {
  bool met = false;
  const auto tick = std::make_shared<std::function<void()>>();
  *tick = [&world, &met, &check, weak = std::weak_ptr(tick)] {
    const auto self = weak.lock();
    if (!self) return;
    world.check_nodes();
    if (!world.rules_broken.empty()) {
      world.loop.stop();
    } else if (check()) {
      met = true;
      world.loop.stop();
    } else {
      world.loop.after(0.25, *self);
    }
  };
  world.loop.after(0, *tick);
  world.loop.run_until(end);
  *tick = [] {};
  return met;
}

inline std::shared_ptr<Job> make_job(const std::string& ref, const char* lane, const char* shape,
                                     int pieces, double cores, double accelerators, double ram_gb,
                                     double run_s) {
  auto job = std::make_shared<Job>();
  job->run_s = run_s;
  job->body = {{"ref", ref},         {"lane", lane},
               {"owner", "sahayak"}, {"shape", shape},
               {"rank", "standard"}, {"pieces", pieces},
               {"cores", cores},     {"accelerators", accelerators},
               {"ramGb", ram_gb},    {"bundle", "img-01"},
               {"imageGb", 1.0},     {"flavors", nullptr},
               {"yard", nullptr},    {"together", false},
               {"scatter", false},   {"loaner", true},
               {"expectS", run_s},   {"bookmarkS", 0.0},
               {"stashS", 0.0},      {"dueS", nullptr}};
  return job;
}

// Waits until the first controller is ready. Returns false if none is within the time.
inline bool wait_until_ready(World& world, double end) {
  const auto ready = std::make_shared<bool>(false), asked = std::make_shared<bool>(false);
  return run_until(world, end, [&world, ready, asked] {
    if (*ready || *asked) return *ready;
    *asked = true;
    send_request(world.loop, world.api_ports[0], {"GET", "/ready", ""}, 1,
                 [ready, asked](const Response& response) {
                   *ready = response.status == 200;
                   *asked = false;
                 });
    return false;
  });
}

using Case = std::function<Outcome(World&, bool trouble)>;

// Arguments: the directory for settings and logs, the record file, the run command.
inline int run_case(int argc, char** argv, const Timing& timing, const Case& play) {
  if (argc < 4) return kCouldNotRun;
  const char* trouble = std::getenv("TROUBLE");
  Outcome outcome = kCouldNotRun;
  try {
    Loop loop;
    Record record(loop, argv[2]);
    World world(loop, record, timing, {argv + 3, argv + argc}, argv[1]);
    try {
      outcome = play(world, trouble == nullptr || std::string(trouble) != "0");
    } catch (const std::exception& error) {
      record.line(error.what());
    }
    for (const auto& rule : world.rules_broken) record.line("BROKEN: " + rule);
    if (!world.rules_broken.empty()) outcome = kBroken;
    world.stop_nodes();
    record.line(outcome == kHeld     ? "RESULT: the rule held"
                : outcome == kBroken ? "RESULT: the rule is broken"
                                     : "RESULT: the case could not run");
    // Timers and connections still refer to the world, so nothing of it is destroyed.
    std::_Exit(outcome);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
  }
  return kCouldNotRun;
}

}  // namespace stage
