// libFuzzer target: settings files. Every rejected file must come with an error message.

#include "core/settings.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    const auto settings = boragepath::parseSettings(text);
    if (!settings.ok() && settings.status().message().empty()) {
        std::abort();
    }
    return 0;
}
