#include <oleander/gateway/RouteTable.h>

#include <algorithm>
#include <cctype>

namespace oleander::gateway {

std::string hostKey(std::string_view host)
{
    std::string key(host.substr(0, host.find(':')));
    std::ranges::transform(key, key.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return key;
}

RouteTable::RouteTable(GatewayConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    for (const Route &route : m_configuration.routes)
        m_byHost[hostKey(route.host)].emplace(route.prefix, &route);
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto routes = m_byHost.find(hostKey(host));
    if (routes == m_byHost.end())
        return nullptr;
    // Prefixes end with a slash, so only parts of the path that end with a slash can match.
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        const auto found = routes->second.find(std::string(path.substr(0, end + 1)));
        if (found != routes->second.end())
            return found->second;
    }
    return nullptr;
}

} // namespace oleander::gateway
