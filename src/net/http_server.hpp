#pragma once
// HTTP/1.1 server over libuv: bounded connections, bounded requests, one request at a time on a
// connection.

#include <uv.h>

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_set>

#include "base/runtime.hpp"
#include "net/buffer.hpp"

namespace asterstair::net {

using Respond = std::function<void(HttpResponse)>;
using Handler = std::function<void(HttpRequest, Respond)>;

class HttpServer {
 public:
  struct Limits {
    std::size_t connections = 500;
    std::size_t body = std::size_t{64} * 1024;
    Duration request_time = 10s;  // from a request's first byte to its last
    Duration idle_time = 120s;
    // Above so many, answers ask for the connection to be closed: most clients hold one that they
    // use for moments only. At the bound the longest idle gives way, so that newcomers are served.
    std::size_t kept = 500;
    // Of all requests together that have not come whole: half-sent ones must not use up the memory.
    std::size_t buffered = std::size_t{8} * 1024 * 1024;
  };

  HttpServer(uv_loop_t* loop, Limits limits, Handler handler);
  void listen(const std::string& address);  // throws std::runtime_error
  int port() const;
  std::size_t connections() const { return connections_.size(); }

 private:
  struct Connection;

  void accept();
  void make_room();
  void set_idle(Connection* connection, bool idle);
  void arm(Connection* connection, Duration time);
  void close(Connection* connection);
  void dispatch(Connection* connection);
  void refuse(Connection* connection);
  void release_buffered(Connection* connection);
  void answer(Connection* connection, const HttpResponse& response);
  void parse(Connection* connection, const char* data, std::size_t size);

  uv_loop_t* loop_;
  ReadBuffer read_buffer_{};
  Limits limits_;
  Handler handler_;
  uv_tcp_t listener_{};
  std::unordered_set<Connection*> connections_;
  std::unordered_set<std::uint64_t> live_;
  std::list<Connection*> idle_;  // between requests, the longest first
  std::uint64_t next_id_ = 1;
  std::size_t buffered_ = 0;  // bytes of bodies that have not come whole
};

}  // namespace asterstair::net
