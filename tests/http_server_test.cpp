// Tests of the HTTP server on loopback: its limits, and incomplete, malformed and pipelined
// requests.

#include <gtest/gtest.h>

#include "http_fixture.hpp"

namespace {

using namespace asterstair;

class HttpServer : public test_support::HttpFixture {};

TEST_F(HttpServer, RefusesLargeBodiesAndMalformedRequests) {
  EXPECT_EQ(read_raw(connect_raw("POST /x HTTP/1.1\r\nContent-Length: 2000\r\n\r\n")).substr(9, 3),
            "413");
  EXPECT_EQ(read_raw(connect_raw("nonsense\r\n\r\n")).substr(9, 3), "400");
  EXPECT_EQ(served, 0);
}

TEST_F(HttpServer, ClosesUnfinishedRequests) {
  // The body is incomplete: the server closes the connection after the timeout without calling the
  // handler.
  EXPECT_EQ(read_raw(connect_raw("POST /x HTTP/1.1\r\nContent-Length: 5\r\n\r\nab")), "");
  EXPECT_EQ(served, 0);
  EXPECT_EQ(server->connections(), 0U);
}

// Guards against memory exhaustion: on a small machine, incomplete bodies on hundreds of
// connections would use up the memory.
TEST_F(HttpServer, BoundsTheMemoryOfUnfinishedRequests) {
  const std::string half =
      "POST /x HTTP/1.1\r\nContent-Length: 1000\r\n\r\n" + std::string(700, 'a');
  const int first = connect_raw(half), second = connect_raw(half);
  run_until([&] { return server->connections() == 2; });
  for (int i = 0; i < 20; ++i) uv_run(&loop, UV_RUN_NOWAIT);
  const auto refused = read_raw(connect_raw(half));
  EXPECT_NE(refused.find("503 Service Unavailable"), std::string::npos);
  EXPECT_NE(refused.find("Retry-After: 1"), std::string::npos);
  // The two incomplete requests time out and release their buffers.
  EXPECT_EQ(read_raw(first), "");
  EXPECT_EQ(read_raw(second), "");
  const auto whole = "POST /x HTTP/1.1\r\nConnection: close\r\nContent-Length: 1000\r\n\r\n" +
                     std::string(1000, 'a');
  EXPECT_NE(read_raw(connect_raw(whole)).find("200 OK"), std::string::npos);
  EXPECT_EQ(served, 1);
}

TEST_F(HttpServer, AnswersPipelinedRequests) {
  const auto out = read_raw(
      connect_raw("GET /a HTTP/1.1\r\n\r\nGET /missing HTTP/1.1\r\nConnection: close\r\n\r\n"));
  EXPECT_NE(out.find("200 OK"), std::string::npos);
  EXPECT_NE(out.find("404 Not Found"), std::string::npos);
  EXPECT_EQ(served, 2);
}

// There may be more workers than a node may have connections. At the limit, the server closes idle
// connections, keeps busy ones, and serves every new connection.
TEST_F(HttpServer, KeepsItsConnectionLimitAndServesNewConnections) {
  std::vector<int> fds;
  fds.reserve(8);
  for (int i = 0; i < 8; ++i) fds.push_back(connect_raw(""));
  run_until([&] { return server->connections() == 4; });
  EXPECT_LE(server->connections(), 4U);
  const auto out = read_raw(connect_raw("GET /a HTTP/1.1\r\n\r\n"));
  EXPECT_NE(out.find("200 OK"), std::string::npos);
  EXPECT_NE(out.find("Connection: close"), std::string::npos)
      << "not closed near the connection limit";
  EXPECT_LE(server->connections(), 4U);
  for (const int fd : fds) close(fd);
}

}  // namespace
