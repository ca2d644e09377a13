// Replaces the global operator new and delete with the small-block allocator.
// The array, nothrow and sized forms of the standard library call these two;
// the over-aligned forms are the standard library's own and use malloc.
#include <cstdlib>
#include <new>

#include "operator_new/small_block_allocator.h"

namespace {

void* AllocateOrNull(std::size_t bytes) {
  if (bytes <= bronzebarrow::kMaxSmallBlockBytes) {
    if (void* const block = bronzebarrow::AllocateSmallBlock(bytes)) {
      return block;
    }
  }
  return std::malloc(bytes == 0 ? 1 : bytes);
}

}  // namespace

void* operator new(std::size_t bytes) {
  void* block = AllocateOrNull(bytes);
  while (block == nullptr) {
    const std::new_handler handler = std::get_new_handler();
    if (handler == nullptr) {
      throw std::bad_alloc();
    }
    handler();
    block = AllocateOrNull(bytes);
  }
  return block;
}

void operator delete(void* block) noexcept {
  if (bronzebarrow::IsSmallBlock(block)) {
    bronzebarrow::FreeSmallBlock(block);
  } else {
    std::free(block);
  }
}

void operator delete(void* block, std::size_t) noexcept {
  ::operator delete(block);
}
