#pragma once
/// @file
/// Gossip messages between the nodes: msgpack with a length prefix over TCP. Each node keeps one
/// outgoing connection to every peer. Messages that cannot be sent are dropped, because gossip
/// repeats.

#include <uv.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>

#include "base/settings.hpp"

namespace asterstair::net {

/// The node's connections to its peers. LoopRuntime owns one. All calls and callbacks run on the
/// loop's thread.
class PeerLink {
 public:
  /// Receives one message exactly as the peer passed it to send().
  using Receive = std::function<void(const std::string& message)>;

  /// Takes this node's address and its peers from the settings. The loop must outlive the link.
  PeerLink(uv_loop_t* loop, const Settings& settings);

  /// Starts to accept connections from peers. Throws std::runtime_error if the address is malformed
  /// or in use.
  void listen(Receive receive);

  /// Sends the message to the peer. Drops it if the peer is unknown or not connected, if the
  /// message is too large, or if the peer's queue is full.
  void send(const std::string& node, const std::string& message);

 private:
  struct Outgoing;
  struct Incoming;

  // Incoming connections.
  void accept();
  void close(Incoming* connection);
  void on_received(Incoming* connection, const char* data, std::int64_t size);

  // Outgoing connections.
  void connect(Outgoing& peer);
  void close_socket(Outgoing& peer);

  uv_loop_t* loop_;
  std::string address_;
  uv_tcp_t listener_{};
  Receive receive_;
  std::map<std::string, std::shared_ptr<Outgoing>> outgoing_;  // by node
  std::unordered_set<Incoming*> incoming_;
};

}  // namespace asterstair::net
