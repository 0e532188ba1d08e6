#include "sim/key_value_store.hpp"

#include "sim/query.hpp"

namespace sim {

KeyValueStore::KeyValueStore(Simulator& simulator, Network& network, const std::string& address)
    : simulator_(simulator) {
  network.listen(address, "state", [this](const HttpRequest& request, const Respond& respond) {
    serve(request, respond);
  });
  expire_leases();
}

void KeyValueStore::set_outage(bool on) {
  outage_ = on;
  if (on) return;
  for (auto& [id, lease] : leases_) lease.expires_at = simulator_.now() + lease.ttl;
}

void KeyValueStore::overwrite(const Key& key, const Json& value) {
  ++revision_;
  records_[key] = {value, revision_};
  changes_.push_back({revision_, key, value});
  notify_watches();
}

void KeyValueStore::serve(const HttpRequest& request, const Respond& respond) {
  const auto& target = request.target;
  if (outage_) {
    serve_in_outage(request, respond);
  } else if (target.starts_with("/keys?")) {
    list(request, respond);
  } else if (target.starts_with("/keys/")) {
    get(target.substr(6), respond);
  } else if (target == "/txn") {
    bytes_written += request.body.size();
    commit(Json::parse(request.body), respond);
  } else if (target == "/grants") {
    create_lease(request, respond);
  } else if (target.starts_with("/grants/")) {
    touch_or_revoke_lease(request, respond);
  } else if (target.starts_with("/watch")) {
    add_watch(request, respond);
  } else {
    respond({400, "{}"});
  }
}

void KeyValueStore::serve_in_outage(const HttpRequest& request, const Respond& respond) {
  if (request.target.starts_with("/watch")) {
    add_watch(request, respond);
  } else {
    respond({503, "{}"});
  }
}

void KeyValueStore::get(const Key& key, const Respond& respond) const {
  const auto it = records_.find(key);
  if (it == records_.end()) {
    respond({404, Json{{"ledger", revision_}}.dump()});
    return;
  }
  const auto& [value, version] = it->second;
  respond({200, Json{{"key", key}, {"value", value}, {"stamp", version}}.dump()});
}

void KeyValueStore::list(const HttpRequest& request, const Respond& respond) const {
  const auto prefix = query_parameter(request.target, "prefix");
  const auto since = query_parameter(request.target, "since");
  const auto limit = std::stoul(query_parameter(request.target, "limit"));
  Json items = Json::array();
  bool more = false;
  for (auto it = records_.upper_bound(since); it != records_.end(); ++it) {
    if (!it->first.starts_with(prefix)) continue;
    if (items.size() >= limit) {
      more = true;
      break;
    }
    items.push_back(
        {{"key", it->first}, {"value", it->second.first}, {"stamp", it->second.second}});
  }
  respond({200, Json{{"items", items}, {"hasNext", more}, {"ledger", revision_}}.dump()});
}

void KeyValueStore::commit(const Json& transaction, const Respond& respond) {
  const auto& operations = transaction["apply"];
  writes += operations.size();
  if (const Json failed = failed_conditions(transaction["when"]); !failed.empty()) {
    respond({409, Json{{"failed", failed}, {"ledger", revision_}}.dump()});
    return;
  }
  if (refers_to_unknown_lease(operations)) {
    respond({400, R"({"error":"no such lease"})"});
    return;
  }
  ++revision_;
  for (const auto& operation : operations) apply(operation);
  respond({200, Json{{"ledger", revision_}}.dump()});
  notify_watches();
}

Json KeyValueStore::failed_conditions(const Json& conditions) const {
  Json failed = Json::array();
  for (const auto& condition : conditions) {
    const auto it = records_.find(condition["key"].get<Key>());
    const std::uint64_t version = it == records_.end() ? 0 : it->second.second;
    if (version != condition["stamp"].get<std::uint64_t>()) failed.push_back(condition["key"]);
  }
  return failed;
}

bool KeyValueStore::refers_to_unknown_lease(const Json& operations) const {
  for (const auto& operation : operations) {
    if (operation.contains("put") && operation.contains("hold") &&
        leases_.count(operation["hold"].get<std::uint64_t>()) == 0) {
      return true;
    }
  }
  return false;
}

void KeyValueStore::apply(const Json& operation) {
  if (!operation.contains("put")) {
    remove(operation["drop"].get<Key>());
    return;
  }
  const auto key = operation["put"].get<Key>();
  records_[key] = {operation["value"], revision_};
  lease_of_.erase(key);
  if (operation.contains("hold")) lease_of_[key] = operation["hold"].get<std::uint64_t>();
  changes_.push_back({revision_, key, operation["value"]});
}

void KeyValueStore::remove(const Key& key) {
  if (records_.erase(key) == 0) return;
  lease_of_.erase(key);
  changes_.push_back({revision_, key, nullptr});
}

void KeyValueStore::create_lease(const HttpRequest& request, const Respond& respond) {
  const auto ttl = milliseconds(Json::parse(request.body)["ttlMs"].get<int>());
  leases_[++last_lease_] = {ttl, simulator_.now() + ttl};
  respond({200, Json{{"hold", last_lease_}}.dump()});
}

void KeyValueStore::touch_or_revoke_lease(const HttpRequest& request, const Respond& respond) {
  const auto id = std::stoull(request.target.substr(8));
  const auto it = leases_.find(id);
  if (it == leases_.end()) {
    respond({404, "{}"});
    return;
  }
  if (request.method == "DELETE") {
    revoke_lease(id);
  } else {
    it->second.expires_at = simulator_.now() + it->second.ttl;
  }
  respond({200, "{}"});
}

void KeyValueStore::revoke_lease(std::uint64_t id) {
  leases_.erase(id);
  ++revision_;
  std::vector<Key> keys;
  for (const auto& [key, lease] : lease_of_) {
    if (lease == id) keys.push_back(key);
  }
  for (const auto& key : keys) remove(key);
  notify_watches();
}

void KeyValueStore::expire_leases() {
  simulator_.schedule(50ms, [this] { expire_leases(); });
  if (outage_) return;
  std::vector<std::uint64_t> expired;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires_at <= simulator_.now()) expired.push_back(id);
  }
  for (const auto id : expired) revoke_lease(id);
  notify_watches();
}

void KeyValueStore::add_watch(const HttpRequest& request, const Respond& respond) {
  ++watches_opened;
  while (changes_.size() > history_limit) {
    compacted_revision_ = changes_.front().revision;
    changes_.pop_front();
  }
  const auto since = std::stoull(query_parameter(request.target, "since"));
  if (!outage_ && since < compacted_revision_) {
    respond({410, Json{{"ledger", revision_}}.dump()});
    return;
  }
  const milliseconds block(std::stoi(query_parameter(request.target, "blockMs")));
  watches_.push_back(
      {query_parameter(request.target, "prefix"), since, simulator_.now() + block, respond});
  notify_watches();
}

Json KeyValueStore::changes_for(const Watch& watch) const {
  Json changes = Json::array();
  for (const auto& change : changes_) {
    if (change.revision <= watch.since || !change.key.starts_with(watch.prefix)) continue;
    if (change.value.is_null()) {
      changes.push_back({{"drop", change.key}, {"stamp", change.revision}});
    } else {
      changes.push_back({{"put", change.key}, {"value", change.value}, {"stamp", change.revision}});
    }
  }
  return changes;
}

void KeyValueStore::notify_watches() {
  if (outage_) return;
  for (auto it = watches_.begin(); it != watches_.end();) {
    const Json changes = changes_for(*it);
    if (changes.empty() && it->expires_at > simulator_.now()) {
      ++it;
      continue;
    }
    it->respond({200, Json{{"ledger", revision_}, {"news", changes}}.dump()});
    it = watches_.erase(it);
  }
}

}  // namespace sim
