#pragma once
// Simulated state service.

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "sim/json.hpp"
#include "sim/network.hpp"

namespace sim {

/// Simulated consensus-backed key-value store that follows PROTOCOL: versioned keys, conditional
/// transactions, time-to-live leases ("grants") and watches. It listens on host "state".
class KeyValueStore {
 public:
  /// Name of a record.
  using Key = std::string;
  /// Value and version by key.
  using Records = std::map<Key, std::pair<Json, std::uint64_t>>;

  /// Listens on `address`.
  KeyValueStore(Simulator& simulator, Network& network, const std::string& address);

  /// Begins or ends an outage. During it, all requests but watches are answered 503, and watches
  /// get no response. At its end each lease is renewed for its full time to live.
  void set_outage(bool on);
  /// The current records.
  const Records& records() const { return records_; }
  /// Writes a key unconditionally, as an operator or a fault would.
  void overwrite(const Key& key, const Json& value);

  std::uint64_t writes = 0;           ///< operations in all transactions, failed ones included
  std::uint64_t watches_opened = 0;   ///< watch requests received
  std::uint64_t bytes_written = 0;    ///< total size of transaction bodies
  std::size_t history_limit = 10000;  ///< changes kept; a watch since an earlier revision gets 410

 private:
  struct Lease {
    Duration ttl{};
    TimePoint expires_at{};
  };
  struct Change {
    std::uint64_t revision;
    Key key;
    Json value;  // null: deleted
  };
  struct Watch {
    std::string prefix;
    std::uint64_t since;
    TimePoint expires_at;
    Respond respond;
  };

  void serve(const HttpRequest& request, const Respond& respond);
  void serve_in_outage(const HttpRequest& request, const Respond& respond);
  void get(const Key& key, const Respond& respond) const;
  void list(const HttpRequest& request, const Respond& respond) const;
  void commit(const Json& transaction, const Respond& respond);
  Json failed_conditions(const Json& conditions) const;
  bool refers_to_unknown_lease(const Json& operations) const;
  void apply(const Json& operation);
  void remove(const Key& key);
  void create_lease(const HttpRequest& request, const Respond& respond);
  void touch_or_revoke_lease(const HttpRequest& request, const Respond& respond);
  void revoke_lease(std::uint64_t id);
  void expire_leases();
  void add_watch(const HttpRequest& request, const Respond& respond);
  void notify_watches();
  Json changes_for(const Watch& watch) const;

  Simulator& simulator_;
  bool outage_ = false;
  std::uint64_t revision_ = 1, last_lease_ = 0, compacted_revision_ = 0;
  Records records_;
  std::map<Key, std::uint64_t> lease_of_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Change> changes_;
  std::vector<Watch> watches_;
};

}  // namespace sim
