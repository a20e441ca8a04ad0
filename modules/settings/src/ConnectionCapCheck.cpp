#include <oleander/settings/PartitionMapParser.h>
#include <oleander/settings/PolicyFor.h>

#include <algorithm>
#include <map>

namespace oleander {

namespace {

/// What all services together want of one server.
struct ServerUse
{
    ServerId server;
    int wanted = 0;
    /// The smallest that any of the services leaves to the fleet.
    int allowed = INT32_MAX;
    /// "notes: 4 coordinators x 6 connectionsPerServer", one for each service.
    std::string sum;
};

void addUse(ServerUse &use, const Server &server, const ServiceId &service, const Policy &policy)
{
    constexpr int whole = 1000;
    const int share = static_cast<int>(policy.connectionShare.value);
    use.server = server.id;
    use.wanted += policy.coordinators * policy.connectionsPerServer;
    use.allowed = std::min(use.allowed, server.connectionCap * share / whole);
    use.sum += use.sum.empty() ? "" : ", ";
    use.sum += service.text() + ": " + std::to_string(policy.coordinators) + " coordinators x "
               + std::to_string(policy.connectionsPerServer) + " connectionsPerServer, cap "
               + std::to_string(server.connectionCap) + " x " + std::to_string(share)
               + " connectionSharePerMille";
}

} // namespace

void checkConnectionCaps(const PolicySet &set, const std::vector<PartitionMap> &maps,
                         Findings &findings)
{
    std::map<std::string, ServerUse> uses;
    for (const PartitionMap &map : maps) {
        Subject subject;
        subject.backend = map.backend;
        subject.service = map.service;
        const Policy policy = policyFor(set, subject);
        for (const auto &[id, server] : map.servers)
            addUse(uses[server.address], server, map.service, policy);
    }
    for (const auto &[address, use] : uses) {
        if (use.wanted > use.allowed)
            findings.push_back({"servers[" + use.server.text() + "].connectionCap",
                                "the fleet would open " + std::to_string(use.wanted)
                                    + " connections, but may use " + std::to_string(use.allowed)
                                    + " (" + use.sum + ")"});
    }
}

} // namespace oleander
