#include "net/peer_link.hpp"

#include <cstring>
#include <stdexcept>
#include <vector>

#include "base/log.hpp"
#include "net/address.hpp"
#include "wire/peer.hpp"

namespace asterstair::net {
namespace {

constexpr std::size_t kMostQueued = 2 * wire::kLargestPeerMessage;
constexpr std::size_t kMostIncoming = 16;
constexpr auto kReconnectAfter = 500ms;
constexpr auto kStuckAfter = 3s;

}  // namespace

struct PeerLink::Outgoing {
  struct Socket {
    uv_tcp_t tcp{};
    uv_connect_t connect{};
    std::weak_ptr<Outgoing> owner;
    bool connected = false, closing = false;
    char scratch[64];
  };
  struct Write {
    uv_write_t request{};
    std::string data;
    Socket* socket = nullptr;
  };

  std::string address;
  Socket* socket = nullptr;
  std::size_t queued = 0;
  TimePoint last_try{}, last_progress{};
};

struct PeerLink::Incoming {
  PeerLink* owner = nullptr;
  uv_tcp_t tcp{};
  std::string data;
  bool closing = false;
  char buffer[16384];
};

PeerLink::PeerLink(uv_loop_t* loop, const Settings& settings)
    : loop_(loop), address_(settings.peer_address) {
  for (const auto& s : settings.peers) {
    auto out = std::make_shared<Outgoing>();
    out->address = s.address;
    outgoing_[s.node] = std::move(out);
  }
}

void PeerLink::listen(Receive receive) {
  receive_ = std::move(receive);
  const auto target = parse_address(address_);
  if (!target) throw std::runtime_error("cannot listen on " + address_ + ": not an IPv4 address");
  uv_tcp_init(loop_, &listener_);
  listener_.data = this;
  int e = uv_tcp_bind(&listener_, reinterpret_cast<const sockaddr*>(&*target), 0);
  if (e == 0) {
    e = uv_listen(reinterpret_cast<uv_stream_t*>(&listener_), 16, [](uv_stream_t* s, int status) {
      if (status == 0) static_cast<PeerLink*>(s->data)->accept();
    });
  }
  if (e != 0) throw std::runtime_error("cannot listen on " + address_ + ": " + uv_strerror(e));
}

void PeerLink::accept() {
  auto* c = new Incoming;
  c->owner = this;
  uv_tcp_init(loop_, &c->tcp);
  c->tcp.data = c;
  static const auto close = [](Incoming* k) {
    if (k->closing) return;
    k->closing = true;
    k->owner->incoming_.erase(k);
    uv_close(reinterpret_cast<uv_handle_t*>(&k->tcp),
             [](uv_handle_t* h) { delete static_cast<Incoming*>(h->data); });
  };
  if (uv_accept(reinterpret_cast<uv_stream_t*>(&listener_),
                reinterpret_cast<uv_stream_t*>(&c->tcp)) != 0) {
    close(c);
    return;
  }
  // Connections of peers that died silently make room for new ones.
  if (incoming_.size() >= kMostIncoming) close(*incoming_.begin());
  incoming_.insert(c);
  uv_read_start(
      reinterpret_cast<uv_stream_t*>(&c->tcp),
      [](uv_handle_t* h, std::size_t, uv_buf_t* b) {
        auto* k = static_cast<Incoming*>(h->data);
        *b = uv_buf_init(k->buffer, sizeof k->buffer);
      },
      [](uv_stream_t* s, ssize_t n, const uv_buf_t* b) {
        auto* k = static_cast<Incoming*>(s->data);
        if (n < 0) {
          close(k);
          return;
        }
        k->data.append(b->base, static_cast<std::size_t>(n));
        while (k->data.size() >= 4) {
          std::uint32_t size = 0;
          std::memcpy(&size, k->data.data(), 4);
          size = ntohl(size);
          if (size > wire::kLargestPeerMessage) {
            close(k);
            return;
          }
          if (k->data.size() < 4 + size) break;
          const std::string message = k->data.substr(4, size);
          k->data.erase(0, 4 + size);
          k->owner->receive_(message);
        }
      });
}

void PeerLink::open(Outgoing& out) {
  out.last_try = Clock::now();
  const auto target = parse_address(out.address);
  if (!target) return;
  auto* s = new Outgoing::Socket;
  uv_tcp_init(loop_, &s->tcp);
  uv_tcp_nodelay(&s->tcp, 1);
  s->tcp.data = s->connect.data = s;
  for (auto& [name, o] : outgoing_) {
    if (o.get() == &out) s->owner = o;
  }
  out.socket = s;
  out.queued = 0;
  out.last_progress = out.last_try;
  uv_tcp_connect(&s->connect, &s->tcp, reinterpret_cast<const sockaddr*>(&*target),
                 [](uv_connect_t* r, int status) {
                   auto* k = static_cast<Outgoing::Socket*>(r->data);
                   if (k->closing || status != 0) return;
                   k->connected = true;
                   if (auto o = k->owner.lock()) o->last_progress = Clock::now();
                   // Nothing is expected back; reading notices the other side's end.
                   uv_read_start(
                       reinterpret_cast<uv_stream_t*>(&k->tcp),
                       [](uv_handle_t* h, std::size_t, uv_buf_t* b) {
                         auto* x = static_cast<Outgoing::Socket*>(h->data);
                         *b = uv_buf_init(x->scratch, sizeof x->scratch);
                       },
                       [](uv_stream_t* st, ssize_t n, const uv_buf_t*) {
                         auto* x = static_cast<Outgoing::Socket*>(st->data);
                         if (n < 0) x->connected = false;
                       });
                 });
}

void PeerLink::drop(Outgoing& out) {
  auto* s = out.socket;
  out.socket = nullptr;
  s->closing = true;
  uv_close(reinterpret_cast<uv_handle_t*>(&s->tcp),
           [](uv_handle_t* h) { delete static_cast<Outgoing::Socket*>(h->data); });
}

void PeerLink::send(const std::string& node, const std::string& message) {
  const auto it = outgoing_.find(node);
  if (it == outgoing_.end() || message.size() > wire::kLargestPeerMessage) return;
  Outgoing& out = *it->second;
  const auto now = Clock::now();
  if (out.socket != nullptr && (!out.socket->connected || out.queued > 0) &&
      now - out.last_progress >
          (out.socket->connected ? Duration(kStuckAfter) : Duration(kReconnectAfter))) {
    drop(out);
  }
  if (out.socket == nullptr) {
    if (out.last_try != TimePoint{} && now - out.last_try < kReconnectAfter) return;
    open(out);
    return;  // gossip repeat; the next one goes out once the connection stands
  }
  if (!out.socket->connected || out.queued + message.size() > kMostQueued) return;
  auto* w = new Outgoing::Write;
  const std::uint32_t size = htonl(static_cast<std::uint32_t>(message.size()));
  w->data.assign(reinterpret_cast<const char*>(&size), 4);
  w->data += message;
  w->request.data = w;
  w->socket = out.socket;
  out.queued += w->data.size();
  uv_buf_t b = uv_buf_init(w->data.data(), static_cast<unsigned>(w->data.size()));
  const int e = uv_write(
      &w->request, reinterpret_cast<uv_stream_t*>(&out.socket->tcp), &b, 1, [](uv_write_t* r, int) {
        std::unique_ptr<Outgoing::Write> done(static_cast<Outgoing::Write*>(r->data));
        if (done->socket->closing) return;
        if (auto o = done->socket->owner.lock()) {
          o->queued -= std::min(o->queued, done->data.size());
          o->last_progress = Clock::now();
        }
      });
  if (e != 0) delete w;
}

}  // namespace asterstair::net
