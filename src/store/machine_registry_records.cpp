#include "store/machine_registry_records.hpp"

namespace asterstair::store {
namespace {

constexpr const char* kMachinesField = "machines";

}  // namespace

std::string machine_registry_key(std::size_t chunk) {
  return kMachineRegistryPrefix + std::to_string(chunk);
}

wire::Json encode_machine_registry(const std::vector<std::string>& machines) {
  return {{kMachinesField, machines}};
}

std::vector<std::string> decode_machine_registry(const wire::Json& value) {
  std::vector<std::string> machines;
  for (const auto& machine : wire::list(value, kMachinesField)) {
    if (machine.is_string()) machines.push_back(machine.get<std::string>());
  }
  return machines;
}

}  // namespace asterstair::store
