#pragma once

#include <oleander/core/Ids.h>
#include <oleander/gateway/Route.h>

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace oleander::gateway {

/// Limits on callers' requests and connections.
struct CallerLimits
{
    std::size_t headerBytes = std::size_t{16} * 1024;
    std::size_t bodyBytes = std::size_t{256} * 1024;
    Duration headerTimeout = seconds(10);
    Duration idleTimeout = seconds(60);
};

/// Configuration of a service.
struct ServiceDeclaration
{
    ServiceId id;
    /// Maximum number of connections that one server of the service accepts from all instances
    /// together.
    int connectionCap = 0;
    /// Time that a server of the service stays cold after its start.
    Duration warmUp{};
    /// Requests per second that a cold server accepts from all instances together; without a limit
    /// if zero.
    double warmUpPerSecond = 0;
    /// Path at which a server states its health; empty if there is none.
    std::string healthPath{};
};

/// The form in which host names are compared: case-insensitively and without the port.
[[nodiscard]] std::string hostKey(std::string_view host);

/// One published configuration: routes, services and limits.
struct GatewayConfiguration
{
    SectionVersion version;
    std::vector<Route> routes;
    std::vector<ServiceDeclaration> services;
    CallerLimits limits;
};

/// The routes of one configuration, indexed by host and path. Immutable; a request keeps the table
/// that was current when it was accepted.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(GatewayConfiguration configuration);

    /// Returns the host's route with the longest prefix that matches the path, or null.
    [[nodiscard]] const Route *find(std::string_view host, std::string_view path) const;
    [[nodiscard]] const GatewayConfiguration &configuration() const { return m_configuration; }
    [[nodiscard]] SectionVersion version() const { return m_configuration.version; }

private:
    GatewayConfiguration m_configuration;
    /// Keyed by host, then by prefix.
    std::unordered_map<std::string, std::unordered_map<std::string, const Route *>> m_byHost;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

} // namespace oleander::gateway
