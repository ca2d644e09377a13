// Readable tables of the control group's status.
#ifndef BRONZEBARROW_SRC_PROGRAMS_OPERATOR_STATUS_VIEW_H_
#define BRONZEBARROW_SRC_PROGRAMS_OPERATOR_STATUS_VIEW_H_

#include <boost/json/object.hpp>
#include <ostream>
#include <string>

namespace bronzebarrow::programs {

/** Writes the whole status as tables. */
void PrintStatus(std::ostream& out, const boost::json::object& status);

/** Writes a line on each open stop and unfinished wave. */
void PrintProgress(std::ostream& out, const boost::json::object& status);

/** @return the text of a JSON value, without quotes. */
std::string Text(const boost::json::value& value);

/** @return the element of `list` in `status` whose `key` is `value`. */
const boost::json::object* FindIn(const boost::json::object& status,
                                  const char* list, const char* key,
                                  const std::string& value);

}  // namespace bronzebarrow::programs

#endif  // BRONZEBARROW_SRC_PROGRAMS_OPERATOR_STATUS_VIEW_H_
