#include "core/logging.h"

#include "core/log_sink.h"

#include <boost/json.hpp>
#include <easylogging++.h>

#include <unistd.h>

#include <mutex>

INITIALIZE_EASYLOGGINGPP

namespace boragepath {

namespace {

constexpr const char *LineFormat =
    R"({"time":"%datetime{%Y-%M-%dT%H:%m:%s.%g}","level":"%level",%msg})";

std::string &source()
{
    static std::string name;
    return name;
}

std::string quoted(const std::string &text)
{
    return boost::json::serialize(boost::json::string(text));
}

/** Levels from the least to the most severe, by their names in settings. */
const std::vector<std::string> &levelNames()
{
    static const std::vector<std::string> names = {"info", "warning", "error", "off"};
    return names;
}

/** Where lines go: standard output, and never a wait for its reader. */
class StandardOutput final : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) noexcept override
    {
        const el::LogMessage *message = data->logMessage();
        writeWithoutWaiting(STDOUT_FILENO, message->logger()->logBuilder()->build(message, true));
    }
};

struct SharedRate
{
    std::mutex mutex;
    LogRate rate;
};

SharedRate &sharedRate()
{
    static SharedRate rate;
    return rate;
}

} // namespace

bool setLogLevel(const std::string &level)
{
    const auto found = std::find(levelNames().begin(), levelNames().end(), level);
    if (found == levelNames().end()) {
        return false;
    }
    const auto rank = found - levelNames().begin();
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, LineFormat);
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.set(el::Level::Info, el::ConfigurationType::Enabled,
                      rank <= 0 ? "true" : "false");
    configuration.set(el::Level::Warning, el::ConfigurationType::Enabled,
                      rank <= 1 ? "true" : "false");
    configuration.set(el::Level::Error, el::ConfigurationType::Enabled,
                      rank <= 2 ? "true" : "false");
    el::Loggers::reconfigureAllLoggers(configuration);
    return true;
}

void initLogging(const std::string &level)
{
    el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
        "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<StandardOutput>("StandardOutput");
    if (!setLogLevel(level)) {
        setLogLevel("info");
    }
}

void setLogSource(const std::string &name)
{
    source() = name;
}

LogLine::LogLine(std::string_view event)
    : m_event(event)
    , m_text("\"event\":" + quoted(std::string(event)))
{
    if (!source().empty()) {
        add("vm", source());
    }
}

LogLine &LogLine::add(std::string_view field, const std::string &value)
{
    m_text += "," + quoted(std::string(field)) + ":" + quoted(value);
    return *this;
}

LogLine &LogLine::add(std::string_view field, std::int64_t value)
{
    m_text += "," + quoted(std::string(field)) + ":" + std::to_string(value);
    return *this;
}

bool LogLine::admit()
{
    SharedRate &shared = sharedRate();
    const std::lock_guard<std::mutex> lock(shared.mutex);
    const auto leftOut = shared.rate.admit(m_event, std::chrono::steady_clock::now());
    if (leftOut.value_or(0) > 0) {
        add("left_out", static_cast<std::int64_t>(*leftOut));
    }
    return leftOut.has_value();
}

void LogLine::info()
{
    if (admit()) {
        LOG(INFO) << m_text;
    }
}

void LogLine::warning()
{
    if (admit()) {
        LOG(WARNING) << m_text;
    }
}

void LogLine::error()
{
    if (admit()) {
        LOG(ERROR) << m_text;
    }
}

} // namespace boragepath
