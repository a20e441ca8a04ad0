#pragma once

#include <oleander/adapters/gateway/HeaderNames.h>
#include <oleander/core/Reason.h>
#include <oleander/gateway/Gateway.h>
#include <oleander/gateway/Registry.h>
#include <oleander/gateway/ServerDirectory.h>
#include <oleander/ports/TimerService.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace oleander {

/// What a gateway is told of the platform that it runs on: names on the wire, and how entries of
/// the platform's registry are read.
struct GatewayPlatform
{
    HeaderNames headers;
    gateway::GatherHeaderBuilder gatheredFields;
    /// Path at which the platform asks whether the instance takes callers.
    std::string readinessPath;
    /// Prefix of the keys under which servers register.
    std::string serverPrefix;
    /// Prefix of the keys whose existence says that the data centre named after it is evacuated.
    std::string evacuationPrefix;
    /// Key of the item that holds the configuration.
    std::string configurationKey;
    /// Prefix of all keys that matter here.
    std::string registryPrefix;
    std::function<std::unique_ptr<gateway::RegistryReader>(boost::asio::io_context &,
                                                           TimerService &, const Address &)>
        openRegistry;
    /// The server that an entry names. The id is taken from the key.
    std::function<std::optional<gateway::ServerRegistration>(const gateway::RegistryItem &,
                                                             Reason &)>
        readRegistration;
    std::function<std::optional<gateway::GatewayConfiguration>(const gateway::RegistryItem &,
                                                               Reason &)>
        readConfiguration;
};

} // namespace oleander
