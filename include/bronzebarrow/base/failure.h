// Typed failures and the Result type of fallible operations, on Boost.LEAF.
#ifndef BRONZEBARROW_BASE_FAILURE_H_
#define BRONZEBARROW_BASE_FAILURE_H_

#include <boost/leaf.hpp>
#include <string>
#include <utility>
#include <variant>

#include "bronzebarrow/base/error_code.h"

namespace bronzebarrow {

/** An error code and the file, key, address or name that it refers to. */
struct Failure {
  ErrorCode m_code = ErrorCode::kInternal;
  std::string m_context;
};

template <typename T>
using Result = boost::leaf::result<T>;

/** @return an error result that carries `code` and `context`. */
inline boost::leaf::error_id Fail(ErrorCode code, std::string context) {
  return boost::leaf::new_error(Failure{code, std::move(context)});
}

/**
 * Runs `operation`, which returns Result<T>, and converts an error result into
 * a Failure value.
 * @return the value of type T, or the Failure.
 */
template <typename T, typename Operation>
std::variant<T, Failure> Capture(Operation&& operation) {
  using Outcome = std::variant<T, Failure>;
  return boost::leaf::try_handle_all(
      [&]() -> Result<Outcome> {
        BOOST_LEAF_AUTO(value, operation());
        return Outcome(std::move(value));
      },
      [](const Failure& failure) { return Outcome(failure); },
      [] {
        return Outcome(Failure{ErrorCode::kInternal, ""});
      });
}

/** @return the human-readable text "code: message (context)". */
std::string Describe(const Failure& failure);

}  // namespace bronzebarrow

#endif  // BRONZEBARROW_BASE_FAILURE_H_
