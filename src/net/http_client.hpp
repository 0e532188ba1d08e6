#pragma once
/// @file
/// HTTP/1.1 client on libuv with a connection pool. LoopRuntime owns one and sends all requests to
/// workers, the state service and the cloud through it.

#include <uv.h>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/runtime.hpp"
#include "net/buffer.hpp"

namespace asterstair::net {

/// Sends requests and pools idle connections for reuse. All calls and callbacks run on the loop's
/// thread. Every request completes within its timeout.
class HttpClient {
 public:
  /// One connection of the pool. Internal; see http_client_connection.hpp.
  struct Connection;

  /// Opens at most `max_connections` connections on the loop, which must outlive the client.
  HttpClient(uv_loop_t* loop, std::size_t max_connections);
  ~HttpClient();

  /// Sends the request to an IPv4 address with a port. Calls `done` exactly once, never from inside
  /// this call. The status is http_status::kNoAnswer (0) if there is no response: after the
  /// timeout, after a connection error, for a malformed response or address, or if the connection
  /// limit is reached.
  void send(const std::string& address, HttpRequest request, Duration timeout, HttpCallback done);

 private:
  // The connection pool.
  Connection* take_idle_or_open(const std::string& address);
  Connection* open_connection(const std::string& address);
  void close_longest_idle();
  void return_to_pool(Connection* connection);
  void close_connection(Connection* connection);

  // One request.
  void fail_later(HttpCallback done);
  void fail_after(Connection* connection, std::int64_t delay_ms);
  void connect(Connection* connection);
  void on_connected(Connection* connection, int status);
  void write_request(Connection* connection);
  void on_written(Connection* connection, int status);
  void on_received(Connection* connection, const char* data, std::int64_t size);
  bool parse(Connection* connection, const char* data, std::size_t size);
  bool parse_end(Connection* connection);
  void fail(Connection* connection);
  void finish(Connection* connection, HttpResponse response, bool reusable);

  uv_loop_t* loop_;
  ReadBuffer read_buffer_{};
  std::size_t max_connections_;
  std::size_t open_ = 0;
  // Counts the connections returned to the pool, to find the one that has been idle longest.
  std::uint64_t last_idle_sequence_ = 0;
  std::unordered_map<std::string, std::vector<Connection*>> idle_;  // by address
};

}  // namespace asterstair::net
