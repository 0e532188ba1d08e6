#include "wire/cloud.hpp"

#include "wire/names.hpp"

namespace asterstair::wire {
namespace {

constexpr const char* kMachineTypesPath = "/machine_types";
constexpr const char* kMachinesPath = "/machines";
constexpr const char* kReturnPath = "/machines/return";

MachineType decode_machine_type(const Json& in) {
  MachineType type;
  type.name = text(in, name::kName);
  type.cpus = number(in, name::kCpus);
  type.gpus = number_or(in, name::kGpus, 0);
  type.memory_gb = number(in, name::kMemoryGb);
  type.cache_gb = number_or(in, name::kCacheGb, 0);
  type.fetch_gb_per_s = number_or(in, name::kFetchRate, 0);
  type.price = number_or(in, name::kPrice, 0);
  type.spot_price = number_or(in, name::kSpotPrice, type.price);
  type.boot = Seconds(number_or(in, name::kBootTime, 0));
  for (const auto& zone : list(in, name::kZones)) {
    if (zone.is_string()) type.zones.push_back(zone.get<std::string>());
  }
  return type;
}

// Treats an unknown state as running.
ListedMachine::State decode_machine_state(const std::string& word) {
  if (word == "booting") return ListedMachine::State::Booting;
  if (word == "failed") return ListedMachine::State::Failed;
  return ListedMachine::State::Running;
}

ListedMachine decode_listed_machine(const Json& in) {
  ListedMachine machine;
  machine.id = text(in, name::kId);
  // The address is optional.
  if (optional_member(in, name::kAddress) != nullptr) machine.address = text(in, name::kAddress);
  machine.type = text(in, name::kType);
  machine.zone = text(in, name::kZone);
  machine.spot = flag_or(in, name::kSpot, false);
  machine.state = decode_machine_state(text(in, name::kState));
  machine.age = Seconds(number_or(in, name::kAge, 0));
  return machine;
}

}  // namespace

HttpRequest machine_types_request() { return {"GET", kMachineTypesPath, ""}; }

std::vector<MachineType> decode_machine_types(const std::string& body) {
  const Json in = parse(body);
  std::vector<MachineType> types;
  for (const auto& type : list(in, name::kTypes)) types.push_back(decode_machine_type(type));
  return types;
}

Json encode_machine_types(const std::vector<MachineType>& types) {
  Json out = Json::array();
  for (const auto& type : types) {
    out.push_back({{name::kName, type.name},
                   {name::kCpus, type.cpus},
                   {name::kGpus, type.gpus},
                   {name::kMemoryGb, type.memory_gb},
                   {name::kCacheGb, type.cache_gb},
                   {name::kFetchRate, type.fetch_gb_per_s},
                   {name::kPrice, type.price},
                   {name::kSpotPrice, type.spot_price},
                   {name::kBootTime, type.boot.count()},
                   {name::kZones, type.zones}});
  }
  return {{name::kTypes, out}};
}

HttpRequest rent_request(const RentalRequest& rental) {
  Json body = {{name::kRequest, rental.request},
               {name::kType, rental.type},
               {name::kZone, rental.zone},
               {name::kSpot, rental.spot},
               {name::kCount, rental.count}};
  if (rental.token != 0) body[name::kToken] = rental.token;
  return {"POST", kMachinesPath, dump(body)};
}

std::vector<std::string> decode_rented_machines(const std::string& body) {
  const Json in = parse(body);
  std::vector<std::string> machines;
  for (const auto& machine : list(in, name::kMachines)) {
    if (machine.is_string()) machines.push_back(machine.get<std::string>());
  }
  return machines;
}

HttpRequest return_request(const ReturnRequest& order) {
  Json body = {{name::kMachines, order.machines}};
  if (!order.request.empty()) body[name::kRequest] = order.request;
  if (order.token != 0) body[name::kToken] = order.token;
  return {"POST", kReturnPath, dump(body)};
}

HttpRequest list_machines_request(const std::string& after) {
  std::string target(kMachinesPath);
  target += "?limit=" + std::to_string(kMaxMachinesPerPage);
  if (!after.empty()) target += "&since=" + after;
  return {"GET", target, ""};
}

MachinePage decode_machines(const std::string& body) {
  const Json in = parse(body);
  MachinePage page;
  for (const auto& machine : list(in, name::kMachines)) {
    page.machines.push_back(decode_listed_machine(machine));
  }
  page.more = flag_or(in, name::kHasMore, false);
  return page;
}

}  // namespace asterstair::wire
