#include "node/request_router.hpp"

#include "frontend/responses.hpp"
#include "wire/user.hpp"

namespace asterstair {
namespace {

using frontend::error_response;

std::string_view path_of(std::string_view target) { return target.substr(0, target.find('?')); }

// Whether the request has the method that its path requires. Responds with 405 if not.
bool require_method(const HttpRequest& request, std::string_view method,
                    const HttpCallback& respond) {
  if (request.method == method) return true;
  respond(error_response(405, "wrong method"));
  return false;
}

// Returns the part of the path after `/v2/runs/`; empty for any other path.
std::string_view job_path_of(std::string_view path) {
  if (!path.starts_with(wire::kRunsPath)) return {};
  const auto rest = path.substr(wire::kRunsPath.size());
  return rest.starts_with('/') ? rest.substr(1) : std::string_view{};
}

}  // namespace

RequestRouter::RequestRouter(Runtime& runtime, const store::Store& store,
                             const cloud::Catalog& catalog, const PeerTable& peers,
                             frontend::Frontend& frontend, HeartbeatEndpoint& heartbeats)
    : runtime_(runtime),
      store_(store),
      catalog_(catalog),
      peers_(peers),
      frontend_(frontend),
      heartbeats_(heartbeats) {}

void RequestRouter::route(HttpRequest request, const HttpCallback& respond) {
  const auto path = path_of(request.target);
  if (path == wire::kHeartbeatPath) {
    if (!require_method(request, "POST", respond)) return;
    respond(heartbeats_.answer(std::move(request.body)));
  } else if (path == wire::kReadyPath) {
    if (!require_method(request, "GET", respond)) return;
    respond(readiness());
  } else if (path == wire::kRunsPath) {
    if (!require_method(request, "POST", respond)) return;
    frontend_.submit(request.body, respond);
  } else if (const auto job_path = job_path_of(path); !job_path.empty()) {
    route_job(request, job_path, respond);
  } else {
    respond(error_response(404, "no such path"));
  }
}

void RequestRouter::route_job(const HttpRequest& request, std::string_view job_path,
                              const HttpCallback& respond) {
  if (job_path.ends_with(wire::kAbortSuffix)) {
    if (!require_method(request, "POST", respond)) return;
    job_path.remove_suffix(wire::kAbortSuffix.size());
    frontend_.cancel(std::string(job_path), respond);
  } else if (job_path.find('/') == std::string_view::npos) {
    if (!require_method(request, "GET", respond)) return;
    frontend_.status(std::string(job_path), respond);
  } else {
    respond(error_response(404, "no such path"));
  }
}

HttpResponse RequestRouter::readiness() const {
  if (!catalog_.known()) return error_response(503, "the machine types are not known yet");
  if (!store_.seems_down()) return {200, "{}"};
  // If the state service answers only other nodes, this node reports that it is not ready, so that
  // users are sent to its peers. If it answers no node, this node stays in the load balancer:
  // leaving and rejoining would only prolong the outage.
  for (const auto& [node, peer] : peers_.statuses()) {
    if (peer.store_reachable && peer.reachable(runtime_.now())) {
      return error_response(503, "the state service answers other nodes only");
    }
  }
  return {200, "{}"};
}

}  // namespace asterstair
