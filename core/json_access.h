#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <string>

/** Reads parts of JSON from other processes, which may hold anything. */
namespace boragepath {

/** A field's text; empty if it is absent or no text. */
std::string stringAt(const boost::json::object &object, const char *field);
/** A field's whole number; 0 if it is absent or none. */
std::int64_t integerAt(const boost::json::object &object, const char *field);
/** A field's number, whole or not; 0 if it is absent or none. */
double numberAt(const boost::json::object &object, const char *field);
/** A field that is true; false if it is absent or anything else. */
bool flagAt(const boost::json::object &object, const char *field);
/** A field's object; null if it is absent or none. */
const boost::json::object *objectAt(const boost::json::object &object, const char *field);
/** A field's list; an empty one if it is absent or none. */
const boost::json::array &arrayAt(const boost::json::object &object, const char *field);

} // namespace boragepath
