#pragma once
/// @file
/// Requests to the state service and its responses: reads, compare-and-swap transactions, watches
/// and store leases. Package store sends these requests; other packages use the types.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/runtime.hpp"
#include "wire/json.hpp"

namespace asterstair::wire {

/// Compare-and-swap condition of a transaction: the version that a key must have.
struct Condition {
  std::string key;
  /// Expected version of the key; 0: the key must not exist.
  std::uint64_t version = 0;
  bool operator==(const Condition&) const = default;
};

/// Change of a transaction, which sets or deletes a key.
struct Change {
  std::string key;
  /// New value of the key; none: delete the key.
  std::optional<Json> value;
  /// Store lease to attach the key to; the key is deleted when the lease expires. None: the key has
  /// no expiry.
  std::optional<std::uint64_t> store_lease{};
};

/// Compare-and-swap transaction: applies all changes if all conditions hold, and none otherwise.
struct Txn {
  std::vector<Condition> conditions;
  std::vector<Change> changes;
};

/// A key with its value and version.
struct Item {
  std::string key;
  /// Value of the key; none: the key was deleted, which only watch events report.
  std::optional<Json> value;
  /// Version of the key: the revision of its last change.
  std::uint64_t version = 0;
};

/// A page of a list, or the events of a watch.
struct ItemPage {
  std::vector<Item> items;
  /// Whether a list has a further page.
  bool more = false;
  /// Store revision of the page; a watch continues after this revision.
  std::uint64_t revision = 0;
};

/// Returns the request that reads a key.
HttpRequest get_request(const std::string& key);

/// Returns the request for a page of the keys with a prefix.
/// @param after  last key of the previous page; empty: request the first page
/// @param limit  maximum number of items in the page
HttpRequest list_keys_request(const std::string& prefix, const std::string& after,
                              std::size_t limit);

/// Returns the request that executes a transaction.
HttpRequest txn_request(const Txn& txn);

/// Returns the request that creates a store lease with the given time to live.
HttpRequest create_lease_request(Duration ttl);

/// Returns the request that renews a store lease.
HttpRequest renew_lease_request(std::uint64_t store_lease);

/// Returns the request that revokes a store lease.
HttpRequest revoke_lease_request(std::uint64_t store_lease);

/// Returns the request that waits up to `wait` for changes of keys with a prefix.
/// @param after  revision after which changes are reported
HttpRequest watch_request(const std::string& prefix, std::uint64_t after, Duration wait);

/// Decodes the response to a read. Throws DecodeError, as do all functions below that decode.
Item decode_item(const std::string& body);

/// Decodes a page of a list.
ItemPage decode_items(const std::string& body);

/// Decodes the store revision from the response to a transaction or to the read of a missing key.
std::uint64_t decode_revision(const std::string& body);

/// Decodes the keys of the failed conditions from the response to a transaction.
std::vector<std::string> decode_failed_conditions(const std::string& body);

/// Decodes the ID of a new store lease.
std::uint64_t decode_store_lease(const std::string& body);

/// Decodes the response to a watch.
ItemPage decode_events(const std::string& body);

/// Returns the estimated size of a change in a request, in bytes. Used to keep transactions within
/// their size limit.
std::size_t change_size(const Change& change);

}  // namespace asterstair::wire
