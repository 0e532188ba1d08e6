#include "sim/cloud.hpp"

#include <algorithm>
#include <cstdio>
#include <iterator>

#include "sim/query.hpp"

namespace sim {

namespace {

constexpr std::size_t kMaxPageSize = 500;  // machines
constexpr double kBootTimeS = 8;

/// One page of the list: the machines after the target's `since`, at most `limit` of them.
Json page_of(const Json& list, const std::string& target) {
  const auto since = query_parameter(target, "since"), limit = query_parameter(target, "limit");
  const std::size_t max_size =
      limit.empty() ? kMaxPageSize : std::min<std::size_t>(kMaxPageSize, std::stoul(limit));
  Json hosts = Json::array();
  for (const auto& host : list) {
    if (host["ref"].get_ref<const std::string&>() <= since) continue;
    if (hosts.size() == max_size) return {{"hosts", hosts}, {"hasNext", true}};
    hosts.push_back(host);
  }
  return {{"hosts", hosts}, {"hasNext", false}};
}

Json describe(const MachineShape& shape) {
  return {{"name", shape.type},
          {"cores", shape.cpus},
          {"accelerators", shape.gpus},
          {"ramGb", shape.memory_gb},
          {"localGb", 50.0},
          {"pullGbPerS", shape.gb_per_s},
          {"price", shape.cpus / 10},
          {"marketPrice", shape.cpus / 30},
          {"readyS", kBootTimeS},
          {"yards", Json::array()}};
}

}  // namespace

Cloud::Cloud(const Environment& environment, const std::string& address,
             std::vector<MachinePool> pools)
    : environment_(environment), pools_(std::move(pools)) {
  environment_.network.listen(address, "cloud",
                              [this](const HttpRequest& request, const Respond& respond) {
                                if (outage) {
                                  respond({503, R"({"error":"trouble"})"});
                                } else {
                                  serve(request, respond);
                                }
                              });
}

std::vector<std::shared_ptr<Worker>> Cloud::running_workers() const {
  std::vector<std::shared_ptr<Worker>> workers;
  for (const auto& [id, machine] : machines_) {
    if (machine.worker && !machine.worker->terminated) workers.push_back(machine.worker);
  }
  return workers;
}

std::shared_ptr<Worker> Cloud::random_worker() const {
  const auto workers = running_workers();
  if (workers.empty()) return nullptr;
  return workers[static_cast<std::size_t>(environment_.simulator.uniform(0, 0.999) *
                                          static_cast<double>(workers.size()))];
}

std::map<std::string, std::uint32_t> Cloud::epochs_of_busy_workers() const {
  std::map<std::string, std::uint32_t> epochs;
  for (const auto& worker : running_workers()) {
    if (worker->free().cpus < worker->shape.cpus) epochs[worker->id] = worker->epoch();
  }
  return epochs;
}

void Cloud::reclaim(const std::string& id) {
  auto& machine = machines_.at(id);
  if (machine.worker) machine.worker->terminate();
  machines_.erase(id);
}

void Cloud::serve(const HttpRequest& request, const Respond& respond) {
  if (request.target == "/machine_types") {
    respond({200, Json{{"flavors", machine_types()}}.dump()});
  } else if (request.target == "/machines/return") {
    const Json body = Json::parse(request.body);
    if (!token_accepted(body, respond)) return;
    for (const auto& id : body["hosts"]) return_machine(id, body.value("ask", ""));
    respond({200, "{}"});
  } else if (request.target == "/machines") {
    const Json body = Json::parse(request.body);
    if (token_accepted(body, respond)) rent(body, respond);
  } else {
    respond({200, page_of(lagging_list(), request.target).dump()});
  }
}

Json Cloud::machine_types() const {
  std::map<std::string, Json> types;
  for (const auto& pool : pools_) {
    auto& type = types[pool.shape.type];
    if (type.is_null()) type = describe(pool.shape);
    auto& zones = type["yards"];
    if (std::find(zones.begin(), zones.end(), Json(pool.zone)) == zones.end()) {
      zones.push_back(pool.zone);
    }
  }
  Json list = Json::array();
  for (const auto& [name, type] : types) list.push_back(type);
  return list;
}

Json Cloud::machine_list() const {
  Json list = Json::array();
  for (const auto& [id, machine] : machines_) {
    const auto& pool = pools_[machine.pool];
    list.push_back({{"ref", id},
                    {"endpoint", machine.address},
                    {"flavor", pool.shape.type},
                    {"yard", pool.zone},
                    {"loaner", pool.spot},
                    {"stage", machine.worker ? "running" : "booting"},
                    {"ageS", environment_.simulator.elapsed() - machine.rented_at}});
  }
  return list;
}

/// The list as it was list_lag_s ago. The list is recorded at each request only, so the result is
/// the last one recorded before that time, or the oldest recorded one.
Json Cloud::lagging_list() {
  const double now = environment_.simulator.elapsed();
  history_.emplace_back(now, machine_list());
  while (history_.size() > 1 && history_[1].first < now - list_lag_s) {
    history_.erase(history_.begin());
  }
  return history_.front().second;
}

/// Whether the request may be served: its fencing token is not stale, or the cloud does not check
/// tokens. Responds with 409 if not.
bool Cloud::token_accepted(const Json& body, const Respond& respond) {
  const auto token = body.value("baton", std::uint64_t{0});
  if (token >= requests.highest_token) {
    requests.highest_token = token;
    return true;
  }
  ++requests.stale;
  if (!checks_tokens) return true;
  ++requests.rejected;
  respond({409, R"({"error":"a newer token has been seen"})"});
  return false;
}

void Cloud::return_machine(const std::string& id, const std::string& operation) {
  const auto [returned, first] = requests.returned_by.emplace(id, operation);
  if (!first && returned->second != operation) ++requests.double_returns;
  const auto it = machines_.find(id);
  if (it == machines_.end()) return;
  if (it->second.worker && it->second.worker->has_live_tasks()) ++requests.returned_with_work;
  reclaim(id);
}

/// The index of the pool that the rental requests; pools_.size() if no pool matches.
std::size_t Cloud::pool_of(const Json& body) const {
  const auto it = std::find_if(pools_.begin(), pools_.end(), [&](const MachinePool& pool) {
    return pool.shape.type == body["flavor"] && pool.zone == body["yard"] &&
           pool.spot == body["loaner"];
  });
  return static_cast<std::size_t>(std::distance(pools_.begin(), it));
}

std::size_t Cloud::machines_of(std::size_t pool) const {
  return static_cast<std::size_t>(
      std::count_if(machines_.begin(), machines_.end(),
                    [&](const auto& entry) { return entry.second.pool == pool; }));
}

void Cloud::rent(const Json& body, const Respond& respond) {
  const auto operation = body["ask"].get<std::string>();
  ++requests.rentals[operation];
  if (const auto it = rentals_.find(operation); it != rentals_.end()) {
    respond({200, it->second.dump()});
    return;
  }
  const std::size_t pool = pool_of(body), used = machines_of(pool);
  const bool refused = capacity_refusals > 0;
  if (refused) --capacity_refusals;
  if (refused || pool == pools_.size() || used >= pools_[pool].count) {
    respond({503, R"({"error":"no capacity"})"});
    return;
  }
  const auto requested = std::min(body["howMany"].get<std::size_t>(), rental_limit);
  Json hosts = Json::array();
  for (std::size_t n = 0; n < requested && used + n < pools_[pool].count; ++n) {
    hosts.push_back(add_machine(pool));
  }
  rentals_[operation] = {{"hosts", hosts}};
  respond({200, rentals_[operation].dump()});
}

/// Rents out a new machine. It boots after some seconds, or never, at boot_failure_rate.
std::string Cloud::add_machine(std::size_t pool) {
  auto& simulator = environment_.simulator;
  char buffer[16];
  std::snprintf(buffer, sizeof buffer, "n-%06u", ++last_machine_);
  std::string id = buffer;
  machines_[id] = {pool, "10.1.0." + std::to_string(last_machine_) + ":9000", simulator.elapsed(),
                   nullptr};
  ++requests.rented;
  if (!simulator.chance(boot_failure_rate)) {
    simulator.schedule(Seconds(kBootTimeS * simulator.uniform(0.6, 1.5)), [this, id] { boot(id); });
  }
  return id;
}

void Cloud::boot(const std::string& id) {
  const auto it = machines_.find(id);
  if (it == machines_.end()) return;
  auto& machine = it->second;
  const auto& pool = pools_[machine.pool];
  machine.worker = std::make_shared<Worker>(
      environment_, MachineSpec{id, machine.address, pool.zone, pool.shape, pool.spot});
  machine.worker->clock_speed = environment_.simulator.uniform(0.9995, 1.0005);
  machine.worker->start();
}

}  // namespace sim
