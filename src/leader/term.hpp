#pragma once
// One term of leadership: the wanted state (live jobs done) against what the workers heartbeat, and
// the loops that work out the difference. A Term lives from one election to its loss; its
// successor starts from the state service and the workers' heartbeats.

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "cloud/catalog.hpp"
#include "cluster/job_table.hpp"
#include "cluster/machine_table.hpp"
#include "leader/election.hpp"
#include "sched/loss.hpp"
#include "sched/snapshot.hpp"
#include "store/store.hpp"

namespace asterstair::leader {

using cluster::Assignment;
using cluster::AttemptId;
using cluster::Job;
using cluster::JobTable;
using cluster::Machine;
using cluster::MachineTable;
using cluster::TaskAttempt;
using cluster::TaskEvent;

// Waiting work that the machines at hand have no room for.
struct Demand {
  JobSpecPtr job;
  std::uint32_t tasks = 0;  // within the team's limit
  Seconds remaining{0};
  double slack = 0;
  // Within its team's guarantee, where the operator states how soon such work is to start.
  bool urgent = false;
};

inline constexpr Duration kArrivalWindow = 90s;
// Failures on so many machines: the job is at fault, not they.
inline constexpr std::size_t kBadJobMachines = 3;

struct Arrival {
  TimePoint at{};
  JobSpecPtr job;
  double slack = 0;  // on arrival
};

struct JobCounts {
  std::string job;
  std::uint32_t done = 0, running = 0;
};

class Term : public std::enable_shared_from_this<Term> {
 public:
  Term(Runtime& runtime, store::Store& store, const leader::Election& election,
       const Settings& settings, const cloud::Catalog& catalog);
  void start();
  void stop() { stopped_ = true; }

  // Only while current(): each answer may renew a lease.
  HttpResponse on_heartbeat(const Heartbeat& heartbeat);

  bool recovered() const { return recovered_; }
  // Whether the view of the live jobs is recent enough for reports to be answered.
  bool view_is_fresh() const {
    return recovered_ && runtime_.now() - view_requested_at_ < max_view_staleness_;
  }
  // A peer, or this node, has confirmed the cancellation: the watch may be late, or cut off.
  void cancelled(const std::string& job);
  // While others may confirm cancellations that this node cannot see, nothing new is started.
  void suspend_launches(bool hold) { launches_suspended_ = hold; }
  bool reconciled() const { return reconciled_; }
  // Whether no heartbeat has come for so long, from several machines, that they cannot all be at
  // fault.
  bool heartbeats_lost() const;
  // When the last heartbeat came; from none in this term, when it began.
  TimePoint last_heartbeat_at() const { return last_heartbeat_at_; }
  bool any_heartbeat() const { return any_heartbeat_; }
  // Whether the machine may be given new work.
  bool usable(const Machine& machine) const { return usable(machine, runtime_.now()); }
  bool usable(const Machine& machine, TimePoint now) const;
  const std::vector<Demand>& demand() const { return demand_; }
  const std::deque<Arrival>& arrivals() const { return arrivals_; }
  const MachineTable& machines() const { return machines_; }
  const JobTable& jobs() const { return jobs_; }
  const sched::LossRates& losses() const { return losses_; }
  std::vector<JobCounts> counts() const;
  std::map<std::pair<std::string, bool>, std::size_t> group_sizes() const;
  // Losses a second of this machine, as its zone and kind have had them.
  double loss_rate(const Machine& machine) const;

  // Wanted by the autoscaler: no new work for the machine; what is on it ends or is stopped.
  void drain(const std::string& machine);
  // The machine's return is about to be made durable, or an earlier leader has made it so: the
  // cloud may take it any moment. No work for it, not even if it is heard of for the first time.
  void begin_return(const std::string& machine);
  // Whether the machine gets no new work and has none.
  bool known_empty(const std::string& machine) const;
  // The returns that earlier leaders have made durable have all been told of. Nothing is started,
  // and no heartbeat answered, before.
  void open_returns_known();
  // Empties one costly machine whose tasks can save and fit on others in use, if there is one
  // that may be spared.
  void consolidate(const std::function<bool(const Machine&)>& spare);
  // The cloud has confirmed that the machine and all on it are gone.
  void machine_gone(const std::string& machine);

 private:
  using Events = std::vector<TaskEvent>;

  void load();
  void load_progress();
  void load_registry();
  void add_registry_chunk(const wire::Item& item);
  void finish_loading();
  void watch(std::uint64_t after, Duration wait);
  void reload_later();
  void add_live(const wire::Item& item);
  void job_ended(const std::string& id);

  void tick();
  void sum_up() const;
  void expire_leases();
  void check_reconciled();
  void write_registry();
  void begin_jobs();
  void begin(Job& job);
  void flush(Job& job);
  void finish(Job& job);
  bool never_sees_token(const Machine& machine) const;
  void direct_answer(const Heartbeat& heartbeat);
  void check_responsiveness(Machine& machine, const Events& events);
  void seems_unresponsive(Machine& machine);
  void handle(Machine& machine, const Events& events);
  void note_running(Job& job);
  void on_exit(Machine& machine, const TaskAttempt& task_attempt);
  void on_error(Machine& machine, Job& job);
  void on_gone(Machine& machine, const TaskAttempt& task_attempt, bool lost);
  void stop_attempt(Machine& machine, TaskAttempt& task_attempt, Seconds grace);
  void release_plans();
  void write_own(wire::Txn txn, store::Urgency urgency, std::function<void(bool)> done);
  void read_versions(const std::vector<std::string>& keys, const std::function<void()>& done);
  bool present(const std::string& machine) const;
  std::set<std::string> present_in_registry(std::size_t chunk) const;
  std::optional<std::size_t> registry_chunk_to_write(std::size_t names_per_chunk);
  void registry_written(std::size_t chunk, const std::set<std::string>& names,
                        const std::vector<std::string>& added);
  void check_gangs();
  void on_preemption_notice(Machine& machine);
  using DirectStops = std::vector<std::pair<std::string, Command>>;  // with their machines
  std::optional<Seconds> grace_before_reclaim(const Machine& machine,
                                              const TaskAttempt& task_attempt) const;
  void stop_gang(const Job& job, Seconds grace, DirectStops& direct);
  void send_direct(const DirectStops& stops, bool read_answers = false);
  void pump_direct();
  std::vector<Command> stops_for_ended(const Heartbeat& heartbeat) const;
  void plan();
  void plan_soon();
  // Its refs are places in planned_machines_ and planned_jobs_, which hold until the next one.
  sched::Snapshot snapshot();
  using InZone = std::unordered_map<std::string, sched::TasksByZone>;  // by job
  void add_machines(sched::Snapshot& snapshot, InZone& in_zone, sched::Resources& unknown);
  void add_teams(sched::Snapshot& snapshot, const sched::Resources& unknown);
  void expect_accelerator_work(sched::Snapshot& snapshot) const;
  std::vector<Job*> jobs_by_arrival();
  void note_idle(Job& job) const;
  bool may_be_placed(const Job& job) const;
  bool any_may_be_placed() const;
  sched::PlanJob plan_job(const Job& job, bool guaranteed) const;
  void refresh(Machine& machine);
  std::vector<std::set<std::size_t>> machines_to_avoid() const;
  std::uint64_t next_attempt();
  void bind(const sched::Placement& placement, std::map<std::string, std::uint64_t>& gangs);
  void update_demand(const sched::Snapshot& snapshot, const sched::Plan& plan);
  using CandidateRef = std::pair<Machine*, TaskAttempt*>;
  std::vector<sched::PreemptionCandidate> preemption_candidates(
      const sched::Snapshot& snapshot, const sched::Plan& plan,
      std::vector<CandidateRef>& refs) const;
  Seconds work_lost_by_stop(const TaskAttempt& task_attempt) const;
  void preempt(sched::Snapshot& snapshot, sched::Plan& plan);
  std::vector<Command> commands_for(Machine& machine, std::uint64_t sequence);
  std::optional<Command> stop_for(Machine& machine, TaskAttempt& task_attempt);
  bool may_acknowledge(const TaskAttempt& task_attempt) const;
  void discard_stale_assignments(Machine& machine);
  void order_starts(Machine& machine, std::uint64_t sequence, std::vector<Command>& out);
  std::optional<Seconds> checkpoint_interval(const Job& job, const Machine& machine) const;
  bool can_move(const Machine& machine) const;
  void empty(Machine& machine);
  double slack_of(const Job& job, Seconds remaining) const;
  Seconds remaining_of(const Job& job) const;
  Seconds age_of(const Job& job) const;
  double cache_gb(const std::string& type) const;
  bool alive() const { return !stopped_; }

  Runtime& runtime_;
  store::Store& store_;
  const leader::Election& election_;
  const Settings& settings_;
  const cloud::Catalog& catalog_;

  // A direct command waiting for its turn.
  struct Direct {
    std::string machine;
    std::vector<Command> commands;
    TimePoint give_up;
    bool read_answer = false;
  };

  Duration max_view_staleness_, watch_wait_;
  std::uint64_t token_ = 0, attempts_ = 0;
  TimePoint elected_at_{}, previous_leaders_expiry_{}, last_heartbeat_at_{}, next_plan_{},
      next_preempt_{}, summed_up_at_{};
  TimePoint view_requested_at_{};  // of the newest view that has arrived
  bool registry_loaded_ = false, open_returns_known_ = false;
  bool stopped_ = false, recovered_ = false, reconciled_ = false, plan_wanted_ = false,
       plan_due_ = false;
  bool launches_suspended_ = false, any_heartbeat_ = false;
  std::deque<Direct> directs_;
  std::size_t directs_in_flight_ = 0;
  // Cancelled, as peers say: the watch may yet tell of them as live.
  std::set<std::string> cancelled_;
  std::deque<std::string> cancelled_order_;
  std::uint64_t live_revision_ = 0;
  JobTable jobs_;
  MachineTable machines_;
  std::set<std::string> gone_;  // returned during this term, or before as the operation log tells
  std::set<std::string> returning_;  // as far as begin_return() has told
  // Versions of the keys that only the leader writes. A write that was never answered may be
  // carried out late; being conditional on the version, it cannot then undo a newer one.
  std::map<std::string, std::uint64_t> versions_;
  std::vector<std::set<std::string>> registry_;  // as durable
  std::set<std::string> registry_additions_;
  bool registry_write_in_flight_ = false;
  // Whether the durable machine registry may name machines that have gone.
  bool registry_stale_ = false;
  // On the machine registry, and neither heard under this token nor known to be without tasks.
  std::set<std::string> pending_reconciliation_;
  sched::LossRates losses_;
  mutable std::map<std::pair<std::string, bool>, std::size_t> sizes_;
  mutable TimePoint sizes_at_{};
  std::map<std::string, sched::Resources> team_use_;  // the sum of what the machines hold
  std::vector<Machine*> planned_machines_;
  std::vector<Job*> planned_jobs_;
  std::vector<Demand> demand_;
  std::deque<Arrival> arrivals_;  // within kArrivalWindow
};

}  // namespace asterstair::leader
