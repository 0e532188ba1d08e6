#pragma once
// Simulated HTTP network.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sim/simulator.hpp"

namespace sim {

/// Sends the response to a request.
using Respond = std::function<void(HttpResponse)>;
/// Handles the requests to a server.
using Handler = std::function<void(const HttpRequest&, const Respond&)>;

/// Simulated network. Servers listen on addresses, and each address belongs to a host. Faults apply
/// between hosts. Every message takes some milliseconds, unless a fault holds, delays or drops it.
class Network {
 public:
  /// Creates a network without servers and faults.
  explicit Network(Simulator& simulator) : simulator_(simulator) {}

  /// Serves `address`, which is on `host`, with `handler`.
  void listen(const std::string& address, const std::string& host, Handler handler);
  /// Stops serving `address`. Requests to it get no answer.
  void close(const std::string& address) { servers_.erase(address); }

  /// Sends a request. `done` runs exactly once; its status is 0 if the request times out or no
  /// server listens on the address.
  void http(const std::string& from, const std::string& address, HttpRequest request,
            Duration timeout, Respond done);

  // ---- Faults between hosts ----

  /// Isolates one host from all others. Messages to and from it are held and delivered after the
  /// reconnection, even if the request has timed out meanwhile.
  void isolate(const std::string& host) { isolated_.insert(host); }
  /// Ends the isolation of the host and releases held messages.
  void reconnect(const std::string& host);

  /// Partitions the network: these hosts reach one another, but no other host. Messages across the
  /// partition are held.
  void partition(const std::set<std::string>& hosts) { partitions_.push_back(hosts); }
  /// Ends all partitions and releases held messages.
  void heal_partitions();

  /// Sets whether messages from one host to another are lost, in this direction only.
  void set_one_way_drop(const std::string& from, const std::string& to, bool on);
  /// Sets whether messages between two hosts are lost, in both directions.
  void set_two_way_drop(const std::string& one, const std::string& other, bool on);
  /// Ends all one-way and two-way drops.
  void clear_drops() { drops_.clear(); }

  /// Sets whether requests from host `client` to host `server` are answered 503. Responses to
  /// earlier requests, such as open watches, are held until this ends.
  void set_unavailable(const std::string& client, const std::string& server, bool on);

  /// Whether messages from one host reach the other: neither isolation, a partition nor a drop
  /// prevents it.
  bool reaches(const std::string& from, const std::string& to) const;

  // ---- Faults that affect all messages ----

  double loss_rate = 0;              ///< fraction of messages that are lost
  double delay_rate = 0;             ///< fraction of messages that arrive 1 to 40 s late
  double duplication_rate = 0;       ///< fraction of requests delivered again, 1 to 45 s later
  double late_transaction_rate = 0;  ///< fraction of transactions applied late, without a response

  // ---- Hooks for tests; each may be empty ----

  /// A request for which this returns true is lost.
  std::function<bool(const std::string& from, const std::string& address, const HttpRequest&)>
      drop_request;
  /// Delay in seconds after which the request is delivered without a response; 0: no delay.
  std::function<double(const std::string& from, const std::string& address, const HttpRequest&)>
      delay_request;
  /// Changes a response before it leaves the server.
  std::function<void(const std::string& address, const HttpRequest&, HttpResponse&)> alter_response;
  /// Additional delay in seconds of the response to this request.
  std::function<double(const HttpRequest&)> delay_response;
  /// Observes each request as it is sent.
  std::function<void(const std::string& from, const std::string& address, const HttpRequest&)>
      on_request;
  /// Observes each response as the server sends it, before alter_response.
  std::function<void(const std::string& from, const std::string& address, const HttpResponse&)>
      on_response;
  /// Observes each answered request as its response leaves the server, after alter_response.
  std::function<void(const std::string& from, const std::string& address, const HttpRequest&)>
      on_answered;

 private:
  using Link = std::pair<std::string, std::string>;  // from, to
  using Action = std::function<void()>;

  struct Server {
    std::string host;
    Handler handler;
  };
  struct Call {
    std::string from, to, address;
    HttpRequest request;
    Respond finish;
  };

  bool separated(const std::string& from, const std::string& to) const;
  void release_held();
  void deliver_unanswered(const std::string& address, const HttpRequest& request);
  bool delivered_late(const Call& call);
  void transmit(const std::string& from, const std::string& to, Action action);
  void arrive(const std::shared_ptr<const Call>& call);
  void respond(const std::shared_ptr<const Call>& call, HttpResponse response);

  Simulator& simulator_;
  std::map<std::string, Server> servers_;
  std::set<std::string> isolated_;
  std::vector<std::set<std::string>> partitions_;
  std::set<Link> unavailable_, drops_;
  std::map<Link, std::vector<Action>> unanswered_;  // responses held by set_unavailable
  std::vector<std::pair<Link, Action>> held_;
};

}  // namespace sim
