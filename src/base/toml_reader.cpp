#include "base/toml_reader.hpp"

#include "base/settings.hpp"

namespace asterstair {
namespace {

// Upper bound of numbers, above any meaningful machine size, rate or time.
constexpr double kMaxNumber = 1e9;

// Maximum TCP port.
constexpr int kMaxPort = 65535;

// Returns the port at the end of an address, or 0 if it has none.
int port_of(const std::string& address, std::size_t colon) {
  if (colon == std::string::npos) return 0;
  try {
    return std::stoi(address.substr(colon + 1));
  } catch (const std::exception&) {
    return 0;
  }
}

}  // namespace

void fail_setting(const std::string& field, const std::string& problem) {
  throw SettingsError("settings: " + field + ": " + problem);
}

void TomlReader::fail(std::string_view key, const std::string& problem) const {
  fail_setting(path_of(key), problem);
}

std::string TomlReader::text(std::string_view key) const {
  auto value = table_[key].value<std::string>();
  if (!value || value->empty()) fail(key, "must be a non-empty string");
  return *value;
}

std::string TomlReader::optional_text(std::string_view key) const {
  return table_[key].value_or(std::string());
}

double TomlReader::number(std::string_view key, double minimum) const {
  const auto value = table_[key].value<double>();
  // Written so that NaN, which compares as false, is rejected.
  if (!value || !(*value >= minimum) || *value > kMaxNumber) {
    fail(key, "must be a number of at least " + std::to_string(minimum) + " and at most 1e9");
  }
  return *value;
}

double TomlReader::optional_number(std::string_view key) const {
  return has(key) ? number(key, 0) : 0.0;
}

Duration TomlReader::time(std::string_view key, double minimum) const {
  return to_duration(Seconds(number(key, minimum)));
}

std::string TomlReader::address(std::string_view key) const {
  auto value = text(key);
  const auto colon = value.rfind(':');
  const int port = port_of(value, colon);
  if (colon == 0 || port < 1 || port > kMaxPort) {
    fail(key, "must be an address such as 10.0.0.1:8080");
  }
  return value;
}

TomlReader TomlReader::section(std::string_view key) const {
  auto found = optional_section(key);
  if (!found) fail(key, "this section is missing");
  return *found;
}

std::optional<TomlReader> TomlReader::optional_section(std::string_view key) const {
  const auto* table = table_[key].as_table();
  if (table == nullptr) return std::nullopt;
  return TomlReader(*table, path_of(key) + ".");
}

std::vector<std::string> TomlReader::names(std::string_view key) const {
  std::vector<std::string> names;
  if (const auto* list = table_[key].as_array()) {
    for (const auto& item : *list) {
      const auto name = item.value<std::string>();
      if (!name) fail(key, "must be a non-empty list of names");
      names.push_back(*name);
    }
  }
  if (names.empty()) fail(key, "must be a non-empty list of names");
  return names;
}

void TomlReader::for_each_table(std::string_view key,
                                const std::function<void(const TomlReader&)>& action) const {
  const auto node = table_[key];
  if (!node) return;
  const auto* list = node.as_array();
  if (list == nullptr) fail(key, "must be a list of tables");
  for (const auto& item : *list) {
    const auto* table = item.as_table();
    if (table == nullptr) fail(key, "must be a list of tables");
    action(TomlReader(*table, path_of(key) + "."));
  }
}

}  // namespace asterstair
