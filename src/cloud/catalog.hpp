#pragma once
// Machine types, as last seen.

#include <map>
#include <string>
#include <vector>

#include "base/model.hpp"

namespace asterstair::cloud {

class Catalog {
 public:
  bool known() const { return !types_.empty(); }
  const MachineType* find(const std::string& name) const {
    const auto it = types_.find(name);
    return it == types_.end() ? nullptr : &it->second;
  }
  const std::map<std::string, MachineType>& types() const { return types_; }
  void set(const std::vector<MachineType>& types) {
    for (const auto& t : types) types_[t.name] = t;
  }
  // Whether some machine that the job allows can hold one of its tasks.
  bool can_hold(const JobSpec& job) const;

 private:
  std::map<std::string, MachineType> types_;
};

}  // namespace asterstair::cloud
