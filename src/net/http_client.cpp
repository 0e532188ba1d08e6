#include "net/http_client.hpp"

#include <http_parser.h>

#include <algorithm>
#include <cstring>

#include "net/address.hpp"

namespace asterstair::net {
namespace {

// Answers larger than this are treated as no answer. Lists end at 512 KiB; a watch has no limit
// of its own, and one cut off here is followed by reading the keys again.
constexpr std::size_t kLargestAnswer = std::size_t{4} * 1024 * 1024;
constexpr std::size_t kMostIdlePerAddress = 8;

}  // namespace

struct HttpClient::Connection {
  HttpClient* owner = nullptr;
  std::string address;
  uv_tcp_t tcp{};
  uv_timer_t timer{};
  uv_connect_t connect{};
  uv_write_t write{};
  http_parser parser{};
  bool connected = false, closing = false, busy = false, got_bytes = false;
  bool writing = false;  // `write` is the loop's until its callback
  int handles = 2;
  std::uint64_t idle_since = 0;  // a count of turns
  HttpRequest request;
  std::string outgoing;
  HttpCallback done;
  HttpResponse response;
  std::string header_field, header_value;
  char buffer[16384];

  void note_header() {
    static constexpr std::string_view kRetry = "retry-after";
    if (header_field.size() == kRetry.size() &&
        std::equal(kRetry.begin(), kRetry.end(), header_field.begin(), [](char a, char b) {
          return a == std::tolower(static_cast<unsigned char>(b));
        })) {
      const int n = std::atoi(header_value.c_str());
      if (n >= 0) response.retry_after = std::chrono::seconds(n);
    }
    header_field.clear();
    header_value.clear();
  }
};

HttpClient::HttpClient(uv_loop_t* loop, std::size_t max_connections)
    : loop_(loop), max_connections_(std::max<std::size_t>(max_connections, 8)) {}

HttpClient::~HttpClient() = default;

void HttpClient::send(const std::string& address, HttpRequest request, Duration timeout,
                      HttpCallback done) {
  Connection* c = nullptr;
  auto& idle = idle_[address];
  if (!idle.empty()) {
    c = idle.back();
    idle.pop_back();
  } else {
    const auto target = parse_address(address);
    if (open_ >= max_connections_) close_longest_idle();
    if (!target || open_ >= max_connections_) {
      // Answered from the loop, never from inside the call: callers need not be re-entrant.
      auto* timer = new uv_timer_t;
      timer->data = new HttpCallback(std::move(done));
      uv_timer_init(loop_, timer);
      uv_timer_start(
          timer,
          [](uv_timer_t* t) {
            std::unique_ptr<HttpCallback> callback(static_cast<HttpCallback*>(t->data));
            uv_close(reinterpret_cast<uv_handle_t*>(t),
                     [](uv_handle_t* h) { delete reinterpret_cast<uv_timer_t*>(h); });
            (*callback)(HttpResponse{});
          },
          1, 0);
      return;
    }
    c = new Connection;
    c->owner = this;
    c->address = address;
    ++open_;
    uv_tcp_init(loop_, &c->tcp);
    uv_tcp_nodelay(&c->tcp, 1);
    uv_timer_init(loop_, &c->timer);
    c->tcp.data = c->timer.data = c->connect.data = c->write.data = c->parser.data = c;
  }
  c->busy = true;
  c->got_bytes = false;
  c->request = std::move(request);
  c->done = std::move(done);
  c->response = HttpResponse{};
  const auto ms = std::chrono::ceil<milliseconds>(timeout).count();
  uv_update_time(loop_);
  uv_timer_start(
      &c->timer,
      [](uv_timer_t* t) {
        auto* conn = static_cast<Connection*>(t->data);
        conn->owner->finish(conn, HttpResponse{}, false);
      },
      static_cast<std::uint64_t>(std::max<std::int64_t>(ms, 1)), 0);
  if (c->connected) {
    start(c);
    return;
  }
  const auto target = parse_address(address);
  const int e = uv_tcp_connect(
      &c->connect, &c->tcp, reinterpret_cast<const sockaddr*>(&*target),
      [](uv_connect_t* r, int status) {
        auto* conn = static_cast<Connection*>(r->data);
        if (conn->closing) return;
        if (status != 0) {
          conn->owner->finish(conn, HttpResponse{}, false);
          return;
        }
        conn->connected = true;
        uv_read_start(
            reinterpret_cast<uv_stream_t*>(&conn->tcp),
            [](uv_handle_t* h, std::size_t, uv_buf_t* b) {
              auto* k = static_cast<Connection*>(h->data);
              *b = uv_buf_init(k->buffer, sizeof k->buffer);
            },
            [](uv_stream_t* s, ssize_t n, const uv_buf_t* b) {
              auto* k = static_cast<Connection*>(s->data);
              if (n == 0) return;
              static const http_parser_settings kSettings = [] {
                http_parser_settings p;
                http_parser_settings_init(&p);
                p.on_header_field = [](http_parser* q, const char* at, std::size_t len) {
                  auto* x = static_cast<Connection*>(q->data);
                  if (!x->header_value.empty()) x->note_header();
                  if (x->header_field.size() < 256) x->header_field.append(at, len);
                  return 0;
                };
                p.on_header_value = [](http_parser* q, const char* at, std::size_t len) {
                  auto* x = static_cast<Connection*>(q->data);
                  if (x->header_value.size() < 256) x->header_value.append(at, len);
                  return 0;
                };
                p.on_headers_complete = [](http_parser* q) {
                  auto* x = static_cast<Connection*>(q->data);
                  x->note_header();
                  x->response.status = q->status_code;
                  return 0;
                };
                p.on_body = [](http_parser* q, const char* at, std::size_t len) {
                  auto* x = static_cast<Connection*>(q->data);
                  if (x->response.body.size() + len > kLargestAnswer) return 1;
                  x->response.body.append(at, len);
                  return 0;
                };
                p.on_message_complete = [](http_parser* q) {
                  http_parser_pause(q, 1);
                  return 0;
                };
                return p;
              }();
              bool complete = false;
              if (n > 0 && k->busy) {
                k->got_bytes = true;
                const auto used = http_parser_execute(&k->parser, &kSettings, b->base,
                                                      static_cast<std::size_t>(n));
                const auto error = HTTP_PARSER_ERRNO(&k->parser);
                complete = error == HPE_PAUSED;
                if (error == HPE_OK) return;
                if (complete) {
                  http_parser_pause(&k->parser, 0);
                  const bool reusable = http_should_keep_alive(&k->parser) != 0 &&
                                        used == static_cast<std::size_t>(n);
                  k->owner->finish(k, std::move(k->response), reusable);
                  return;
                }
              } else if (n == UV_EOF && k->busy && k->got_bytes) {
                // A body without a length ends with the connection.
                http_parser_execute(&k->parser, &kSettings, nullptr, 0);
                if (HTTP_PARSER_ERRNO(&k->parser) == HPE_PAUSED) {
                  k->owner->finish(k, std::move(k->response), false);
                  return;
                }
              }
              k->owner->finish(k, HttpResponse{}, false);
            });
        conn->owner->start(conn);
      });
  if (e != 0) fail_soon(c);
}

// Answered from the loop, never from inside the call: callers need not be re-entrant.
void HttpClient::fail_soon(Connection* c) {
  uv_timer_start(
      &c->timer,
      [](uv_timer_t* t) {
        auto* conn = static_cast<Connection*>(t->data);
        conn->owner->finish(conn, HttpResponse{}, false);
      },
      1, 0);
}

void HttpClient::start(Connection* c) {
  http_parser_init(&c->parser, HTTP_RESPONSE);
  c->header_field.clear();
  c->header_value.clear();
  c->outgoing =
      c->request.method + " " + c->request.target + " HTTP/1.1\r\nHost: " + c->address + "\r\n";
  if (!c->request.body.empty() || c->request.method == "POST") {
    c->outgoing += "Content-Type: application/json\r\nContent-Length: " +
                   std::to_string(c->request.body.size()) + "\r\n";
  }
  c->outgoing += "\r\n";
  c->outgoing += c->request.body;
  uv_buf_t b = uv_buf_init(c->outgoing.data(), static_cast<unsigned>(c->outgoing.size()));
  const int e = uv_write(&c->write, reinterpret_cast<uv_stream_t*>(&c->tcp), &b, 1,
                         [](uv_write_t* w, int status) {
                           auto* conn = static_cast<Connection*>(w->data);
                           conn->writing = false;
                           if (status != 0 && !conn->closing) {
                             conn->owner->finish(conn, HttpResponse{}, false);
                           }
                         });
  if (e != 0) {
    fail_soon(c);
  } else {
    c->writing = true;
  }
}

void HttpClient::finish(Connection* c, HttpResponse response, bool reusable) {
  if (c->closing) return;
  uv_timer_stop(&c->timer);
  const bool was_busy = c->busy;
  c->busy = false;
  auto done = std::move(c->done);
  c->done = nullptr;
  const std::string address = c->address;
  auto& idle = idle_[address];
  // An answer may come before the request's write is called back: when it was given without
  // reading the request, or when more events wait than one look at the loop takes. The write
  // handle must not be used for the next request until then.
  if (reusable && !c->writing && idle.size() < kMostIdlePerAddress) {
    c->idle_since = ++turns_;
    idle.push_back(c);
  } else {
    release(c);
  }
  if (was_busy && done) done(std::move(response));
}

// Connections kept open to hundreds of workers must not use up what the state service and the cloud
// need.
void HttpClient::close_longest_idle() {
  Connection* longest = nullptr;
  for (const auto& [address, idle] : idle_) {
    for (auto* c : idle) {
      if (longest == nullptr || c->idle_since < longest->idle_since) longest = c;
    }
  }
  if (longest != nullptr) release(longest);
}

void HttpClient::release(Connection* c) {
  auto& idle = idle_[c->address];
  idle.erase(std::remove(idle.begin(), idle.end(), c), idle.end());
  if (idle.empty()) idle_.erase(c->address);
  c->closing = true;
  --open_;
  const auto closed = [](uv_handle_t* h) {
    auto* conn = static_cast<Connection*>(h->data);
    if (--conn->handles == 0) delete conn;
  };
  uv_close(reinterpret_cast<uv_handle_t*>(&c->tcp), closed);
  uv_close(reinterpret_cast<uv_handle_t*>(&c->timer), closed);
}

}  // namespace asterstair::net
