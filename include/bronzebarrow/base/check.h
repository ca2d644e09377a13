// Invariant checks that are always on.
#ifndef BRONZEBARROW_BASE_CHECK_H_
#define BRONZEBARROW_BASE_CHECK_H_

#include <string_view>

namespace bronzebarrow {

/** Logs the broken invariant and ends the process. */
[[noreturn]] void InvariantBroken(std::string_view expression,
                                  std::string_view file, int line);

}  // namespace bronzebarrow

/** Ends the process when an invariant of the program does not hold. */
#define BRONZEBARROW_INVARIANT(expression)                              \
  do {                                                                  \
    if (!(expression)) {                                                \
      ::bronzebarrow::InvariantBroken(#expression, __FILE__, __LINE__); \
    }                                                                   \
  } while (false)

#endif  // BRONZEBARROW_BASE_CHECK_H_
