#pragma once
/// @file
/// Decodes HTTP responses of the state service into typed results. A malformed response is logged
/// and handled like a missing response. Only package store uses these functions.

#include <optional>
#include <set>
#include <string>

#include "base/runtime.hpp"
#include "store/results.hpp"

namespace asterstair::store {

/// Decodes the response to a read of one key.
ReadResult decode_read_response(const HttpResponse& response);

/// Decodes the response to the request for one page of a list; none if it contains no page.
std::optional<wire::ItemPage> decode_list_response(const HttpResponse& response);

/// Decodes the response to a transaction. The write queue handles conflicts (status 409) and
/// status 429 itself.
WriteResult decode_txn_response(const HttpResponse& response);

/// Returns the keys whose conditions failed, from a response with status 409 to a transaction;
/// empty if the response is malformed.
std::set<std::string> decode_conflict_response(const HttpResponse& response);

/// Decodes the response to a watch.
WatchResult decode_watch_response(const HttpResponse& response);

/// Returns the id of the new store lease; none if no store lease was created.
std::optional<std::uint64_t> decode_lease_creation_response(const HttpResponse& response);

/// Decodes the response to the renewal of a store lease.
StoreLeaseOutcome decode_lease_renewal_response(const HttpResponse& response);

}  // namespace asterstair::store
