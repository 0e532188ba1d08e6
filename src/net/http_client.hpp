#pragma once
// HTTP/1.1 client over libuv with kept-open connections. Every request ends within its timeout.

#include <uv.h>

#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/runtime.hpp"

namespace asterstair::net {

class HttpClient {
 public:
  HttpClient(uv_loop_t* loop, std::size_t max_connections);
  ~HttpClient();
  void send(const std::string& address, HttpRequest request, Duration timeout, HttpCallback done);

 private:
  struct Connection;
  friend struct Connection;

  void start(Connection* connection);
  void fail_soon(Connection* connection);
  void finish(Connection* connection, HttpResponse response, bool reusable);
  void release(Connection* connection);
  void close_longest_idle();

  uv_loop_t* loop_;
  std::size_t max_connections_;
  std::size_t open_ = 0;
  std::uint64_t turns_ = 0;
  std::unordered_map<std::string, std::vector<Connection*>> idle_;
};

}  // namespace asterstair::net
