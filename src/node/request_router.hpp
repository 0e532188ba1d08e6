#pragma once
/// @file
/// Routes HTTP requests to their handlers.

#include <string_view>

#include "base/runtime.hpp"
#include "cloud/catalog.hpp"
#include "frontend/frontend.hpp"
#include "node/heartbeat_endpoint.hpp"
#include "node/peer_table.hpp"
#include "store/store.hpp"

namespace asterstair {

/// Routes an HTTP request of a worker, a user or the load balancer by its path and method.
///
/// An unknown path gets 404, a known path with a wrong method 405. Owned by Node.
class RequestRouter {
 public:
  /// All references must outlive this object.
  RequestRouter(Runtime& runtime, const store::Store& store, const cloud::Catalog& catalog,
                const PeerTable& peers, frontend::Frontend& frontend,
                HeartbeatEndpoint& heartbeats);

  /// Handles one request. `respond` is called exactly once, now or when the state service has
  /// answered.
  void route(HttpRequest request, const HttpCallback& respond);

 private:
  void route_job(const HttpRequest& request, std::string_view job_path,
                 const HttpCallback& respond);
  HttpResponse readiness() const;

  Runtime& runtime_;
  const store::Store& store_;
  const cloud::Catalog& catalog_;
  const PeerTable& peers_;
  frontend::Frontend& frontend_;
  HeartbeatEndpoint& heartbeats_;
};

}  // namespace asterstair
