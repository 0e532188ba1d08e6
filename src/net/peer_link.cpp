#include "net/peer_link.hpp"

#include <algorithm>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "net/address.hpp"
#include "wire/peer.hpp"

namespace asterstair::net {
namespace {

// Bytes that may be queued for one peer: backpressure drops what is more.
constexpr std::size_t kMostQueued = 2 * wire::kMaxPeerMessageBytes;

// Incoming connections that are kept.
constexpr std::size_t kMostIncoming = 16;

// Connections that the kernel queues until the loop accepts them.
constexpr int kListenBacklog = 16;

// Bytes of the length that precedes each message, in network byte order.
constexpr std::size_t kLengthBytes = sizeof(std::uint32_t);

// Time between two attempts to connect to a peer, and the time one attempt gets.
constexpr auto kReconnectAfter = 500ms;

// A connection with queued messages and no progress for this long is replaced.
constexpr auto kStuckAfter = 3s;

std::uint32_t decode_length(const std::string& frame) {
  std::uint32_t length = 0;
  std::memcpy(&length, frame.data(), kLengthBytes);
  return ntohl(length);
}

std::string encode_frame(const std::string& message) {
  const std::uint32_t length = htonl(static_cast<std::uint32_t>(message.size()));
  std::string frame(reinterpret_cast<const char*>(&length), kLengthBytes);
  frame += message;
  return frame;
}

}  // namespace

// A peer that this node sends to, and its connection.
struct PeerLink::Outgoing {
  // Lives on after its peer has dropped it, until libuv has closed it.
  struct Socket {
    uv_tcp_t tcp{};
    uv_connect_t connect{};
    std::weak_ptr<Outgoing> owner;
    bool connected = false;
    bool closing = false;
    char scratch[64];  // for reads that are ignored

    void read_until_closed();
  };

  // One message that is being written; deleted by its callback.
  struct Write {
    uv_write_t request{};
    std::string data;
    Socket* socket = nullptr;
  };

  std::string address;
  Socket* socket = nullptr;
  std::size_t queued = 0;  // bytes
  TimePoint last_try{};
  TimePoint last_progress{};

  bool is_stuck(TimePoint now) const;
  void write(const std::string& message);
};

// A connection of a peer that sends to this node.
struct PeerLink::Incoming {
  PeerLink* owner = nullptr;
  uv_tcp_t tcp{};
  std::string data;  // bytes of messages that have not come whole
  bool closing = false;
  char buffer[16384];
};

PeerLink::PeerLink(uv_loop_t* loop, const Settings& settings)
    : loop_(loop), address_(settings.peer_address) {
  for (const Peer& peer : settings.peers) {
    auto outgoing = std::make_shared<Outgoing>();
    outgoing->address = peer.address;
    outgoing_[peer.node] = std::move(outgoing);
  }
}

// ---- Incoming connections ----

void PeerLink::listen(Receive receive) {
  receive_ = std::move(receive);
  const auto target = parse_address(address_);
  if (!target) throw std::runtime_error("cannot listen on " + address_ + ": not an IPv4 address");
  uv_tcp_init(loop_, &listener_);
  listener_.data = this;
  const auto connecting = [](uv_stream_t* listener, int status) {
    if (status == 0) static_cast<PeerLink*>(listener->data)->accept();
  };
  int error = uv_tcp_bind(&listener_, reinterpret_cast<const sockaddr*>(&*target), 0);
  if (error == 0) {
    error = uv_listen(reinterpret_cast<uv_stream_t*>(&listener_), kListenBacklog, connecting);
  }
  if (error != 0) {
    throw std::runtime_error("cannot listen on " + address_ + ": " + uv_strerror(error));
  }
}

void PeerLink::accept() {
  auto* connection = new Incoming;
  connection->owner = this;
  uv_tcp_init(loop_, &connection->tcp);
  connection->tcp.data = connection;
  auto* stream = reinterpret_cast<uv_stream_t*>(&connection->tcp);
  if (uv_accept(reinterpret_cast<uv_stream_t*>(&listener_), stream) != 0) {
    close(connection);
    return;
  }
  // Connections of peers that crashed without closing them make room for new ones.
  if (incoming_.size() >= kMostIncoming) close(*incoming_.begin());
  incoming_.insert(connection);
  const auto allocate = [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
    auto* reader = static_cast<Incoming*>(handle->data);
    *buffer = uv_buf_init(reader->buffer, sizeof reader->buffer);
  };
  const auto received = [](uv_stream_t* source, ssize_t size, const uv_buf_t* buffer) {
    auto* reader = static_cast<Incoming*>(source->data);
    reader->owner->on_received(reader, buffer->base, size);
  };
  uv_read_start(stream, allocate, received);
}

void PeerLink::close(Incoming* connection) {
  if (connection->closing) return;
  connection->closing = true;
  incoming_.erase(connection);
  uv_close(reinterpret_cast<uv_handle_t*>(&connection->tcp),
           [](uv_handle_t* handle) { delete static_cast<Incoming*>(handle->data); });
}

void PeerLink::on_received(Incoming* connection, const char* data, std::int64_t size) {
  if (size < 0) {
    close(connection);
    return;
  }
  std::string& received = connection->data;
  received.append(data, static_cast<std::size_t>(size));
  while (received.size() >= kLengthBytes) {
    const std::uint32_t length = decode_length(received);
    if (length > wire::kMaxPeerMessageBytes) {
      close(connection);
      return;
    }
    if (received.size() < kLengthBytes + length) break;
    const std::string message = received.substr(kLengthBytes, length);
    received.erase(0, kLengthBytes + length);
    receive_(message);
  }
}

// ---- Outgoing connections ----

void PeerLink::connect(Outgoing& peer) {
  peer.last_try = Clock::now();
  const auto target = parse_address(peer.address);
  if (!target) return;
  auto* socket = new Outgoing::Socket;
  uv_tcp_init(loop_, &socket->tcp);
  uv_tcp_nodelay(&socket->tcp, 1);
  socket->tcp.data = socket->connect.data = socket;
  for (const auto& [node, outgoing] : outgoing_) {
    if (outgoing.get() == &peer) socket->owner = outgoing;
  }
  peer.socket = socket;
  peer.queued = 0;
  peer.last_progress = peer.last_try;
  const auto connected = [](uv_connect_t* request, int status) {
    auto* opened = static_cast<Outgoing::Socket*>(request->data);
    if (opened->closing || status != 0) return;
    opened->connected = true;
    if (const auto owner = opened->owner.lock()) owner->last_progress = Clock::now();
    opened->read_until_closed();
  };
  uv_tcp_connect(&socket->connect, &socket->tcp, reinterpret_cast<const sockaddr*>(&*target),
                 connected);
}

// Nothing is expected back; reading detects that the peer has closed the connection.
void PeerLink::Outgoing::Socket::read_until_closed() {
  const auto allocate = [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
    auto* reader = static_cast<Socket*>(handle->data);
    *buffer = uv_buf_init(reader->scratch, sizeof reader->scratch);
  };
  const auto received = [](uv_stream_t* stream, ssize_t size, const uv_buf_t*) {
    if (size < 0) static_cast<Socket*>(stream->data)->connected = false;
  };
  uv_read_start(reinterpret_cast<uv_stream_t*>(&tcp), allocate, received);
}

void PeerLink::close_socket(Outgoing& peer) {
  Outgoing::Socket* socket = std::exchange(peer.socket, nullptr);
  socket->closing = true;
  uv_close(reinterpret_cast<uv_handle_t*>(&socket->tcp),
           [](uv_handle_t* handle) { delete static_cast<Outgoing::Socket*>(handle->data); });
}

// Returns whether the socket cannot be connected, or its messages make no progress.
bool PeerLink::Outgoing::is_stuck(TimePoint now) const {
  if (!socket->connected) return now - last_progress > kReconnectAfter;
  return queued > 0 && now - last_progress > kStuckAfter;
}

void PeerLink::send(const std::string& node, const std::string& message) {
  const auto it = outgoing_.find(node);
  if (it == outgoing_.end() || message.size() > wire::kMaxPeerMessageBytes) return;
  Outgoing& peer = *it->second;
  const auto now = Clock::now();
  if (peer.socket != nullptr && peer.is_stuck(now)) close_socket(peer);
  if (peer.socket == nullptr) {
    if (peer.last_try != TimePoint{} && now - peer.last_try < kReconnectAfter) return;
    connect(peer);
    return;  // gossip repeats; the next message is sent once the connection is open
  }
  if (!peer.socket->connected || peer.queued + message.size() > kMostQueued) return;
  peer.write(message);
}

void PeerLink::Outgoing::write(const std::string& message) {
  auto outgoing = std::make_unique<Write>();
  outgoing->data = encode_frame(message);
  outgoing->request.data = outgoing.get();
  outgoing->socket = socket;
  std::string& frame = outgoing->data;
  queued += frame.size();
  const uv_buf_t buffer = uv_buf_init(frame.data(), static_cast<unsigned>(frame.size()));
  const auto written = [](uv_write_t* request, int /*status*/) {
    const std::unique_ptr<Write> done(static_cast<Write*>(request->data));
    if (done->socket->closing) return;
    if (const auto owner = done->socket->owner.lock()) {
      owner->queued -= std::min(owner->queued, done->data.size());
      owner->last_progress = Clock::now();
    }
  };
  const int error = uv_write(&outgoing->request, reinterpret_cast<uv_stream_t*>(&socket->tcp),
                             &buffer, 1, written);
  // The loop owns the message until its callback.
  if (error == 0) static_cast<void>(outgoing.release());
}

}  // namespace asterstair::net
