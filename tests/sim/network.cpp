#include "sim/network.hpp"

#include <algorithm>

namespace sim {

namespace {

/// Wraps the callback so that only the first response reaches it.
Respond respond_once(Respond done) {
  struct State {
    bool responded = false;
    Respond done;
  };
  auto state = std::make_shared<State>();
  state->done = std::move(done);
  return [state](HttpResponse response) {
    if (state->responded) return;
    state->responded = true;
    const auto done = std::move(state->done);
    state->done = nullptr;
    done(std::move(response));
  };
}

}  // namespace

void Network::listen(const std::string& address, const std::string& host, Handler handler) {
  servers_[address] = {host, std::move(handler)};
}

void Network::reconnect(const std::string& host) {
  isolated_.erase(host);
  release_held();
}

void Network::heal_partitions() {
  partitions_.clear();
  release_held();
}

void Network::set_one_way_drop(const std::string& from, const std::string& to, bool on) {
  if (on) {
    drops_.emplace(from, to);
  } else {
    drops_.erase({from, to});
  }
}

void Network::set_two_way_drop(const std::string& one, const std::string& other, bool on) {
  set_one_way_drop(one, other, on);
  set_one_way_drop(other, one, on);
}

void Network::set_unavailable(const std::string& client, const std::string& server, bool on) {
  if (on) {
    unavailable_.emplace(client, server);
    return;
  }
  unavailable_.erase({client, server});
  for (auto& action : std::exchange(unanswered_[{client, server}], {})) {
    simulator_.schedule(1ms, std::move(action));
  }
}

bool Network::reaches(const std::string& from, const std::string& to) const {
  return !separated(from, to) && drops_.count({from, to}) == 0;
}

bool Network::separated(const std::string& from, const std::string& to) const {
  if (isolated_.count(from) != 0 || isolated_.count(to) != 0) return true;
  return std::any_of(partitions_.begin(), partitions_.end(),
                     [&](const auto& hosts) { return hosts.count(from) != hosts.count(to); });
}

void Network::release_held() {
  for (auto& [link, action] : std::exchange(held_, {})) {
    if (separated(link.first, link.second)) {
      held_.emplace_back(link, std::move(action));
    } else {
      simulator_.schedule(1ms, std::move(action));
    }
  }
}

void Network::http(const std::string& from, const std::string& address, HttpRequest request,
                   Duration timeout, Respond done) {
  if (on_request) on_request(from, address, request);
  const auto finish = respond_once(std::move(done));
  simulator_.schedule(timeout, [finish] { finish({}); });
  const auto server = servers_.find(address);
  if (server == servers_.end()) {
    simulator_.schedule(2ms, [finish] { finish({}); });
    return;
  }
  const std::string to = server->second.host;
  if (unavailable_.count({from, to}) != 0) {
    simulator_.schedule(5ms, [finish] { finish({503, "{}"}); });
    return;
  }
  const auto call =
      std::make_shared<const Call>(Call{from, to, address, std::move(request), finish});
  if (drop_request && drop_request(from, address, call->request)) return;
  if (delivered_late(*call)) return;
  transmit(from, to, [this, call] { arrive(call); });
}

/// Decides whether the request is delivered late. If so, schedules its delivery; the sender gets no
/// response.
bool Network::delivered_late(const Call& call) {
  const auto& [from, to, address, request, finish] = call;
  if (const double delay = delay_request ? delay_request(from, address, request) : 0; delay > 0) {
    simulator_.schedule(Seconds(delay), [this, address = address, request = request] {
      deliver_unanswered(address, request);
    });
    return true;
  }
  if (late_transaction_rate > 0 && request.target == "/txn" &&
      simulator_.chance(late_transaction_rate)) {
    simulator_.schedule(
        Seconds(simulator_.uniform(2, 12)),
        [this, address = address, request = request] { deliver_unanswered(address, request); });
    return true;
  }
  return false;
}

void Network::arrive(const std::shared_ptr<const Call>& call) {
  const auto server = servers_.find(call->address);
  if (server == servers_.end()) {
    call->finish({});
    return;
  }
  const auto handler = server->second.handler;
  if (duplication_rate > 0 && simulator_.chance(duplication_rate)) {
    simulator_.schedule(Seconds(simulator_.uniform(1, 45)),
                        [this, call] { deliver_unanswered(call->address, call->request); });
  }
  handler(call->request,
          [this, call](HttpResponse response) { respond(call, std::move(response)); });
}

void Network::respond(const std::shared_ptr<const Call>& call, HttpResponse response) {
  if (on_response) on_response(call->from, call->address, response);
  if (alter_response) alter_response(call->address, call->request, response);
  if (on_answered) on_answered(call->from, call->address, call->request);
  const double delay = delay_response ? delay_response(call->request) : 0;
  auto send = [this, call, delay, response = std::move(response)] {
    simulator_.schedule(Seconds(delay), [this, call, response] {
      transmit(call->to, call->from, [call, response] { call->finish(response); });
    });
  };
  if (unavailable_.count({call->from, call->to}) != 0) {
    unanswered_[{call->from, call->to}].push_back(std::move(send));
  } else {
    send();
  }
}

/// Delivers a request whose response is discarded, if its server still listens.
void Network::deliver_unanswered(const std::string& address, const HttpRequest& request) {
  const auto server = servers_.find(address);
  if (server == servers_.end()) return;
  const auto handler = server->second.handler;
  handler(request, [](const HttpResponse&) {});
}

void Network::transmit(const std::string& from, const std::string& to, Action action) {
  if (separated(from, to)) {
    held_.emplace_back(std::pair(from, to), std::move(action));
    return;
  }
  if (drops_.count({from, to}) != 0) return;
  if (loss_rate > 0 && simulator_.chance(loss_rate)) return;
  const bool late = delay_rate > 0 && simulator_.chance(delay_rate);
  const double delay = late ? simulator_.uniform(1, 40) : simulator_.uniform(0.001, 0.01);
  simulator_.schedule(Seconds(delay), std::move(action));
}

}  // namespace sim
