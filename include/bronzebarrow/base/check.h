// Invariant checks that are enabled in every build type.
#ifndef BRONZEBARROW_BASE_CHECK_H_
#define BRONZEBARROW_BASE_CHECK_H_

#include <string_view>

namespace bronzebarrow {

/** Logs the violated invariant and aborts the process. */
[[noreturn]] void InvariantBroken(std::string_view expression,
                                  std::string_view file, int line);

}  // namespace bronzebarrow

/** Aborts the process when `expression` is false. */
#define BRONZEBARROW_INVARIANT(expression)                              \
  do {                                                                  \
    if (!(expression)) {                                                \
      ::bronzebarrow::InvariantBroken(#expression, __FILE__, __LINE__); \
    }                                                                   \
  } while (false)

#endif  // BRONZEBARROW_BASE_CHECK_H_
