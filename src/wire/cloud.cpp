#include "wire/cloud.hpp"

#include "wire/names.hpp"

namespace asterstair::wire {

HttpRequest machine_types_request() { return {"GET", "/machine_types", ""}; }

std::vector<MachineType> decode_machine_types(const std::string& body) {
  const Json in = parse(body);
  std::vector<MachineType> out;
  for (const auto& t : list(in, name::kTypes)) {
    MachineType type;
    type.name = text(t, name::kName);
    type.cpus = number(t, name::kCpus);
    type.gpus = number_or(t, name::kGpus, 0);
    type.memory_gb = number(t, name::kMemoryGb);
    type.cache_gb = number_or(t, name::kCacheGb, 0);
    type.fetch_gb_per_s = number_or(t, name::kFetch, 0);
    type.price = number_or(t, name::kPrice, 0);
    type.spot_price = number_or(t, name::kSpotPrice, type.price);
    type.boot = Seconds(number_or(t, name::kBoot, 0));
    for (const auto& z : list(t, name::kZones)) {
      if (z.is_string()) type.zones.push_back(z.get<std::string>());
    }
    out.push_back(std::move(type));
  }
  return out;
}

Json encode_machine_types(const std::vector<MachineType>& types) {
  Json out = Json::array();
  for (const auto& t : types) {
    out.push_back({{name::kName, t.name},
                   {name::kCpus, t.cpus},
                   {name::kGpus, t.gpus},
                   {name::kMemoryGb, t.memory_gb},
                   {name::kCacheGb, t.cache_gb},
                   {name::kFetch, t.fetch_gb_per_s},
                   {name::kPrice, t.price},
                   {name::kSpotPrice, t.spot_price},
                   {name::kBoot, t.boot.count()},
                   {name::kZones, t.zones}});
  }
  return {{name::kTypes, out}};
}

HttpRequest rent_request(const RentalRequest& r) {
  Json body = {{name::kRequest, r.request},
               {name::kType, r.type},
               {name::kZone, r.zone},
               {name::kSpot, r.spot},
               {name::kCount, r.count}};
  if (r.token != 0) body[name::kToken] = r.token;
  return {"POST", "/machines", dump(body)};
}

std::vector<std::string> decode_rented(const std::string& body) {
  const Json in = parse(body);
  std::vector<std::string> out;
  for (const auto& m : list(in, name::kMachines)) {
    if (m.is_string()) out.push_back(m.get<std::string>());
  }
  return out;
}

HttpRequest return_request(const ReturnOrder& order) {
  Json body = {{name::kMachines, order.machines}};
  if (!order.request.empty()) body[name::kRequest] = order.request;
  if (order.token != 0) body[name::kToken] = order.token;
  return {"POST", "/machines/return", dump(body)};
}

HttpRequest list_request(const std::string& after) {
  std::string target = "/machines?limit=" + std::to_string(kMostListed);
  if (!after.empty()) target += "&since=" + after;
  return {"GET", target, ""};
}

MachinePage decode_machines(const std::string& body) {
  const Json in = parse(body);
  MachinePage out;
  for (const auto& m : list(in, name::kMachines)) {
    ListedMachine machine;
    machine.id = text(m, name::kId);
    machine.address = optional_member(m, name::kAddress) != nullptr ? text(m, name::kAddress) : "";
    machine.type = text(m, name::kType);
    machine.zone = text(m, name::kZone);
    machine.spot = flag_or(m, name::kSpot, false);
    const auto& state = text(m, name::kState);
    machine.state = state == "booting"  ? ListedMachine::State::Booting
                    : state == "failed" ? ListedMachine::State::Failed
                                        : ListedMachine::State::Running;
    machine.age = Seconds(number_or(m, name::kAge, 0));
    out.machines.push_back(std::move(machine));
  }
  out.more = flag_or(in, name::kMore, false);
  return out;
}

}  // namespace asterstair::wire
