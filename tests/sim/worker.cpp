#include "sim/worker.hpp"

#include <algorithm>
#include <cmath>

namespace sim {

namespace {

constexpr auto kHeartbeatTimeout = 4s;
constexpr double kTolerance = 1e-6;  // for rounding errors in sums
constexpr double kUnlimitedS = 1e9;  // longer than any run

}  // namespace

Worker::Worker(const Environment& environment, MachineSpec spec)
    : id(std::move(spec.id)),
      address(std::move(spec.address)),
      zone(std::move(spec.zone)),
      shape(std::move(spec.shape)),
      spot(spec.spot),
      environment_(environment) {}

void Worker::start() {
  auto& simulator = environment_.simulator;
  epoch_began_ = simulator.now();
  const auto node_count = static_cast<double>(environment_.nodes.addresses.size());
  node_ = static_cast<std::size_t>(simulator.uniform(0, 0.999) * node_count);
  environment_.network.listen(
      address, id, [weak = weak_from_this()](const HttpRequest& request, const Respond& respond) {
        if (const auto self = weak.lock()) {
          self->run_when_resumed(
              [request, respond](Worker& worker) { worker.on_request(request, respond); });
        }
      });
  heartbeat_loop();
  schedule_lease_check();
}

void Worker::terminate() {
  terminated = true;
  environment_.network.close(address);
  drop_all_tasks();
}

void Worker::give_preemption_notice(double seconds) {
  preempted_at_ = now() + seconds;
  request_heartbeat();
}

// ---- Process ----

void Worker::hang(double seconds) {
  hung_until_ = std::max(hung_until_, now() + seconds);
  environment_.simulator.schedule(Seconds(seconds), [weak = weak_from_this()] {
    if (const auto self = weak.lock(); self && !self->terminated && !self->hung()) self->resume();
  });
}

void Worker::restart(double down_s) {
  drop_all_tasks();
  deferred_actions_.clear();
  ++epoch_;
  epoch_began_ = environment_.simulator.now();
  token_ = 0;
  sequence_ = 0;
  heartbeat_in_flight_ = false;
  hang(down_s);
  request_heartbeat();
}

bool Worker::hung() const { return now() + kTolerance < hung_until_; }

/// Runs the action now, or when the process resumes if it is hung.
void Worker::run_when_resumed(std::function<void(Worker&)> action) {
  if (hung()) {
    deferred_actions_.push_back(std::move(action));
  } else {
    action(*this);
  }
}

void Worker::resume() {
  for (auto& action : std::exchange(deferred_actions_, {})) {
    if (!terminated) action(*this);
  }
}

/// Checks the lease every 100 ms, also while the process hangs: once the lease has expired, no task
/// may be on the machine.
void Worker::schedule_lease_check() {
  environment_.simulator.schedule(100ms, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || self->terminated) return;
    self->check_lease();
    self->schedule_lease_check();
  });
}

void Worker::check_lease() {
  const auto now = environment_.simulator.now();
  const auto since = std::max(lease_renewed_, epoch_began_);
  if (seconds(now - since) * clock_speed <= environment_.timing.lease_s) return;
  drop_all_tasks();
  ++epoch_;
  epoch_began_ = now;
  request_heartbeat();
}

// ---- Controllers ----

void Worker::heartbeat_loop() {
  if (terminated) return;
  const double interval = environment_.timing.report_s * environment_.simulator.uniform(0.75, 1.25);
  environment_.simulator.schedule(Seconds(interval), [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || self->terminated) return;
    if (!self->heartbeat_in_flight_ && !self->hung()) self->send_heartbeat();
    self->heartbeat_loop();
  });
}

/// Sends the next heartbeat early because something has changed: now, or half a second after the
/// previous one.
void Worker::request_heartbeat() {
  if (heartbeat_due_ || terminated) return;
  heartbeat_due_ = true;
  const double wait = std::max(0.0, last_heartbeat_ + 0.5 - now());
  environment_.simulator.schedule(Seconds(wait), [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || self->terminated) return;
    self->heartbeat_due_ = false;
    self->run_when_resumed([](Worker& worker) {
      if (!worker.heartbeat_in_flight_) worker.send_heartbeat();
    });
  });
}

Json Worker::status() {
  Json list = Json::array();
  for (const auto& [key, task] : tasks_) {
    Json entry = {{"piece", key.first + "/" + std::to_string(key.second.first)},
                  {"try", key.second.second},
                  {"stage", task.state}};
    if (task.state == "exited") entry["cause"] = task.cause;
    if (task.saved) entry["stored"] = true;
    list.push_back(entry);
  }
  Json status = {{"host", id},          {"endpoint", address}, {"flavor", shape.type},
                 {"yard", zone},        {"loaner", spot},      {"tenure", epoch_},
                 {"tick", ++sequence_}, {"baton", token_},     {"pieces", list}};
  status["warningS"] =
      preempted_at_ > 0 ? Json(std::max(0.0, preempted_at_ - now())) : Json(nullptr);
  return status;
}

void Worker::send_heartbeat() {
  heartbeat_in_flight_ = true;
  last_heartbeat_ = now();
  const auto sent = environment_.simulator.now();
  environment_.network.http(
      id, environment_.nodes.addresses[node_], {"POST", "/v1/report", status().dump()},
      kHeartbeatTimeout,
      [weak = weak_from_this(), sent, epoch = epoch_](const HttpResponse& response) {
        const auto self = weak.lock();
        if (!self || self->terminated) return;
        self->run_when_resumed([sent, epoch, response](Worker& worker) {
          worker.heartbeat_in_flight_ = false;
          const bool late = worker.environment_.simulator.now() - sent > kHeartbeatTimeout;
          worker.on_heartbeat_response(late ? HttpResponse{} : response, sent, epoch);
        });
      });
}

void Worker::on_heartbeat_response(const HttpResponse& response, TimePoint sent,
                                   std::uint32_t epoch) {
  if (response.status == 200) {
    const auto answer = Json::parse(response.body, nullptr, false);
    if (!answer.is_discarded() && answer.contains("baton")) {
      on_heartbeat_accepted(answer, sent, epoch);
    }
    return;
  }
  if (response.status == 421 && follow_redirect(response)) return;
  node_ = (node_ + 1) % environment_.nodes.addresses.size();
  environment_.simulator.schedule(1s, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->request_heartbeat();
  });
}

void Worker::on_heartbeat_accepted(const Json& answer, TimePoint sent, std::uint32_t epoch) {
  const auto token = answer["baton"].get<std::uint64_t>();
  if (token < token_ || epoch != epoch_) return;
  if (token > token_) {
    token_ = token;
    request_heartbeat();
  }
  lease_renewed_ = sent;
  apply_commands(answer["orders"]);
}

/// Sends further heartbeats to the leader that the response names. Returns false if it names no
/// other known node.
bool Worker::follow_redirect(const HttpResponse& response) {
  const auto answer = Json::parse(response.body, nullptr, false);
  const std::string leader = answer.is_object() ? answer.value("foreman", "") : "";
  const auto& names = environment_.nodes.names;
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (names[i] == leader && i != node_) {
      node_ = i;
      request_heartbeat();
      return true;
    }
  }
  return false;
}

void Worker::on_request(const HttpRequest& request, const Respond& respond) {
  if (request.target == "/status") {
    respond({200, status().dump()});
    return;
  }
  const auto body = Json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("baton") || !body.contains("tenure")) {
    respond({400, "{}"});
    return;
  }
  const auto token = body["baton"].get<std::uint64_t>();
  if (token < token_ || body["tenure"].get<std::uint32_t>() != epoch_) {
    respond({409, status().dump()});
    return;
  }
  token_ = token;
  apply_commands(body["orders"]);
  respond({200, status().dump()});
}

void Worker::apply_commands(const Json& commands) {
  for (const auto& command : commands) {
    const auto key = task_of(command);
    const auto verb = command["verb"].get<std::string>();
    if (verb == "run") {
      start_task(key);
    } else if (verb == "kill") {
      stop_task(key, command.value("leewayS", 0.0));
    } else if (verb == "clear") {
      const auto it = tasks_.find(key);
      if (it != tasks_.end() && it->second.state == "exited") tasks_.erase(it);
    }
  }
}

// ---- Tasks ----

Worker::TaskKey Worker::task_of(const Json& command) {
  const auto name = command["piece"].get<std::string>();
  const auto slash = name.rfind('/');
  const auto index = static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)));
  return {name.substr(0, slash), {index, command["try"].get<std::uint64_t>()}};
}

const Workload& Worker::workload(const TaskKey& key) const {
  return environment_.jobs.workloads.at(key.first);
}

JobStates::GangAttempt& Worker::gang(const TaskKey& key) {
  return environment_.jobs.gangs[{key.first, key.second.second}];
}

bool Worker::has_live_tasks() const {
  return std::any_of(tasks_.begin(), tasks_.end(),
                     [](const auto& entry) { return entry.second.state != "exited"; });
}

MachineShape Worker::free() const {
  MachineShape available = shape;
  for (const auto& [key, task] : tasks_) {
    if (task.state == "exited") continue;
    const auto& used = workload(key);
    available.cpus -= used.cpus;
    available.gpus -= used.gpus;
    available.memory_gb -= used.memory_gb;
  }
  return available;
}

void Worker::start_task(const TaskKey& key) {
  if (tasks_.count(key) != 0) return;
  Task& task = tasks_[key];
  request_heartbeat();
  if (const auto cause = rejection_cause(key); !cause.empty()) {
    exit_task(key, task, cause);
    return;
  }
  const auto& image = workload(key).image;
  const double fetch = images_.count(image) != 0 ? 0.02 : workload(key).image_gb / shape.gb_per_s;
  schedule_step(key, fetch, [](Worker& worker, const TaskKey& started, Task& fetched) {
    worker.on_image_fetched(started, fetched);
  });
}

/// The cause for which the worker rejects the task, which is in tasks_ already; empty if it can
/// run.
std::string Worker::rejection_cause(const TaskKey& key) const {
  const auto& workloads = environment_.jobs.workloads;
  const auto known = workloads.find(key.first);
  if (known == workloads.end() || key.second.first >= known->second.tasks) return "no_such";
  double cpus = 0, gpus = 0, memory_gb = 0;
  bool in_use = false;
  for (const auto& [other, task] : tasks_) {
    if (task.state == "exited") continue;
    const auto& used = workload(other);
    cpus += used.cpus;
    gpus += used.gpus;
    memory_gb += used.memory_gb;
    const bool same_task = other.first == key.first && other.second.first == key.second.first;
    in_use = in_use || (other != key && same_task);
  }
  if (in_use) return "in_use";
  const bool fits = cpus <= shape.cpus + kTolerance && gpus <= shape.gpus + kTolerance &&
                    memory_gb <= shape.memory_gb + kTolerance;
  return fits ? "" : "no_room";
}

void Worker::on_image_fetched(const TaskKey& key, Task& task) {
  const auto& job = workload(key);
  const auto& [job_id, attempt] = key;
  images_.insert(job.image);
  task.present = true;
  environment_.checker.on_task_present(job_id, attempt.first, {id, shape.type, zone, spot});
  if (environment_.jobs.completed.count({job_id, attempt.first}) != 0) {
    exit_task(key, task, "done");
    return;
  }
  if (failing || job.fails) {
    schedule_step(key, 0.5, [](Worker& worker, const TaskKey& failed, Task& failed_task) {
      worker.exit_task(failed, failed_task, "error");
    });
    return;
  }
  if (!job.gang) {
    run_task(key, task);
    return;
  }
  task.state = "gathering";
  request_heartbeat();
  gang(key).ready.insert(attempt.first);
  if (gang(key).ready.size() == job.tasks) gang(key).started = true;
  wait_for_gang(key, now());
}

void Worker::wait_for_gang(const TaskKey& key, double since) {
  schedule_step(key, 0.2, [since](Worker& worker, const TaskKey& waiting, Task& task) {
    if (task.state != "gathering") return;
    if (worker.gang(waiting).started) {
      worker.run_task(waiting, task);
    } else if (worker.now() - since > worker.environment_.timing.gang_wait_s) {
      worker.exit_task(waiting, task, "alone");
    } else {
      worker.wait_for_gang(waiting, since);
    }
  });
}

void Worker::run_task(const TaskKey& key, Task& task) {
  const auto& jobs = environment_.jobs;
  task.state = "running";
  task.began = now();
  const auto saved = jobs.checkpoints.find(jobs.checkpoint_of(key.first, key.second.first));
  task.progress = saved == jobs.checkpoints.end() ? 0 : saved->second;
  request_heartbeat();
  schedule_run_check(key, task);
}

/// Schedules the check of a running task: at its end, and every 0.3 s for a gang, which may break.
void Worker::schedule_run_check(const TaskKey& key, const Task& task) {
  const auto& job = workload(key);
  const double remaining = job.run_s - task.progress - (now() - task.began);
  schedule_step(key, std::min(std::max(remaining, 0.0), job.gang ? 0.3 : kUnlimitedS),
                [](Worker& worker, const TaskKey& running, Task& running_task) {
                  worker.check_run(running, running_task);
                });
}

void Worker::check_run(const TaskKey& key, Task& task) {
  const auto& job = workload(key);
  if (job.gang && gang(key).broken) {
    save_last_checkpoint(key, task);
    exit_task(key, task, "peers");
  } else if (task.progress + now() - task.began + kTolerance < job.run_s) {
    schedule_run_check(key, task);
  } else {
    complete_task(key, task);
  }
}

void Worker::complete_task(const TaskKey& key, Task& task) {
  const auto& job = workload(key);
  for (std::uint32_t i = 0; i < (job.gang ? job.tasks : 1U); ++i) {
    const auto index = job.gang ? i : key.second.first;
    environment_.jobs.completed.insert({key.first, index});
    environment_.checker.on_task_completed(key.first, index);
  }
  exit_task(key, task, "done");
}

/// Saves the last periodic checkpoint of a running task.
void Worker::save_last_checkpoint(const TaskKey& key, const Task& task) {
  const double interval = workload(key).checkpoint_s;
  if (interval <= 0 || task.state != "running") return;
  const double progress = task.progress + now() - task.began;
  environment_.jobs.save_checkpoint(key.first, key.second.first,
                                    std::floor(progress / interval) * interval);
}

void Worker::stop_task(const TaskKey& key, double grace) {
  const auto it = tasks_.find(key);
  if (it == tasks_.end() || it->second.state == "exited") return;
  Task& task = it->second;
  const auto& job = workload(key);
  if (task.state == "running" && job.checkpoint_s > 0 && grace >= job.save_s) {
    const double progress = task.progress + now() - task.began;
    task.state = "saving";
    request_heartbeat();
    schedule_step(key, job.save_s, [progress](Worker& worker, const TaskKey& stopped, Task& saved) {
      worker.environment_.jobs.save_checkpoint(stopped.first, stopped.second.first, progress);
      saved.saved = true;
      worker.exit_task(stopped, saved, "halted");
    });
    return;
  }
  if (task.state == "saving" && grace > 0) return;
  save_last_checkpoint(key, task);
  exit_task(key, task, "halted");
}

void Worker::exit_task(const TaskKey& key, Task& task, const std::string& cause) {
  leave_machine(key, task);
  task.state = "exited";
  task.cause = cause;
  ++task.step;
  request_heartbeat();
}

/// Records that the task is no longer on the machine. If its gang had started and the task is not
/// completed, the gang is broken, and its other tasks end as well.
void Worker::leave_machine(const TaskKey& key, Task& task) {
  const auto& [job, attempt] = key;
  auto& jobs = environment_.jobs;
  if (task.present) environment_.checker.on_task_absent(job, attempt.first, id);
  task.present = false;
  const auto known = jobs.workloads.find(job);
  if (known == jobs.workloads.end() || !known->second.gang) return;
  gang(key).ready.erase(attempt.first);
  if (gang(key).started && jobs.completed.count({job, attempt.first}) == 0) gang(key).broken = true;
}

void Worker::drop_all_tasks() {
  for (auto& [key, task] : tasks_) leave_machine(key, task);
  tasks_.clear();
}

/// Schedules the task's next step. The action does not run if the task has taken another step by
/// then.
void Worker::schedule_step(const TaskKey& key, double seconds, TaskAction action) {
  const auto step = ++tasks_.at(key).step;
  environment_.simulator.schedule(Seconds(seconds),
                                  [weak = weak_from_this(), key, step, action = std::move(action)] {
                                    const auto self = weak.lock();
                                    if (!self || self->terminated) return;
                                    self->run_when_resumed([key, step, action](Worker& worker) {
                                      const auto it = worker.tasks_.find(key);
                                      if (it != worker.tasks_.end() && it->second.step == step)
                                        action(worker, key, it->second);
                                    });
                                  });
}

}  // namespace sim
