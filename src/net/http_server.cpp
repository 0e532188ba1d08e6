#include "net/http_server.hpp"

#include <stdexcept>
#include <utility>

#include "net/address.hpp"
#include "net/http_server_connection.hpp"
#include "wire/user.hpp"

namespace asterstair::net {
namespace {

// Connections that the kernel queues until the loop accepts them.
constexpr int kListenBacklog = 256;

// Value of Retry-After when the buffer limit leaves no room for a request.
constexpr std::chrono::seconds kRetryAfter{1};

// Maximum number of bytes buffered on one connection while a request is being handled. PROTOCOL
// forbids pipelining; a small excess is tolerated, a larger one closes the connection.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{16} * 1024;

}  // namespace

HttpServer::HttpServer(uv_loop_t* loop, Limits limits, Handler handler)
    : loop_(loop), limits_(limits), handler_(std::move(handler)) {}

void HttpServer::listen(const std::string& address) {
  const auto target = parse_address(address);
  if (!target) throw std::runtime_error("cannot listen on " + address + ": not an IPv4 address");
  uv_tcp_init(loop_, &listener_);
  listener_.data = this;
  const auto connecting = [](uv_stream_t* listener, int status) {
    if (status == 0) static_cast<HttpServer*>(listener->data)->accept();
  };
  int error = uv_tcp_bind(&listener_, reinterpret_cast<const sockaddr*>(&*target), 0);
  if (error == 0) {
    error = uv_listen(reinterpret_cast<uv_stream_t*>(&listener_), kListenBacklog, connecting);
  }
  if (error != 0) {
    throw std::runtime_error("cannot listen on " + address + ": " + uv_strerror(error));
  }
}

int HttpServer::port() const {
  sockaddr_in out{};
  int size = sizeof out;
  uv_tcp_getsockname(&listener_, reinterpret_cast<sockaddr*>(&out), &size);
  return ntohs(out.sin_port);
}

// ---- Connections and their limits ----

void HttpServer::accept() {
  auto* connection = new Connection(this, loop_, next_id_++);
  connections_.insert(connection);
  open_ids_.insert(connection->id);
  if (!admit(connection)) {
    close(connection);
    return;
  }
  set_idle(connection, true);
  uv_tcp_nodelay(&connection->tcp, 1);
  connection->init_parser();
  close_after(connection, limits_.idle_time);
  const auto received = [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
    auto* reader = static_cast<Connection*>(stream->data);
    reader->owner->on_received(reader, buffer->base, size);
  };
  uv_read_start(reinterpret_cast<uv_stream_t*>(&connection->tcp), Connection::allocate_read_buffer,
                received);
}

// Returns whether the connection was accepted within the limit.
bool HttpServer::admit(Connection* connection) {
  const int error = uv_accept(reinterpret_cast<uv_stream_t*>(&listener_),
                              reinterpret_cast<uv_stream_t*>(&connection->tcp));
  if (error != 0) return false;
  if (connections_.size() > limits_.connections) close_longest_idle();
  return connections_.size() <= limits_.connections;
}

// Makes room for a new connection. Hundreds of workers hold one connection each and may need more
// than the limit; their idle connections must not block users.
void HttpServer::close_longest_idle() {
  if (!idle_.empty()) close(idle_.front());
}

void HttpServer::set_idle(Connection* connection, bool idle) {
  if (connection->idle == idle) return;
  connection->idle = idle;
  if (idle) {
    connection->idle_position = idle_.insert(idle_.end(), connection);
  } else {
    idle_.erase(connection->idle_position);
  }
}

void HttpServer::close_after(Connection* connection, Duration time) {
  const auto expired = [](uv_timer_t* timer) {
    auto* expired_connection = static_cast<Connection*>(timer->data);
    expired_connection->owner->close(expired_connection);
  };
  const auto timeout_ms = std::chrono::ceil<milliseconds>(time).count();
  uv_timer_start(&connection->timer, expired, static_cast<std::uint64_t>(timeout_ms), 0);
}

void HttpServer::close(Connection* connection) {
  if (connection->closing) return;
  connection->closing = true;
  release_buffer(connection);
  set_idle(connection, false);
  connections_.erase(connection);
  open_ids_.erase(connection->id);
  connection->close_handles();
}

// Reserves `size` bytes of the buffer limit for an incomplete body. Returns whether they are
// available.
bool HttpServer::reserve_buffer(Connection* connection, std::size_t size) {
  if (buffered_ + size > limits_.buffered) return false;
  buffered_ += size;
  connection->buffered += size;
  return true;
}

void HttpServer::release_buffer(Connection* connection) {
  buffered_ -= connection->buffered;
  connection->buffered = 0;
}

// ---- One request ----

void HttpServer::on_received(Connection* connection, const char* data, std::int64_t size) {
  if (size == 0) return;
  if (size < 0) {
    close(connection);
    return;
  }
  const auto received = static_cast<std::size_t>(size);
  if (!connection->busy) {
    parse(connection, data, received);
  } else if (connection->pending.size() + received > kMaxPipelinedBytes) {
    close(connection);
  } else {
    connection->pending.append(data, received);
  }
}

void HttpServer::parse(Connection* connection, const char* data, std::size_t size) {
  if (!connection->in_request) {
    connection->in_request = true;
    set_idle(connection, false);
    close_after(connection, limits_.request_time);
  }
  const std::size_t used = connection->execute_parser(data, size);
  auto& parser = connection->parser;
  if (connection->complete) {
    connection->complete = false;
    http_parser_pause(&parser, 0);
    connection->keep_alive = http_should_keep_alive(&parser) != 0;
    if (used < size) connection->pending.assign(data + used, size - used);
    dispatch(connection);
    return;
  }
  if (HTTP_PARSER_ERRNO(&parser) != HPE_OK || parser.upgrade != 0) refuse(connection);
}

// Sends an error response to a request that cannot be read completely, then closes the connection.
void HttpServer::refuse(Connection* connection) {
  release_buffer(connection);
  connection->request = HttpRequest{};
  connection->keep_alive = false;
  connection->busy = true;
  if (connection->buffer_full) {
    respond(connection,
            {503, wire::encode_error("too many requests are being received"), kRetryAfter});
  } else if (connection->too_large) {
    respond(connection, {413, wire::encode_error("the body is too large")});
  } else {
    respond(connection, {400, wire::encode_error("not HTTP")});
  }
}

// The handler may respond after the connection has been closed and its address reused by another
// one, so the callback checks the connection's id.
void HttpServer::dispatch(Connection* connection) {
  connection->busy = true;
  release_buffer(connection);
  uv_timer_stop(&connection->timer);
  const auto id = connection->id;
  handler_(std::move(connection->request), [this, connection, id](const HttpResponse& response) {
    if (open_ids_.count(id) != 0) respond(connection, response);
  });
}

void HttpServer::respond(Connection* connection, const HttpResponse& response) {
  if (connections_.size() > limits_.keep_alive_connections) connection->keep_alive = false;
  connection->encode_response(response);
  close_after(connection, limits_.request_time);  // drops clients that do not read
  auto& outgoing = connection->outgoing;
  const uv_buf_t buffer = uv_buf_init(outgoing.data(), static_cast<unsigned>(outgoing.size()));
  const auto written = [](uv_write_t* request, int status) {
    auto* writer = static_cast<Connection*>(request->data);
    writer->owner->on_responded(writer, status);
  };
  const int error = uv_write(&connection->write, reinterpret_cast<uv_stream_t*>(&connection->tcp),
                             &buffer, 1, written);
  if (error != 0) close(connection);
}

void HttpServer::on_responded(Connection* connection, int status) {
  if (connection->closing) return;
  if (status != 0 || !connection->keep_alive) {
    close(connection);
    return;
  }
  connection->busy = false;
  connection->in_request = false;
  release_if_large(connection->outgoing);
  set_idle(connection, true);
  close_after(connection, limits_.idle_time);
  if (connection->pending.empty()) return;
  const std::string pending = std::exchange(connection->pending, {});
  parse(connection, pending.data(), pending.size());
}

}  // namespace asterstair::net
