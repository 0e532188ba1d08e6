#include "app/serve.hpp"

#include <algorithm>
#include <utility>

#include "base/log.hpp"
#include "net/http_server.hpp"
#include "net/loop.hpp"
#include "node/node.hpp"

namespace asterstair::app {
namespace {

// Incomplete requests may use 1/kBufferMemoryDivisor of the node's memory, but at least
// kMinBufferBytes.
constexpr std::size_t kBufferMemoryDivisor = 8;
constexpr std::size_t kMinBufferBytes = std::size_t{1} * 1024 * 1024;

net::HttpServer::Limits server_limits(const Settings& settings) {
  net::HttpServer::Limits limits;
  // The remaining 3/16 are reserved for the node's own connections: state service, cloud, peers.
  limits.connections = settings.max_connections * 13 / 16;
  limits.keep_alive_connections = limits.connections * 7 / 8;
  limits.buffered = std::max(kMinBufferBytes, settings.memory_bytes / kBufferMemoryDivisor);
  return limits;
}

}  // namespace

void serve(const Settings& settings, const Features& features) {
  net::LoopRuntime runtime(settings);
  Node node(runtime, settings, features);
  net::HttpServer server(runtime.loop(), server_limits(settings),
                         [&](HttpRequest request, const net::Respond& respond) {
                           node.handle(std::move(request), respond);
                         });
  server.listen(settings.api_address);
  runtime.peers().listen([&](const std::string& message) { node.peer_message(message); });
  log::info("started in zone {}", settings.zone);
  for (const auto& limit : limits_too_small(settings)) log::error("{}", limit);
  node.start();
  runtime.run();
}

}  // namespace asterstair::app
