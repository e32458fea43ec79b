#pragma once

#include <string>
#include <string_view>

namespace boragepath {

/**
 * Sets up the log of this process: one JSON object a line, on standard output.
 *
 * Writing never blocks: a line is dropped if standard output cannot take it. Lines of
 * one event above a rate limit are suppressed; the next line that is written counts them.
 * An unknown @p level stands for "info".
 */
void initLogging(const std::string &level);

/** Changes the log level (info, warning, error or off) at run time; false if it is unknown. */
bool setLogLevel(const std::string &level);

/**
 * Builds one log line.
 *
 * Add fields, then call info(), warning() or error() once to write the line. Never add
 * keys, bodies or messages of programs.
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

/** Sets the name of this process, which each line carries in its field "vm". */
void setLogSource(const std::string &source);

} // namespace boragepath
