// Tests of the HTTP client on loopback: reuse and eviction of pooled connections, and failed
// requests.

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>

#include "http_fixture.hpp"

namespace {

using namespace asterstair;

class HttpClient : public test_support::HttpFixture {};

TEST_F(HttpClient, ReusesAnIdleConnection) {
  net::HttpClient client(&loop, 8);
  std::vector<HttpResponse> responses;
  client.send(address(), {"POST", "/x", "hello"}, 5s, [&](HttpResponse response) {
    responses.push_back(std::move(response));
    client.send(address(), {"GET", "/missing", ""}, 5s,
                [&](HttpResponse second) { responses.push_back(std::move(second)); });
  });
  run_until([&] { return responses.size() == 2; });
  ASSERT_EQ(responses.size(), 2U);
  EXPECT_EQ(responses[0].status, 200);
  EXPECT_EQ(responses[0].body, "POST hello");
  EXPECT_EQ(responses[0].retry_after, std::chrono::seconds(7));
  EXPECT_EQ(responses[1].status, 404);
  EXPECT_EQ(server->connections(), 1U);
}

// Guards against an exhausted pool: idle connections to many addresses must be closed when another
// address needs a connection.
TEST_F(HttpClient, ClosesIdleConnectionsForOtherAddresses) {
  net::HttpServer any_address_server(&loop, net::HttpServer::Limits{40, 1024, 5s, 5s, 40},
                                     [](const HttpRequest&, const net::Respond& respond) {
                                       respond({200, "{}"});
                                     });
  int port = server_port;
  for (bool port_in_use = true; port_in_use;) {
    try {
      any_address_server.listen("0.0.0.0:" + std::to_string(++port));
      port_in_use = false;
    } catch (const std::runtime_error&) {
      continue;
    }
  }
  net::HttpClient client(&loop, 8);
  for (int i = 1; i <= 20; ++i) {
    int status = -1;
    client.send("127.0.0." + std::to_string(i) + ":" + std::to_string(port), {"GET", "/", ""}, 5s,
                [&](const HttpResponse& response) { status = response.status; });
    run_until([&] { return status != -1; });
    EXPECT_EQ(status, 200) << "address " << i;
  }
}

TEST_F(HttpClient, ReportsNoResponseWithoutAServer) {
  net::HttpClient client(&loop, 8);
  int status = -1;
  client.send("127.0.0.1:1", {"GET", "/", ""}, 5s,
              [&](const HttpResponse& response) { status = response.status; });
  run_until([&] { return status != -1; });
  EXPECT_EQ(status, 0);
}

// The response arrives before the request has been written completely, while libuv still owns the
// write handle. Reusing the connection in this state corrupted memory. It happened after a pause of
// the process, when more than a thousand events were pending.
TEST_F(HttpClient, DoesNotReuseAConnectionWithAnUnfinishedWrite) {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in listen_address{};
  listen_address.sin_family = AF_INET;
  listen_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  ASSERT_EQ(bind(listener, reinterpret_cast<sockaddr*>(&listen_address), sizeof listen_address), 0);
  ASSERT_EQ(listen(listener, 8), 0);
  socklen_t size = sizeof listen_address;
  getsockname(listener, reinterpret_cast<sockaddr*>(&listen_address), &size);
  const std::string target = "127.0.0.1:" + std::to_string(ntohs(listen_address.sin_port));

  net::HttpClient client(&loop, 8);
  int successes = 0;
  const HttpRequest large{"POST", "/x", std::string(std::size_t{64} << 20U, 'x')};
  const auto count_success = [&](const HttpResponse& response) {
    successes += response.status == 200 ? 1 : 0;
  };
  client.send(target, large, 20s, [&](const HttpResponse& response) {
    count_success(response);
    client.send(target, large, 20s, count_success);
  });
  std::vector<int> fds;
  const std::string early_response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  for (int i = 1; i <= 2; ++i) {
    pollfd incoming{listener, POLLIN, 0};
    run_until([&] { return poll(&incoming, 1, 0) > 0; });
    ASSERT_GT(poll(&incoming, 1, 0), 0) << "no separate connection for request " << i;
    fds.push_back(accept(listener, nullptr, nullptr));
    ASSERT_EQ(write(fds.back(), early_response.data(), early_response.size()),
              static_cast<ssize_t>(early_response.size()));
    run_until([&] { return successes == i; });
  }
  EXPECT_EQ(successes, 2);
  for (const int fd : fds) close(fd);
  close(listener);
}

}  // namespace
