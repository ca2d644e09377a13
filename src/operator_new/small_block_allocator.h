// Size-class allocator for small blocks. Each thread has lists of free blocks
// that it uses without locks; full lists move between threads through a central
// store. Larger blocks are left to malloc.
#ifndef BRONZEBARROW_SRC_OPERATOR_NEW_SMALL_BLOCK_ALLOCATOR_H_
#define BRONZEBARROW_SRC_OPERATOR_NEW_SMALL_BLOCK_ALLOCATOR_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace bronzebarrow {

/** Largest block in bytes that has a size class. */
constexpr std::size_t kMaxSmallBlockBytes = 1024;
/** Alignment of all blocks in bytes. */
constexpr std::size_t kSmallBlockAlignment = 16;

namespace small_blocks {

constexpr std::size_t kMinFullListLength = 8;
constexpr std::size_t kMaxFullListLength = 64;

/** Block sizes in bytes; each is a multiple of the alignment. */
constexpr std::array<std::uint16_t, 20> kClassBytes = {
    16,  32,  48,  64,  80,  96,  112, 128, 160, 192,
    224, 256, 320, 384, 448, 512, 640, 768, 896, 1024};

/** For each size in units of the alignment, rounded up, the smallest class. */
constexpr auto kClassOfUnits = [] {
  std::array<std::uint8_t, kMaxSmallBlockBytes / kSmallBlockAlignment + 1>
      classes{};
  std::uint8_t size_class = 0;
  for (std::size_t units = 0; units < classes.size(); ++units) {
    if (units * kSmallBlockAlignment > kClassBytes[size_class]) {
      ++size_class;
    }
    classes[units] = size_class;
  }
  return classes;
}();

/** For each class, the length of a full list in blocks. */
constexpr auto kFullListLengths = [] {
  constexpr std::size_t kFullListBytes = 8192;
  std::array<std::uint16_t, kClassBytes.size()> lengths{};
  for (std::size_t i = 0; i < lengths.size(); ++i) {
    lengths[i] = static_cast<std::uint16_t>(
        std::clamp<std::size_t>(kFullListBytes / kClassBytes[i],
                                kMinFullListLength, kMaxFullListLength));
  }
  return lengths;
}();

/** A free block. The block itself holds the links. */
struct FreeBlock {
  FreeBlock* m_next = nullptr;       // In the same list.
  FreeBlock* m_next_list = nullptr;  // First block of the next central list.
};

/**
 * The free blocks of one class in one thread. m_active serves allocations and
 * takes freed blocks; m_spare keeps a thread that allocates and frees around a
 * full list from the central store.
 */
struct ThreadLists {
  FreeBlock* m_active = nullptr;
  FreeBlock* m_spare = nullptr;  // Null or a full list.
  // Upper bound of the length of m_active; at most the length of a full list.
  std::uint32_t m_active_length = 0;
};

struct ThreadCache {
  std::array<ThreadLists, kClassBytes.size()> m_lists;
};

// Constant-initialised and without destructor: operator new runs before and
// after the constructors and destructors of other objects of the thread.
extern constinit thread_local ThreadCache t_cache;

/**
 * Address range of all small blocks; empty until the first allocation, which
 * precedes the start of a second thread, and constant afterwards.
 */
extern constinit std::uintptr_t g_range_begin;
extern constinit std::size_t g_range_bytes;

/** @return a block when the active list is empty; null if memory is short. */
void* AllocateSlow(std::size_t size_class);
/** Frees a block when the active list is full. */
void FreeSlow(std::size_t size_class, FreeBlock* block);
/** @return the class of a block of the address range. */
std::size_t ClassOf(const void* block);

}  // namespace small_blocks

/**
 * @param bytes at most kMaxSmallBlockBytes
 * @return a block of at least `bytes`; null if the address range is used up or
 * cannot be reserved
 */
inline void* AllocateSmallBlock(std::size_t bytes) {
  const std::size_t size_class =
      small_blocks::kClassOfUnits[(bytes + kSmallBlockAlignment - 1) /
                                  kSmallBlockAlignment];
  small_blocks::ThreadLists& lists = small_blocks::t_cache.m_lists[size_class];
  small_blocks::FreeBlock* const block = lists.m_active;
  if (block == nullptr) {
    return small_blocks::AllocateSlow(size_class);
  }
  lists.m_active = block->m_next;
  --lists.m_active_length;
  return block;
}

/** @return whether AllocateSmallBlock returned this block. */
inline bool IsSmallBlock(const void* block) {
  return reinterpret_cast<std::uintptr_t>(block) - small_blocks::g_range_begin <
         small_blocks::g_range_bytes;
}

/** Frees a small block, on any thread. */
inline void FreeSmallBlock(void* memory) {
  const std::size_t size_class = small_blocks::ClassOf(memory);
  auto* const block = static_cast<small_blocks::FreeBlock*>(memory);
  small_blocks::ThreadLists& lists = small_blocks::t_cache.m_lists[size_class];
  if (lists.m_active_length >= small_blocks::kFullListLengths[size_class]) {
    small_blocks::FreeSlow(size_class, block);
    return;
  }
  block->m_next = lists.m_active;
  lists.m_active = block;
  ++lists.m_active_length;
}

/** @return bytes of address range that have been divided into blocks. */
std::size_t SmallBlockSpanBytes();

}  // namespace bronzebarrow

#endif  // BRONZEBARROW_SRC_OPERATOR_NEW_SMALL_BLOCK_ALLOCATOR_H_
