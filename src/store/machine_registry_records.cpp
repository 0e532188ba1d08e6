#include "store/machine_registry_records.hpp"

#include <fmt/format.h>

#include <charconv>
#include <string_view>

#include "store/record_format.hpp"

namespace asterstair::store {
namespace {

constexpr const char* kMachinesField = "machines";

}  // namespace

std::string machine_registry_key(std::size_t number) {
  return kMachineRegistryPrefix + std::to_string(number);
}

std::string fixed_width_machine_registry_key(std::size_t number) {
  return fmt::format("{}-{:06}", kMachineRegistryPrefix, number);
}

std::optional<std::size_t> parse_machine_registry_key(const std::string& key) {
  const std::string_view prefix = kMachineRegistryPrefix;
  if (!key.starts_with(prefix)) return std::nullopt;
  std::size_t number = 0;
  const char* const key_end = key.data() + key.size();
  const auto [end, error] = std::from_chars(key.data() + prefix.size(), key_end, number);
  if (error != std::errc() || end != key_end) return std::nullopt;
  if (machine_registry_key(number) != key) return std::nullopt;
  return number;
}

wire::Json encode_machine_registry(const std::vector<std::string>& machines) {
  return {{kMachinesField, machines}};
}

std::vector<std::string> decode_machine_registry(const wire::Json& value) {
  require_known_format(value);
  std::vector<std::string> machines;
  for (const auto& machine : wire::list(value, kMachinesField)) {
    if (!machine.is_string()) wire::fail_field(kMachinesField, "must be a list of names");
    machines.push_back(machine.get<std::string>());
  }
  return machines;
}

}  // namespace asterstair::store
