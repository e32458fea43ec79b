#include "net/http_types.h"

#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <boost/beast/core/string.hpp>

namespace boragepath {

namespace {

std::vector<std::string> fieldValues(const std::vector<HttpField> &fields, const std::string &name)
{
    std::vector<std::string> values;
    for (const HttpField &field : fields) {
        if (boost::beast::iequals(field.name, name)) {
            values.push_back(field.value);
        }
    }
    return values;
}

int hexDigitValue(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return -1;
}

std::string percentDecode(const std::string &text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const bool escaped = text[index] == '%' && index + 2 < text.size()
            && hexDigitValue(text[index + 1]) >= 0 && hexDigitValue(text[index + 2]) >= 0;
        if (escaped) {
            result += static_cast<char>(hexDigitValue(text[index + 1]) * 16
                                        + hexDigitValue(text[index + 2]));
            index += 2;
        } else {
            result += text[index] == '+' ? ' ' : text[index];
        }
    }
    return result;
}

} // namespace

std::vector<std::string> HttpRequest::headerValues(const std::string &name) const
{
    return fieldValues(fields, name);
}

std::string HttpRequest::headerValue(const std::string &name) const
{
    const std::vector<std::string> values = headerValues(name);
    return values.empty() ? "" : values.front();
}

std::string HttpRequest::path() const
{
    return target.substr(0, target.find('?'));
}

std::string HttpRequest::query(const std::string &name) const
{
    const std::size_t questionMark = target.find('?');
    if (questionMark == std::string::npos) {
        return "";
    }
    const std::string parameters = target.substr(questionMark + 1);
    const std::vector<std::string> parts = absl::StrSplit(parameters, '&');
    for (const std::string &part : parts) {
        const std::size_t equals = part.find('=');
        if (part.substr(0, equals) == name) {
            return equals == std::string::npos ? "" : percentDecode(part.substr(equals + 1));
        }
    }
    return "";
}

std::vector<std::string> HttpResponse::headerValues(const std::string &name) const
{
    return fieldValues(fields, name);
}

std::string HttpResponse::headerValue(const std::string &name) const
{
    const std::vector<std::string> values = fieldValues(fields, name);
    return values.empty() ? "" : values.front();
}

} // namespace boragepath
