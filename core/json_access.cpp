#include "core/json_access.h"

namespace boragepath {

namespace json = boost::json;

std::string stringAt(const json::object &object, const char *field)
{
    const json::value *value = object.if_contains(field);
    if (value == nullptr || !value->is_string()) {
        return {};
    }
    return {value->get_string().data(), value->get_string().size()};
}

std::int64_t integerAt(const json::object &object, const char *field)
{
    const json::value *value = object.if_contains(field);
    return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

double numberAt(const json::object &object, const char *field)
{
    const json::value *value = object.if_contains(field);
    if (value == nullptr || !value->is_number()) {
        return 0;
    }
    return value->to_number<double>();
}

bool flagAt(const json::object &object, const char *field)
{
    const json::value *value = object.if_contains(field);
    return value != nullptr && value->is_bool() && value->get_bool();
}

std::size_t serializedSize(const std::string &text)
{
    return json::serialize(json::value(text)).size();
}

const json::object *objectAt(const json::object &object, const char *field)
{
    const json::value *value = object.if_contains(field);
    return value == nullptr ? nullptr : value->if_object();
}

const json::array &arrayAt(const json::object &object, const char *field)
{
    static const json::array none;
    const json::value *value = object.if_contains(field);
    return value != nullptr && value->is_array() ? value->get_array() : none;
}

} // namespace boragepath
