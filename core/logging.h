#pragma once

#include <string>
#include <string_view>

namespace boragepath {

/** Sets up the log of this process: one JSON object a line, on standard error. */
void startLog(const std::string &level);

/** Changes the level at run time; false if there is no such level. */
bool setLogLevel(const std::string &level);

/**
 * One line of the log under way.
 *
 * Callers add fields and then write it. Keys, bodies and messages of programs
 * must never be added.
 */
class LogLine
{
public:
    explicit LogLine(std::string_view event);

    LogLine &add(std::string_view field, const std::string &value);
    LogLine &add(std::string_view field, std::int64_t value);

    void info() const;
    void warning() const;
    void error() const;

private:
    std::string m_text;
};

/** Names this process in each line, for example by its VM. */
void setLogSource(const std::string &source);

} // namespace boragepath
