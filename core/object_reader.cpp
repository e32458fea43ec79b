#include "core/object_reader.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <cmath>

namespace boragepath {

namespace json = boost::json;

ObjectReader::ObjectReader(const json::value &value, std::string path)
    : m_path(std::move(path))
{
    if (!value.is_object()) {
        m_errors.push_back(
            absl::StrCat(m_path.empty() ? "the top" : m_path, ": must be an object in braces"));
        return;
    }
    m_object = value.get_object();
}

std::string ObjectReader::pathOf(const std::string &field) const
{
    return m_path.empty() ? std::string(field) : absl::StrCat(m_path, ".", field);
}

void ObjectReader::addError(const std::string &field, const std::string &problem)
{
    m_errors.push_back(absl::StrCat(pathOf(field), ": ", problem));
}

const json::value *ObjectReader::find(const std::string &field)
{
    m_known.emplace(field);
    return m_object.if_contains(field);
}

std::string ObjectReader::text(const std::string &field, const std::string &fallback)
{
    const json::value *value = find(field);
    if (value == nullptr) {
        return std::string(fallback);
    }
    if (!value->is_string()) {
        addError(field, "must be a text in quotes");
        return std::string(fallback);
    }
    return std::string(value->get_string().data(), value->get_string().size());
}

std::string ObjectReader::requiredText(const std::string &field)
{
    std::string result = text(field, "");
    if (result.empty()) {
        addError(field, "is required and must not be empty");
    }
    return result;
}

std::int64_t ObjectReader::number(const std::string &field, std::int64_t fallback,
                                  std::int64_t least, std::int64_t most)
{
    const json::value *value = find(field);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_int64() || value->get_int64() < least || value->get_int64() > most) {
        addError(field, absl::StrCat("must be a whole number from ", least, " to ", most));
        return fallback;
    }
    return value->get_int64();
}

double ObjectReader::realNumber(const std::string &field, double fallback, double least,
                                double most)
{
    const json::value *value = find(field);
    if (value == nullptr) {
        return fallback;
    }
    json::error_code error;
    const double result = value->to_number<double>(error);
    if (error || !std::isfinite(result) || result < least || result > most) {
        addError(field, absl::StrCat("must be a number from ", least, " to ", most));
        return fallback;
    }
    return result;
}

bool ObjectReader::flag(const std::string &field, bool fallback)
{
    const json::value *value = find(field);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_bool()) {
        addError(field, "must be true or false");
        return fallback;
    }
    return value->get_bool();
}

std::size_t ObjectReader::choice(const std::string &field, const std::string &fallback,
                                 const std::vector<std::string> &names)
{
    const std::string chosen = text(field, fallback);
    const auto found = std::find(names.begin(), names.end(), chosen);
    if (found == names.end()) {
        addError(field, absl::StrCat("must be one of ", absl::StrJoin(names, ", ")));
        return 0;
    }
    return static_cast<std::size_t>(found - names.begin());
}

std::vector<std::string> ObjectReader::stringList(const std::string &field)
{
    std::vector<std::string> result;
    const json::value *value = find(field);
    if (value == nullptr) {
        return result;
    }
    if (!value->is_array()) {
        addError(field, "must be a list of texts");
        return result;
    }
    for (const json::value &item : value->get_array()) {
        if (!item.is_string()) {
            addError(field, "must hold only texts");
            return result;
        }
        result.emplace_back(item.get_string().data(), item.get_string().size());
    }
    return result;
}

std::vector<ObjectReader> ObjectReader::objects(const std::string &field)
{
    std::vector<ObjectReader> result;
    const json::value *value = find(field);
    if (value == nullptr) {
        return result;
    }
    if (!value->is_array()) {
        addError(field, "must be a list of objects");
        return result;
    }
    std::size_t index = 0;
    for (const json::value &item : value->get_array()) {
        result.emplace_back(item, absl::StrCat(pathOf(field), "[", index, "]"));
        index += 1;
    }
    return result;
}

void ObjectReader::checkUnknown()
{
    for (const auto &field : m_object) {
        const std::string name(field.key().data(), field.key().size());
        if (!m_known.contains(name)) {
            addError(name, absl::StrCat("unknown field; known are ", absl::StrJoin(m_known, ", ")));
        }
    }
}

void ObjectReader::collect(ObjectReader &part)
{
    part.checkUnknown();
    m_errors.insert(m_errors.end(), part.m_errors.begin(), part.m_errors.end());
}

absl::Status ObjectReader::finish()
{
    checkUnknown();
    if (m_errors.empty()) {
        return absl::OkStatus();
    }
    return absl::InvalidArgumentError(absl::StrJoin(m_errors, "\n"));
}

absl::Status parseCommentedJson(std::string_view input, json::value &result)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::error_code error;
    json::stream_parser parser({}, options);
    const std::size_t consumed = parser.write(input.data(), input.size(), error);
    if (!error) {
        parser.finish(error);
    }
    if (error) {
        // On some errors the parser claims more than it was given.
        const auto read = static_cast<std::ptrdiff_t>(std::min(consumed, input.size()));
        const auto line = 1 + std::count(input.begin(), input.begin() + read, '\n');
        return absl::InvalidArgumentError(absl::StrCat("line ", line, ": ", error.message()));
    }
    result = parser.release();
    return absl::OkStatus();
}

} // namespace boragepath
