#pragma once
/// @file
/// Admin commands for provisioning. They read and write the state service directly, so they do not
/// depend on the state of the nodes. Used by main().

#include <functional>
#include <string>
#include <vector>

#include "provisioning/records.hpp"
#include "store/store.hpp"

namespace asterstair::provisioning {

/// Runs one admin command at a time. Must outlive the callbacks.
class AdminCommands {
 public:
  /// Receives the lines to print. `ok` is false if the command failed, for example because the
  /// state service refused it or did not answer.
  using Done = std::function<void(bool ok, const std::vector<std::string>& lines)>;

  /// Reads and writes through `store`, which must outlive the commands.
  explicit AdminCommands(store::Store& store) : store_(store) {}

  /// Shows the lease's holder and token, the control record, operations and orphaned instances.
  /// Records that cannot be decoded are shown with the error.
  void show(const Done& done);
  /// Pauses provisioning, or resumes it if `paused` is false.
  void pause(bool paused, const Done& done);
  /// Requests that the current holder hands the provisioning lease over to another node.
  void hand_over(const Done& done);

 private:
  /// For each kind of record, all items whose keys begin with its key or prefix.
  struct Snapshot {
    std::vector<wire::Item> lease, control, operations, orphans;
  };
  void read(const std::function<void(bool ok, const Snapshot&)>& done);
  static std::vector<std::string> describe(const Snapshot& snapshot);
  void write_control(const ControlRecord& control, std::uint64_t version, const Done& done);

  store::Store& store_;
};

}  // namespace asterstair::provisioning
