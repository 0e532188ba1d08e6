#include "provisioning/records.hpp"

#include <array>

#include "store/records.hpp"
#include "wire/cloud.hpp"

namespace asterstair::provisioning {
namespace {

using wire::DecodeError;
using wire::Json;

constexpr std::array<std::pair<OrphanedInstance::State, std::string_view>, 5> kOrphanStates{
    {{OrphanedInstance::State::Waiting, "waiting"},
     {OrphanedInstance::State::InUse, "in use"},
     {OrphanedInstance::State::Returned, "returned"},
     {OrphanedInstance::State::Vanished, "vanished"},
     {OrphanedInstance::State::NeverAppeared, "never appeared"}}};

std::uint64_t to_ms(WallTime time) {
  const auto ms = std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
  return ms < 0 ? 0 : static_cast<std::uint64_t>(ms);
}

// Beyond any time that is meant, and within what WallTime holds.
constexpr std::uint64_t kLatestMs = 1ULL << 43U;

WallTime time_of(const Json& object, const char* key) {
  const auto ms = wire::integer(object, key);
  if (ms > kLatestMs) throw DecodeError(std::string(key) + " is out of range");
  return WallTime(milliseconds(ms));
}

template <typename Parse>
auto known(Parse parse, const Json& object, const char* key) {
  const auto& word = wire::text(object, key);
  const auto value = parse(word);
  if (!value) throw DecodeError(std::string(key) + " is unknown: " + word);
  return *value;
}

std::string non_empty(const Json& value) {
  if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
    throw DecodeError("a machine's name is needed");
  }
  return value.get<std::string>();
}

Rental decode_rental(const Json& value) {
  Rental out;
  out.type = wire::text(value, "type");
  out.zone = wire::text(value, "zone");
  out.spot = wire::flag(value, "spot");
  out.count = wire::integer(value, "count");
  if (out.count == 0 || out.count > wire::kMostRented) throw DecodeError("count is out of range");
  return out;
}

Returns decode_returns(const Json& value) {
  const Json& machines = wire::member(value, "machines");
  if (!machines.is_object()) throw DecodeError("machines must name the reasons");
  if (machines.empty() || machines.size() > wire::kMostReturned) {
    throw DecodeError("machines are none or too many");
  }
  Returns out;
  for (const auto& [machine, reason] : machines.items()) {
    if (machine.empty()) throw DecodeError("a machine's name is needed");
    out[machine] = known(reason_of, machines, machine.c_str());
  }
  return out;
}

}  // namespace

std::string operation_key(const std::string& name) { return kOperationPrefix + name; }

Json encode_operation(const Operation& o) {
  Json out = {{"form", store::kRecordFormat}, {"kind", word(o.kind)},
              {"state", word(o.state)},       {"token", o.token},
              {"holder", o.holder},           {"begun", to_ms(o.begun)}};
  if (o.kind == OperationKind::Rent) {
    out["type"] = o.rental.type;
    out["zone"] = o.rental.zone;
    out["spot"] = o.rental.spot;
    out["count"] = o.rental.count;
    if (o.state == OperationState::Granted) out["machines"] = o.machines;
  } else {
    Json machines = Json::object();
    for (const auto& [machine, reason] : o.returns) machines[machine] = word(reason);
    out["machines"] = std::move(machines);
  }
  return out;
}

Operation decode_operation(const std::string& key, const Json& value) {
  if (!value.is_object()) throw DecodeError("an object is needed");
  store::require_known_format(value);
  const std::string_view prefix = kOperationPrefix;
  if (!key.starts_with(prefix) || key.size() == prefix.size()) throw DecodeError("no name");
  Operation out;
  out.name = key.substr(prefix.size());
  out.kind = known(kind_of, value, "kind");
  out.state = known(state_of, value, "state");
  const bool of_any_kind =
      out.state == OperationState::Pending || out.state == OperationState::Settled;
  if (!of_any_kind && !is_legal(out.kind, OperationState::Pending, out.state)) {
    throw DecodeError("state is not one of this kind");
  }
  out.token = wire::integer(value, "token");
  out.holder = wire::text(value, "holder");
  out.begun = time_of(value, "begun");
  if (out.kind == OperationKind::Return) {
    out.returns = decode_returns(value);
    return out;
  }
  out.rental = decode_rental(value);
  if (out.state == OperationState::Granted) {
    for (const auto& machine : wire::list(value, "machines")) {
      out.machines.push_back(non_empty(machine));
    }
  }
  return out;
}

Json encode_control(const Control& c) {
  return {
      {"form", store::kRecordFormat}, {"paused", c.paused}, {"hand over from", c.hand_over_from}};
}

Control decode_control(const Json& value) {
  if (!value.is_object()) throw DecodeError("an object is needed");
  store::require_known_format(value);
  Control out;
  out.paused = wire::flag(value, "paused");
  out.hand_over_from = wire::integer(value, "hand over from");
  return out;
}

std::string_view word(OrphanedInstance::State state) {
  for (const auto& [each, word] : kOrphanStates) {
    if (each == state) return word;
  }
  return "";
}

Json encode_orphans(const std::vector<OrphanedInstance>& orphans) {
  Json list = Json::array();
  for (const auto& o : orphans) {
    list.push_back({{"machine", o.machine}, {"state", word(o.state)}, {"since", to_ms(o.since)}});
  }
  return {{"form", store::kRecordFormat}, {"orphans", std::move(list)}};
}

std::vector<OrphanedInstance> decode_orphans(const Json& value) {
  if (!value.is_object()) throw DecodeError("an object is needed");
  store::require_known_format(value);
  std::vector<OrphanedInstance> out;
  for (const auto& item : wire::list(value, "orphans")) {
    const auto parse = [](std::string_view text) {
      std::optional<OrphanedInstance::State> state;
      for (const auto& [each, word] : kOrphanStates) {
        if (word == text) state = each;
      }
      return state;
    };
    out.push_back(
        {wire::text(item, "machine"), known(parse, item, "state"), time_of(item, "since")});
  }
  return out;
}

}  // namespace asterstair::provisioning
