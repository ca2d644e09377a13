// Formatting of failures.
#include "bronzebarrow/base/failure.h"

namespace bronzebarrow {

std::string Describe(const Failure& failure) {
  std::string text(NameOf(failure.m_code));
  text += ": ";
  text += MessageOf(failure.m_code);
  if (!failure.m_context.empty()) {
    text += " (" + failure.m_context + ")";
  }
  return text;
}

}  // namespace bronzebarrow
