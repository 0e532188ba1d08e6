#include "store/paged_list.hpp"

#include "base/http_status.hpp"
#include "store/responses.hpp"

namespace asterstair::store {
namespace {

/// A list in progress. The callbacks of its requests and timers own it.
class PagedList : public std::enable_shared_from_this<PagedList> {
 public:
  PagedList(Transport& transport, ListRequest request, std::function<void(ListResult)> done)
      : transport_(transport), request_(std::move(request)), done_(std::move(done)) {}

  void request_page() {
    const std::string after = result_.items.empty() ? "" : result_.items.back().key;
    transport_.send_unqueued(
        wire::list_keys_request(request_.prefix, after, request_.page_size), request_.page_timeout,
        [self = shared_from_this()](const HttpResponse& response) { self->on_response(response); });
  }

 private:
  void on_response(const HttpResponse& response) {
    if (auto page = decode_list_response(response)) {
      add_page(std::move(*page));
    } else if (response.status == http_status::kTooManyRequests &&
               rate_limit_retries_ < request_.max_rate_limit_retries) {
      retry_page();
    } else {
      done_({});
    }
  }

  void retry_page() {
    ++rate_limit_retries_;
    transport_.runtime().after(kRateLimitPause,
                               [self = shared_from_this()] { self->request_page(); });
  }

  void add_page(wire::ItemPage page) {
    if (result_.revision == 0) result_.revision = page.revision;
    for (auto& item : page.items) result_.items.push_back(std::move(item));
    rate_limit_retries_ = 0;
    if (page.more && !result_.items.empty()) {
      request_page();
      return;
    }
    result_.ok = true;
    done_(std::move(result_));
  }

  Transport& transport_;
  ListRequest request_;
  std::function<void(ListResult)> done_;
  ListResult result_;
  int rate_limit_retries_ = 0;  // of the current page
};

}  // namespace

void list_prefix(Transport& transport, const ListRequest& request,
                 std::function<void(ListResult)> done) {
  std::make_shared<PagedList>(transport, request, std::move(done))->request_page();
}

}  // namespace asterstair::store
