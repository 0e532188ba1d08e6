#pragma once
// Simulated time and network. Everything random comes from one seed, so a run repeats.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/runtime.hpp"

namespace sim {

using namespace asterstair;

using Respond = std::function<void(HttpResponse)>;
using Handler = std::function<void(const HttpRequest&, const Respond&)>;

class World {
 public:
  explicit World(std::uint64_t seed) : rng(seed) {}

  TimePoint now() const { return now_; }
  double t() const { return seconds(now_.time_since_epoch()) - 1000.0; }
  void at(Duration delay, std::function<void()> action) {
    events_.push({now_ + std::max(delay, Duration::zero()), next_++, std::move(action)});
  }
  void run_until(double end) {
    while (!events_.empty() && seconds(events_.top().at.time_since_epoch()) - 1000.0 <= end) {
      auto e = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = e.at;
      e.action();
      if (after_step) after_step();
    }
  }

  // `host` is the machine an address is on; cuts are between hosts.
  void listen(const std::string& address, const std::string& host, Handler handler) {
    servers_[address] = {host, std::move(handler)};
  }
  void close(const std::string& address) { servers_.erase(address); }

  // A cut machine's messages are held and delivered late, even when the sender has given up.
  void cut(const std::string& host) { cuts_.insert(host); }
  void heal(const std::string& host) {
    cuts_.erase(host);
    release();
  }

  // Messages from one host to another are lost, in this direction only.
  void deafen(const std::string& from, const std::string& to, bool on) {
    if (on) {
      deaf_.emplace(from, to);
    } else {
      deaf_.erase({from, to});
    }
  }
  void hear_again() { deaf_.clear(); }
  bool reaches(const std::string& from, const std::string& to) const {
    return !apart(from, to) && deaf_.count({from, to}) == 0;
  }

  // One host alone is answered 503 by another.
  // Its requests that the other holds open already wait until that is over.
  void refuse(const std::string& from, const std::string& to, bool on) {
    if (on) {
      refused_.emplace(from, to);
      return;
    }
    refused_.erase({from, to});
    for (auto& action : std::exchange(waiting_[{from, to}], {})) at(1ms, std::move(action));
  }

  // These hosts reach one another, but nobody else: what is sent across is held and comes late.
  void cut_off(const std::set<std::string>& hosts) { islands_.push_back(hosts); }
  void join_again() {
    islands_.clear();
    release();
  }

  void http(const std::string& from, const std::string& address, HttpRequest request,
            Duration timeout, std::function<void(HttpResponse)> done) {
    if (on_request) on_request(from, address, request);
    struct Call {
      bool over = false;
      std::function<void(HttpResponse)> done;
    };
    auto call = std::make_shared<Call>();
    call->done = std::move(done);
    const auto finish = [call](HttpResponse r) {
      if (call->over) return;
      call->over = true;
      const auto f = std::move(call->done);
      call->done = nullptr;
      f(std::move(r));
    };
    at(timeout, [finish] { finish({}); });
    const auto it = servers_.find(address);
    if (it == servers_.end()) {
      at(2ms, [finish] { finish({}); });
      return;
    }
    const std::string to = it->second.host;
    if (refused_.count({from, to}) != 0) {
      at(5ms, [finish] { finish({503, "{}"}); });
      return;
    }
    if (drop && drop(from, address, request)) return;
    if (const double seconds = late ? late(from, address, request) : 0; seconds > 0) {
      at(to_duration(Seconds(seconds)), [this, address, request] { deliver(address, request); });
      return;
    }
    // Carried out late, after newer ones, and never answered.
    if (late_writes > 0 && request.target == "/txn" && chance(late_writes)) {
      at(to_duration(Seconds(uniform(2, 12))),
         [this, address, request] { written_late += deliver(address, request) ? 1 : 0; });
      return;
    }
    carry(from, to, [this, from, to, address, request = std::move(request), finish] {
      const auto server = servers_.find(address);
      if (server == servers_.end()) {
        finish({});
        return;
      }
      const auto handler = server->second.handler;
      // A copy of the message comes late; nobody waits for what it is answered.
      if (copies > 0 && chance(copies)) {
        at(to_duration(Seconds(uniform(1, 45))),
           [this, address, request] { copies_made += deliver(address, request) ? 1 : 0; });
      }
      handler(request, [this, from, to, finish, address, request](HttpResponse r) {
        if (on_response) on_response(from, address, r);
        if (tamper) tamper(address, request, r);
        if (answered) answered(from, address, request);
        const double late = slow ? slow(request) : 0;
        auto arrive = [this, from, to, finish, late, r = std::move(r)] {
          at(to_duration(Seconds(late)),
             [this, from, to, finish, r] { carry(to, from, [finish, r] { finish(r); }); });
        };
        if (refused_.count({from, to}) != 0) {
          waiting_[{from, to}].push_back(std::move(arrive));
        } else {
          arrive();
        }
      });
    });
  }

  double uniform(double a, double b) { return std::uniform_real_distribution<double>(a, b)(rng); }
  bool chance(double p) { return uniform(0, 1) < p; }

  Rng rng;
  std::function<void()> after_step;
  std::function<void(const std::string&, const HttpRequest&, HttpResponse&)> tamper;
  // Requests of which this says so never arrive.
  std::function<bool(const std::string& from, const std::string& address, const HttpRequest&)> drop;
  // Requests that are carried out so many seconds late, and never answered; 0: in time.
  std::function<double(const std::string& from, const std::string& address, const HttpRequest&)>
      late;
  // Told of each request as it is sent, and of each response as the server gives it.
  std::function<void(const std::string& from, const std::string& address, const HttpRequest&)>
      on_request;
  std::function<void(const std::string& from, const std::string& address, const HttpResponse&)>
      on_response;
  // Told of each answer as it leaves: who asked, where, what.
  std::function<void(const std::string& from, const std::string& address, const HttpRequest&)>
      answered;
  // How many seconds longer an answer takes.
  std::function<double(const HttpRequest&)> slow;
  double lose = 0;    // share of messages that never arrive
  double delay = 0;   // share that arrives much later
  double copies = 0;  // share of requests that arrive once more, up to several leases later
  std::uint64_t copies_made = 0;
  double late_writes = 0;  // share of transactions
  std::uint64_t written_late = 0;

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& o) const { return std::pair(at, order) > std::pair(o.at, o.order); }
  };
  struct Server {
    std::string host;
    Handler handler;
  };

  bool apart(const std::string& from, const std::string& to) const {
    if (cuts_.count(from) != 0 || cuts_.count(to) != 0) return true;
    return std::any_of(islands_.begin(), islands_.end(),
                       [&](const auto& island) { return island.count(from) != island.count(to); });
  }
  void release() {
    for (auto& [hosts, action] : std::exchange(held_, {})) {
      if (apart(hosts.first, hosts.second)) {
        held_.emplace_back(hosts, std::move(action));
      } else {
        at(1ms, std::move(action));
      }
    }
  }

  // A message whose answer nobody waits for. False: the server is gone.
  bool deliver(const std::string& address, const HttpRequest& request) {
    const auto server = servers_.find(address);
    if (server == servers_.end()) return false;
    const auto handler = server->second.handler;
    handler(request, [](const HttpResponse&) {});
    return true;
  }

  void carry(const std::string& from, const std::string& to, std::function<void()> action) {
    if (apart(from, to)) {
      held_.emplace_back(std::pair(from, to), std::move(action));
      return;
    }
    if (deaf_.count({from, to}) != 0) return;
    if (lose > 0 && chance(lose)) return;
    const double seconds_late = delay > 0 && chance(delay) ? uniform(1, 40) : uniform(0.001, 0.01);
    at(to_duration(Seconds(seconds_late)), std::move(action));
  }

  TimePoint now_{to_duration(Seconds(1000))};
  std::uint64_t next_ = 0;
  std::priority_queue<Event> events_;
  std::map<std::string, Server> servers_;
  std::set<std::string> cuts_;
  std::vector<std::set<std::string>> islands_;
  std::set<std::pair<std::string, std::string>> refused_, deaf_;
  std::map<std::pair<std::string, std::string>, std::vector<std::function<void()>>> waiting_;
  std::vector<std::pair<std::pair<std::string, std::string>, std::function<void()>>> held_;
};

}  // namespace sim
