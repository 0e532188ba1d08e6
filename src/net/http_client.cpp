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

  void note_header();
};

namespace {

constexpr std::string_view kRetryAfter = "retry-after";
constexpr std::size_t kLongestHeader = 256;  // what is longer is of no interest here

using Connection = HttpClient::Connection;

bool equal_without_case(std::string_view lower, std::string_view any) {
  return lower.size() == any.size() &&
         std::equal(lower.begin(), lower.end(), any.begin(), [](char a, char b) {
           return a == std::tolower(static_cast<unsigned char>(b));
         });
}

int on_header_field(http_parser* parser, const char* at, std::size_t length) {
  auto* c = static_cast<Connection*>(parser->data);
  if (!c->header_value.empty()) c->note_header();
  if (c->header_field.size() < kLongestHeader) c->header_field.append(at, length);
  return 0;
}

int on_header_value(http_parser* parser, const char* at, std::size_t length) {
  auto* c = static_cast<Connection*>(parser->data);
  if (c->header_value.size() < kLongestHeader) c->header_value.append(at, length);
  return 0;
}

int on_headers_complete(http_parser* parser) {
  auto* c = static_cast<Connection*>(parser->data);
  c->note_header();
  c->response.status = parser->status_code;
  return 0;
}

int on_body(http_parser* parser, const char* at, std::size_t length) {
  auto* c = static_cast<Connection*>(parser->data);
  if (c->response.body.size() + length > kLargestAnswer) return 1;
  c->response.body.append(at, length);
  return 0;
}

int on_message_complete(http_parser* parser) {
  http_parser_pause(parser, 1);
  return 0;
}

const http_parser_settings& parser_settings() {
  static const http_parser_settings settings = [] {
    http_parser_settings out;
    http_parser_settings_init(&out);
    out.on_header_field = on_header_field;
    out.on_header_value = on_header_value;
    out.on_headers_complete = on_headers_complete;
    out.on_body = on_body;
    out.on_message_complete = on_message_complete;
    return out;
  }();
  return settings;
}

void on_allocate(uv_handle_t* handle, std::size_t /*suggested*/, uv_buf_t* buffer) {
  auto& read_buffer = HttpClient::read_buffer_of(*static_cast<Connection*>(handle->data));
  *buffer = uv_buf_init(read_buffer.data(), static_cast<unsigned>(read_buffer.size()));
}

}  // namespace

void HttpClient::Connection::note_header() {
  if (equal_without_case(kRetryAfter, header_field)) {
    const int n = std::atoi(header_value.c_str());
    if (n >= 0) response.retry_after = std::chrono::seconds(n);
  }
  header_field.clear();
  header_value.clear();
}

HttpClient::HttpClient(uv_loop_t* loop, std::size_t max_connections)
    : loop_(loop), max_connections_(std::max<std::size_t>(max_connections, 8)) {}

HttpClient::~HttpClient() = default;

ReadBuffer& HttpClient::read_buffer_of(const Connection& connection) {
  return connection.owner->read_buffer_;
}

void HttpClient::send(const std::string& address, HttpRequest request, Duration timeout,
                      HttpCallback done) {
  Connection* c = idle_or_new(address);
  if (c == nullptr) {
    fail_later(std::move(done));
    return;
  }
  c->busy = true;
  c->got_bytes = false;
  c->request = std::move(request);
  c->done = std::move(done);
  c->response = HttpResponse{};
  const auto ms = std::chrono::ceil<milliseconds>(timeout).count();
  fail_after(c, std::max<std::int64_t>(ms, 1));
  if (c->connected) {
    start(c);
  } else {
    connect(c);
  }
}

// None if the address is not one, or no more connections may be opened.
HttpClient::Connection* HttpClient::idle_or_new(const std::string& address) {
  auto& idle = idle_[address];
  if (!idle.empty()) {
    Connection* c = idle.back();
    idle.pop_back();
    return c;
  }
  if (open_ >= max_connections_) close_longest_idle();
  if (!parse_address(address) || open_ >= max_connections_) return nullptr;
  auto* c = new Connection;
  c->owner = this;
  c->address = address;
  ++open_;
  uv_tcp_init(loop_, &c->tcp);
  uv_tcp_nodelay(&c->tcp, 1);
  uv_timer_init(loop_, &c->timer);
  c->tcp.data = c->timer.data = c->connect.data = c->write.data = c->parser.data = c;
  return c;
}

// Answered from the loop, never from inside the call: callers need not be re-entrant.
void HttpClient::fail_later(HttpCallback done) {
  auto* timer = new uv_timer_t;
  timer->data = new HttpCallback(std::move(done));
  uv_timer_init(loop_, timer);
  const auto expired = [](uv_timer_t* t) {
    const std::unique_ptr<HttpCallback> callback(static_cast<HttpCallback*>(t->data));
    uv_close(reinterpret_cast<uv_handle_t*>(t),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_timer_t*>(h); });
    (*callback)(HttpResponse{});
  };
  uv_timer_start(timer, expired, 1, 0);
}

void HttpClient::fail_after(Connection* c, std::int64_t ms) {
  uv_update_time(loop_);
  const auto expired = [](uv_timer_t* t) {
    auto* conn = static_cast<Connection*>(t->data);
    conn->owner->finish(conn, HttpResponse{}, false);
  };
  uv_timer_start(&c->timer, expired, static_cast<std::uint64_t>(ms), 0);
}

void HttpClient::connect(Connection* c) {
  const auto target = parse_address(c->address);
  const auto connected = [](uv_connect_t* r, int status) {
    auto* conn = static_cast<Connection*>(r->data);
    if (!conn->closing) conn->owner->on_connected(conn, status);
  };
  const int e =
      uv_tcp_connect(&c->connect, &c->tcp, reinterpret_cast<const sockaddr*>(&*target), connected);
  if (e != 0) fail_after(c, 1);
}

void HttpClient::on_connected(Connection* c, int status) {
  if (status != 0) {
    finish(c, HttpResponse{}, false);
    return;
  }
  c->connected = true;
  const auto received = [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
    auto* conn = static_cast<Connection*>(stream->data);
    if (size != 0) conn->owner->on_received(conn, buffer->base, size);
  };
  uv_read_start(reinterpret_cast<uv_stream_t*>(&c->tcp), on_allocate, received);
  start(c);
}

void HttpClient::on_received(Connection* c, const char* data, std::int64_t size) {
  if (size > 0 && c->busy) {
    c->got_bytes = true;
    const auto given = static_cast<std::size_t>(size);
    const auto used = http_parser_execute(&c->parser, &parser_settings(), data, given);
    const auto error = HTTP_PARSER_ERRNO(&c->parser);
    if (error == HPE_OK) return;
    if (error == HPE_PAUSED) {
      http_parser_pause(&c->parser, 0);
      const bool reusable = http_should_keep_alive(&c->parser) != 0 && used == given;
      finish(c, std::move(c->response), reusable);
      return;
    }
  } else if (size == UV_EOF && c->busy && c->got_bytes) {
    // A body without a length ends with the connection.
    http_parser_execute(&c->parser, &parser_settings(), nullptr, 0);
    if (HTTP_PARSER_ERRNO(&c->parser) == HPE_PAUSED) {
      finish(c, std::move(c->response), false);
      return;
    }
  }
  finish(c, HttpResponse{}, false);
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
    fail_after(c, 1);
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
    release_if_large(c->request.body);
    release_if_large(c->outgoing);
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
