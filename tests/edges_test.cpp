// The edges: settings, wire forms, records, HTTP on loopback, the peer link's messages.

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cloud/catalog.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "sim/scenario.hpp"
#include "store/records.hpp"
#include "wire/cloud.hpp"
#include "wire/peer.hpp"
#include "wire/user.hpp"
#include "wire/worker.hpp"

namespace {

using namespace asterstair;

std::string settings_error(const std::string& from, const std::string& to) {
  auto text = sim::settings_text(0);
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  text.replace(at, from.size(), to);
  try {
    parse_settings(text);
  } catch (const SettingsError& e) {
    return e.what();
  }
  return "";
}

TEST(SettingsFile, NamesTheOffendingField) {
  EXPECT_EQ(settings_error("", "new_field = 3\n"), "");
  EXPECT_NE(settings_error("node = \"ghat-0\"", "").find("node"), std::string::npos);
  EXPECT_NE(settings_error("10.0.0.1:8080", "10.0.0.1").find("api_addr"), std::string::npos);
  EXPECT_NE(settings_error("lease_s = 10.0", "lease_s = \"x\"").find("lease_s"), std::string::npos);
  EXPECT_NE(settings_error("report_s = 2.0", "report_s = -2.0").find("report_s"),
            std::string::npos);
  EXPECT_NE(settings_error("[external]", "[internal]").find("external"), std::string::npos);
  EXPECT_NE(settings_error("count = 3", "count = = 3").find("line"), std::string::npos);
}

TEST(SettingsFile, RefusesALeaseThatOutlivesCancellations) {
  EXPECT_NE(settings_error("cancel_s = 40.0", "cancel_s = 12.0").find("cancel_s"),
            std::string::npos);
  const auto s = parse_settings(sim::settings_text(0));
  EXPECT_LT(leader_ttl(s) + s.lease, s.cancel_within);
}

// The inequality of docs/design.md, "Why cancelled tasks end in time", for whatever file is taken;
// a file for which it cannot hold is refused and the field named.
TEST(SettingsFile, IsTakenOnlyIfCancelledTasksEndInTime) {
  const auto drifted = [](Duration d) {
    return to_duration(Seconds(seconds(d) * (1 + kClockDrift)));
  };
  std::size_t taken = 0, refused = 0;
  for (const double report : {1.0, 2.0, 3.0, 5.0}) {
    for (const double lease : {5.0, 10.0, 20.0, 26.5, 60.0}) {
      for (const double more : {0.0, 1.0, 3.9, 4.0, 5.2, 7.0, 7.2, 20.0, 30.0, 600.0}) {
        const sim::Timing t{.report_s = report, .lease_s = lease, .cancel_s = lease + more};
        try {
          const auto s = parse_settings(sim::settings_text(0, 3, t));
          ++taken;
          EXPECT_LE(drifted(max_view_staleness(s)) + drifted(s.lease) + 500ms, s.cancel_within)
              << report << " " << lease << " " << more;
          EXPECT_LE(leader_ttl(s), max_view_staleness(s));
          EXPECT_GE(max_view_staleness(s), 2s);
        } catch (const SettingsError& e) {
          ++refused;
          EXPECT_NE(std::string(e.what()).find("cancel_s"), std::string::npos) << e.what();
          EXPECT_LT(more, std::max(2.0, report) + 2.2) << "refused though it could hold";
        }
      }
    }
  }
  EXPECT_GT(taken, 40U);
  EXPECT_GT(refused, 40U);
}

TEST(SettingsFile, RefusesAbsurdNumbers) {
  EXPECT_NE(settings_error("lease_s = 10.0", "lease_s = inf").find("lease_s"), std::string::npos);
  EXPECT_NE(settings_error("lease_s = 10.0", "lease_s = nan").find("lease_s"), std::string::npos);
  EXPECT_NE(settings_error("value_kb = 8.0", "value_kb = 1e300").find("value_kb"),
            std::string::npos);
}

// A leader that falls silent is followed by another while the workers still hold their leases,
// where these are long enough: a worker needs a time-out of 4 s and a round of the nodes to find
// it.
TEST(SettingsFile, GrantsEndWellBeforeLongLeases) {
  auto text = sim::settings_text(0);
  const auto lease = [&](const char* to) {
    auto changed = text;
    changed.replace(changed.find("lease_s = 10.0"), 14, to);
    return parse_settings(changed);
  };
  const auto s = lease("lease_s = 20.0");
  EXPECT_LE(leader_ttl(s) + 6s, s.lease);
  EXPECT_GE(leader_ttl(s), 10s);
  const auto longer = lease("lease_s = 26.5");
  EXPECT_LE(leader_ttl(longer) + 6s, longer.lease);
}

const char* const kJob = R"({"ref":"req-000412","lane":"train","owner":"red","shape":"ensemble",
  "rank":"high","pieces":16,"cores":8.0,"accelerators":1.0,"ramGb":64.0,"bundle":"img-07","imageGb":6.2,
  "flavors":["g8"],"yard":null,"together":true,"scatter":false,"loaner":true,"expectS":240.0,
  "bookmarkS":30.0,"stashS":4.0,"dueS":900.0,"later":"field"})";

TEST(Submissions, SurviveStorage) {
  const auto job = wire::decode_job(wire::parse(kJob));
  EXPECT_EQ(job.kind, JobKind::Gang);
  EXPECT_EQ(job.priority, Priority::High);
  EXPECT_EQ(job.tasks, 16U);
  EXPECT_EQ(job.types, std::vector<std::string>{"g8"});
  EXPECT_FALSE(job.zone);
  EXPECT_EQ(job.deadline, Seconds(900));
  const WallTime at(milliseconds(1700000000123));
  const auto back = store::decode_live(wire::parse(store::encode_live(job, at).dump()));
  EXPECT_EQ(wire::encode_job(back.job), wire::encode_job(job));
  EXPECT_EQ(back.accepted, at);
}

TEST(Submissions, AreRefusedByField) {
  const auto good = wire::parse(kJob);
  const auto bad = [&](const char* key, const wire::Json& value) {
    auto j = good;
    j[key] = value;
    try {
      wire::decode_job(j);
    } catch (const wire::DecodeError& e) {
      return std::string(e.what()).find(key) != std::string::npos;
    }
    return false;
  };
  EXPECT_TRUE(bad("ref", "job-1"));
  EXPECT_TRUE(bad("ref", "req-1/../2"));
  EXPECT_TRUE(bad("shape", "ring"));
  EXPECT_TRUE(bad("rank", 3));
  EXPECT_TRUE(bad("pieces", 0));
  EXPECT_TRUE(bad("pieces", 100001));
  EXPECT_TRUE(bad("pieces", 1.5));
  EXPECT_TRUE(bad("cores", -1));
  EXPECT_TRUE(bad("cores", nullptr));
  EXPECT_TRUE(bad("flavors", "g8"));
  EXPECT_TRUE(bad("together", "yes"));
  // Only what may be null may be left out.
  for (const char* key :
       {"ref", "lane", "owner", "shape", "rank", "pieces", "cores", "accelerators", "ramGb",
        "bundle", "imageGb", "together", "scatter", "loaner", "expectS", "bookmarkS", "stashS"}) {
    auto j = good;
    j.erase(key);
    EXPECT_THROW(wire::decode_job(j), wire::DecodeError) << key;
  }
  for (const char* key : {"flavors", "yard", "dueS"}) {
    auto j = good;
    j.erase(key);
    EXPECT_NO_THROW(wire::decode_job(j)) << key;
  }
  EXPECT_FALSE(bad("dueS", nullptr));
  EXPECT_THROW(wire::parse("[1]"), wire::DecodeError);
  EXPECT_THROW(wire::parse("{\"a\":"), wire::DecodeError);
}

// A gang that must be spread over zones and may be in one only can never run.
TEST(Submissions, OfGangsThatCanNeverBeTogetherAreKnown) {
  cloud::Catalog catalog;
  MachineType type;
  type.name = "g8";
  type.cpus = 96;
  type.gpus = 8;
  type.memory_gb = 768;
  type.zones = {"a", "b"};
  catalog.set({type});
  auto job = wire::decode_job(wire::parse(kJob));
  EXPECT_TRUE(catalog.can_hold(job));
  job.spread = true;
  EXPECT_FALSE(catalog.can_hold(job)) << "in one zone, and at most half of it there";
  job.one_zone = false;
  EXPECT_TRUE(catalog.can_hold(job));
  job.zone = "a";
  EXPECT_FALSE(catalog.can_hold(job));
  job.kind = JobKind::Array;
  EXPECT_TRUE(catalog.can_hold(job)) << "one half after the other";
  job.zone = "atlantis";
  EXPECT_FALSE(catalog.can_hold(job));
}

TEST(Reports, AreReadAndAnswered) {
  const auto r =
      wire::decode_heartbeat(R"({"host":"n-1","endpoint":"10.1.0.1:9000","flavor":"g8","yard":"a",
    "loaner":true,"tenure":1,"tick":88,"baton":41,"warningS":7.5,"pieces":[
    {"piece":"req-000412/3","try":2,"stage":"running"},
    {"piece":"req-000398/0","try":1,"stage":"exited","cause":"halted","stored":true}]})");
  ASSERT_EQ(r.tasks.size(), 2U);
  EXPECT_EQ(r.tasks[0].task, (TaskId{"req-000412", 3}));
  EXPECT_EQ(r.tasks[1].cause, ExitCause::Stopped);
  EXPECT_TRUE(r.tasks[1].saved);
  EXPECT_EQ(r.preemption_notice, Seconds(7.5));
  EXPECT_THROW(wire::decode_heartbeat("{}"), wire::DecodeError);
  const auto out =
      wire::parse(wire::encode_commands(41, {{Command::Op::Stop, {"req-1", 2}, 7, Seconds(10)},
                                             {Command::Op::Acknowledge, {"req-1", 3}, 8}}));
  EXPECT_EQ(
      out,
      wire::parse(R"({"baton":41,"orders":[{"verb":"kill","piece":"req-1/2","try":7,"leewayS":10.0},
                                {"verb":"clear","piece":"req-1/3","try":8}]})"));
}

TEST(Answers, StayWithinTheirLine) {
  std::vector<Command> many(5000, Command{Command::Op::Start, {"req-000001", 1}, 9});
  EXPECT_LT(wire::encode_commands(1, many).size(), 64U * 1024);
}

TEST(Progress, SplitsIntoChunksThatFit) {
  const std::size_t value = 8192;
  std::vector<bool> done(100000);
  std::mt19937_64 rng(3);
  for (std::size_t i = 0; i < done.size(); ++i) done[i] = (rng() & 1U) != 0;
  std::vector<bool> back(done.size());
  const auto chunks = store::progress_chunk_count(100000, value);
  EXPECT_GT(chunks, 1U);
  for (std::size_t c = 0; c < chunks; ++c) {
    const auto json = store::encode_progress_chunk(done, c, value);
    EXPECT_LE(json.dump().size(), value);
    store::decode_progress_chunk(json, c, value, back);
  }
  EXPECT_EQ(done, back);
  EXPECT_EQ(store::parse_progress_key("progress/req-000001/2"),
            (std::pair<std::string, std::size_t>{"req-000001", 2}));
  EXPECT_FALSE(store::parse_progress_key("progress/req-000001"));
}

TEST(PeerHints, RoundTripAndRefuseNonsense) {
  const wire::GossipMessage hint{"ghat-1",          "ghat-2",           77, true, 250, 66,
                                 {{"req-1", 3, 4}}, {"req-2", "req-9"}, 125};
  const auto back = wire::decode_gossip(wire::encode_gossip(hint));
  ASSERT_TRUE(back);
  EXPECT_EQ(back->leader, "ghat-2");
  EXPECT_EQ(back->token, 77U);
  EXPECT_EQ(back->store_age_ms, 250U);
  EXPECT_EQ(back->heartbeat_age_ms, 125U);
  EXPECT_EQ(back->stepped_down_token, 66U);
  ASSERT_EQ(back->counts.size(), 1U);
  EXPECT_EQ(back->counts[0].running, 4U);
  EXPECT_EQ(back->cancelled, (std::vector<std::string>{"req-2", "req-9"}));
  EXPECT_FALSE(wire::decode_gossip("nonsense"));
  EXPECT_FALSE(wire::decode_gossip(""));
}

// ---- HTTP on loopback ----

class Http : public testing::Test {
 protected:
  Http() {
    uv_loop_init(&loop);
    // A port of the system's choosing would do, but the server takes addresses as settings give
    // them: try a few.
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
        continue;  // taken
      }
    }
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(server_port); }
  template <typename F>
  void run_until(F done) {
    // Bounded: a condition that never comes fails its test instead of hanging it.
    for (int i = 0; i < 5000 && !done(); ++i) {
      uv_run(&loop, UV_RUN_NOWAIT);
      usleep(1000);
    }
  }
  int connect_raw(const std::string& bytes) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in a{};
    uv_ip4_addr("127.0.0.1", server_port, &a);
    EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a), 0);
    EXPECT_EQ(write(fd, bytes.data(), bytes.size()), static_cast<ssize_t>(bytes.size()));
    return fd;
  }
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

TEST_F(Http, ClientAndServerKeepAConnection) {
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

// Connections that idle to many addresses make room for others.
TEST_F(Http, IdleConnectionsGiveWay) {
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

TEST_F(Http, NoServerIsNoAnswer) {
  net::HttpClient client(&loop, 8);
  int status = -1;
  client.send("127.0.0.1:1", {"GET", "/", ""}, 5s,
              [&](const HttpResponse& r) { status = r.status; });
  run_until([&] { return status != -1; });
  EXPECT_EQ(status, 0);
}

TEST_F(Http, RefusesLargeBodiesAndNonsense) {
  EXPECT_EQ(read_raw(connect_raw("POST /x HTTP/1.1\r\nContent-Length: 2000\r\n\r\n")).substr(9, 3),
            "413");
  EXPECT_EQ(read_raw(connect_raw("nonsense\r\n\r\n")).substr(9, 3), "400");
  EXPECT_EQ(served, 0);
}

TEST_F(Http, ClosesWhatIsNeverFinished) {
  // Half a request: closed by the server once its time is over, with nothing served.
  EXPECT_EQ(read_raw(connect_raw("POST /x HTTP/1.1\r\nContent-Length: 5\r\n\r\nab")), "");
  EXPECT_EQ(served, 0);
  EXPECT_EQ(server->connections(), 0U);
}

// With hundreds of connections, bodies that never come whole would use up a small machine's memory.
TEST_F(Http, HalfSentRequestsHoldNoMoreThanTheirPartOfTheMemory) {
  const std::string half =
      "POST /x HTTP/1.1\r\nContent-Length: 1000\r\n\r\n" + std::string(700, 'a');
  const int first = connect_raw(half), second = connect_raw(half);
  run_until([&] { return server->connections() == 2; });
  for (int i = 0; i < 20; ++i) uv_run(&loop, UV_RUN_NOWAIT);
  const auto refused = read_raw(connect_raw(half));
  EXPECT_NE(refused.find("503 Service Unavailable"), std::string::npos);
  EXPECT_NE(refused.find("Retry-After: 1"), std::string::npos);
  // The others' time is over soon, and there is room again.
  EXPECT_EQ(read_raw(first), "");
  EXPECT_EQ(read_raw(second), "");
  const auto whole = "POST /x HTTP/1.1\r\nConnection: close\r\nContent-Length: 1000\r\n\r\n" +
                     std::string(1000, 'a');
  EXPECT_NE(read_raw(connect_raw(whole)).find("200 OK"), std::string::npos);
  EXPECT_EQ(served, 1);
}

TEST_F(Http, AnswersPipelinedRequestsOneByOne) {
  const auto out = read_raw(
      connect_raw("GET /a HTTP/1.1\r\n\r\nGET /missing HTTP/1.1\r\nConnection: close\r\n\r\n"));
  EXPECT_NE(out.find("200 OK"), std::string::npos);
  EXPECT_NE(out.find("404 Not Found"), std::string::npos);
  EXPECT_EQ(served, 2);
}

// A fleet may have more workers than a node has sockets: idle connections give way, busy ones do
// not, and whoever comes is served.
TEST_F(Http, HoldsItsConnectionLimitAndServesNewcomers) {
  std::vector<int> fds;
  fds.reserve(8);
  for (int i = 0; i < 8; ++i) fds.push_back(connect_raw(""));
  run_until([&] { return server->connections() == 4; });
  EXPECT_LE(server->connections(), 4U);
  const auto out = read_raw(connect_raw("GET /a HTTP/1.1\r\n\r\n"));
  EXPECT_NE(out.find("200 OK"), std::string::npos);
  EXPECT_NE(out.find("Connection: close"), std::string::npos) << "kept open near the bound";
  EXPECT_LE(server->connections(), 4U);
  for (const int fd : fds) close(fd);
}

// The answer is there before the request has been written: the write handle is still the loop's.
// Using it again corrupted memory when more than a thousand events waited after a standstill.
TEST_F(Http, AnEarlyAnswerDoesNotReuseAWriteUnderWay) {
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
