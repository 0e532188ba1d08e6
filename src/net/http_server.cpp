#include "net/http_server.hpp"

#include <http_parser.h>

#include <stdexcept>
#include <utility>

#include "net/address.hpp"
#include "net/buffer.hpp"
#include "wire/user.hpp"

namespace asterstair::net {
namespace {

constexpr std::size_t kLongestTarget = 2048;
constexpr std::chrono::seconds kComeBack{1};  // when there is no room for a request
constexpr std::size_t kMostPipelined = std::size_t{16} * 1024;

const char* reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 413:
      return "Payload Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Entity";
    case 429:
      return "Too Many Requests";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

}  // namespace

struct HttpServer::Connection {
  HttpServer* owner = nullptr;
  std::uint64_t id = 0;
  uv_tcp_t tcp{};
  uv_timer_t timer{};
  uv_write_t write{};
  http_parser parser{};
  int handles = 2;
  bool closing = false, busy = false, in_request = false, complete = false, too_large = false;
  bool no_room = false;  // for what comes of the body
  bool keep = true, idle = false;
  std::list<Connection*>::iterator idle_at;
  HttpRequest request;
  std::size_t buffered = 0;  // its part of the server's
  std::string pending;       // bytes that came while a request was being answered
  std::string outgoing;

  static const http_parser_settings& parser_settings();
  static int on_message_begin(http_parser* parser);
  static int on_url(http_parser* parser, const char* at, std::size_t length);
  static int on_headers_complete(http_parser* parser);
  static int on_body(http_parser* parser, const char* at, std::size_t length);
  static int on_message_complete(http_parser* parser);
};

HttpServer::HttpServer(uv_loop_t* loop, Limits limits, Handler handler)
    : loop_(loop), limits_(limits), handler_(std::move(handler)) {}

void HttpServer::listen(const std::string& address) {
  const auto target = parse_address(address);
  if (!target) throw std::runtime_error("cannot listen on " + address + ": not an IPv4 address");
  uv_tcp_init(loop_, &listener_);
  listener_.data = this;
  int e = uv_tcp_bind(&listener_, reinterpret_cast<const sockaddr*>(&*target), 0);
  if (e == 0) {
    e = uv_listen(reinterpret_cast<uv_stream_t*>(&listener_), 256, [](uv_stream_t* s, int status) {
      if (status == 0) static_cast<HttpServer*>(s->data)->accept();
    });
  }
  if (e != 0) throw std::runtime_error("cannot listen on " + address + ": " + uv_strerror(e));
}

int HttpServer::port() const {
  sockaddr_in out{};
  int size = sizeof out;
  uv_tcp_getsockname(&listener_, reinterpret_cast<sockaddr*>(&out), &size);
  return ntohs(out.sin_port);
}

void HttpServer::accept() {
  auto* c = new Connection;
  c->owner = this;
  c->id = next_id_++;
  uv_tcp_init(loop_, &c->tcp);
  uv_timer_init(loop_, &c->timer);
  c->tcp.data = c->timer.data = c->write.data = c->parser.data = c;
  connections_.insert(c);
  live_.insert(c->id);
  const int e = uv_accept(reinterpret_cast<uv_stream_t*>(&listener_),
                          reinterpret_cast<uv_stream_t*>(&c->tcp));
  if (e == 0 && connections_.size() > limits_.connections) make_room();
  if (e != 0 || connections_.size() > limits_.connections) {
    close(c);
    return;
  }
  set_idle(c, true);
  uv_tcp_nodelay(&c->tcp, 1);
  http_parser_init(&c->parser, HTTP_REQUEST);
  arm(c, limits_.idle_time);
  uv_read_start(
      reinterpret_cast<uv_stream_t*>(&c->tcp),
      [](uv_handle_t* h, std::size_t, uv_buf_t* b) {
        auto& buffer = static_cast<Connection*>(h->data)->owner->read_buffer_;
        *b = uv_buf_init(buffer.data(), static_cast<unsigned>(buffer.size()));
      },
      [](uv_stream_t* s, ssize_t n, const uv_buf_t* b) {
        auto* k = static_cast<Connection*>(s->data);
        if (n < 0) {
          k->owner->close(k);
        } else if (n > 0 && k->busy) {
          // PROTOCOL forbids pipelining; a little is kept, a flood is not.
          if (k->pending.size() + static_cast<std::size_t>(n) > kMostPipelined) {
            k->owner->close(k);
          } else {
            k->pending.append(b->base, static_cast<std::size_t>(n));
          }
        } else if (n > 0) {
          k->owner->parse(k, b->base, static_cast<std::size_t>(n));
        }
      });
}

// Hundreds of workers hold a connection each, and more may come than there are sockets: those that
// wait for nothing must not keep users out.
void HttpServer::make_room() {
  if (!idle_.empty()) close(idle_.front());
}

void HttpServer::set_idle(Connection* c, bool idle) {
  if (c->idle == idle) return;
  c->idle = idle;
  if (idle) {
    c->idle_at = idle_.insert(idle_.end(), c);
  } else {
    idle_.erase(c->idle_at);
  }
}

void HttpServer::arm(Connection* c, Duration time) {
  uv_timer_start(
      &c->timer,
      [](uv_timer_t* t) {
        auto* k = static_cast<Connection*>(t->data);
        k->owner->close(k);
      },
      static_cast<std::uint64_t>(std::chrono::ceil<milliseconds>(time).count()), 0);
}

void HttpServer::close(Connection* c) {
  if (c->closing) return;
  c->closing = true;
  release_buffered(c);
  set_idle(c, false);
  connections_.erase(c);
  live_.erase(c->id);
  const auto closed = [](uv_handle_t* h) {
    auto* conn = static_cast<Connection*>(h->data);
    if (--conn->handles == 0) delete conn;
  };
  uv_close(reinterpret_cast<uv_handle_t*>(&c->tcp), closed);
  uv_close(reinterpret_cast<uv_handle_t*>(&c->timer), closed);
}

int HttpServer::Connection::on_message_begin(http_parser* parser) {
  auto* c = static_cast<Connection*>(parser->data);
  c->request = HttpRequest{};
  c->too_large = c->no_room = false;
  return 0;
}

int HttpServer::Connection::on_url(http_parser* parser, const char* at, std::size_t length) {
  auto* c = static_cast<Connection*>(parser->data);
  if (c->request.target.size() + length > kLongestTarget) return 1;
  c->request.target.append(at, length);
  return 0;
}

int HttpServer::Connection::on_headers_complete(http_parser* parser) {
  auto* c = static_cast<Connection*>(parser->data);
  const bool has_length = parser->content_length != ULLONG_MAX;
  if (!has_length) return 0;
  if (parser->content_length <= c->owner->limits_.body) return 0;
  c->too_large = true;
  return -1;  // 1 and 2 have meanings of their own to the parser
}

int HttpServer::Connection::on_body(http_parser* parser, const char* at, std::size_t length) {
  auto* c = static_cast<Connection*>(parser->data);
  if (c->request.body.size() + length > c->owner->limits_.body) {
    c->too_large = true;
    return 1;
  }
  if (c->owner->buffered_ + length > c->owner->limits_.buffered) {
    c->no_room = true;
    return 1;
  }
  c->owner->buffered_ += length;
  c->buffered += length;
  c->request.body.append(at, length);
  return 0;
}

int HttpServer::Connection::on_message_complete(http_parser* parser) {
  auto* c = static_cast<Connection*>(parser->data);
  c->request.method = http_method_str(static_cast<http_method>(parser->method));
  c->complete = true;
  http_parser_pause(parser, 1);
  return 0;
}

const http_parser_settings& HttpServer::Connection::parser_settings() {
  static const http_parser_settings settings = [] {
    http_parser_settings out;
    http_parser_settings_init(&out);
    out.on_message_begin = on_message_begin;
    out.on_url = on_url;
    out.on_headers_complete = on_headers_complete;
    out.on_body = on_body;
    out.on_message_complete = on_message_complete;
    return out;
  }();
  return settings;
}

void HttpServer::parse(Connection* c, const char* data, std::size_t size) {
  if (!c->in_request) {
    c->in_request = true;
    set_idle(c, false);
    arm(c, limits_.request_time);
  }
  const auto used = http_parser_execute(&c->parser, &Connection::parser_settings(), data, size);
  if (c->complete) {
    c->complete = false;
    http_parser_pause(&c->parser, 0);
    c->keep = http_should_keep_alive(&c->parser) != 0;
    if (used < size) c->pending.assign(data + used, size - used);
    dispatch(c);
    return;
  }
  if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK || c->parser.upgrade != 0) {
    refuse(c);
  }
}

// What cannot be read to its end; nothing more is expected on the connection.
void HttpServer::refuse(Connection* c) {
  release_buffered(c);
  c->request = HttpRequest{};
  c->keep = false;
  c->busy = true;
  if (c->no_room) {
    answer(c, {503, wire::encode_error("too many requests are being received"), kComeBack});
  } else if (c->too_large) {
    answer(c, {413, wire::encode_error("the body is too large")});
  } else {
    answer(c, {400, wire::encode_error("not HTTP")});
  }
}

void HttpServer::release_buffered(Connection* c) {
  buffered_ -= c->buffered;
  c->buffered = 0;
}

void HttpServer::dispatch(Connection* c) {
  c->busy = true;
  release_buffered(c);
  uv_timer_stop(&c->timer);
  const auto id = c->id;
  handler_(std::move(c->request), [this, c, id](const HttpResponse& response) {
    if (live_.count(id) != 0) answer(c, response);
  });
}

void HttpServer::answer(Connection* c, const HttpResponse& response) {
  c->outgoing = "HTTP/1.1 " + std::to_string(response.status) + " " + reason(response.status) +
                "\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(response.body.size()) + "\r\n";
  if (response.retry_after) {
    c->outgoing += "Retry-After: " + std::to_string(response.retry_after->count()) + "\r\n";
  }
  if (connections_.size() > limits_.kept) c->keep = false;
  if (!c->keep) c->outgoing += "Connection: close\r\n";
  c->outgoing += "\r\n";
  c->outgoing += response.body;
  arm(c, limits_.request_time);  // an answer nobody reads ends too
  uv_buf_t b = uv_buf_init(c->outgoing.data(), static_cast<unsigned>(c->outgoing.size()));
  const int e =
      uv_write(&c->write, reinterpret_cast<uv_stream_t*>(&c->tcp), &b, 1, [](uv_write_t* w, int s) {
        auto* k = static_cast<Connection*>(w->data);
        if (k->closing) return;
        if (s != 0 || !k->keep) {
          k->owner->close(k);
          return;
        }
        k->busy = false;
        k->in_request = false;
        release_if_large(k->outgoing);
        k->owner->set_idle(k, true);
        k->owner->arm(k, k->owner->limits_.idle_time);
        if (!k->pending.empty()) {
          const std::string more = std::exchange(k->pending, {});
          k->owner->parse(k, more.data(), more.size());
        }
      });
  if (e != 0) close(c);
}

}  // namespace asterstair::net
