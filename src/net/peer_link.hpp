#pragma once
// Messages between the nodes: length-framed msgpack over TCP, gossip only. Each node keeps one
// outgoing connection to every peer; what cannot be sent is dropped.

#include <uv.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>

#include "base/settings.hpp"

namespace asterstair::net {

class PeerLink {
 public:
  using Receive = std::function<void(const std::string& message)>;

  PeerLink(uv_loop_t* loop, const Settings& settings);
  void listen(Receive receive);  // throws std::runtime_error
  void send(const std::string& node, const std::string& message);

 private:
  struct Outgoing;
  struct Incoming;

  void open(Outgoing& out);
  void drop(Outgoing& out);
  void accept();

  uv_loop_t* loop_;
  std::string address_;
  uv_tcp_t listener_{};
  Receive receive_;
  std::map<std::string, std::shared_ptr<Outgoing>> outgoing_;
  std::unordered_set<Incoming*> incoming_;
};

}  // namespace asterstair::net
