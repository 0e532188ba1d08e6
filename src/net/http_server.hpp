#pragma once
/// @file
/// HTTP/1.1 server over libuv: bounded connections, bounded requests, and one request at a time on
/// a connection. The program owns one, which passes the requests to the node.

#include <uv.h>

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <unordered_set>

#include "base/runtime.hpp"
#include "net/buffer.hpp"

namespace asterstair::net {

/// Sends the response to one request. It may be called at any later time, once, on the loop's
/// thread; after the connection has closed it does nothing.
using Respond = std::function<void(HttpResponse)>;

/// Handles one request; called on the loop's thread.
using Handler = std::function<void(HttpRequest, Respond)>;

/// Accepts connections and serves their requests. All calls and callbacks run on the loop's thread.
class HttpServer {
 public:
  /// What the server spends at most.
  struct Limits {
    /// Open connections. At the limit the longest idle one is closed, so that newcomers are served.
    std::size_t connections = 500;
    /// Bytes of one request's body.
    std::size_t body = std::size_t{64} * 1024;
    /// Time from a request's first byte to its last, and for the client to read the response.
    Duration request_time = 10s;
    /// Time that a connection may be idle.
    Duration idle_time = 120s;
    /// Above so many connections, responses ask the client to close: most clients hold a connection
    /// that they use for moments only.
    std::size_t kept = 500;
    /// Bytes of all incomplete requests together: half-sent ones must not use up the memory.
    std::size_t buffered = std::size_t{8} * 1024 * 1024;
  };

  /// Makes a server on the loop, which must outlive it.
  HttpServer(uv_loop_t* loop, Limits limits, Handler handler);

  /// Starts to accept connections on an IPv4 address with a port. Throws std::runtime_error if the
  /// address is wrong or in use.
  void listen(const std::string& address);

  /// Returns the port it listens on.
  int port() const;

  /// Returns the number of open connections.
  std::size_t connections() const { return connections_.size(); }

 private:
  struct Connection;

  // Connections and their limits.
  void accept();
  bool admit(Connection* connection);
  void make_room();
  void set_idle(Connection* connection, bool idle);
  void close_after(Connection* connection, Duration time);
  void close(Connection* connection);
  bool reserve_buffer(Connection* connection, std::size_t size);
  void release_buffer(Connection* connection);

  // One request.
  void on_received(Connection* connection, const char* data, std::int64_t size);
  void parse(Connection* connection, const char* data, std::size_t size);
  void refuse(Connection* connection);
  void dispatch(Connection* connection);
  void respond(Connection* connection, const HttpResponse& response);
  void on_responded(Connection* connection, int status);

  uv_loop_t* loop_;
  ReadBuffer read_buffer_{};
  Limits limits_;
  Handler handler_;
  uv_tcp_t listener_{};
  std::unordered_set<Connection*> connections_;
  std::unordered_set<std::uint64_t> live_;  // ids of the connections
  std::list<Connection*> idle_;             // between requests, the longest idle first
  std::uint64_t next_id_ = 1;
  std::size_t buffered_ = 0;  // bytes of incomplete bodies
};

}  // namespace asterstair::net
