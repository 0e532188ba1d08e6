#include "provisioning/records.hpp"

#include "provisioning/name_table.hpp"
#include "store/records.hpp"
#include "wire/cloud.hpp"

namespace asterstair::provisioning {
namespace {

using wire::DecodeError;
using wire::Json;

constexpr NameTable<OrphanedInstance::State, 5> kOrphanStateNames{
    {{OrphanedInstance::State::Waiting, "waiting"},
     {OrphanedInstance::State::InUse, "in use"},
     {OrphanedInstance::State::Returned, "returned"},
     {OrphanedInstance::State::Vanished, "vanished"},
     {OrphanedInstance::State::NeverAppeared, "never appeared"}}};

std::optional<OrphanedInstance::State> parse_orphan_state(std::string_view name) {
  return value_of(kOrphanStateNames, name);
}

void require_object(const Json& value) {
  if (!value.is_object()) throw DecodeError("the record is not an object");
}

std::uint64_t to_ms(WallTime time) {
  const auto ms = std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
  return ms < 0 ? 0 : static_cast<std::uint64_t>(ms);
}

// Maximum of a time in a record, in milliseconds since 1970: about 280 years. WallTime represents
// it without overflow.
constexpr std::uint64_t kMaxTimeMs = 1ULL << 43U;

WallTime decode_time(const Json& object, const char* key) {
  const auto ms = wire::integer(object, key);
  if (ms > kMaxTimeMs) throw DecodeError(std::string(key) + " is out of range");
  return WallTime(milliseconds(ms));
}

// Decodes a field whose value is the name of an enum value. `parse` returns the enum value.
template <typename Parse>
auto decode_name(Parse parse, const Json& object, const char* key) {
  const auto& name = wire::text(object, key);
  const auto value = parse(name);
  if (!value) throw DecodeError(std::string(key) + " is unknown: " + name);
  return *value;
}

std::string decode_machine(const Json& value) {
  if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
    throw DecodeError("a machine's name must be a non-empty string");
  }
  return value.get<std::string>();
}

Rental decode_rental(const Json& value) {
  Rental out;
  out.type = wire::text(value, "type");
  out.zone = wire::text(value, "zone");
  out.spot = wire::flag(value, "spot");
  out.count = wire::integer(value, "count");
  if (out.count == 0 || out.count > wire::kMaxMachinesPerRental)
    throw DecodeError("count is out of range");
  return out;
}

Returns decode_returns(const Json& value) {
  const Json& machines = wire::member(value, "machines");
  if (!machines.is_object()) throw DecodeError("machines is not an object of names and reasons");
  if (machines.empty() || machines.size() > wire::kMaxMachinesPerReturn) {
    throw DecodeError("machines is empty or has too many entries");
  }
  Returns out;
  for (const auto& [machine, reason] : machines.items()) {
    if (machine.empty()) throw DecodeError("a machine's name is empty");
    out[machine] = decode_name(parse_return_reason, machines, machine.c_str());
  }
  return out;
}

}  // namespace

std::string operation_key(const std::string& name) { return kOperationPrefix + name; }

std::string operation_name(const std::string& key) {
  return key.substr(std::string_view(kOperationPrefix).size());
}

Json encode_operation(const Operation& operation) {
  Json out = {{"form", store::kRecordFormat},        {"kind", to_string(operation.kind)},
              {"state", to_string(operation.state)}, {"token", operation.token},
              {"holder", operation.holder},          {"begun", to_ms(operation.begun)}};
  if (operation.kind == OperationKind::Rent) {
    out["type"] = operation.rental.type;
    out["zone"] = operation.rental.zone;
    out["spot"] = operation.rental.spot;
    out["count"] = operation.rental.count;
    if (operation.state == OperationState::Granted) out["machines"] = operation.machines;
  } else {
    Json machines = Json::object();
    for (const auto& [machine, reason] : operation.returns) machines[machine] = to_string(reason);
    out["machines"] = std::move(machines);
  }
  return out;
}

Operation decode_operation(const std::string& key, const Json& value) {
  require_object(value);
  store::require_known_format(value);
  if (!key.starts_with(kOperationPrefix) || operation_name(key).empty()) {
    throw DecodeError("the key has no operation name");
  }
  Operation out;
  out.name = operation_name(key);
  out.kind = decode_name(parse_operation_kind, value, "kind");
  out.state = decode_name(parse_operation_state, value, "state");
  const bool valid_for_any_kind =
      out.state == OperationState::Pending || out.state == OperationState::Settled;
  if (!valid_for_any_kind && !is_valid_transition(out.kind, OperationState::Pending, out.state)) {
    throw DecodeError("state is not valid for this kind of operation");
  }
  out.token = wire::integer(value, "token");
  out.holder = wire::text(value, "holder");
  out.begun = decode_time(value, "begun");
  if (out.kind == OperationKind::Return) {
    out.returns = decode_returns(value);
    return out;
  }
  out.rental = decode_rental(value);
  if (out.state == OperationState::Granted) {
    for (const auto& machine : wire::list(value, "machines")) {
      out.machines.push_back(decode_machine(machine));
    }
  }
  return out;
}

Json encode_control(const ControlRecord& control) {
  return {{"form", store::kRecordFormat},
          {"paused", control.paused},
          {"hand over from", control.hand_over_from}};
}

ControlRecord decode_control(const Json& value) {
  require_object(value);
  store::require_known_format(value);
  ControlRecord out;
  out.paused = wire::flag(value, "paused");
  out.hand_over_from = wire::integer(value, "hand over from");
  return out;
}

std::string_view to_string(OrphanedInstance::State state) {
  return name_of(kOrphanStateNames, state);
}

Json encode_orphans(const std::vector<OrphanedInstance>& orphans) {
  Json list = Json::array();
  for (const auto& orphan : orphans) {
    list.push_back({{"machine", orphan.machine},
                    {"state", to_string(orphan.state)},
                    {"since", to_ms(orphan.since)}});
  }
  return {{"form", store::kRecordFormat}, {"orphans", std::move(list)}};
}

std::vector<OrphanedInstance> decode_orphans(const Json& value) {
  require_object(value);
  store::require_known_format(value);
  std::vector<OrphanedInstance> out;
  for (const auto& item : wire::list(value, "orphans")) {
    out.push_back({wire::text(item, "machine"), decode_name(parse_orphan_state, item, "state"),
                   decode_time(item, "since")});
  }
  return out;
}

}  // namespace asterstair::provisioning
