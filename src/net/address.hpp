#pragma once
/// @file
/// Parses network addresses from the settings and the cloud's machine list. Used by this package
/// only.

#include <uv.h>

#include <optional>
#include <string>

namespace asterstair::net {

/// Maximum TCP port.
inline constexpr int kMaxPort = 65535;

/// Maximum length of a port with its colon: ":65535".
inline constexpr std::size_t kMaxPortSuffixLength = 6;

/// Parses an IPv4 address with a port, such as "10.0.0.1:8080". Returns nullopt for anything
/// else; host names are not resolved.
inline std::optional<sockaddr_in> parse_address(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon + 1 >= text.size()) return {};
  if (text.size() - colon > kMaxPortSuffixLength) return {};
  int port = 0;
  for (const char digit : text.substr(colon + 1)) {
    if (digit < '0' || digit > '9') return {};
    port = port * 10 + (digit - '0');
  }
  if (port < 1 || port > kMaxPort) return {};
  sockaddr_in out{};
  if (uv_ip4_addr(text.substr(0, colon).c_str(), port, &out) != 0) return {};
  return out;
}

}  // namespace asterstair::net
