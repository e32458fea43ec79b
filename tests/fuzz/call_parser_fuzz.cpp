// libFuzzer target: header fields, paths and bodies of calls from a hostile caller.
// Every refusal must name the field at fault.

#include "callers/call_parser.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

namespace {

/** Removes and returns the start of the input up to a zero byte, which is dropped. */
std::string takeField(const std::uint8_t *&data, std::size_t &size)
{
    std::string text;
    while (size > 0) {
        const char c = static_cast<char>(*data);
        ++data;
        --size;
        if (c == '\0') {
            break;
        }
        text += c;
    }
    return text;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    boragepath::HttpRequest request;
    request.method = "POST";
    for (const char *field : {"Authorization", "Boragepath-Entry", "Boragepath-Program",
                              "Boragepath-Call", "Boragepath-Final", "Idempotency-Key"}) {
        request.fields.push_back({field, takeField(data, size)});
    }
    const std::string path = takeField(data, size);
    request.body.assign(reinterpret_cast<const char *>(data), size);
    request.target = "/v1/chat/completions";
    const auto model = boragepath::parseModelCall(request);
    request.target = "/v1/services/" + path;
    const auto service = boragepath::parseServiceCall(request);
    for (const auto &parsed : {model, service}) {
        const auto *refusal = std::get_if<boragepath::Refusal>(&parsed);
        if (refusal != nullptr && refusal->field.empty()) {
            std::abort();
        }
    }
    return 0;
}
