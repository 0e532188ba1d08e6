#pragma once
/// @file
/// Test fixture with an HTTP server on loopback, for the tests of the HTTP client and server.

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/http_client.hpp"
#include "net/http_server.hpp"

namespace test_support {

using namespace asterstair;

/// Runs an HTTP server with small limits on loopback, on an event loop that the test drives.
class HttpFixture : public testing::Test {
 protected:
  HttpFixture() {
    uv_loop_init(&loop);
    // Port 0 is not a valid address in the settings, so the fixture searches for a free port.
    for (int port = 20000 + getpid() % 20000; server_port == 0; ++port) {
      server = std::make_unique<net::HttpServer>(
          &loop, net::HttpServer::Limits{4, 1024, 300ms, 300ms, 3, 1500},
          [this](const HttpRequest& r, const net::Respond& respond) {
            ++served;
            respond({r.target == "/missing" ? 404 : 200, r.method + " " + r.body,
                     std::chrono::seconds(7)});
          });
      try {
        server->listen("127.0.0.1:" + std::to_string(port));
        server_port = port;
      } catch (const std::runtime_error&) {
        continue;  // the port is in use
      }
    }
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(server_port); }
  /// Runs the loop until the condition holds, but for a limited number of iterations, so that a
  /// condition that never holds fails the test instead of blocking it.
  template <typename F>
  void run_until(F done) {
    for (int i = 0; i < 5000 && !done(); ++i) {
      uv_run(&loop, UV_RUN_NOWAIT);
      usleep(1000);
    }
  }
  /// Opens a raw connection to the server and sends the bytes. Returns the socket.
  int connect_raw(const std::string& bytes) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in a{};
    uv_ip4_addr("127.0.0.1", server_port, &a);
    EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a), 0);
    EXPECT_EQ(write(fd, bytes.data(), bytes.size()), static_cast<ssize_t>(bytes.size()));
    return fd;
  }
  /// Returns everything that the server sends until it closes the connection.
  std::string read_raw(int fd) {
    std::string out;
    bool closed = false;
    run_until([&] {
      char b[4096];
      const auto n = recv(fd, b, sizeof b, MSG_DONTWAIT);
      if (n > 0) out.append(b, static_cast<std::size_t>(n));
      closed = n == 0;
      return closed;
    });
    close(fd);
    return out;
  }
  uv_loop_t loop{};
  std::unique_ptr<net::HttpServer> server;
  int server_port = 0, served = 0;
};

}  // namespace test_support
