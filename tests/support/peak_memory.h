#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <fstream>

#include <unistd.h>

namespace boragepath {

/** Resident memory of this process, in bytes. */
inline std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t pages = 0;
    std::size_t residentPages = 0;
    file >> pages >> residentPages;
    return residentPages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/** Follows the resident memory of this process while a context runs. */
class PeakMemory
{
public:
    explicit PeakMemory(boost::asio::io_context &context)
        : m_timer(context)
        , m_start(residentBytes())
        , m_peak(m_start)
    {
        sample();
    }

    /** The most bytes beyond those at the start. */
    std::size_t grownBytes() const { return m_peak - m_start; }

private:
    static constexpr std::chrono::milliseconds SampleInterval{5};

    void sample()
    {
        m_peak = std::max(m_peak, residentBytes());
        m_timer.expires_after(SampleInterval);
        m_timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                sample();
            }
        });
    }

    boost::asio::steady_timer m_timer;
    std::size_t m_start;
    std::size_t m_peak;
};

} // namespace boragepath
