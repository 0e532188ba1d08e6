#pragma once
/// @file
/// Admin commands on provisioning. They read and write the state service directly, so they work
/// whatever state the nodes are in. Used by main().

#include <functional>
#include <string>
#include <vector>

#include "provisioning/records.hpp"
#include "store/store.hpp"

namespace asterstair::provisioning {

/// Runs one admin command at a time. Must outlive the callbacks.
class AdminCommands {
 public:
  /// Receives the lines to print. `ok` is false if the state service did not answer or refused.
  using Done = std::function<void(bool ok, const std::vector<std::string>& lines)>;

  /// Reads and writes through `store`, which must outlive the commands.
  explicit AdminCommands(store::Store& store) : store_(store) {}

  /// Shows the lease's holder and token, the control record, operations and orphaned instances.
  /// Records that cannot be decoded are shown with the error.
  void show(const Done& done);
  /// Pauses provisioning, or resumes it if `paused` is false.
  void pause(bool paused, const Done& done);
  /// Requests that the present holder gives the provisioning lease to another node.
  void hand_over(const Done& done);

 private:
  /// The records of all keys that begin with the key or prefix of each kind.
  struct Snapshot {
    std::vector<wire::Item> lease, control, operations, orphans;
  };
  void read(const std::function<void(bool ok, const Snapshot&)>& done);
  static std::vector<std::string> describe(const Snapshot& snapshot);
  void write_control(const ControlRecord& control, std::uint64_t version, const Done& done);

  store::Store& store_;
};

}  // namespace asterstair::provisioning
