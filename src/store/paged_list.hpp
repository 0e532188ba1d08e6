#pragma once
/// @file
/// Lists of all keys with a prefix, read page by page.

#include <functional>
#include <memory>
#include <string>

#include "store/results.hpp"
#include "store/transport.hpp"

namespace asterstair::store {

/// What to list, and how.
struct ListRequest {
  /// Keys that start with it are listed.
  std::string prefix;
  /// Items in a page.
  std::size_t page_size;
  /// Timeout of the request for one page.
  Duration page_timeout;
  /// How often a page is requested again after the answer 429, before the list fails.
  int max_rate_limit_retries;
};

/// Reads all keys with a prefix in key order. The requests do not wait for tokens of the rate
/// limit. `done` runs exactly once; a list with a failed page has no items and is not ok.
/// Store::list() and ReadQueue call it.
void list_prefix(Transport& transport, const ListRequest& request,
                 std::function<void(ListResult)> done);

}  // namespace asterstair::store
