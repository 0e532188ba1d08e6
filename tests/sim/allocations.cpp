#include "sim/allocations.hpp"

#include <malloc.h>

#include <cstdlib>
#include <new>

namespace {

sim::Allocations totals;

void* allocate(std::size_t size) {
  void* out = std::malloc(size == 0 ? 1 : size);
  if (out == nullptr) throw std::bad_alloc();
  ++totals.count;
  totals.bytes += size;
  totals.held += static_cast<std::int64_t>(malloc_usable_size(out));
  return out;
}

void release(void* pointer) noexcept {
  if (pointer == nullptr) return;
  totals.held -= static_cast<std::int64_t>(malloc_usable_size(pointer));
  std::free(pointer);
}

}  // namespace

namespace sim {

Allocations allocations() { return totals; }

}  // namespace sim

void* operator new(std::size_t size) { return allocate(size); }
void* operator new[](std::size_t size) { return allocate(size); }
void operator delete(void* pointer) noexcept { release(pointer); }
void operator delete[](void* pointer) noexcept { release(pointer); }
void operator delete(void* pointer, std::size_t /*size*/) noexcept { release(pointer); }
void operator delete[](void* pointer, std::size_t /*size*/) noexcept { release(pointer); }
