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
 * Reads the fields of one JSON object and collects what is wrong with it.
 *
 * Each read names a field, its default and what is allowed. finish() reports
 * unknown fields too. Errors name the field by its path from the top.
 */
class ObjectReader
{
public:
    /** Reads @p value, which stands at @p path (empty for the top). */
    ObjectReader(const boost::json::value &value, std::string path);

    /** A text; an absent one gives @p fallback. */
    std::string text(const std::string &field, const std::string &fallback);
    /** A text that must be there and not be empty. */
    std::string requiredText(const std::string &field);
    /** A whole number from @p least to @p most. */
    std::int64_t number(const std::string &field, std::int64_t fallback, std::int64_t least,
                        std::int64_t most);
    /** A number with a fraction, from @p least to @p most. */
    double realNumber(const std::string &field, double fallback, double least, double most);
    /** true or false. */
    bool flag(const std::string &field, bool fallback);
    /** One of @p names; gives its index. */
    std::size_t choice(const std::string &field, const std::string &fallback,
                       const std::vector<std::string> &names);
    /** A list of texts. */
    std::vector<std::string> stringList(const std::string &field);
    /** One reader for each object of a list; collect() their errors afterwards. */
    std::vector<ObjectReader> objects(const std::string &field);

    /** Adds an error about @p field. */
    void addError(const std::string &field, const std::string &problem);
    /** Takes over what @p part found wrong, unknown fields included. */
    void collect(ObjectReader &part);
    /** All that was found wrong, one line each; OK if nothing. */
    absl::Status finish();

    /** The path of a field, for messages. */
    std::string pathOf(const std::string &field) const;

private:
    const boost::json::value *find(const std::string &field);
    void checkUnknown();

    boost::json::object m_object;
    std::string m_path;
    std::set<std::string, std::less<>> m_known;
    std::vector<std::string> m_errors;
};

/** Parses JSON with comments; the error names the line. */
absl::Status parseCommentedJson(std::string_view input, boost::json::value &result);

} // namespace boragepath
