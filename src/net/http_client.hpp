#pragma once
// HTTP/1.1 client over libuv with kept-open connections. Every request ends within its timeout.

#include <uv.h>

#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/runtime.hpp"
#include "net/buffer.hpp"

namespace asterstair::net {

class HttpClient {
 public:
  struct Connection;  // of the implementation

  HttpClient(uv_loop_t* loop, std::size_t max_connections);
  ~HttpClient();
  void send(const std::string& address, HttpRequest request, Duration timeout, HttpCallback done);
  // Of the connection's client; for the implementation.
  static ReadBuffer& read_buffer_of(const Connection& connection);

 private:
  Connection* idle_or_new(const std::string& address);
  void connect(Connection* connection);
  void on_connected(Connection* connection, int status);
  void on_received(Connection* connection, const char* data, std::int64_t size);
  void start(Connection* connection);
  void fail_later(HttpCallback done);
  void fail_after(Connection* connection, std::int64_t ms);
  void finish(Connection* connection, HttpResponse response, bool reusable);
  void release(Connection* connection);
  void close_longest_idle();

  uv_loop_t* loop_;
  ReadBuffer read_buffer_{};
  std::size_t max_connections_;
  std::size_t open_ = 0;
  std::uint64_t turns_ = 0;
  std::unordered_map<std::string, std::vector<Connection*>> idle_;
};

}  // namespace asterstair::net
