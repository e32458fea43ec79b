#pragma once

#include <boost/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

/** Typed access to JSON from other processes. A field that is missing or of another type is no
 * error. */
namespace boragepath {

/** Value of a string field; empty if the field is absent or not a string. */
std::string stringAt(const boost::json::object &object, const char *field);
/** Value of an integer field; 0 if the field is absent or not an integer. */
std::int64_t integerAt(const boost::json::object &object, const char *field);
/** Value of a numeric field, integer or not; 0 if the field is absent or not a number. */
double numberAt(const boost::json::object &object, const char *field);
/** True if the field is the boolean true; false if it is absent or anything else. */
bool flagAt(const boost::json::object &object, const char *field);
/** Length of a text as a JSON string, with quotes and escapes. */
std::size_t serializedSize(const std::string &text);
/** Value of an object field; null if the field is absent or not an object. */
const boost::json::object *objectAt(const boost::json::object &object, const char *field);
/** Value of an array field; an empty array if the field is absent or not an array. */
const boost::json::array &arrayAt(const boost::json::object &object, const char *field);

} // namespace boragepath
