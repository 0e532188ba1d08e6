#pragma once
// Buffers of connections. With thousands of connections, what each holds while it waits decides how
// much memory a node needs.

#include <array>
#include <cstddef>
#include <string>

namespace asterstair::net {

// What one call of read() may return. libuv hands the bytes on before it reads again, so all
// connections of an owner share one.
inline constexpr std::size_t kReadBufferSize = std::size_t{64} * 1024;
using ReadBuffer = std::array<char, kReadBufferSize>;

// Kept by a connection between two messages; what is larger is given back.
inline constexpr std::size_t kKeptCapacity = 1024;

inline void release_if_large(std::string& buffer) {
  if (buffer.capacity() > kKeptCapacity) std::string().swap(buffer);
}

}  // namespace asterstair::net
