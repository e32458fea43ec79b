#pragma once

#include "core/settings.h"
#include "peers/gen/messages_types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <string>

namespace boragepath {

/** Sends and receives the datagrams between VMs; for the control thread. */
class PeerSocket
{
public:
    using Receive = std::function<void(const peers::Envelope &)>;

    /** Binds to @p endpoint; throws if it cannot. */
    PeerSocket(boost::asio::io_context &context, const Endpoint &endpoint, std::string secret,
               Receive receive);

    /** Sends @p envelope once; it may be lost. */
    void send(const Endpoint &to, const peers::Envelope &envelope);

    std::uint64_t bytesSent() const { return m_bytesSent; }
    std::uint64_t bytesReceived() const { return m_bytesReceived; }
    /** Datagrams whose code or form was wrong. */
    std::uint64_t rejectedDatagrams() const { return m_rejected; }

private:
    void receive();

    boost::asio::ip::udp::socket m_socket;
    std::string m_secret;
    Receive m_receive;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 65'536> m_buffer{};
    std::atomic<std::uint64_t> m_bytesSent = 0;
    std::atomic<std::uint64_t> m_bytesReceived = 0;
    std::atomic<std::uint64_t> m_rejected = 0;
};

} // namespace boragepath
