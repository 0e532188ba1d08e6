#pragma once
/// @file
/// Interface of the operation log: operations are durable before the cloud is asked, and their
/// results afterwards. Used by OperationRunner.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "provisioning/operation.hpp"

namespace asterstair::provisioning {

/// Result of OperationLog::append().
enum class AppendOutcome {
  Durable,  ///< the Pending record is durable: the cloud may be asked
  Dropped   ///< the record is not stored, and never will be: the name is free
};

/// Write-ahead log of operations on machines.
class OperationLog {
 public:
  virtual ~OperationLog() = default;
  /// Reads the operations that earlier leaders left. Calls back once, as soon as they are known.
  virtual void load(std::function<void(std::vector<Operation>)> done) = 0;
  /// Whether one more operation may be appended.
  virtual bool has_room() const = 0;
  /// Stores a Pending operation. Calls back once, when the outcome is certain.
  virtual void append(const Operation& operation, std::function<void(AppendOutcome)> done) = 0;
  /// Stores a new state of an appended operation. Retries until it is durable.
  virtual void update(const Operation& operation) = 0;
  /// Removes the record of a completed operation. Retries until that is durable.
  virtual void remove(const std::string& name) = 0;
};

/// Stores nothing. Without durable provisioning the operations end with the term of their leader.
class TransientOperationLog : public OperationLog {
 public:
  void load(std::function<void(std::vector<Operation>)> done) override { done({}); }
  bool has_room() const override { return true; }
  void append(const Operation& /*operation*/, std::function<void(AppendOutcome)> done) override {
    done(AppendOutcome::Durable);
  }
  void update(const Operation& /*operation*/) override {}
  void remove(const std::string& /*name*/) override {}
};

}  // namespace asterstair::provisioning
