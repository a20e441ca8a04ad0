#include "peers/PeerAuthentication.h"

#include <algorithm>
#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <span>
#include <stdexcept>

namespace oleander {

namespace {

constexpr std::size_t nonceBytes = 16;
constexpr std::string_view hexDigits = "0123456789abcdef";

std::string toHex(std::span<const unsigned char> bytes)
{
    constexpr int bitsOfADigit = 4;
    constexpr unsigned lowDigit = 0x0f;
    std::string text;
    for (const unsigned char byte : bytes) {
        text += hexDigits[byte >> bitsOfADigit];
        text += hexDigits[byte & lowDigit];
    }
    return text;
}

/// Prefixes each part with its length, so that different greetings never give the same text.
void append(std::string &text, std::string_view part)
{
    text += std::to_string(part.size()) + ":" + std::string(part) + ",";
}

} // namespace

std::string makePeerNonce()
{
    std::array<unsigned char, nonceBytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        throw std::runtime_error("RAND_bytes failed: no random bytes available");
    return toHex(bytes);
}

bool isPeerNonce(std::string_view text)
{
    const auto isHexDigit = [](char digit) { return hexDigits.find(digit) != std::string::npos; };
    return text.size() == 2 * nonceBytes && std::ranges::all_of(text, isHexDigit);
}

std::string makePeerProof(PeerSide side, const PeerGreeting &greeting, const std::string &key)
{
    std::string text;
    append(text, side == PeerSide::Client ? "client" : "server");
    append(text, greeting.fleet.text());
    append(text, greeting.client.text());
    append(text, greeting.server.text());
    append(text, greeting.clientNonce);
    append(text, greeting.serverNonce);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    const auto *bytes = reinterpret_cast<const unsigned char *>(text.data());
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes, text.size(), digest.data(),
         &size);
    return toHex(std::span(digest).first(size));
}

bool isSameProof(std::string_view one, std::string_view other)
{
    return one.size() == other.size() && CRYPTO_memcmp(one.data(), other.data(), one.size()) == 0;
}

} // namespace oleander
