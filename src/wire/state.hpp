#pragma once
/// @file
/// The state service's interface: reads, compare-and-swap transactions, watches and store leases.
/// Package store sends these requests; the types travel through the other packages.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/runtime.hpp"
#include "wire/json.hpp"

namespace asterstair::wire {

/// Condition of a transaction: the version that a key must have.
struct Condition {
  std::string key;
  /// Version of the key; 0: the key must be absent.
  std::uint64_t version = 0;
  bool operator==(const Condition&) const = default;
};

/// Change of a transaction: sets or deletes a key.
struct Change {
  std::string key;
  /// New value; none: delete the key.
  std::optional<Json> value;
  /// Store lease to attach the key to: the key is deleted when it expires. None: the key stays.
  std::optional<std::uint64_t> store_lease{};
};

/// Compare-and-swap transaction: all changes are carried out if all conditions hold, else none.
struct Txn {
  std::vector<Condition> conditions;
  std::vector<Change> changes;
};

/// A key with its value.
struct Item {
  std::string key;
  /// Value; none: the key was deleted, which only events say.
  std::optional<Json> value;
  /// Version: the revision of the key's last change.
  std::uint64_t version = 0;
};

/// A page of a list, or the events of a watch.
struct ItemPage {
  std::vector<Item> items;
  /// Whether a list has a further page.
  bool more = false;
  /// Revision of the store that the page shows; a watch goes on after it.
  std::uint64_t revision = 0;
};

/// Returns the request that reads a key.
HttpRequest get_request(const std::string& key);

/// Returns the request for a page of the keys with a prefix.
/// @param after  last key of the previous page; empty: the first page
/// @param limit  most items in the page
HttpRequest list_keys_request(const std::string& prefix, const std::string& after,
                              std::size_t limit);

/// Returns the request that carries out a transaction.
HttpRequest txn_request(const Txn& txn);

/// Returns the request that creates a store lease with a time to live.
HttpRequest create_lease_request(Duration ttl);

/// Returns the request that renews a store lease.
HttpRequest renew_lease_request(std::uint64_t store_lease);

/// Returns the request that revokes a store lease.
HttpRequest revoke_lease_request(std::uint64_t store_lease);

/// Returns the request that waits up to `wait` for events of keys with a prefix after a revision.
HttpRequest watch_request(const std::string& prefix, std::uint64_t after, Duration wait);

/// Decodes the answer to a read. Throws DecodeError, like all that follow.
Item decode_item(const std::string& body);

/// Decodes a page of a list.
ItemPage decode_items(const std::string& body);

/// Returns the revision in the answer to a transaction, or to the read of a missing key.
std::uint64_t decode_revision(const std::string& body);

/// Returns the keys whose conditions failed, from the answer to a transaction.
std::vector<std::string> decode_failed(const std::string& body);

/// Returns the number of a new store lease.
std::uint64_t decode_store_lease(const std::string& body);

/// Decodes the answer to a watch.
ItemPage decode_events(const std::string& body);

/// Returns about the bytes that a change takes in a request, for the limits on transactions.
std::size_t change_size(const Change& change);

}  // namespace asterstair::wire
