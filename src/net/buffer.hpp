#pragma once
/// @file
/// Connection buffers of the HTTP client and server. A node holds thousands of connections, so the
/// memory that each idle connection retains dominates the node's memory use.

#include <array>
#include <cstddef>
#include <string>

namespace asterstair::net {

/// Maximum number of bytes that one read may return.
inline constexpr std::size_t kReadBufferSize = std::size_t{64} * 1024;

/// Buffer for one read. libuv delivers the bytes before it reads again, so all connections of one
/// client or server share one buffer.
using ReadBuffer = std::array<char, kReadBufferSize>;

/// Maximum capacity, in bytes, that a connection's buffer retains between two messages.
inline constexpr std::size_t kMaxRetainedCapacity = 1024;

/// Frees the buffer and discards its content if its capacity exceeds kMaxRetainedCapacity.
inline void release_if_large(std::string& buffer) {
  if (buffer.capacity() > kMaxRetainedCapacity) std::string().swap(buffer);
}

}  // namespace asterstair::net
