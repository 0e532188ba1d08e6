#pragma once
/// @file
/// Buffers of connections. A node holds thousands of connections, so what each of them keeps while
/// it waits decides how much memory the node needs. Used by the HTTP client and server.

#include <array>
#include <cstddef>
#include <string>

namespace asterstair::net {

/// Most bytes that one read may return.
inline constexpr std::size_t kReadBufferSize = std::size_t{64} * 1024;

/// Buffer for one read. libuv hands the bytes on before it reads again, so all connections of an
/// owner share one buffer.
using ReadBuffer = std::array<char, kReadBufferSize>;

/// Most bytes that a connection's buffer keeps allocated between two messages.
inline constexpr std::size_t kKeptCapacity = 1024;

/// Frees the buffer's memory if it is larger than kKeptCapacity; its content is lost then.
inline void release_if_large(std::string& buffer) {
  if (buffer.capacity() > kKeptCapacity) std::string().swap(buffer);
}

}  // namespace asterstair::net
