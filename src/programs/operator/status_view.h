// Text output of the control group's status.
#ifndef BRONZEBARROW_SRC_PROGRAMS_OPERATOR_STATUS_VIEW_H_
#define BRONZEBARROW_SRC_PROGRAMS_OPERATOR_STATUS_VIEW_H_

#include <boost/json/object.hpp>
#include <ostream>
#include <string>

namespace bronzebarrow::programs {

/** Writes the whole status as tables. */
void PrintStatus(std::ostream& out, const boost::json::object& status);

/** Writes one line for each draining or released stop and unfinished wave. */
void PrintProgress(std::ostream& out, const boost::json::object& status);

/** @return a string value without quotes, any other value as JSON. */
std::string ToText(const boost::json::value& value);

/**
 * @return the object in the array `array_key` of `status` whose field `key`
 * equals `value`; null if there is none
 */
const boost::json::object* FindByField(const boost::json::object& status,
                                       const char* array_key, const char* key,
                                       const std::string& value);

}  // namespace bronzebarrow::programs

#endif  // BRONZEBARROW_SRC_PROGRAMS_OPERATOR_STATUS_VIEW_H_
