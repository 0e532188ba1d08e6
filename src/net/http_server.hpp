#pragma once
/// @file
/// HTTP/1.1 server on libuv. It limits the connections and the size of requests, and handles one
/// request at a time on each connection. The program owns one, which passes the requests to the
/// node.

#include <uv.h>

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <unordered_set>

#include "base/runtime.hpp"
#include "net/buffer.hpp"

namespace asterstair::net {

/// Sends the response to one request. It may be called once, at any later time, on the loop's
/// thread. It does nothing if the connection has been closed.
using Respond = std::function<void(HttpResponse)>;

/// Handles one request; called on the loop's thread.
using Handler = std::function<void(HttpRequest, Respond)>;

/// Accepts connections and serves their requests. All calls and callbacks run on the loop's thread.
class HttpServer {
 public:
  /// Resource limits of the server.
  struct Limits {
    /// Maximum number of open connections. At the limit, the connection that has been idle longest
    /// is closed to accept a new one.
    std::size_t connections = 500;
    /// Maximum size of a request's body in bytes.
    std::size_t body = std::size_t{64} * 1024;
    /// Maximum time to receive a request from its first byte to its last, and maximum time for the
    /// client to read the response.
    Duration request_time = 10s;
    /// Idle connections are closed after this time.
    Duration idle_time = 120s;
    /// Above this number of open connections, responses carry `Connection: close`: most clients
    /// hold a connection open but use it only briefly.
    std::size_t keep_alive_connections = 500;
    /// Maximum size of all incomplete request bodies together, in bytes, so that clients that never
    /// complete their requests cannot exhaust the memory.
    std::size_t buffered = std::size_t{8} * 1024 * 1024;
  };

  /// Creates a server on the loop, which must outlive it.
  HttpServer(uv_loop_t* loop, Limits limits, Handler handler);

  /// Starts to accept connections on an IPv4 address with a port. Throws std::runtime_error if the
  /// address is malformed or in use.
  void listen(const std::string& address);

  /// Returns the port that the server listens on.
  int port() const;

  /// Returns the number of open connections.
  std::size_t connections() const { return connections_.size(); }

 private:
  struct Connection;

  // Connections and their limits.
  void accept();
  bool admit(Connection* connection);
  void close_longest_idle();
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
  std::unordered_set<std::uint64_t> open_ids_;  // ids of the open connections
  std::list<Connection*> idle_;                 // between two requests, longest idle first
  std::uint64_t next_id_ = 1;
  std::size_t buffered_ = 0;  // bytes of incomplete bodies
};

}  // namespace asterstair::net
