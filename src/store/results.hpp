#pragma once
/// @file
/// Results of requests to the state service, which Store passes to its callers.

#include <cstdint>
#include <vector>

#include "wire/state.hpp"

namespace asterstair::store {

/// How a read of one key ended.
enum class ReadOutcome {
  /// The key exists; the result holds its item.
  Found,
  /// The key does not exist.
  Missing,
  /// No usable response arrived in time, or too many reads are queued. The state of the key is
  /// unknown.
  Unavailable
};

/// Result of a read of one key.
struct ReadResult {
  ReadOutcome outcome = ReadOutcome::Unavailable;
  /// The item; only valid if Found.
  wire::Item item;
  /// Revision of the store at which the key was missing; only valid if Missing.
  std::uint64_t revision = 0;
};

/// How a compare-and-swap transaction ended.
enum class WriteOutcome {
  /// All changes have been applied.
  Committed,
  /// A condition did not hold; no change has been applied.
  Conflict,
  /// The transaction was not sent, or was rejected: no change has been or will be applied.
  NotApplied,
  /// No usable response arrived: the changes may have been applied, or may still be applied.
  Unknown
};

/// Result of a compare-and-swap transaction.
struct WriteResult {
  WriteOutcome outcome = WriteOutcome::NotApplied;
  /// Revision of the changes, which is the new version of the written keys; only valid if
  /// Committed.
  std::uint64_t revision = 0;
};

/// How the renewal of a store lease ended.
enum class StoreLeaseOutcome {
  /// The time to live starts again at some moment between the request and the response.
  Renewed,
  /// The store lease has expired or has been revoked, and its keys have been deleted.
  NotFound,
  /// No usable response arrived.
  Unavailable
};

/// Result of a watch.
struct WatchResult {
  /// How a watch ended.
  enum class Outcome {
    /// The result holds the events since the requested revision; there may be none.
    Events,
    /// The service no longer has all events since the requested revision: the caller must list
    /// again.
    TooOld,
    /// No usable response arrived.
    Unavailable
  } outcome = Outcome::Unavailable;
  /// The events, with the revision to watch from next; only valid if Outcome::Events.
  wire::ItemPage events;
};

/// Result of a list of all keys with a prefix.
struct ListResult {
  /// Whether all pages were read. If false, the other fields are not valid.
  bool ok = false;
  /// The items in key order.
  std::vector<wire::Item> items;
  /// Revision of the first page. Later pages may lack changes made after this revision.
  std::uint64_t revision = 0;
};

}  // namespace asterstair::store
