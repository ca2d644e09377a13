// Tests the small-block allocator behind the global operator new: sizes,
// alignment, blocks that other threads free, and reuse of freed blocks.
#include "operator_new/small_block_allocator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <condition_variable>
#include <cstdint>
#include <cstring>
#include <memory>
#include <mutex>
#include <new>
#include <random>
#include <thread>
#include <tuple>
#include <utility>
#include <vector>

namespace bronzebarrow {
namespace {

constexpr std::size_t kLargestTriedBytes = 5000;

bool IsAligned(const void* block, std::size_t alignment) {
  return reinterpret_cast<std::uintptr_t>(block) % alignment == 0;
}

// A block whose bytes all have one value, so that an overlap shows.
struct FilledBlock {
  unsigned char* m_bytes = nullptr;
  std::size_t m_size = 0;
  unsigned char m_value = 0;

  static FilledBlock Make(std::size_t size, std::uint64_t value) {
    FilledBlock block = {static_cast<unsigned char*>(::operator new(size)),
                         size, static_cast<unsigned char>(value)};
    std::memset(block.m_bytes, block.m_value, size);
    return block;
  }
  bool IsIntact() const {
    for (std::size_t i = 0; i < m_size; ++i) {
      if (m_bytes[i] != m_value) {
        return false;
      }
    }
    return true;
  }
  void Free() const { ::operator delete(m_bytes); }
};

/** Hands blocks from one thread to another. */
class BlockQueue {
 public:
  void Push(std::vector<FilledBlock> blocks) {
    const std::lock_guard lock(m_mutex);
    m_batches.push_back(std::move(blocks));
    m_changed.notify_one();
  }
  std::vector<FilledBlock> Pop() {
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return !m_batches.empty(); });
    std::vector<FilledBlock> blocks = std::move(m_batches.back());
    m_batches.pop_back();
    return blocks;
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<std::vector<FilledBlock>> m_batches;  // Guarded by m_mutex.
};

class SmallBlockAllocatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SmallBlockAllocatorTest);
  CPPUNIT_TEST(ClassesHoldTheirSizes);
  CPPUNIT_TEST(SmallBlocksComeFromTheRange);
  CPPUNIT_TEST(OveralignedBlocksAreAligned);
  CPPUNIT_TEST(ArrayNothrowAndSizedFormsMatch);
  CPPUNIT_TEST(ImpossibleSizeThrows);
  CPPUNIT_TEST(RandomBlocksDoNotOverlap);
  CPPUNIT_TEST(BlocksFreedByAnotherThreadAreReused);
  CPPUNIT_TEST(ThreadsExchangeBlocks);
  CPPUNIT_TEST(EndedThreadsReturnTheirBlocks);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ClassesHoldTheirSizes() {
    for (std::size_t bytes = 0; bytes <= kMaxSmallBlockBytes; ++bytes) {
      const std::size_t units =
          (bytes + kSmallBlockAlignment - 1) / kSmallBlockAlignment;
      const std::size_t size_class = small_blocks::kClassOfUnits.at(units);
      CPPUNIT_ASSERT(small_blocks::kClassBytes.at(size_class) >= bytes);
      CPPUNIT_ASSERT(size_class == 0 ||
                     small_blocks::kClassBytes.at(size_class - 1) < bytes);
    }
    for (const std::uint16_t bytes : small_blocks::kClassBytes) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, bytes % kSmallBlockAlignment);
    }
  }

  void SmallBlocksComeFromTheRange() {
    for (std::size_t bytes = 0; bytes <= kLargestTriedBytes; ++bytes) {
      const FilledBlock block = FilledBlock::Make(bytes, bytes);
      CPPUNIT_ASSERT_EQUAL(bytes <= kMaxSmallBlockBytes,
                           IsSmallBlock(block.m_bytes));
      CPPUNIT_ASSERT(IsAligned(block.m_bytes, kSmallBlockAlignment));
      CPPUNIT_ASSERT(block.IsIntact());
      block.Free();
    }
    CPPUNIT_ASSERT(!IsSmallBlock(nullptr));
    ::operator delete(nullptr);
  }

  void OveralignedBlocksAreAligned() {
    for (std::size_t alignment = 32; alignment <= 4096; alignment *= 2) {
      for (const std::size_t bytes : {1, 64, 1000, 5000}) {
        void* const block = ::operator new (bytes, std::align_val_t{alignment});
        CPPUNIT_ASSERT(IsAligned(block, alignment));
        std::memset(block, 1, bytes);
        ::operator delete (block, std::align_val_t{alignment});
      }
    }
    struct alignas(128) Overaligned {
      std::array<char, 300> m_bytes{};
    };
    const auto object = std::make_unique<Overaligned>();
    const auto array = std::make_unique<Overaligned[]>(3);
    CPPUNIT_ASSERT(IsAligned(object.get(), 128));
    CPPUNIT_ASSERT(IsAligned(array.get(), 128));
  }

  void ArrayNothrowAndSizedFormsMatch() {
    for (const std::size_t bytes : {1, 16, 17, 1024, 1025, 100'000}) {
      ::operator delete[](::operator new[](bytes));
      void* const block = ::operator new(bytes, std::nothrow);
      CPPUNIT_ASSERT_EQUAL(bytes <= kMaxSmallBlockBytes, IsSmallBlock(block));
      ::operator delete(block, std::nothrow);
    }
    // GCC frees objects of a known type by the sized form.
    CPPUNIT_ASSERT(
        IsSmallBlock(std::make_unique<std::array<char, 1024>>().get()));
    CPPUNIT_ASSERT(
        !IsSmallBlock(std::make_unique<std::array<char, 1025>>().get()));
  }

  void ImpossibleSizeThrows() {
    // Not a constant: the compiler would reject the size.
    volatile std::size_t bytes = SIZE_MAX / 2;
    CPPUNIT_ASSERT_THROW(std::ignore = ::operator new(bytes), std::bad_alloc);
    CPPUNIT_ASSERT(::operator new(bytes, std::nothrow) == nullptr);
  }

  void RandomBlocksDoNotOverlap() {
    std::mt19937_64 random(1);
    std::vector<FilledBlock> blocks;
    for (int i = 0; i < 200'000; ++i) {
      // Longer phases of growth than of shrinking, then the reverse.
      if (blocks.empty() ||
          random() % 100 < (i / 10'000 % 2 == 0 ? 70U : 35U)) {
        blocks.push_back(FilledBlock::Make(random() % 1500, random()));
        continue;
      }
      std::swap(blocks[random() % blocks.size()], blocks.back());
      CPPUNIT_ASSERT(blocks.back().IsIntact());
      blocks.back().Free();
      blocks.pop_back();
    }
    for (const FilledBlock& block : blocks) {
      CPPUNIT_ASSERT(block.IsIntact());
      block.Free();
    }
  }

  // Guards against blocks that pile up on a thread that only frees, such as the
  // disk thread.
  void BlocksFreedByAnotherThreadAreReused() {
    constexpr std::size_t kBlockBytes = 200;
    BlockQueue queue;
    BlockQueue done;
    constexpr int kRounds = 300;
    std::thread freeing([&] {
      for (int i = 0; i < kRounds; ++i) {
        for (const FilledBlock& block : queue.Pop()) {
          block.Free();
        }
        done.Push({});
      }
    });
    std::size_t early_bytes = 0;
    for (int i = 0; i < kRounds; ++i) {
      std::vector<FilledBlock> blocks;
      blocks.reserve(1000);
      for (int j = 0; j < 1000; ++j) {
        blocks.push_back(FilledBlock::Make(kBlockBytes, 7));
      }
      queue.Push(std::move(blocks));
      done.Pop();
      if (i == kRounds / 10) {
        early_bytes = SmallBlockSpanBytes();
      }
    }
    freeing.join();
    CPPUNIT_ASSERT_EQUAL(early_bytes, SmallBlockSpanBytes());
  }

  void ThreadsExchangeBlocks() {
    constexpr int kThreads = 4;
    constexpr int kRounds = 400;
    std::array<BlockQueue, kThreads> queues;
    std::array<bool, kThreads> intact{};
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int thread = 0; thread < kThreads; ++thread) {
      threads.emplace_back([&, thread] {
        std::mt19937_64 random(static_cast<std::uint64_t>(thread));
        bool all_intact = true;
        for (int round = 0; round < kRounds; ++round) {
          std::vector<FilledBlock> blocks;
          blocks.reserve(200);
          for (int i = 0; i < 200; ++i) {
            blocks.push_back(FilledBlock::Make(random() % 1200, random()));
          }
          queues.at((thread + 1) % kThreads).Push(std::move(blocks));
          for (const FilledBlock& block : queues.at(thread).Pop()) {
            all_intact = all_intact && block.IsIntact();
            block.Free();
          }
        }
        intact.at(thread) = all_intact;
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    for (const bool all_intact : intact) {
      CPPUNIT_ASSERT(all_intact);
    }
  }

  void EndedThreadsReturnTheirBlocks() {
    const auto use_and_free = [] {
      std::vector<FilledBlock> blocks;
      blocks.reserve(2000);
      for (int i = 0; i < 2000; ++i) {
        blocks.push_back(FilledBlock::Make(static_cast<std::size_t>(i) % 1024,
                                           static_cast<std::uint64_t>(i)));
      }
      for (const FilledBlock& block : blocks) {
        block.Free();
      }
    };
    std::size_t early_bytes = 0;
    for (int i = 0; i < 200; ++i) {
      std::thread(use_and_free).join();
      if (i == 20) {
        early_bytes = SmallBlockSpanBytes();
      }
    }
    CPPUNIT_ASSERT_EQUAL(early_bytes, SmallBlockSpanBytes());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SmallBlockAllocatorTest);

}  // namespace
}  // namespace bronzebarrow
