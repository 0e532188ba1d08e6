// The HTTP client on loopback: connections that it keeps, closes and uses again.

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>

#include "http_fixture.hpp"

namespace {

using namespace asterstair;

class HttpClient : public test_support::HttpFixture {};

TEST_F(HttpClient, ReusesAConnection) {
  net::HttpClient client(&loop, 8);
  std::vector<HttpResponse> got;
  client.send(address(), {"POST", "/x", "hello"}, 5s, [&](HttpResponse r) {
    got.push_back(std::move(r));
    client.send(address(), {"GET", "/missing", ""}, 5s,
                [&](HttpResponse q) { got.push_back(std::move(q)); });
  });
  run_until([&] { return got.size() == 2; });
  ASSERT_EQ(got.size(), 2U);
  EXPECT_EQ(got[0].status, 200);
  EXPECT_EQ(got[0].body, "POST hello");
  EXPECT_EQ(got[0].retry_after, std::chrono::seconds(7));
  EXPECT_EQ(got[1].status, 404);
  EXPECT_EQ(server->connections(), 1U);
}

// Idle connections to many addresses make room for others.
TEST_F(HttpClient, ClosesIdleConnectionsForOtherAddresses) {
  net::HttpServer wide(&loop, net::HttpServer::Limits{40, 1024, 5s, 5s, 40},
                       [](const HttpRequest&, const net::Respond& respond) {
                         respond({200, "{}"});
                       });
  int port = server_port;
  for (bool taken = true; taken;) {
    try {
      wide.listen("0.0.0.0:" + std::to_string(++port));
      taken = false;
    } catch (const std::runtime_error&) {
      continue;
    }
  }
  net::HttpClient client(&loop, 8);
  for (int i = 1; i <= 20; ++i) {
    int status = -1;
    client.send("127.0.0." + std::to_string(i) + ":" + std::to_string(port), {"GET", "/", ""}, 5s,
                [&](const HttpResponse& r) { status = r.status; });
    run_until([&] { return status != -1; });
    EXPECT_EQ(status, 200) << "address " << i;
  }
}

TEST_F(HttpClient, GetsNoAnswerWithoutAServer) {
  net::HttpClient client(&loop, 8);
  int status = -1;
  client.send("127.0.0.1:1", {"GET", "/", ""}, 5s,
              [&](const HttpResponse& r) { status = r.status; });
  run_until([&] { return status != -1; });
  EXPECT_EQ(status, 0);
}

// The answer is there before the request has been written: the write handle still belongs to the
// loop. Reusing it corrupted memory when more than a thousand events waited after a standstill.
TEST_F(HttpClient, ReusesNoUnfinishedWriteAfterAnEarlyAnswer) {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  ASSERT_EQ(bind(listener, reinterpret_cast<sockaddr*>(&a), sizeof a), 0);
  ASSERT_EQ(listen(listener, 8), 0);
  socklen_t size = sizeof a;
  getsockname(listener, reinterpret_cast<sockaddr*>(&a), &size);
  const std::string to = "127.0.0.1:" + std::to_string(ntohs(a.sin_port));

  net::HttpClient client(&loop, 8);
  int answers = 0;
  const HttpRequest large{"POST", "/x", std::string(std::size_t{64} << 20U, 'x')};
  const auto count = [&](const HttpResponse& r) { answers += r.status == 200 ? 1 : 0; };
  client.send(to, large, 20s, [&](const HttpResponse& r) {
    count(r);
    client.send(to, large, 20s, count);
  });
  std::vector<int> fds;
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  for (int i = 1; i <= 2; ++i) {
    pollfd p{listener, POLLIN, 0};
    run_until([&] { return poll(&p, 1, 0) > 0; });
    ASSERT_GT(poll(&p, 1, 0), 0) << "no connection of its own for request " << i;
    fds.push_back(accept(listener, nullptr, nullptr));
    ASSERT_EQ(write(fds.back(), answer.data(), answer.size()), static_cast<ssize_t>(answer.size()));
    run_until([&] { return answers == i; });
  }
  EXPECT_EQ(answers, 2);
  for (const int fd : fds) close(fd);
  close(listener);
}

}  // namespace
