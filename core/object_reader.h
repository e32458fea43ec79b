#pragma once

#include <absl/status/status.h>
#include <boost/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace boragepath {

/**
 * Reads and validates the fields of one JSON object, and collects all errors.
 *
 * Each read function takes the field, its default and the allowed range, and returns
 * the default if the value is invalid. A field that no read function asked for is
 * reported as unknown. Errors name a field by its path from the top-level object.
 */
class ObjectReader
{
public:
    /** Reads @p value, found at @p path of the document (empty for the top level). */
    ObjectReader(const boost::json::value &value, std::string path);

    /** A string; @p fallback if it is absent. */
    std::string text(const std::string &field, const std::string &fallback);
    /** A string that must be present and not empty. */
    std::string requiredText(const std::string &field);
    /** An integer from @p minimum to @p maximum. */
    std::int64_t number(const std::string &field, std::int64_t fallback, std::int64_t minimum,
                        std::int64_t maximum);
    /** A number, integer or not, from @p minimum to @p maximum. */
    double realNumber(const std::string &field, double fallback, double minimum, double maximum);
    /** A boolean. */
    bool flag(const std::string &field, bool fallback);
    /** A string that must be one of @p names; returns its index. */
    std::size_t choice(const std::string &field, const std::string &fallback,
                       const std::vector<std::string> &names);
    /** A list of strings. */
    std::vector<std::string> stringList(const std::string &field);
    /** One reader for each object of a list; pass each to mergeErrors() when it has been read. */
    std::vector<ObjectReader> objects(const std::string &field);

    /** Adds an error about @p field. */
    void addError(const std::string &field, const std::string &problem);
    /** Adds the errors of @p part, unknown fields included, to this reader's errors. */
    void mergeErrors(ObjectReader &part);
    /** OK if there were no errors, else InvalidArgument with one line for each error. */
    absl::Status finish();

    /** The path of a field from the top-level object, for error messages. */
    std::string fieldPath(const std::string &field) const;

private:
    const boost::json::value *lookUp(const std::string &field);
    void reportUnknownFields();

    boost::json::object m_object;
    std::string m_path;
    std::set<std::string, std::less<>> m_known;
    std::vector<std::string> m_errors;
};

/** Parses JSON that may hold comments and trailing commas; an error names the line. */
absl::Status parseCommentedJson(std::string_view input, boost::json::value &result);

} // namespace boragepath
