#pragma once
/// @file
/// The cloud's machine types. Owned by Node, which refreshes it; read by the frontend, the leader
/// and the autoscaler.

#include <map>
#include <string>
#include <vector>

#include "base/model.hpp"

namespace asterstair::cloud {

/// Machine types as the cloud last reported them.
class Catalog {
 public:
  /// Whether any type is known. Before that nothing can be said about submissions.
  bool known() const { return !types_.empty(); }
  /// Returns the type called `name`, or nullptr if it is unknown.
  const MachineType* find(const std::string& name) const {
    const auto it = types_.find(name);
    return it == types_.end() ? nullptr : &it->second;
  }
  /// All types, by name.
  const std::map<std::string, MachineType>& types() const { return types_; }
  /// Adds or replaces types. Types that are no longer reported stay: machines of them may exist.
  void set(const std::vector<MachineType>& types) {
    for (const auto& type : types) types_[type.name] = type;
  }
  /// Whether the job can run at all: some machine that it allows has room for one task, and a gang
  /// that must be spread over zones has at least two zones.
  bool can_hold(const JobSpec& job) const;

 private:
  std::map<std::string, MachineType> types_;
};

}  // namespace asterstair::cloud
