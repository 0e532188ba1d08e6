#pragma once
// Where operations are made durable before the cloud is asked, and their results after.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "provisioning/operation.hpp"

namespace asterstair::provisioning {

class OperationLog {
 public:
  virtual ~OperationLog() = default;
  // Reads what earlier holders left. Called back once, when it is known.
  virtual void load(std::function<void(std::vector<Operation>)> done) = 0;
  // Whether one more operation may be begun.
  virtual bool has_room() const = 0;
  // True: it is durable. False: it surely never will be, and the name is free.
  virtual void begin(const Operation& operation, std::function<void(bool durable)> done) = 0;
  // Records the state that a begun operation has reached; tried until it is durable.
  virtual void update(const Operation& operation) = 0;
  virtual void remove(const std::string& name) = 0;
};

// Keeps nothing: operations are held by whoever leads, and forgotten with the term.
class TransientOperationLog : public OperationLog {
 public:
  void load(std::function<void(std::vector<Operation>)> done) override { done({}); }
  bool has_room() const override { return true; }
  void begin(const Operation&, std::function<void(bool durable)> done) override { done(true); }
  void update(const Operation&) override {}
  void remove(const std::string&) override {}
};

}  // namespace asterstair::provisioning
