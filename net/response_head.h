#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <cstdint>
#include <optional>

namespace boragepath {

/** Heads with a status of 1xx before the answer's own. */
inline constexpr int MaxInterimHeads = 8;

/** Classes of statuses that HTTP knows, by their first digit (RFC 9110, section 15). */
inline constexpr unsigned InterimStatusClass = 1;
inline constexpr unsigned LastStatusClass = 5;
inline constexpr unsigned StatusesPerClass = 100;

using ResponseParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

/** What the parser of a response accepts, in bytes. */
struct ResponseLimits
{
    std::uint32_t head = 8'192;
    std::uint64_t body = 0;
};

/**
 * Reads the head of a final response into @p parser, after any interim heads (1xx).
 *
 * @return the error; bad_status if there are more than MaxInterimHeads, or if the status is none of
 *     HTTP's, so that the head is no answer.
 */
template <typename Stream>
boost::asio::awaitable<boost::beast::error_code>
readResponseHead(Stream &stream, boost::beast::flat_buffer &buffer,
                 std::optional<ResponseParser> &parser, ResponseLimits limits)
{
    namespace http = boost::beast::http;
    boost::beast::error_code error;
    for (int interimHeads = 0; interimHeads <= MaxInterimHeads; ++interimHeads) {
        parser.emplace();
        parser->header_limit(limits.head);
        parser->body_limit(limits.body);
        co_await http::async_read_header(
            stream, buffer, *parser,
            boost::asio::redirect_error(boost::asio::use_awaitable, error));
        if (error) {
            co_return error;
        }
        const unsigned statusClass = parser->get().result_int() / StatusesPerClass;
        if (statusClass < InterimStatusClass || statusClass > LastStatusClass) {
            co_return http::error::bad_status;
        }
        if (statusClass != InterimStatusClass) {
            co_return error;
        }
    }
    co_return http::error::bad_status;
}

} // namespace boragepath
