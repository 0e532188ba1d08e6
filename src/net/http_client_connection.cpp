#include "net/http_client_connection.hpp"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <string_view>
#include <utility>

namespace asterstair::net {
namespace {

// Maximum size of a response body in bytes; a larger response counts as a failed request. The state
// service limits a list response to 512 KiB. A watch response has no such limit; when one exceeds
// this size, the keys are read again.
constexpr std::size_t kMaxResponseSize = std::size_t{4} * 1024 * 1024;

// Header names and values are stored only up to about this many bytes; no header that the client
// reads is longer.
constexpr std::size_t kMaxHeaderLength = 256;

constexpr std::string_view kRetryAfter = "retry-after";

bool equal_without_case(std::string_view lower, std::string_view any) {
  return lower.size() == any.size() &&
         std::equal(lower.begin(), lower.end(), any.begin(), [](char a, char b) {
           return a == std::tolower(static_cast<unsigned char>(b));
         });
}

}  // namespace

HttpClient::Connection::Connection(HttpClient* client, uv_loop_t* loop, std::string target_address)
    : owner(client), address(std::move(target_address)) {
  uv_tcp_init(loop, &tcp);
  uv_tcp_nodelay(&tcp, 1);
  uv_timer_init(loop, &timer);
  tcp.data = timer.data = connect.data = write.data = parser.data = this;
}

void HttpClient::Connection::begin_request(HttpRequest next_request, HttpCallback callback) {
  busy = true;
  response_started = false;
  request = std::move(next_request);
  done = std::move(callback);
  response = HttpResponse{};
}

void HttpClient::Connection::encode_request() {
  http_parser_init(&parser, HTTP_RESPONSE);
  header_field.clear();
  header_value.clear();
  outgoing = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + address + "\r\n";
  if (!request.body.empty() || request.method == "POST") {
    outgoing +=
        "Content-Type: application/json\r\nContent-Length: " + std::to_string(request.body.size()) +
        "\r\n";
  }
  outgoing += "\r\n";
  outgoing += request.body;
}

std::size_t HttpClient::Connection::execute_parser(const char* data, std::size_t size) {
  return http_parser_execute(&parser, &parser_settings(), data, size);
}

void HttpClient::Connection::close() {
  closing = true;
  const auto closed = [](uv_handle_t* handle) {
    auto* connection = static_cast<Connection*>(handle->data);
    if (--connection->open_handles_ == 0) delete connection;
  };
  uv_close(reinterpret_cast<uv_handle_t*>(&tcp), closed);
  uv_close(reinterpret_cast<uv_handle_t*>(&timer), closed);
}

void HttpClient::Connection::allocate_read_buffer(uv_handle_t* handle, std::size_t /*suggested*/,
                                                  uv_buf_t* buffer) {
  auto& read_buffer = static_cast<Connection*>(handle->data)->owner->read_buffer_;
  *buffer = uv_buf_init(read_buffer.data(), static_cast<unsigned>(read_buffer.size()));
}

const http_parser_settings& HttpClient::Connection::parser_settings() {
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

int HttpClient::Connection::on_header_field(http_parser* parser, const char* data,
                                            std::size_t size) {
  auto* connection = static_cast<Connection*>(parser->data);
  if (!connection->header_value.empty()) connection->end_header();
  auto& field = connection->header_field;
  if (field.size() < kMaxHeaderLength) field.append(data, size);
  return 0;
}

int HttpClient::Connection::on_header_value(http_parser* parser, const char* data,
                                            std::size_t size) {
  auto& value = static_cast<Connection*>(parser->data)->header_value;
  if (value.size() < kMaxHeaderLength) value.append(data, size);
  return 0;
}

int HttpClient::Connection::on_headers_complete(http_parser* parser) {
  auto* connection = static_cast<Connection*>(parser->data);
  connection->end_header();
  connection->response.status = parser->status_code;
  return 0;
}

int HttpClient::Connection::on_body(http_parser* parser, const char* data, std::size_t size) {
  auto& body = static_cast<Connection*>(parser->data)->response.body;
  if (body.size() + size > kMaxResponseSize) return 1;
  body.append(data, size);
  return 0;
}

int HttpClient::Connection::on_message_complete(http_parser* parser) {
  http_parser_pause(parser, 1);
  return 0;
}

void HttpClient::Connection::end_header() {
  if (equal_without_case(kRetryAfter, header_field)) {
    const int delay = std::atoi(header_value.c_str());
    if (delay >= 0) response.retry_after = std::chrono::seconds(delay);
  }
  header_field.clear();
  header_value.clear();
}

}  // namespace asterstair::net
