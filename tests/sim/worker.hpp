#pragma once
// Simulated worker machine.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sim/environment.hpp"
#include "sim/json.hpp"
#include "sim/machine.hpp"

namespace sim {

/// Simulated machine and its worker process, following PROTOCOL. It sends heartbeats to a
/// controller, executes commands, runs tasks, and ends all of them when its lease expires.
class Worker : public std::enable_shared_from_this<Worker> {
 public:
  /// Creates a machine whose process is not started.
  Worker(const Environment& environment, MachineSpec spec);

  /// Starts to listen and to send heartbeats.
  void start();
  /// Terminates the machine: its tasks end, and it no longer responds.
  void terminate();
  /// Gives notice, as for a spot machine, that the machine is reclaimed in `seconds`.
  void give_preemption_notice(double seconds);
  /// Hangs the process for `seconds`. Its clock goes on, and messages are handled when it resumes.
  void hang(double seconds);
  /// Ends the process and starts it again after `down_s` seconds. The tasks are gone, and so is all
  /// that it knew of controllers: the fencing token and the order of its heartbeats begin anew. Its
  /// epoch is the next one.
  void restart(double down_s);
  /// Whether the process hangs.
  bool hung() const;

  /// Whether the machine has a task that has not exited.
  bool has_live_tasks() const;
  /// The resources that are not used by tasks that have not exited.
  MachineShape free() const;
  /// The worker's epoch: 1 at first, incremented at each lease expiry.
  std::uint32_t epoch() const { return epoch_; }

  const std::string id, address, zone;
  const MachineShape shape;
  const bool spot;
  bool terminated = false;   ///< the machine no longer exists
  bool failing = false;      ///< every task that starts here exits with an error
  double clock_speed = 1.0;  ///< speed of the steady clock; 1 is exact

 private:
  /// Job, and the task's index and attempt.
  using TaskKey = std::pair<std::string, std::pair<std::uint32_t, std::uint64_t>>;
  struct Task {
    std::string state = "pulling", cause;
    bool present = false;  // reported to the rule checker as on the machine
    bool saved = false;
    double began = 0, progress = 0;
    std::uint64_t step = 0;  // incremented at each step; timers of earlier steps are ignored
  };
  using TaskAction = std::function<void(Worker&, const TaskKey&, Task&)>;

  // ---- Process ----
  void run_when_resumed(std::function<void(Worker&)> action);
  void resume();
  void schedule_lease_check();
  void check_lease();

  // ---- Controllers ----
  void heartbeat_loop();
  void request_heartbeat();
  void send_heartbeat();
  Json status();
  void on_heartbeat_response(const HttpResponse& response, TimePoint sent, std::uint32_t epoch);
  void on_heartbeat_accepted(const Json& answer, TimePoint sent, std::uint32_t epoch);
  bool follow_redirect(const HttpResponse& response);
  void on_request(const HttpRequest& request, const Respond& respond);
  void apply_commands(const Json& commands);

  // ---- Tasks ----
  static TaskKey task_of(const Json& command);
  void start_task(const TaskKey& key);
  std::string rejection_cause(const TaskKey& key) const;
  void on_image_fetched(const TaskKey& key, Task& task);
  void wait_for_gang(const TaskKey& key, double since);
  void run_task(const TaskKey& key, Task& task);
  void schedule_run_check(const TaskKey& key, const Task& task);
  void check_run(const TaskKey& key, Task& task);
  void complete_task(const TaskKey& key, Task& task);
  void save_last_checkpoint(const TaskKey& key, const Task& task);
  void stop_task(const TaskKey& key, double grace);
  void exit_task(const TaskKey& key, Task& task, const std::string& cause);
  void leave_machine(const TaskKey& key, Task& task);
  void drop_all_tasks();
  void schedule_step(const TaskKey& key, double seconds, TaskAction action);
  double now() const { return environment_.simulator.elapsed(); }
  const Workload& workload(const TaskKey& key) const;
  JobStates::GangAttempt& gang(const TaskKey& key);

  const Environment environment_;
  std::size_t node_ = 0;  // the controller that heartbeats are sent to
  std::uint32_t epoch_ = 1;
  std::uint64_t sequence_ = 0, token_ = 0;
  TimePoint epoch_began_{}, lease_renewed_{};
  double preempted_at_ = 0, last_heartbeat_ = -1, hung_until_ = 0;
  std::vector<std::function<void(Worker&)>> deferred_actions_;
  bool heartbeat_in_flight_ = false, heartbeat_due_ = false;
  std::set<std::string> images_;
  std::map<TaskKey, Task> tasks_;
};

}  // namespace sim
