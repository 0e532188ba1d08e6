#pragma once
/// @file
/// Reads the list of all keys with a prefix, page by page.

#include <functional>
#include <memory>
#include <string>

#include "store/results.hpp"
#include "store/transport.hpp"

namespace asterstair::store {

/// Parameters of a list.
struct ListRequest {
  /// All keys that start with this prefix are listed.
  std::string prefix;
  /// Maximum number of items in a page.
  std::size_t page_size;
  /// Timeout of the request for one page.
  Duration page_timeout;
  /// How often a page is requested again after status 429 before the list fails.
  int max_rate_limit_retries;
};

/// Reads all keys with a prefix in key order. The requests count against the rate limit, but do not
/// wait for it. `done` runs exactly once; if a page fails, the result is not ok and has no items.
/// Store::list() and ReadQueue call it.
void list_prefix(Transport& transport, const ListRequest& request,
                 std::function<void(ListResult)> done);

}  // namespace asterstair::store
