#pragma once
/// @file
/// Translates HTTP answers of the state service into typed results. A malformed answer is logged
/// and counts as no usable answer. Only package store uses it.

#include <optional>
#include <set>
#include <string>

#include "base/runtime.hpp"
#include "store/results.hpp"

namespace asterstair::store {

/// Translates the answer to a read of one key.
ReadResult decode_read_response(const HttpResponse& response);

/// Translates the answer to the request for one page of a list; none if there is no page in it.
std::optional<wire::ItemPage> decode_list_response(const HttpResponse& response);

/// Translates the answer to a transaction, other than a conflict and the answer 429, which the
/// write queue handles itself.
WriteResult decode_txn_response(const HttpResponse& response);

/// Returns the keys whose conditions failed, from the answer 409 to a transaction; empty if the
/// answer is malformed.
std::set<std::string> decode_conflict_response(const HttpResponse& response);

/// Translates the answer to a watch.
WatchResult decode_watch_response(const HttpResponse& response);

/// Returns the new store lease's number; none if the store lease was not created.
std::optional<std::uint64_t> decode_lease_creation_response(const HttpResponse& response);

/// Translates the answer to the renewal of a store lease.
StoreLeaseOutcome decode_lease_renewal_response(const HttpResponse& response);

}  // namespace asterstair::store
