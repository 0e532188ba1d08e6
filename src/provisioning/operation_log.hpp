#pragma once
/// @file
/// Interface of the write-ahead log of operations. An operation is durable before its request is
/// sent to the cloud, and its result is stored afterwards. Used by OperationRunner.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "provisioning/operation.hpp"

namespace asterstair::provisioning {

/// Result of OperationLog::append().
enum class AppendOutcome {
  Durable,  ///< the Pending record is durable: the request may be sent to the cloud
  Dropped   ///< the record is not stored, and never will be: the name is unused
};

/// Write-ahead log of operations on machines.
class OperationLog {
 public:
  virtual ~OperationLog() = default;
  /// Reads the operations that earlier leaders have stored. Calls back once, when they have been
  /// read.
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

/// Operation log that stores nothing, used without durable provisioning: operations then end with
/// the term of their leader.
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
