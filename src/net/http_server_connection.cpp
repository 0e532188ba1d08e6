#include "net/http_server_connection.hpp"

#include <climits>

namespace asterstair::net {
namespace {

// Maximum length of a request's target (path and query) in bytes.
constexpr std::size_t kMaxTargetLength = 2048;

const char* reason_phrase(int status) {
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

HttpServer::Connection::Connection(HttpServer* server, uv_loop_t* loop, std::uint64_t connection_id)
    : owner(server), id(connection_id) {
  uv_tcp_init(loop, &tcp);
  uv_timer_init(loop, &timer);
  tcp.data = timer.data = write.data = parser.data = this;
}

void HttpServer::Connection::init_parser() { http_parser_init(&parser, HTTP_REQUEST); }

std::size_t HttpServer::Connection::execute_parser(const char* data, std::size_t size) {
  return http_parser_execute(&parser, &parser_settings(), data, size);
}

void HttpServer::Connection::encode_response(const HttpResponse& response) {
  outgoing = "HTTP/1.1 " + std::to_string(response.status) + " " + reason_phrase(response.status) +
             "\r\nContent-Type: application/json\r\nContent-Length: " +
             std::to_string(response.body.size()) + "\r\n";
  if (response.retry_after) {
    outgoing += "Retry-After: " + std::to_string(response.retry_after->count()) + "\r\n";
  }
  if (!keep_alive) outgoing += "Connection: close\r\n";
  outgoing += "\r\n";
  outgoing += response.body;
}

void HttpServer::Connection::close_handles() {
  const auto closed = [](uv_handle_t* handle) {
    auto* connection = static_cast<Connection*>(handle->data);
    if (--connection->open_handles_ == 0) delete connection;
  };
  uv_close(reinterpret_cast<uv_handle_t*>(&tcp), closed);
  uv_close(reinterpret_cast<uv_handle_t*>(&timer), closed);
}

void HttpServer::Connection::allocate_read_buffer(uv_handle_t* handle, std::size_t /*suggested*/,
                                                  uv_buf_t* buffer) {
  auto& read_buffer = static_cast<Connection*>(handle->data)->owner->read_buffer_;
  *buffer = uv_buf_init(read_buffer.data(), static_cast<unsigned>(read_buffer.size()));
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

int HttpServer::Connection::on_message_begin(http_parser* parser) {
  auto* connection = static_cast<Connection*>(parser->data);
  connection->request = HttpRequest{};
  connection->too_large = connection->buffer_full = false;
  return 0;
}

int HttpServer::Connection::on_url(http_parser* parser, const char* data, std::size_t size) {
  auto& target = static_cast<Connection*>(parser->data)->request.target;
  if (target.size() + size > kMaxTargetLength) return 1;
  target.append(data, size);
  return 0;
}

int HttpServer::Connection::on_headers_complete(http_parser* parser) {
  auto* connection = static_cast<Connection*>(parser->data);
  const bool has_length = parser->content_length != ULLONG_MAX;
  if (!has_length) return 0;
  if (parser->content_length <= connection->owner->limits_.body) return 0;
  connection->too_large = true;
  return -1;  // an error; http_parser takes 1 and 2 for other outcomes
}

int HttpServer::Connection::on_body(http_parser* parser, const char* data, std::size_t size) {
  auto* connection = static_cast<Connection*>(parser->data);
  auto& body = connection->request.body;
  if (body.size() + size > connection->owner->limits_.body) {
    connection->too_large = true;
    return 1;
  }
  if (!connection->owner->reserve_buffer(connection, size)) {
    connection->buffer_full = true;
    return 1;
  }
  body.append(data, size);
  return 0;
}

int HttpServer::Connection::on_message_complete(http_parser* parser) {
  auto* connection = static_cast<Connection*>(parser->data);
  connection->request.method = http_method_str(static_cast<http_method>(parser->method));
  connection->complete = true;
  http_parser_pause(parser, 1);
  return 0;
}

}  // namespace asterstair::net
