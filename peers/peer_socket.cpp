#include "peers/peer_socket.h"

#include "peers/datagram_codec.h"

#include <boost/asio/buffer.hpp>

namespace boragepath {

namespace asio = boost::asio;
using asio::ip::udp;

PeerSocket::PeerSocket(asio::io_context &context, const Endpoint &endpoint, std::string secret,
                       ReceiveHandler receive)
    : m_socket(context, udp::endpoint(asio::ip::make_address(endpoint.address), endpoint.port))
    , m_secret(std::move(secret))
    , m_onReceive(std::move(receive))
{
    m_socket.non_blocking(true);
    this->receive();
}

void PeerSocket::send(const Endpoint &to, const peers::Envelope &envelope)
{
    const std::string datagram = encodeDatagram(envelope, m_secret);
    boost::system::error_code error;
    const auto address = asio::ip::make_address(to.address, error);
    if (error || datagram.size() > MaxDatagramBytes) {
        return;
    }
    m_socket.send_to(asio::buffer(datagram), udp::endpoint(address, to.port), 0, error);
    m_bytesSent += datagram.size();
}

void PeerSocket::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender,
                                [this](const boost::system::error_code &error, std::size_t size) {
                                    if (error == asio::error::operation_aborted) {
                                        return;
                                    }
                                    if (!error) {
                                        m_bytesReceived += size;
                                        const auto envelope = decodeDatagram(
                                            std::string(m_buffer.data(), size), m_secret);
                                        if (envelope.has_value()) {
                                            m_onReceive(*envelope);
                                        } else {
                                            m_rejected += 1;
                                        }
                                    }
                                    receive();
                                });
}

} // namespace boragepath
