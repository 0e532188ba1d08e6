#pragma once
// A single-threaded event loop with timers, an HTTP/1.1 server and an HTTP/1.1 client on loopback,
// as small as the stand-ins of this review need them.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace stage {

inline double steady_now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

struct Request {
  std::string method, target, body;
};
struct Response {
  int status = 0;  // 0: no response
  std::string body;
};
using Respond = std::function<void(Response)>;
using Handler = std::function<void(const Request&, Respond)>;

class Loop {
 public:
  double now() const { return steady_now() - began_; }

  void after(double seconds, std::function<void()> action) {
    timers_.emplace(now() + seconds, std::move(action));
  }

  // Calls `ready` with the returned events for as long as the descriptor is watched.
  void watch(int fd, short events, std::function<void(short)> ready) {
    watched_[fd] = {events, std::make_shared<std::function<void(short)>>(std::move(ready))};
  }
  void set_events(int fd, short events) {
    const auto found = watched_.find(fd);
    if (found != watched_.end()) found->second.events = events;
  }
  void unwatch(int fd) { watched_.erase(fd); }

  // Runs until the time, or until stop() is called.
  void run_until(double end) {
    stopped_ = false;
    while (!stopped_ && now() < end) step(end);
  }
  void stop() { stopped_ = true; }

 private:
  struct Watched {
    short events;
    std::shared_ptr<std::function<void(short)>> ready;
  };

  void step(double end) {
    double wait = end - now();
    if (!timers_.empty()) wait = std::min(wait, timers_.begin()->first - now());
    std::vector<pollfd> fds;
    std::vector<std::shared_ptr<std::function<void(short)>>> callbacks;
    for (const auto& [fd, watched] : watched_) {
      fds.push_back({fd, watched.events, 0});
      callbacks.push_back(watched.ready);
    }
    const int wait_ms = std::max(0, static_cast<int>(wait * 1000) + 1);
    poll(fds.data(), fds.size(), std::min(wait_ms, 50));
    for (std::size_t i = 0; i < fds.size(); ++i) {
      if (fds[i].revents == 0) continue;
      // An earlier callback may have closed the descriptor, and another may have got its number.
      const auto found = watched_.find(fds[i].fd);
      if (found == watched_.end() || found->second.ready != callbacks[i]) continue;
      (*callbacks[i])(fds[i].revents);
    }
    while (!timers_.empty() && timers_.begin()->first <= now()) {
      const auto action = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      action();
    }
  }

  const double began_ = steady_now();
  bool stopped_ = false;
  std::multimap<double, std::function<void()>> timers_;
  std::map<int, Watched> watched_;
};

inline sockaddr_in loopback_address(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int listen_on(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto address = loopback_address(port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, 256) != 0) {
    throw std::runtime_error("cannot listen on a loopback port");
  }
  return fd;
}

inline int port_of(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// Closing the descriptor then resets its connection.
inline void reset_on_close(int fd) {
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

// Returns ports that were free a moment ago, below those that the system gives to connections.
inline std::vector<int> free_ports(int count) {
  std::random_device random;
  std::vector<int> ports;
  while (static_cast<int>(ports.size()) < count) {
    const int port = 15000 + static_cast<int>(random() % 15000);
    if (std::find(ports.begin(), ports.end(), port) != ports.end()) continue;
    try {
      close(listen_on(port));
      ports.push_back(port);
    } catch (const std::runtime_error&) {
    }
  }
  return ports;
}

// Returns the end of the first complete message in the text, or npos.
inline std::size_t message_end(const std::string& text, std::size_t& body_start) {
  const auto head_end = text.find("\r\n\r\n");
  if (head_end == std::string::npos) return std::string::npos;
  body_start = head_end + 4;
  std::string head = text.substr(0, head_end);
  for (auto& character : head) character = static_cast<char>(std::tolower(character));
  std::size_t length = 0;
  const auto at = head.find("\r\ncontent-length:");
  if (at != std::string::npos) length = std::strtoul(head.c_str() + at + 17, nullptr, 10);
  return text.size() >= body_start + length ? body_start + length : std::string::npos;
}

class Server {
 public:
  Server(Loop& loop, Handler handler) : loop_(loop), handler_(std::move(handler)) {
    fd_ = listen_on(0);
    loop_.watch(fd_, POLLIN, [this](short) { accept_all(); });
  }
  ~Server() { close_all(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  int port() const { return port_of(fd_); }
  // While the server is cut off, its connections are reset, new ones too.
  void set_cut(bool cut) {
    cut_ = cut;
    if (!cut) return;
    const auto connections = connections_;
    for (const auto& [fd, connection] : connections) {
      reset_on_close(fd);
      drop(connection);
    }
  }
  // While the server is held, it handles no request and sends no answer; afterwards it does both.
  void set_held(bool held) {
    held_ = held;
    if (held) return;
    for (const auto& [connection, out] : std::exchange(held_answers_, {})) {
      if (connection->fd >= 0) send_all(connection, out);
    }
    const auto connections = connections_;
    for (const auto& [fd, connection] : connections) serve(connection);
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  // Closes the listener and all connections, as a machine that is gone.
  void close_all() {
    if (fd_ < 0) return;
    loop_.unwatch(fd_);
    close(fd_);
    fd_ = -1;
    auto connections = std::move(connections_);
    for (auto& [fd, connection] : connections) drop(connection);
  }

 private:
  struct Connection {
    int fd = -1;
    std::string in;
    bool busy = false;
  };

  void accept_all() {
    while (true) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) return;
      if (cut_) {
        reset_on_close(fd);
        close(fd);
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      auto connection = std::make_shared<Connection>();
      connection->fd = fd;
      connections_[fd] = connection;
      loop_.watch(fd, POLLIN, [this, connection](short) { receive(connection); });
    }
  }

  void drop(const std::shared_ptr<Connection>& connection) {
    if (connection->fd < 0) return;
    loop_.unwatch(connection->fd);
    connections_.erase(connection->fd);
    close(connection->fd);
    connection->fd = -1;
  }

  void receive(const std::shared_ptr<Connection>& connection) {
    char buffer[65536];
    const auto size = recv(connection->fd, buffer, sizeof buffer, 0);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (size <= 0) {
      drop(connection);
      return;
    }
    connection->in.append(buffer, static_cast<std::size_t>(size));
    serve(connection);
  }

  void serve(const std::shared_ptr<Connection>& connection) {
    std::size_t body_start = 0;
    if (connection->busy || held_) return;
    const auto end = message_end(connection->in, body_start);
    if (end == std::string::npos) return;
    Request request;
    const auto space = connection->in.find(' ');
    const auto second = connection->in.find(' ', space + 1);
    request.method = connection->in.substr(0, space);
    request.target = connection->in.substr(space + 1, second - space - 1);
    request.body = connection->in.substr(body_start, end - body_start);
    connection->in.erase(0, end);
    connection->busy = true;
    handler_(request, [this, connection](const Response& response) {
      if (connection->fd < 0 || !connection->busy) return;
      connection->busy = false;
      const std::string out = "HTTP/1.1 " + std::to_string(response.status) +
                              " X\r\nContent-Type: application/json\r\nContent-Length: " +
                              std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
      if (held_) {
        held_answers_.emplace_back(connection, out);
        return;
      }
      send_all(connection, out);
      if (connection->fd >= 0) serve(connection);
    });
  }

  void send_all(const std::shared_ptr<Connection>& connection, const std::string& out) {
    std::size_t sent = 0;
    while (sent < out.size()) {
      const auto size = send(connection->fd, out.data() + sent, out.size() - sent, MSG_NOSIGNAL);
      if (size < 0 && errno == EAGAIN) {
        pollfd writable{connection->fd, POLLOUT, 0};
        if (poll(&writable, 1, 1000) <= 0) break;
        continue;
      }
      if (size <= 0) break;
      sent += static_cast<std::size_t>(size);
    }
    if (sent < out.size()) drop(connection);
  }

  Loop& loop_;
  Handler handler_;
  int fd_ = -1;
  bool cut_ = false, held_ = false;
  std::vector<std::pair<std::shared_ptr<Connection>, std::string>> held_answers_;
  std::map<int, std::shared_ptr<Connection>> connections_;
};

// Passes connections on to another port. While it is cut off, all of them are reset.
class Proxy {
 public:
  Proxy(Loop& loop, int target) : loop_(loop), target_(target), fd_(listen_on(0)) {
    loop_.watch(fd_, POLLIN, [this](short) { accept_all(); });
  }
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  int port() const { return port_of(fd_); }
  void set_cut(bool cut) {
    cut_ = cut;
    if (!cut) return;
    const auto pairs = pairs_;
    for (const auto& pair : pairs) drop(pair);
  }

  // While the proxy is held, it passes on nothing; afterwards it does, in order.
  void set_held(bool held) {
    held_ = held;
    for (const auto& pair : pairs_) {
      for (const int fd : {pair->from, pair->to}) {
        loop_.set_events(fd, held ? static_cast<short>(0) : static_cast<short>(POLLIN));
      }
    }
  }

 private:
  struct Pair {
    int from = -1, to = -1;
  };

  void accept_all() {
    while (true) {
      const int from = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (from < 0) return;
      const int to = cut_ ? -1 : socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const auto address = loopback_address(target_);
      if (to < 0 || connect(to, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        reset_on_close(from);
        close(from);
        if (to >= 0) close(to);
        continue;
      }
      const auto pair = std::make_shared<Pair>(Pair{from, to});
      pairs_.push_back(pair);
      const short events = held_ ? 0 : POLLIN;
      loop_.watch(from, events, [this, pair](short) { pump(pair, pair->from, pair->to); });
      loop_.watch(to, events, [this, pair](short) { pump(pair, pair->to, pair->from); });
    }
  }

  // The messages are small, so that the blocking send does not wait for long.
  void pump(const std::shared_ptr<Pair>& pair, int from, int to) {
    char buffer[65536];
    const auto size = recv(from, buffer, sizeof buffer, MSG_DONTWAIT);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) return;
    const timeval limit{1, 0};
    setsockopt(to, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    if (size <= 0 || send(to, buffer, static_cast<std::size_t>(size), MSG_NOSIGNAL) != size) {
      drop(pair);
    }
  }

  void drop(const std::shared_ptr<Pair>& pair) {
    if (pair->from < 0) return;
    for (const int fd : {pair->from, pair->to}) {
      loop_.unwatch(fd);
      reset_on_close(fd);
      close(fd);
    }
    pair->from = pair->to = -1;
    std::erase(pairs_, pair);
  }

  Loop& loop_;
  const int target_;
  const int fd_;
  bool cut_ = false, held_ = false;
  std::vector<std::shared_ptr<Pair>> pairs_;
};

// Sends one request on a connection of its own. `done` runs once; status 0 means no response.
inline void send_request(Loop& loop, int port, const Request& request, double timeout,
                         std::function<void(Response)> done) {
  struct Call {
    int fd = -1;
    std::string out, in;
    std::function<void(Response)> done;
  };
  auto call = std::make_shared<Call>();
  call->done = std::move(done);
  call->out = request.method + " " + request.target +
              " HTTP/1.1\r\nHost: loopback\r\nConnection: close\r\n";
  if (request.method == "POST") {
    call->out +=
        "Content-Type: application/json\r\nContent-Length: " + std::to_string(request.body.size()) +
        "\r\n";
  }
  call->out += "\r\n" + request.body;
  const auto finish = [&loop, call](const Response& response) {
    if (call->fd < 0) return;
    loop.unwatch(call->fd);
    close(call->fd);
    call->fd = -1;
    call->done(response);
  };
  call->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const auto address = loopback_address(port);
  connect(call->fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  loop.watch(call->fd, POLLOUT, [&loop, call, finish](short events) {
    if ((events & (POLLERR | POLLNVAL)) != 0) {
      finish({});
      return;
    }
    if (!call->out.empty()) {
      const auto size = send(call->fd, call->out.data(), call->out.size(), MSG_NOSIGNAL);
      if (size < 0 && errno != EAGAIN) {
        finish({});
        return;
      }
      if (size > 0) call->out.erase(0, static_cast<std::size_t>(size));
      if (call->out.empty()) loop.set_events(call->fd, POLLIN);
      return;
    }
    char buffer[65536];
    const auto size = recv(call->fd, buffer, sizeof buffer, 0);
    if (size < 0 && errno == EAGAIN) return;
    if (size > 0) call->in.append(buffer, static_cast<std::size_t>(size));
    std::size_t body_start = 0;
    const auto end = message_end(call->in, body_start);
    if (end != std::string::npos && call->in.size() > 12) {
      finish({std::atoi(call->in.c_str() + 9), call->in.substr(body_start, end - body_start)});
    } else if (size <= 0) {
      finish({});
    }
  });
  loop.after(timeout, [finish] { finish({}); });
}

}  // namespace stage
