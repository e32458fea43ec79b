#include "core/logging.h"

#include <boost/json.hpp>
#include <easylogging++.h>

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

void startLog(const std::string &level)
{
    el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
    if (!setLogLevel(level)) {
        setLogLevel("info");
    }
}

void setLogSource(const std::string &name)
{
    source() = name;
}

LogLine::LogLine(std::string_view event)
    : m_text("\"event\":" + quoted(std::string(event)))
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

void LogLine::info() const
{
    LOG(INFO) << m_text;
}

void LogLine::warning() const
{
    LOG(WARNING) << m_text;
}

void LogLine::error() const
{
    LOG(ERROR) << m_text;
}

} // namespace boragepath
