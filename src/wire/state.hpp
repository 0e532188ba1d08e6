#pragma once
// The state service's interface.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/runtime.hpp"
#include "wire/json.hpp"

namespace asterstair::wire {

struct Condition {
  std::string key;
  std::uint64_t version = 0;  // 0: the key must be absent
  bool operator==(const Condition&) const = default;
};

struct Change {
  std::string key;
  std::optional<Json> value;                   // none: delete
  std::optional<std::uint64_t> store_lease{};  // attaches the key
};

struct Txn {
  std::vector<Condition> conditions;
  std::vector<Change> changes;
};

struct Item {
  std::string key;
  std::optional<Json> value;  // none: deleted (only in events)
  std::uint64_t version = 0;
};

struct ItemPage {
  std::vector<Item> items;
  bool more = false;
  std::uint64_t revision = 0;
};

HttpRequest get_request(const std::string& key);
HttpRequest list_keys_request(const std::string& prefix, const std::string& after,
                              std::size_t limit);
HttpRequest txn_request(const Txn& txn);
HttpRequest create_lease_request(Duration ttl);
HttpRequest renew_lease_request(std::uint64_t store_lease);
HttpRequest revoke_lease_request(std::uint64_t store_lease);
HttpRequest watch_request(const std::string& prefix, std::uint64_t after, Duration wait);

Item decode_item(const std::string& body);
ItemPage decode_items(const std::string& body);
std::uint64_t decode_revision(const std::string& body);
std::vector<std::string> decode_failed(const std::string& body);
std::uint64_t decode_store_lease(const std::string& body);
ItemPage decode_events(const std::string& body);
// About the room a change takes in a request, for the limits on transactions.
std::size_t change_size(const Change& change);

}  // namespace asterstair::wire
