#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace boragepath {

/**
 * Identifies requests that ask for the same thing, under whatever attempt id. Two different
 * requests have the same fingerprint with a negligible probability, and nobody who doesn't know the
 * deployment's secret can make them so.
 */
struct RequestFingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    /** False for a request whose fingerprint was not computed. */
    bool isKnown() const { return high != 0 || low != 0; }
    /** 32 hexadecimal digits. */
    std::string text() const;

    friend auto operator<=>(const RequestFingerprint &, const RequestFingerprint &) = default;
};

/**
 * What a request has in common with others that may have the same effect on a replica.
 *
 * Callers that ask for the same thing may send other bytes, for example with the conversation
 * so far in the body; then only the target is the same.
 */
struct RequestIdentity
{
    /** Of method, host, target, previous turn and body, and the caller if known. */
    RequestFingerprint request;
    /** Of method, host and target, and the caller if known. */
    RequestFingerprint target;
};

/**
 * The identity of a request that @p caller sends; the same as before if nobody knows the caller.
 *
 * A request may end the replicas that run it for one caller, and be answered for others. VMs of
 * earlier versions, whose fingerprints have no caller, match none of these.
 */
RequestIdentity ofCaller(const RequestIdentity &identity, std::string_view caller);

/** Reads what RequestFingerprint::text() has written; a fingerprint that is not known on error. */
RequestFingerprint parseRequestFingerprint(std::string_view text);

/** What a request asks for. */
struct RequestContent
{
    std::string_view method;
    std::string_view host;
    /** Path and query. */
    std::string_view target;
    /** As the caller sent it, without what was said in the conversation before. */
    std::string_view body;
    /** The turn whose conversation the replica gets before the body; empty if there is none. */
    std::string_view previousTurn = {};
};

/** Computes fingerprints with SipHash; to be used by one thread. */
class RequestHasher
{
public:
    /** @param secret the same on all VMs of a deployment, and known to nobody else. */
    explicit RequestHasher(const std::string &secret);
    ~RequestHasher();
    RequestHasher(const RequestHasher &) = delete;
    RequestHasher &operator=(const RequestHasher &) = delete;

    RequestFingerprint fingerprintOf(const RequestContent &content) const;
    RequestIdentity identityOf(const RequestContent &content) const;

private:
    static constexpr std::size_t KeyBytes = 16;

    struct Algorithm;
    std::unique_ptr<Algorithm> m_algorithm;
    std::array<unsigned char, KeyBytes> m_key{};
};

} // namespace boragepath
