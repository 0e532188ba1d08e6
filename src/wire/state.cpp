#include "wire/state.hpp"

#include "wire/names.hpp"

namespace asterstair::wire {
namespace {

Item decode_one(const Json& in) {
  return {text(in, name::kKey), member(in, name::kValue), integer(in, name::kVersion)};
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
  Json conditions = Json::array();
  for (const auto& c : txn.conditions) {
    conditions.push_back({{name::kKey, c.key}, {name::kVersion, c.version}});
  }
  Json changes = Json::array();
  for (const auto& c : txn.changes) {
    if (c.value) {
      Json put = {{name::kPut, c.key}, {name::kValue, *c.value}};
      if (c.store_lease) put[name::kStoreLease] = *c.store_lease;
      changes.push_back(std::move(put));
    } else {
      changes.push_back({{name::kDelete, c.key}});
    }
  }
  return {"POST", "/txn",
          dump({{name::kIf, std::move(conditions)}, {name::kThen, std::move(changes)}})};
}

HttpRequest create_lease_request(Duration ttl) {
  const auto ms = std::chrono::duration_cast<milliseconds>(ttl).count();
  return {"POST", "/grants", dump({{name::kTtl, ms}})};
}

HttpRequest renew_lease_request(std::uint64_t store_lease) {
  return {"POST", "/grants/" + std::to_string(store_lease) + "/touch", ""};
}

HttpRequest revoke_lease_request(std::uint64_t store_lease) {
  return {"DELETE", "/grants/" + std::to_string(store_lease), ""};
}

HttpRequest watch_request(const std::string& prefix, std::uint64_t after, Duration wait) {
  const auto ms = std::chrono::duration_cast<milliseconds>(wait).count();
  return {"GET",
          "/watch?prefix=" + prefix + "&since=" + std::to_string(after) +
              "&blockMs=" + std::to_string(ms),
          ""};
}

Item decode_item(const std::string& body) { return decode_one(parse(body)); }

ItemPage decode_items(const std::string& body) {
  const Json in = parse(body);
  ItemPage out;
  for (const auto& item : list(in, name::kItems)) out.items.push_back(decode_one(item));
  out.more = flag_or(in, name::kMore, false);
  out.revision = integer(in, name::kRevision);
  return out;
}

std::uint64_t decode_revision(const std::string& body) {
  return integer(parse(body), name::kRevision);
}

std::vector<std::string> decode_failed(const std::string& body) {
  const Json in = parse(body);
  std::vector<std::string> out;
  for (const auto& key : list(in, name::kFailed)) {
    if (key.is_string()) out.push_back(key.get<std::string>());
  }
  return out;
}

std::uint64_t decode_store_lease(const std::string& body) {
  return integer(parse(body), name::kStoreLease);
}

ItemPage decode_events(const std::string& body) {
  const Json in = parse(body);
  ItemPage out;
  for (const auto& e : list(in, name::kEvents)) {
    Item item;
    item.version = integer(e, name::kVersion);
    if (optional_member(e, name::kPut) != nullptr) {
      item.key = text(e, name::kPut);
      item.value = member(e, name::kValue);
    } else {
      item.key = text(e, name::kDelete);
    }
    out.items.push_back(std::move(item));
  }
  out.revision = integer(in, name::kRevision);
  return out;
}

std::size_t change_size(const Change& change) {
  return change.key.size() + 64 + (change.value ? dump(*change.value).size() : 0);
}

}  // namespace asterstair::wire
