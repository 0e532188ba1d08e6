#include "store/lists.hpp"

namespace asterstair::store {
namespace {

// A list under way.
class Listing : public std::enable_shared_from_this<Listing> {
 public:
  Listing(Link& link, ListRequest request, std::function<void(ListResult)> done)
      : link_(link), request_(std::move(request)), done_(std::move(done)) {}

  void ask() {
    const std::string after = result_.items.empty() ? "" : result_.items.back().key;
    link_.send_now(wire::list_keys_request(request_.prefix, after, request_.page), request_.timeout,
                   [self = shared_from_this()](const HttpResponse& r) { self->answered(r); });
  }

 private:
  void answered(const HttpResponse& r) {
    if (r.status == 200) {
      if (auto page = decode_or_log("list", [&] { return wire::decode_items(r.body); })) {
        take(std::move(*page));
        return;
      }
    }
    if (r.status == 429 && refusals_ < request_.refusals_borne) {
      ++refusals_;
      link_.runtime().after(kRefusedPause, [self = shared_from_this()] { self->ask(); });
      return;
    }
    done_({});
  }

  void take(wire::ItemPage page) {
    if (result_.revision == 0) result_.revision = page.revision;
    for (auto& item : page.items) result_.items.push_back(std::move(item));
    refusals_ = 0;
    if (page.more && !result_.items.empty()) {
      ask();
      return;
    }
    result_.ok = true;
    done_(std::move(result_));
  }

  Link& link_;
  ListRequest request_;
  std::function<void(ListResult)> done_;
  ListResult result_;
  int refusals_ = 0;
};

}  // namespace

void list_all(Link& link, const ListRequest& request, std::function<void(ListResult)> done) {
  std::make_shared<Listing>(link, request, std::move(done))->ask();
}

}  // namespace asterstair::store
