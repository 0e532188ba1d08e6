#pragma once
#include <uv.h>

#include <optional>
#include <string>

namespace asterstair::net {

// "10.0.0.1:8080"; none if it is not an IPv4 address with a port.
inline std::optional<sockaddr_in> parse_address(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon + 1 >= text.size() || text.size() - colon > 6) return {};
  int port = 0;
  for (const char c : text.substr(colon + 1)) {
    if (c < '0' || c > '9') return {};
    port = port * 10 + (c - '0');
  }
  if (port < 1 || port > 65535) return {};
  sockaddr_in out{};
  if (uv_ip4_addr(text.substr(0, colon).c_str(), port, &out) != 0) return {};
  return out;
}

}  // namespace asterstair::net
