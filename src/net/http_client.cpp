#include "net/http_client.hpp"

#include <algorithm>
#include <utility>

#include "net/address.hpp"
#include "net/http_client_connection.hpp"

namespace asterstair::net {
namespace {

// Maximum number of idle connections that the pool keeps for one address.
constexpr std::size_t kMaxIdlePerAddress = 8;

// Minimum connection limit of the pool; a lower limit in the settings is raised to it.
constexpr std::size_t kMinConnections = 8;

}  // namespace

HttpClient::HttpClient(uv_loop_t* loop, std::size_t max_connections)
    : loop_(loop), max_connections_(std::max(max_connections, kMinConnections)) {}

HttpClient::~HttpClient() = default;

void HttpClient::send(const std::string& address, HttpRequest request, Duration timeout,
                      HttpCallback done) {
  Connection* connection = take_idle_or_open(address);
  if (connection == nullptr) {
    fail_later(std::move(done));
    return;
  }
  connection->begin_request(std::move(request), std::move(done));
  const auto timeout_ms = std::chrono::ceil<milliseconds>(timeout).count();
  fail_after(connection, std::max<std::int64_t>(timeout_ms, 1));
  if (connection->connected) {
    write_request(connection);
  } else {
    connect(connection);
  }
}

// ---- The connection pool ----

// Returns null if the address is malformed or the connection limit is reached.
HttpClient::Connection* HttpClient::take_idle_or_open(const std::string& address) {
  auto& idle = idle_[address];
  if (idle.empty()) return open_connection(address);
  Connection* connection = idle.back();
  idle.pop_back();
  return connection;
}

HttpClient::Connection* HttpClient::open_connection(const std::string& address) {
  if (open_ >= max_connections_) close_longest_idle();
  if (!parse_address(address) || open_ >= max_connections_) return nullptr;
  ++open_;
  return new Connection(this, loop_, address);
}

// Makes room for a new connection: idle connections to hundreds of workers must not exhaust the
// limit and block requests to the state service and the cloud.
void HttpClient::close_longest_idle() {
  Connection* longest = nullptr;
  for (const auto& [address, idle] : idle_) {
    for (Connection* connection : idle) {
      if (longest == nullptr || connection->idle_sequence < longest->idle_sequence)
        longest = connection;
    }
  }
  if (longest != nullptr) close_connection(longest);
}

void HttpClient::return_to_pool(Connection* connection) {
  connection->idle_sequence = ++last_idle_sequence_;
  release_if_large(connection->request.body);
  release_if_large(connection->outgoing);
  idle_[connection->address].push_back(connection);
}

void HttpClient::close_connection(Connection* connection) {
  auto& idle = idle_[connection->address];
  idle.erase(std::remove(idle.begin(), idle.end(), connection), idle.end());
  if (idle.empty()) idle_.erase(connection->address);
  --open_;
  connection->close();
}

// ---- One request ----

// Reports the failure from the event loop instead of inside send(), so callers need not be
// re-entrant.
void HttpClient::fail_later(HttpCallback done) {
  auto* timer = new uv_timer_t;
  timer->data = new HttpCallback(std::move(done));
  uv_timer_init(loop_, timer);
  const auto expired = [](uv_timer_t* expired_timer) {
    const std::unique_ptr<HttpCallback> callback(static_cast<HttpCallback*>(expired_timer->data));
    uv_close(reinterpret_cast<uv_handle_t*>(expired_timer),
             [](uv_handle_t* handle) { delete reinterpret_cast<uv_timer_t*>(handle); });
    (*callback)(HttpResponse{});
  };
  uv_timer_start(timer, expired, 1, 0);
}

void HttpClient::fail_after(Connection* connection, std::int64_t delay_ms) {
  uv_update_time(loop_);
  const auto expired = [](uv_timer_t* timer) {
    auto* expired_connection = static_cast<Connection*>(timer->data);
    expired_connection->owner->fail(expired_connection);
  };
  uv_timer_start(&connection->timer, expired, static_cast<std::uint64_t>(delay_ms), 0);
}

void HttpClient::connect(Connection* connection) {
  const auto target = parse_address(connection->address);
  const auto connected = [](uv_connect_t* request, int status) {
    auto* opened = static_cast<Connection*>(request->data);
    if (!opened->closing) opened->owner->on_connected(opened, status);
  };
  const int error = uv_tcp_connect(&connection->connect, &connection->tcp,
                                   reinterpret_cast<const sockaddr*>(&*target), connected);
  if (error != 0) fail_after(connection, 1);
}

void HttpClient::on_connected(Connection* connection, int status) {
  if (status != 0) {
    fail(connection);
    return;
  }
  connection->connected = true;
  const auto received = [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
    auto* reader = static_cast<Connection*>(stream->data);
    if (size != 0) reader->owner->on_received(reader, buffer->base, size);
  };
  uv_read_start(reinterpret_cast<uv_stream_t*>(&connection->tcp), Connection::allocate_read_buffer,
                received);
  write_request(connection);
}

void HttpClient::write_request(Connection* connection) {
  connection->encode_request();
  auto& outgoing = connection->outgoing;
  const uv_buf_t buffer = uv_buf_init(outgoing.data(), static_cast<unsigned>(outgoing.size()));
  const auto written = [](uv_write_t* request, int status) {
    auto* writer = static_cast<Connection*>(request->data);
    writer->owner->on_written(writer, status);
  };
  const int error = uv_write(&connection->write, reinterpret_cast<uv_stream_t*>(&connection->tcp),
                             &buffer, 1, written);
  if (error != 0) {
    fail_after(connection, 1);
  } else {
    connection->writing = true;
  }
}

void HttpClient::on_written(Connection* connection, int status) {
  connection->writing = false;
  if (status != 0 && !connection->closing) fail(connection);
}

void HttpClient::on_received(Connection* connection, const char* data, std::int64_t size) {
  if (size > 0 && connection->busy) {
    if (parse(connection, data, static_cast<std::size_t>(size))) return;
  } else if (size == UV_EOF && connection->busy && connection->response_started) {
    if (parse_end(connection)) return;
  }
  fail(connection);
}

// Returns whether the bytes are part of a valid response.
bool HttpClient::parse(Connection* connection, const char* data, std::size_t size) {
  connection->response_started = true;
  const std::size_t used = connection->execute_parser(data, size);
  const auto error = HTTP_PARSER_ERRNO(&connection->parser);
  if (error == HPE_OK) return true;
  if (error != HPE_PAUSED) return false;
  http_parser_pause(&connection->parser, 0);
  const bool reusable = http_should_keep_alive(&connection->parser) != 0 && used == size;
  finish(connection, std::move(connection->response), reusable);
  return true;
}

// Handles the end of the stream: a body without Content-Length ends when the server closes the
// connection. Returns whether the response is complete.
bool HttpClient::parse_end(Connection* connection) {
  connection->execute_parser(nullptr, 0);
  if (HTTP_PARSER_ERRNO(&connection->parser) != HPE_PAUSED) return false;
  finish(connection, std::move(connection->response), false);
  return true;
}

void HttpClient::fail(Connection* connection) { finish(connection, HttpResponse{}, false); }

void HttpClient::finish(Connection* connection, HttpResponse response, bool reusable) {
  if (connection->closing) return;
  uv_timer_stop(&connection->timer);
  const bool was_busy = std::exchange(connection->busy, false);
  const HttpCallback done = std::exchange(connection->done, nullptr);
  // A response may arrive before the request's write callback runs: the server may respond without
  // reading the whole request, or more events may be pending than one loop iteration handles. The
  // write handle belongs to libuv until that callback, so such a connection is not reused.
  if (reusable && !connection->writing && idle_[connection->address].size() < kMaxIdlePerAddress) {
    return_to_pool(connection);
  } else {
    close_connection(connection);
  }
  if (was_busy && done) done(std::move(response));
}

}  // namespace asterstair::net
