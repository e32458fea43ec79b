#include "core/request_fingerprint.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <openssl/evp.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

namespace boragepath {

namespace {

constexpr std::size_t DigitsPerHalf = 16;
/** Keys that are derived from one secret for different purposes differ. */
constexpr std::string_view KeyPurpose = "request fingerprint:";

bool parseHalf(std::string_view digits, std::uint64_t &half)
{
    return absl::SimpleHexAtoi(std::string(digits), &half);
}

/** A caller can't choose the result, since the fingerprint depends on the deployment's secret. */
RequestFingerprint ofCaller(const RequestFingerprint &fingerprint, std::string_view caller)
{
    const std::string input = absl::StrCat(fingerprint.text(), " ", std::string(caller));
    const XXH128_hash_t hash = XXH3_128bits(input.data(), input.size());
    return {hash.high64, hash.low64};
}

} // namespace

RequestIdentity ofCaller(const RequestIdentity &identity, std::string_view caller)
{
    if (caller.empty()) {
        return identity;
    }
    return {ofCaller(identity.request, caller), ofCaller(identity.target, caller)};
}

std::string RequestFingerprint::text() const
{
    return absl::StrCat(absl::Hex(high, absl::kZeroPad16), absl::Hex(low, absl::kZeroPad16));
}

RequestFingerprint parseRequestFingerprint(std::string_view text)
{
    RequestFingerprint fingerprint;
    const bool isReadable = text.size() == 2 * DigitsPerHalf
        && parseHalf(text.substr(0, DigitsPerHalf), fingerprint.high)
        && parseHalf(text.substr(DigitsPerHalf), fingerprint.low);
    return isReadable ? fingerprint : RequestFingerprint();
}

struct RequestHasher::Algorithm
{
    Algorithm()
        : mac(EVP_MAC_fetch(nullptr, "SIPHASH", nullptr))
        , context(mac == nullptr ? nullptr : EVP_MAC_CTX_new(mac))
    { }
    ~Algorithm()
    {
        EVP_MAC_CTX_free(context);
        EVP_MAC_free(mac);
    }
    Algorithm(const Algorithm &) = delete;
    Algorithm &operator=(const Algorithm &) = delete;

    EVP_MAC *mac;
    EVP_MAC_CTX *context;
};

RequestHasher::RequestHasher(const std::string &secret)
    : m_algorithm(std::make_unique<Algorithm>())
{
    if (m_algorithm->context == nullptr) {
        throw std::runtime_error("OpenSSL offers no SipHash");
    }
    const std::string input = absl::StrCat(std::string(KeyPurpose), secret);
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(input.data()), input.size(), digest.data());
    std::copy_n(digest.begin(), m_key.size(), m_key.begin());
}

RequestHasher::~RequestHasher() = default;

RequestFingerprint RequestHasher::fingerprintOf(const RequestContent &content) const
{
    EVP_MAC_CTX *context = m_algorithm->context;
    EVP_MAC_init(context, m_key.data(), m_key.size(), nullptr);
    // None of the fields before the body can hold this separator.
    const unsigned char separator = 0;
    const auto add = [&](std::string_view field) {
        EVP_MAC_update(context, reinterpret_cast<const unsigned char *>(field.data()),
                       field.size());
        EVP_MAC_update(context, &separator, sizeof separator);
    };
    if (!content.previousTurn.empty()) {
        // No method is empty, so that no request without a previous turn begins like this.
        add("");
        add(content.previousTurn);
    }
    add(content.method);
    add(content.host);
    add(content.target);
    EVP_MAC_update(context, reinterpret_cast<const unsigned char *>(content.body.data()),
                   content.body.size());
    RequestFingerprint result;
    std::array<unsigned char, sizeof result.high + sizeof result.low> tag{};
    std::size_t size = 0;
    EVP_MAC_final(context, tag.data(), &size, tag.size());
    std::memcpy(&result.high, tag.data(), sizeof result.high);
    std::memcpy(&result.low, tag.data() + sizeof result.high, sizeof result.low);
    return result;
}

RequestIdentity RequestHasher::identityOf(const RequestContent &content) const
{
    return {fingerprintOf(content),
            fingerprintOf({content.method, content.host, content.target, {}})};
}

} // namespace boragepath
