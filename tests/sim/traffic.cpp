#include "sim/traffic.hpp"

namespace sim {

bool is_accepted_heartbeat(const HttpRequest& request, const HttpResponse& response) {
  return request.target == "/v1/report" && response.status == 200;
}

bool reads_prefix(const HttpRequest& request, std::string_view prefix) {
  return request.target.find("prefix=" + std::string(prefix)) != std::string::npos;
}

void remove_commands(const HttpRequest& request, HttpResponse& response,
                     const std::function<bool(const Json&)>& which) {
  if (!is_accepted_heartbeat(request, response)) return;
  auto answer = Json::parse(response.body);
  Json remaining = Json::array();
  for (const auto& command : answer["orders"]) {
    if (!which(command)) remaining.push_back(command);
  }
  answer["orders"] = remaining;
  response.body = answer.dump();
}

void drop_reads_of_the_leader_key(Network& network, const std::string& node) {
  network.drop_request = [node](const std::string& from, const std::string&,
                                const HttpRequest& request) {
    return from == node && request.target == "/keys/leader";
  };
}

void drop_direct_commands(Network& network) {
  network.drop_request = [](const std::string&, const std::string&, const HttpRequest& request) {
    return request.target == "/orders";
  };
}

}  // namespace sim
