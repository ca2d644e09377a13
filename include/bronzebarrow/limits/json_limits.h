// Limits on the structure of JSON documents, checked on the bytes before any
// value is built: a value takes many times the two bytes that it may have in a
// document. Load pattern: bodies within the limit on their size that hold tens
// of thousands of empty objects. Tests: tests/json_limits_test.cc.
#ifndef BRONZEBARROW_LIMITS_JSON_LIMITS_H_
#define BRONZEBARROW_LIMITS_JSON_LIMITS_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "bronzebarrow/base/failure.h"

namespace bronzebarrow::limits {

/** Objects and arrays inside each other. */
constexpr std::size_t kMaxJsonDepth = 32;
/**
 * Values of one document. A value and its comma have two bytes, so a body of up
 * to 256 KiB cannot hold more.
 */
constexpr std::size_t kMaxJsonValues = 128 * 1024;

/** Limit on one array that is a field of the document itself. */
struct ArrayLimit {
  std::string_view m_field;
  std::size_t m_max_items = 0;
};

struct JsonLimits {
  std::size_t m_max_depth = kMaxJsonDepth;
  std::size_t m_max_values = kMaxJsonValues;
  std::vector<ArrayLimit> m_arrays;
};

/**
 * Takes constant memory. A text that is not valid JSON passes, as far as it is
 * within the limits: its parser reports what is wrong with it.
 * @return DocumentTooComplex, with the limit that the document exceeds
 */
Result<void> CheckJsonLimits(std::string_view text, const JsonLimits& limits);

}  // namespace bronzebarrow::limits

#endif  // BRONZEBARROW_LIMITS_JSON_LIMITS_H_
