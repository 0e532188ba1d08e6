#include "wire/state.hpp"

#include "wire/names.hpp"

namespace asterstair::wire {
namespace {

constexpr const char* kStoreLeasesPath = "/grants";
// Upper bound of the size of a change in a request, in bytes, without its key and value.
constexpr std::size_t kChangeOverhead = 64;

std::string store_lease_path(std::uint64_t store_lease) {
  return std::string(kStoreLeasesPath) + "/" + std::to_string(store_lease);
}

std::string milliseconds_text(Duration duration) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count());
}

Json encode_conditions(const std::vector<Condition>& conditions) {
  Json out = Json::array();
  for (const auto& condition : conditions) {
    out.push_back({{name::kKey, condition.key}, {name::kVersion, condition.version}});
  }
  return out;
}

Json encode_change(const Change& change) {
  if (!change.value) return {{name::kDelete, change.key}};
  Json put = {{name::kPut, change.key}, {name::kValue, *change.value}};
  if (change.store_lease) put[name::kStoreLease] = *change.store_lease;
  return put;
}

Json encode_changes(const std::vector<Change>& changes) {
  Json out = Json::array();
  for (const auto& change : changes) out.push_back(encode_change(change));
  return out;
}

Item decode_listed_item(const Json& in) {
  return {text(in, name::kKey), member(in, name::kValue), integer(in, name::kVersion)};
}

Item decode_event(const Json& in) {
  Item item;
  item.version = integer(in, name::kVersion);
  if (optional_member(in, name::kPut) != nullptr) {
    item.key = text(in, name::kPut);
    item.value = member(in, name::kValue);
  } else {
    item.key = text(in, name::kDelete);
  }
  return item;
}

}  // namespace

HttpRequest get_request(const std::string& key) { return {"GET", "/keys/" + key, ""}; }

HttpRequest list_keys_request(const std::string& prefix, const std::string& after,
                              std::size_t limit) {
  std::string target = "/keys?prefix=" + prefix;
  if (!after.empty()) target += "&since=" + after;
  return {"GET", target + "&limit=" + std::to_string(limit), ""};
}

HttpRequest txn_request(const Txn& txn) {
  return {"POST", "/txn",
          dump({{name::kConditions, encode_conditions(txn.conditions)},
                {name::kChanges, encode_changes(txn.changes)}})};
}

HttpRequest create_lease_request(Duration ttl) {
  const auto ttl_ms = std::chrono::duration_cast<milliseconds>(ttl).count();
  return {"POST", kStoreLeasesPath, dump({{name::kTtl, ttl_ms}})};
}

HttpRequest renew_lease_request(std::uint64_t store_lease) {
  return {"POST", store_lease_path(store_lease) + "/touch", ""};
}

HttpRequest revoke_lease_request(std::uint64_t store_lease) {
  return {"DELETE", store_lease_path(store_lease), ""};
}

HttpRequest watch_request(const std::string& prefix, std::uint64_t after, Duration wait) {
  return {"GET",
          "/watch?prefix=" + prefix + "&since=" + std::to_string(after) +
              "&blockMs=" + milliseconds_text(wait),
          ""};
}

Item decode_item(const std::string& body) { return decode_listed_item(parse(body)); }

ItemPage decode_items(const std::string& body) {
  const Json in = parse(body);
  ItemPage page;
  for (const auto& item : list(in, name::kItems)) page.items.push_back(decode_listed_item(item));
  page.more = flag_or(in, name::kHasMore, false);
  page.revision = integer(in, name::kRevision);
  return page;
}

std::uint64_t decode_revision(const std::string& body) {
  return integer(parse(body), name::kRevision);
}

std::vector<std::string> decode_failed_conditions(const std::string& body) {
  const Json in = parse(body);
  std::vector<std::string> keys;
  for (const auto& key : list(in, name::kFailedConditions)) {
    if (key.is_string()) keys.push_back(key.get<std::string>());
  }
  return keys;
}

std::uint64_t decode_store_lease(const std::string& body) {
  return integer(parse(body), name::kStoreLease);
}

ItemPage decode_events(const std::string& body) {
  const Json in = parse(body);
  ItemPage events;
  for (const auto& event : list(in, name::kEvents)) events.items.push_back(decode_event(event));
  events.revision = integer(in, name::kRevision);
  return events;
}

std::size_t change_size(const Change& change) {
  const std::size_t value_size = change.value ? dump(*change.value).size() : 0;
  return change.key.size() + kChangeOverhead + value_size;
}

}  // namespace asterstair::wire
