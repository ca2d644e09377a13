// Central store of the small-block allocator: the address range, the division
// of spans into blocks, and the lists that threads exchange.
#include "operator_new/small_block_allocator.h"

#include <sys/mman.h>

#include <mutex>
#include <utility>

namespace bronzebarrow {
namespace small_blocks {
namespace {

// Only touched pages take memory. Blocks beyond the range come from malloc.
constexpr std::size_t kRangeBytes = std::size_t{512} << 20;
constexpr std::size_t kSpanBytes = std::size_t{64} << 10;
constexpr std::size_t kSpans = kRangeBytes / kSpanBytes;

// The central store of one class.
struct CentralLists {
  FreeBlock* m_first_list = nullptr;
  // Rest of the class's last span, not yet divided.
  std::uintptr_t m_span_next = 0;
  std::uintptr_t m_span_end = 0;
};

// Guards the variables below. No other lock is taken under it.
constinit std::mutex g_mutex;
constinit std::array<CentralLists, kClassBytes.size()> g_central{};
constinit std::size_t g_spans_used = 0;
constinit bool g_reservation_failed = false;

// Class of each used span. Written before a block of the span is handed out.
constinit std::array<std::uint8_t, kSpans> g_span_classes{};

// Returns a thread's lists to the central store when the thread ends.
struct ThreadEnd {
  ~ThreadEnd() {
    const std::lock_guard lock(g_mutex);
    for (std::size_t i = 0; i < kClassBytes.size(); ++i) {
      ThreadLists& lists = t_cache.m_lists[i];
      for (FreeBlock* const list : {lists.m_active, lists.m_spare}) {
        if (list != nullptr) {
          list->m_next_list = g_central[i].m_first_list;
          g_central[i].m_first_list = list;
        }
      }
      lists = ThreadLists();
    }
  }
  void Register() {}
};
thread_local ThreadEnd t_thread_end;

bool Reserve() {
  if (g_range_bytes != 0 || g_reservation_failed) {
    return g_range_bytes != 0;
  }
  // One span more, to align the range to spans.
  void* const memory =
      ::mmap(nullptr, kRangeBytes + kSpanBytes, PROT_READ | PROT_WRITE,
             MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);
  if (memory == MAP_FAILED) {
    g_reservation_failed = true;
    return false;
  }
  const auto begin = reinterpret_cast<std::uintptr_t>(memory);
  g_range_begin = (begin + kSpanBytes - 1) / kSpanBytes * kSpanBytes;
  g_range_bytes = kRangeBytes;
  return true;
}

// Divides the next part of the class's span into a list of at most a full
// length; null if the range is used up.
FreeBlock* DivideSpan(std::size_t size_class) {
  CentralLists& central = g_central[size_class];
  const std::size_t bytes = kClassBytes[size_class];
  if (central.m_span_end - central.m_span_next < bytes) {
    if (!Reserve() || g_spans_used == kSpans) {
      return nullptr;
    }
    central.m_span_next = g_range_begin + g_spans_used * kSpanBytes;
    central.m_span_end = central.m_span_next + kSpanBytes;
    g_span_classes[g_spans_used] = static_cast<std::uint8_t>(size_class);
    ++g_spans_used;
  }
  FreeBlock* first = nullptr;
  FreeBlock** link = &first;
  for (std::size_t i = 0; i < kFullListLengths[size_class] &&
                          central.m_span_end - central.m_span_next >= bytes;
       ++i) {
    auto* const block = reinterpret_cast<FreeBlock*>(central.m_span_next);
    *link = block;
    link = &block->m_next;
    central.m_span_next += bytes;
  }
  *link = nullptr;
  return first;
}

}  // namespace

constinit thread_local ThreadCache t_cache;
constinit std::uintptr_t g_range_begin = 0;
constinit std::size_t g_range_bytes = 0;

std::size_t ClassOf(const void* block) {
  const std::uintptr_t offset =
      reinterpret_cast<std::uintptr_t>(block) - g_range_begin;
  return g_span_classes[offset / kSpanBytes];
}

void* AllocateSlow(std::size_t size_class) {
  t_thread_end.Register();
  ThreadLists& lists = t_cache.m_lists[size_class];
  FreeBlock* list = std::exchange(lists.m_spare, nullptr);
  if (list == nullptr) {
    const std::lock_guard lock(g_mutex);
    list = g_central[size_class].m_first_list;
    if (list != nullptr) {
      g_central[size_class].m_first_list = list->m_next_list;
    } else {
      list = DivideSpan(size_class);
    }
  }
  if (list == nullptr) {
    return nullptr;
  }
  lists.m_active = list->m_next;
  lists.m_active_length = kFullListLengths[size_class] - 1U;
  return list;
}

void FreeSlow(std::size_t size_class, FreeBlock* block) {
  t_thread_end.Register();
  ThreadLists& lists = t_cache.m_lists[size_class];
  FreeBlock* const full = std::exchange(lists.m_spare, lists.m_active);
  block->m_next = nullptr;
  lists.m_active = block;
  lists.m_active_length = 1;
  if (full != nullptr) {
    const std::lock_guard lock(g_mutex);
    full->m_next_list = g_central[size_class].m_first_list;
    g_central[size_class].m_first_list = full;
  }
}

}  // namespace small_blocks

std::size_t SmallBlockSpanBytes() {
  const std::lock_guard lock(small_blocks::g_mutex);
  return small_blocks::g_spans_used * small_blocks::kSpanBytes;
}

}  // namespace bronzebarrow
