#pragma once
// Counts the program's heap allocations. Unlike time, the counts are the same in every run.

#include <cstdint>

namespace sim {

/// Heap allocations of the whole program.
struct Allocations {
  std::uint64_t count = 0, bytes = 0;  ///< since the start of the program
  std::int64_t held = 0;               ///< bytes that are not yet freed

  /// The difference between this count and an earlier one.
  Allocations since(const Allocations& earlier) const {
    return {count - earlier.count, bytes - earlier.bytes, held - earlier.held};
  }
};

/// The allocations up to now.
Allocations allocations();

}  // namespace sim
