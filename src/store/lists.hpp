#pragma once
// Reads all keys with a prefix, page by page.

#include <functional>
#include <memory>
#include <string>

#include "store/link.hpp"
#include "store/results.hpp"

namespace asterstair::store {

struct ListRequest {
  std::string prefix;
  std::size_t page;    // items at a time
  Duration timeout;    // of a page
  int refusals_borne;  // a page refused for the limits is asked for again so many times
};

void list_all(Link& link, const ListRequest& request, std::function<void(ListResult)> done);

}  // namespace asterstair::store
