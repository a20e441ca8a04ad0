#include <oleander/settings/Address.h>

#include <arpa/inet.h>
#include <charconv>

namespace oleander {

namespace {

bool isIpNumber(const std::string &number, bool isVersion6)
{
    in6_addr buffer{};
    return inet_pton(isVersion6 ? AF_INET6 : AF_INET, number.c_str(), &buffer) == 1;
}

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, port);
    if (result.ec != std::errc{} || result.ptr != end || port == 0)
        return std::nullopt;
    return port;
}

} // namespace

std::optional<Address> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const std::optional<std::uint16_t> port = parsePort(text.substr(colon + 1));
    std::string_view number = text.substr(0, colon);
    const bool isBracketed = number.starts_with('[') && number.ends_with(']');
    if (isBracketed)
        number = number.substr(1, number.size() - 2);
    if (!port || !isIpNumber(std::string(number), isBracketed))
        return std::nullopt;
    return Address{std::string(number), *port};
}

std::string addressText(const Address &address)
{
    return address.number + ":" + std::to_string(address.port);
}

} // namespace oleander
