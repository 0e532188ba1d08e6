#pragma once
/// @file
/// Decides which machines are returned and why. Owned by ScaleIn, which executes the returns.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "autoscale/inventory.hpp"
#include "base/settings.hpp"
#include "cloud/catalog.hpp"
#include "leader/term.hpp"
#include "provisioning/operation.hpp"

namespace asterstair::autoscale {

/// Finds machines that are idle, faulty, unusable or failed to boot. Drains idle and faulty ones
/// before it declares them due for return.
class ReturnPolicy {
 public:
  /// Reads the references at each call; drains machines of `term`.
  ReturnPolicy(const Settings& settings, const cloud::Catalog& catalog, leader::Term& term,
               const Inventory& inventory)
      : settings_(settings), catalog_(catalog), term_(term), inventory_(inventory) {}

  /// Applies a complete list of the cloud's machines. Machines that the cloud lists as failed
  /// become due. Unlisted machines that the leader still waits for become due `kUnlistedTimeout`
  /// after `first_list`, the time at which its first list was complete.
  void on_list(const std::vector<ListedMachine>& machines, TimePoint first_list, TimePoint now);
  /// Evaluates all machines. Drains those that are faulty or not needed.
  void evaluate(TimePoint now);
  /// Returns up to `limit` machines to be returned now. Machines that may be returned only without
  /// tasks have none.
  provisioning::Returns due_returns(std::size_t limit);
  /// Called when the cloud has confirmed the machine's return.
  void on_returned(const std::string& machine) { due_.erase(machine); }

 private:
  /// Free resources on usable machines.
  struct FreeRoom {
    double cpus = 0;  ///< on machines without accelerators
    double gpus = 0;  ///< on machines with accelerators
  };

  void find_failed_boots(TimePoint now);
  std::optional<provisioning::ReturnReason> reason_unusable(const cluster::Machine& machine,
                                                            TimePoint now) const;
  void drain_or_return(const cluster::Machine& machine, TimePoint idle_since, FreeRoom& room,
                       TimePoint now);
  bool is_surplus(const cluster::Machine& machine, TimePoint idle_since, const FreeRoom& room,
                  TimePoint now) const;
  bool gang_may_need(const cluster::Machine& machine) const;
  bool is_redundant(const cluster::Machine& machine, const FreeRoom& room) const;
  double expected_arrivals(const MachineType& type) const;
  bool is_still_due(const std::string& machine, provisioning::ReturnReason reason) const;
  FreeRoom free_room() const;
  Seconds boot_time(const std::string& type) const;

  const Settings& settings_;
  const cloud::Catalog& catalog_;
  leader::Term& term_;
  const Inventory& inventory_;
  std::map<std::string, TimePoint> idle_since_;  ///< by machine without active tasks
  provisioning::Returns due_;
};

}  // namespace asterstair::autoscale
