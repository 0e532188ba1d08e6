#pragma once
// Counts what the program allocates: a measure of work and memory that repeats, unlike time.

#include <cstdint>

namespace sim {

struct Allocations {
  std::uint64_t count = 0, bytes = 0;  // since the program began
  std::int64_t held = 0;               // bytes not yet freed

  Allocations since(const Allocations& earlier) const {
    return {count - earlier.count, bytes - earlier.bytes, held - earlier.held};
  }
};

Allocations allocations();

}  // namespace sim
