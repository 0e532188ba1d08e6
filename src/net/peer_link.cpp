#include "net/peer_link.hpp"

#include <algorithm>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "net/address.hpp"
#include "wire/peer.hpp"

namespace asterstair::net {
namespace {

// Maximum number of bytes queued for one peer. Further messages are dropped (backpressure).
constexpr std::size_t kMaxQueuedBytes = 2 * wire::kMaxPeerMessageBytes;

// Maximum number of incoming connections.
constexpr std::size_t kMaxIncoming = 16;

// Connections that the kernel queues until the loop accepts them.
constexpr int kListenBacklog = 16;

// Size of the length prefix of each message, in bytes. The prefix is in network byte order.
constexpr std::size_t kLengthBytes = sizeof(std::uint32_t);

// Minimum interval between two attempts to connect to a peer, and the timeout of one attempt.
constexpr auto kReconnectInterval = 500ms;

// A connection with queued messages is replaced if no write completes for this long.
constexpr auto kStallTimeout = 3s;

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

// A peer that this node sends to, and the connection to it.
struct PeerLink::Outgoing {
  // Outlives its Outgoing's reference to it until libuv has closed the handle.
  struct Socket {
    uv_tcp_t tcp{};
    uv_connect_t connect{};
    std::weak_ptr<Outgoing> owner;
    bool connected = false;
    bool closing = false;
    char scratch[64];  // buffer for received bytes, which are ignored

    void read_until_closed();
  };

  // One message being written; its write callback deletes it.
  struct Write {
    uv_write_t request{};
    std::string data;
    Socket* socket = nullptr;
  };

  std::string address;
  Socket* socket = nullptr;
  std::size_t queued = 0;  // bytes
  TimePoint last_attempt{};
  TimePoint last_progress{};

  bool is_stalled(TimePoint now) const;
  void write(const std::string& message);
};

// A connection from a peer that sends to this node.
struct PeerLink::Incoming {
  PeerLink* owner = nullptr;
  uv_tcp_t tcp{};
  std::string data;  // bytes of messages that are still incomplete
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
  // Evicts a connection at the limit: peers that crashed may have left theirs open.
  if (incoming_.size() >= kMaxIncoming) close(*incoming_.begin());
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
  peer.last_attempt = Clock::now();
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
  peer.last_progress = peer.last_attempt;
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

// The peer sends nothing on this connection; reading detects that the peer has closed it.
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

// Returns whether the connection attempt has timed out or the queued messages make no progress.
bool PeerLink::Outgoing::is_stalled(TimePoint now) const {
  if (!socket->connected) return now - last_progress > kReconnectInterval;
  return queued > 0 && now - last_progress > kStallTimeout;
}

void PeerLink::send(const std::string& node, const std::string& message) {
  const auto it = outgoing_.find(node);
  if (it == outgoing_.end() || message.size() > wire::kMaxPeerMessageBytes) return;
  Outgoing& peer = *it->second;
  const auto now = Clock::now();
  if (peer.socket != nullptr && peer.is_stalled(now)) close_socket(peer);
  if (peer.socket == nullptr) {
    if (peer.last_attempt != TimePoint{} && now - peer.last_attempt < kReconnectInterval) return;
    connect(peer);
    return;  // this message is dropped; gossip repeats, and later ones use the connection
  }
  if (!peer.socket->connected || peer.queued + message.size() > kMaxQueuedBytes) return;
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
  // libuv owns the message until the write callback runs.
  if (error == 0) static_cast<void>(outgoing.release());
}

}  // namespace asterstair::net
