#pragma once
/// @file
/// Outcomes of requests to the state service, as Store hands them to its callers.

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
  /// No usable answer came in time, or too many reads wait. Nothing is known of the key.
  Unavailable
};

/// Result of a read of one key.
struct ReadResult {
  ReadOutcome outcome = ReadOutcome::Unavailable;
  /// The item; only if Found.
  wire::Item item;
  /// Revision of the store at which the key was missing; only if Missing.
  std::uint64_t revision = 0;
};

/// How a compare-and-swap transaction ended.
enum class WriteOutcome {
  /// All changes are carried out.
  Committed,
  /// A condition did not hold; nothing is carried out.
  Conflict,
  /// Nothing is carried out, and nothing will be: not sent, or refused.
  NotDone,
  /// No usable answer came: the changes may have been carried out, or may be yet.
  Unknown
};

/// Result of a compare-and-swap transaction.
struct WriteResult {
  WriteOutcome outcome = WriteOutcome::NotDone;
  /// Revision of the changes, which is the version of the keys written; only if Committed.
  std::uint64_t revision = 0;
};

/// How the renewal of a store lease ended.
enum class StoreLeaseOutcome {
  /// Renewed: its time to live counts anew from a moment between the request and the answer.
  Alive,
  /// The store lease has expired or is revoked, and its keys are deleted.
  Gone,
  /// No usable answer came.
  Unavailable
};

/// Result of a watch.
struct WatchResult {
  /// How a watch ended.
  enum class Outcome {
    /// The result holds the events since the revision that was asked for; there may be none.
    Events,
    /// The service no longer has all events since that revision: the caller must list again.
    TooOld,
    /// No usable answer came.
    Unavailable
  } outcome = Outcome::Unavailable;
  /// The events, with the revision to watch from next; only if Outcome::Events.
  wire::ItemPage events;
};

/// Result of a list of all keys with a prefix.
struct ListResult {
  /// Whether all pages were read; false: the other fields mean nothing.
  bool ok = false;
  /// The items in key order.
  std::vector<wire::Item> items;
  /// Revision of the first page. Changes after it may be missing from the later pages.
  std::uint64_t revision = 0;
};

}  // namespace asterstair::store
