#pragma once

#include "SimulatedServers.h"

#include <oleander/gateway/Gateway.h>

#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace oleander::gateway::testing {

using oleander::testing::VirtualTimer;

class TestRandom final : public RandomSource
{
public:
    explicit TestRandom(std::uint64_t seed)
        : m_engine(seed)
    {
    }
    std::uint64_t next() override { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

/// Records the ids of the events.
class TestLog final : public EventLog
{
public:
    using EventLog::record;
    void record(EventId event, const RequestId &, std::string_view) override
    {
        events.push_back(event);
    }
    void record(EventId event, const RequestId &, Fields) override { events.push_back(event); }
    [[nodiscard]] std::size_t count(EventId event) const
    {
        return static_cast<std::size_t>(std::ranges::count(events, event));
    }

    std::vector<EventId> events;
};

/// A caller's request and the answer to it.
struct ReceivedAnswer
{
    std::string id;
    std::string path;
    TimePoint sentAt{};
    /// Time from the request to the answer.
    Duration latency{};
    /// Empty until the gateway has answered.
    std::optional<CallerAnswer> answer;
    /// Number of shards that are not in a gathered answer.
    std::size_t missingShards = 0;
    /// The call in the gateway, until it has ended.
    std::shared_ptr<Call> call;
};

/// A gateway instance in virtual time.
class TestInstance
{
public:
    TestInstance(VirtualScheduler &scheduler, ServerLinkFactory &links, GatewayPolicy newPolicy,
                 std::uint64_t seed, const std::string &dataCentre = "here")
        : policy(newPolicy)
        , timer(scheduler)
        , random(seed)
        , fleet(links, timer, random, log, policy, DataCentreId(dataCentre))
        , gateway(fleet, timer, random, log, policy,
                  [](const std::vector<std::string> &receipts, std::size_t missing) {
                      std::vector<HttpField> fields{{"missing", std::to_string(missing)}};
                      for (const std::string &receipt : receipts)
                          fields.push_back({"receipt", receipt});
                      return fields;
                  })
        , m_scheduler(scheduler)
    {
    }

    /// Sends a request of a caller that gives up after `timeout`. The returned object is filled in
    /// when the gateway answers.
    std::shared_ptr<ReceivedAnswer> sendRequest(const std::string &id, const std::string &path,
                                                Duration timeout, const std::string &method = "GET")
    {
        auto received = std::make_shared<ReceivedAnswer>();
        received->id = id;
        received->path = path;
        received->sentAt = m_scheduler.now();
        auto request = std::make_shared<CallerRequest>();
        request->id = RequestId(id);
        request->method = method;
        request->host = "host.example";
        request->target = path;
        request->callerTimeout = timeout;
        request->arrived = m_scheduler.now();
        received->call = gateway.handle(
            std::move(request), [received, &scheduler = m_scheduler](CallerAnswer answer) {
                received->latency = scheduler.now() - received->sentAt;
                for (const HttpField &field : answer.fields) {
                    if (field.name == "missing")
                        received->missingShards = std::stoul(field.value);
                }
                received->answer = std::move(answer);
                received->call.reset();
            });
        return received;
    }

    GatewayPolicy policy;
    VirtualTimer timer;
    TestRandom random;
    TestLog log;
    ServerFleet fleet;
    Gateway gateway;

private:
    VirtualScheduler &m_scheduler;
};

/// The address of a server of a service; different for each server.
inline Address addressOf(int service, int server)
{
    return {"10.0." + std::to_string(service) + "." + std::to_string(server + 1), 8080};
}

inline ServiceId serviceNamed(int service)
{
    return ServiceId("service-" + std::to_string(service));
}

/// The registration of the server at addressOf().
inline ServerRegistration registrationOf(int service, int server)
{
    ServerRegistration registration;
    registration.id = ServerId("server-" + std::to_string(service) + "-" + std::to_string(server));
    registration.service = serviceNamed(service);
    registration.address = addressOf(service, server);
    registration.slots = 2;
    registration.startedAt = 1;
    return registration;
}

/// A configuration with a gathered route over `shards` services at "/gather/", and two routes to
/// one further service: "/one/", whose requests are idempotent, and "/once/", whose requests are
/// not.
inline GatewayConfiguration testConfiguration(int shards, std::uint64_t version = 1)
{
    GatewayConfiguration configuration;
    configuration.version = SectionVersion(version);
    Route gather;
    gather.id = RouteId("gather");
    gather.host = "host.example";
    gather.prefix = "/gather/";
    gather.idempotency = Idempotency::Idempotent;
    gather.timeout = seconds(3);
    gather.objective = milliseconds(200);
    gather.maximumAttempts = 2;
    gather.recordLimit = 20;
    gather.minimumShare = 0.89;
    for (int service = 0; service < shards; ++service) {
        gather.shards.push_back(serviceNamed(service));
        configuration.services.push_back({serviceNamed(service), 58, {}, 0, healthPath});
    }
    Route idempotent = gather;
    idempotent.id = RouteId("one");
    idempotent.prefix = "/one/";
    idempotent.shards.clear();
    idempotent.services = {{serviceNamed(shards), 1}};
    idempotent.objective = milliseconds(800);
    idempotent.timeout = seconds(15);
    Route nonIdempotent = idempotent;
    nonIdempotent.id = RouteId("once");
    nonIdempotent.prefix = "/once/";
    nonIdempotent.idempotency = Idempotency::NonIdempotent;
    configuration.services.push_back({serviceNamed(shards), 58, {}, 0, healthPath});
    configuration.routes = {gather, idempotent, nonIdempotent};
    return configuration;
}

} // namespace oleander::gateway::testing
