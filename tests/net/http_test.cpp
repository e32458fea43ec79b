// The HTTP server and client of this project against each other, over loopback.

#include "main/daemon.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <cstdio>
#include <filesystem>

namespace boragepath {

namespace {

namespace asio = boost::asio;

constexpr Milliseconds CallTimeout{10'000};
const Endpoint ServerEndpoint{"127.0.0.9", 17'901};

asio::awaitable<void> echo(const HttpRequest &request, HttpResponder &responder)
{
    if (request.target == "/stream") {
        HttpResponse header;
        co_await responder.beginStream(header);
        for (int part = 0; part < 3; ++part) {
            const std::string data = "part " + std::to_string(part) + "\n";
            co_await responder.sendChunk(data);
        }
        co_await responder.endStream();
        co_return;
    }
    HttpResponse response;
    response.body = request.target == "/huge" ? std::string(17UL << 20, 'x') : request.body;
    co_await responder.send(response);
}

/** Sends one request to a test server with these limits and returns the result. */
HttpResult callTestServer(const HttpRequest &request, HttpLimits limits,
                          std::shared_ptr<asio::ssl::context> tls = nullptr)
{
    asio::io_context context(1);
    HttpServer server(context, limits, echo);
    if (tls != nullptr) {
        server.setTlsContext(tls);
    }
    server.listen(ServerEndpoint);
    HttpResult result;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            if (tls == nullptr) {
                result = co_await httpCall(ServerEndpoint, request, CallTimeout);
            } else {
                result = co_await httpsCall(ServerEndpoint, request, CallTimeout);
            }
            context.stop();
        },
        asio::detached);
    context.run();
    return result;
}

HttpRequest postRequest(const std::string &body)
{
    HttpRequest request;
    request.method = "POST";
    request.body = body;
    return request;
}

/** Writes a key and a self-signed certificate to files in a temporary directory. */
class CertificateFiles
{
public:
    CertificateFiles()
    {
        EVP_PKEY *key = EVP_RSA_gen(2048);
        X509 *certificate = X509_new();
        ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
        X509_gmtime_adj(X509_getm_notBefore(certificate), 0);
        X509_gmtime_adj(X509_getm_notAfter(certificate), 3'600);
        X509_set_pubkey(certificate, key);
        X509_sign(certificate, key, EVP_sha256());
        FILE *file = std::fopen(keyFile().c_str(), "w");
        PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
        std::fclose(file);
        file = std::fopen(certificateFile().c_str(), "w");
        PEM_write_X509(file, certificate);
        std::fclose(file);
        X509_free(certificate);
        EVP_PKEY_free(key);
        setKeyPermissions(std::filesystem::perms::owner_read);
    }
    CertificateFiles(const CertificateFiles &) = delete;
    CertificateFiles &operator=(const CertificateFiles &) = delete;
    ~CertificateFiles() { std::filesystem::remove_all(m_folder); }

    std::string keyFile() const { return m_folder / "key.pem"; }
    std::string certificateFile() const { return m_folder / "certificate.pem"; }
    void setKeyPermissions(std::filesystem::perms permissions) const
    {
        std::filesystem::permissions(keyFile(), permissions);
    }

private:
    static std::filesystem::path makeFolder()
    {
        std::string name = std::filesystem::temp_directory_path() / "boragepath-XXXXXX";
        return mkdtemp(name.data());
    }

    std::filesystem::path m_folder = makeFolder();
};

} // namespace

TEST(Http, RequestBodyIsEchoed)
{
    const HttpResult result = callTestServer(postRequest("hello"), {});
    EXPECT_TRUE(result.complete);
    EXPECT_EQ(result.response.status, 200U);
    EXPECT_EQ(result.response.body, "hello");
}

TEST(Http, StreamedResponseIsReceivedWhole)
{
    HttpRequest request;
    request.target = "/stream";
    EXPECT_EQ(callTestServer(request, {}).response.body, "part 0\npart 1\npart 2\n");
}

TEST(Http, OversizedBodyIsRejectedAsNotRun)
{
    HttpLimits limits;
    limits.maxBodyBytes = 1'000;
    const HttpResult result = callTestServer(postRequest(std::string(1'001, 'x')), limits);
    EXPECT_EQ(result.response.status, 413U);
    EXPECT_EQ(result.response.headerValue("Boragepath-Verdict"), "not-run");
}

TEST(Http, OversizedHeaderIsRejectedAsNotRun)
{
    HttpLimits limits;
    limits.maxHeaderBytes = 2'000;
    HttpRequest request = postRequest("x");
    request.fields.push_back({"Boragepath-Program", std::string(3'000, 'x')});
    const HttpResult result = callTestServer(request, limits);
    EXPECT_EQ(result.response.status, 400U);
    EXPECT_EQ(result.response.headerValue("Boragepath-Verdict"), "not-run");
}

TEST(Http, RefusedConnectionReportsNothingSent)
{
    asio::io_context context(1);
    HttpResult result;
    result.sent = true;
    const Endpoint closedEndpoint{"127.0.0.9", 17'902};
    const HttpRequest request = postRequest("x");
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            result = co_await httpCall(closedEndpoint, request, CallTimeout);
        },
        asio::detached);
    context.run();
    EXPECT_FALSE(result.sent);
    EXPECT_FALSE(result.complete);
}

TEST(Tls, RequestBodyIsEchoed)
{
    const CertificateFiles files;
    const auto tls = loadTls(files.certificateFile(), files.keyFile());
    ASSERT_TRUE(tls.ok()) << tls.status().message();
    EXPECT_EQ(callTestServer(postRequest("hello"), {}, *tls).response.body, "hello");
}

TEST(Tls, KeyFileReadableByOthersIsRejected)
{
    const CertificateFiles files;
    files.setKeyPermissions(std::filesystem::perms::owner_read
                            | std::filesystem::perms::group_read);
    const auto tls = loadTls(files.certificateFile(), files.keyFile());
    ASSERT_FALSE(tls.ok());
    EXPECT_EQ(tls.status().code(), absl::StatusCode::kPermissionDenied);
}

// --- A server that stops answering on its open connections -----------------

namespace {

/** Answers every request except on connections accepted before silenceOpenConnections(). */
class SilentConnectionServer
{
public:
    explicit SilentConnectionServer(asio::io_context &context)
        : m_acceptor(context, {asio::ip::make_address(ServerEndpoint.address), ServerEndpoint.port})
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    void silenceOpenConnections() { m_generation += 1; }

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket), m_generation),
                           asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket, int generation)
    {
        std::string request;
        for (;;) {
            const std::size_t size = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(request), "\r\n\r\n", asio::use_awaitable);
            request.erase(0, size);
            if (generation == m_generation) {
                const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
            }
        }
    }

    asio::ip::tcp::acceptor m_acceptor;
    int m_generation = 0;
};

} // namespace

TEST(HttpConnectionPool, FirstTimeoutDiscardsAllIdleConnections)
{
    asio::io_context context(1);
    SilentConnectionServer server(context);
    HttpConnectionPool pool(ServerEndpoint);
    int completedCalls = 0;
    std::vector<bool> completed;
    const auto call = [&]() -> asio::awaitable<void> {
        const HttpResult result = co_await pool.call(HttpRequest(), CallTimeout);
        completedCalls += result.complete ? 1 : 0;
    };
    const auto callsAfterSilence = [&]() -> asio::awaitable<void> {
        constexpr Milliseconds ShortTimeout{50};
        for (int index = 0; index < 3; ++index) {
            const HttpResult result = co_await pool.call(HttpRequest(), ShortTimeout);
            completed.push_back(result.complete);
        }
        context.stop();
    };
    {
        SCOPED_TRACE("six concurrent calls leave six idle connections");
        for (int index = 0; index < 6; ++index) {
            asio::co_spawn(context, call(), asio::detached);
        }
        while (completedCalls < 6) {
            context.run_one();
        }
    }
    server.silenceOpenConnections();
    asio::co_spawn(context, callsAfterSilence(), asio::detached);
    context.run();
    {
        SCOPED_TRACE("the first call times out, the later ones use a new connection");
        EXPECT_EQ(completed, (std::vector<bool>{false, true, true}));
    }
}

TEST(Http, AnswerThatIsLongerThanAnyServerOfOursSendsIsNotReadToItsEnd)
{
    HttpRequest request;
    request.target = "/huge";
    const HttpResult result = callTestServer(request, HttpLimits());
    EXPECT_FALSE(result.complete);
    EXPECT_TRUE(result.response.body.empty());
}

} // namespace boragepath
