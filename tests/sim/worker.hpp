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

/// Simulated machine with its worker process, written from PROTOCOL: heartbeats to a controller,
/// commands, a lease that ends all tasks as it expires, and the tasks themselves.
class Worker : public std::enable_shared_from_this<Worker> {
 public:
  Worker(const Environment& environment, MachineSpec spec);

  /// Begins to listen and to send heartbeats.
  void start();
  /// The machine is gone: nothing runs and nothing answers.
  void terminate();
  /// Announces, as a spot machine does, that the machine goes in `seconds`.
  void give_preemption_notice(double seconds);
  /// Stops the process for `seconds`. Its clock goes on, and messages wait.
  void hang(double seconds);
  bool hung() const;

  /// Whether a task is here that has not exited.
  bool has_live_tasks() const;
  /// What tasks that have not exited leave of the machine.
  MachineShape free() const;
  /// The number of times that the worker has begun anew, from 1.
  std::uint32_t epoch() const { return epoch_; }

  const std::string id, address, zone;
  const MachineShape shape;
  const bool spot;
  bool terminated = false;
  bool failing = false;      ///< every task that starts here exits with an error
  double clock_speed = 1.0;  ///< of its steady clock

 private:
  /// Job, and the task's index and attempt.
  using TaskKey = std::pair<std::string, std::pair<std::uint32_t, std::uint64_t>>;
  struct Task {
    std::string state = "pulling", cause;
    bool present = false;  // the rule checker counts it as on the machine
    bool saved = false;
    double began = 0, progress = 0;
    std::uint64_t step = 0;  // timers of earlier steps are void
  };
  using TaskAction = std::function<void(Worker&, const TaskKey&, Task&)>;

  // ---- Process ----
  void when_awake(std::function<void(Worker&)> action);
  void wake();
  void watch_lease();
  void check_lease();

  // ---- Controllers ----
  void heartbeat_loop();
  void heartbeat_soon();
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
  std::string refusal(const TaskKey& key) const;
  void on_image_fetched(const TaskKey& key, Task& task);
  void wait_for_gang(const TaskKey& key, double since);
  void run_task(const TaskKey& key, Task& task);
  void watch_run(const TaskKey& key, const Task& task);
  void check_run(const TaskKey& key, Task& task);
  void complete_task(const TaskKey& key, Task& task);
  void save_last_checkpoint(const TaskKey& key, const Task& task);
  void stop_task(const TaskKey& key, double grace);
  void exit_task(const TaskKey& key, Task& task, const std::string& cause);
  void leave_machine(const TaskKey& key, Task& task);
  void drop_all_tasks();
  void after(const TaskKey& key, double seconds, TaskAction action);
  double now() const { return environment_.simulator.elapsed(); }
  const Workload& workload(const TaskKey& key) const;
  JobStates::GangAttempt& gang(const TaskKey& key);

  const Environment environment_;
  std::size_t node_ = 0;  // the controller that gets the heartbeats
  std::uint32_t epoch_ = 1;
  std::uint64_t sequence_ = 0, token_ = 0;
  TimePoint epoch_began_{}, lease_renewed_{};
  double preempted_at_ = 0, last_heartbeat_ = -1, hung_until_ = 0;
  std::vector<std::function<void(Worker&)>> asleep_;
  bool in_flight_ = false, heartbeat_due_ = false;
  std::set<std::string> images_;
  std::map<TaskKey, Task> tasks_;
};

}  // namespace sim
