#pragma once
/// @file
/// Catalog of the cloud's machine types. Owned by Node, which refreshes it; read by the frontend,
/// the leader and the autoscaler.

#include <map>
#include <string>
#include <vector>

#include "base/model.hpp"

namespace asterstair::cloud {

/// Machine types as the cloud last reported them.
class Catalog {
 public:
  /// Returns whether any type is known. Until then, submissions cannot be validated.
  bool known() const { return !types_.empty(); }
  /// Returns the type named `name`, or nullptr if it is unknown.
  const MachineType* find(const std::string& name) const {
    const auto it = types_.find(name);
    return it == types_.end() ? nullptr : &it->second;
  }
  /// Returns all types by name.
  const std::map<std::string, MachineType>& types() const { return types_; }
  /// Adds or replaces types. Types that are no longer reported are kept, because machines of these
  /// types may exist.
  void set(const std::vector<MachineType>& types) {
    for (const auto& type : types) types_[type.name] = type;
  }
  /// Returns whether the job can ever run: an empty machine of some allowed type and zone has room
  /// for one task, and a gang that must be spread over zones has at least two zones to choose from.
  bool can_hold(const JobSpec& job) const;

 private:
  std::map<std::string, MachineType> types_;
};

}  // namespace asterstair::cloud
