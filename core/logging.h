#pragma once

#include <string>
#include <string_view>

namespace boragepath {

/**
 * Sets up the log of this process: one JSON object a line, on standard output.
 *
 * Writing never waits: lines that the reader has no room for are dropped, and
 * lines of one event beyond a rate are left out and counted on the next one.
 */
void initLogging(const std::string &level);

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

    void info();
    void warning();
    void error();

private:
    bool admit();

    std::string m_event;
    std::string m_text;
};

/** Names this process in each line, for example by its VM. */
void setLogSource(const std::string &source);

} // namespace boragepath
