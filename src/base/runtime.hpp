#pragma once
// What the core logic needs from the outside world. The program implements it on libuv; the
// tests implement it with simulated time, so every run can be replayed from its seed.

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "base/time.hpp"

namespace asterstair {

struct HttpRequest {
  std::string method;
  std::string target;  // path and query
  std::string body;
};

struct HttpResponse {
  int status = 0;  // 0: no answer; the request may or may not have been carried out
  std::string body;
  std::optional<std::chrono::seconds> retry_after{};
};

using HttpCallback = std::function<void(HttpResponse)>;
using TimerId = std::uint64_t;
using Rng = std::mt19937_64;

class Runtime {
 public:
  virtual ~Runtime() = default;
  virtual TimePoint now() const = 0;
  virtual WallTime wall() const = 0;
  virtual Rng& rng() = 0;
  virtual TimerId after(Duration delay, std::function<void()> action) = 0;
  virtual void cancel(TimerId id) = 0;
  // Sends one request; the callback runs exactly once, with status 0 after the timeout.
  virtual void http(const std::string& address, HttpRequest request, Duration timeout,
                    HttpCallback done) = 0;
  // Sends a gossip message to a peer; may be lost.
  virtual void send_peer(const std::string& node, std::string message) = 0;
};

}  // namespace asterstair
