#include "SimulatedFleet.h"

#include <utility>
#include <variant>

namespace oleander::gateway::testing {

namespace {

constexpr Duration registryDelay = milliseconds(4);
constexpr Duration registryTimeout = milliseconds(1500);
constexpr Duration peerDelay = milliseconds(2);
constexpr Duration beaconPeriod = seconds(3);
constexpr Duration pollPeriod = milliseconds(20);
constexpr Duration readerWatchPeriod = milliseconds(1200);

FollowerTiming makePace(bool isReader)
{
    FollowerTiming pace;
    if (isReader)
        pace.minimumPeriod = readerWatchPeriod;
    return pace;
}

} // namespace

SimulatedFleet::SimulatedFleet(std::size_t count, std::size_t readerCount)
    : readers(readerCount)
{
    for (std::size_t index = 0; index < count; ++index)
        instances.push_back(std::make_unique<SimulatedInstance>(*this, index));
}

SimulatedFleet::~SimulatedFleet() = default;

void SimulatedFleet::restart(std::size_t index)
{
    instances[index] = std::make_unique<SimulatedInstance>(*this, index);
    instances[index]->follower.start();
}

void SimulatedFleet::startBeacons()
{
    for (std::size_t index = 0; index < readers; ++index) {
        if (instances[index]->isHung)
            continue;
        for (const auto &instance : instances) {
            if (!instance->isHung)
                instance->reader.onReaderBeacon(instances[index]->description());
        }
    }
    scheduler.schedule(scheduler.now() + beaconPeriod, [this] { startBeacons(); });
}

SimulatedInstance::SimulatedInstance(SimulatedFleet &fleet, std::size_t index)
    : m_fleet(fleet)
    , m_index(index)
    , m_timer(fleet.scheduler)
    , m_random(index + 1)
    , reader({description().id, description().dataCentre, index < fleet.readers}, m_directReader,
             m_peers, m_timer, log)
    , follower("", makePace(index < fleet.readers), reader, *this, m_timer, m_random, log)
    , share(
          copy, [this] { return follower.age(); }, m_timer)
{
}

Instance SimulatedInstance::description() const
{
    Instance result;
    result.id = InstanceId("i-" + std::to_string(m_index));
    result.dataCentre = DataCentreId(m_index % 2 == 0 ? "east" : "west");
    return result;
}

void SimulatedInstance::onItems(const std::vector<RegistryItem> &items, const ListedSpan &span)
{
    knownValues.clear();
    for (const RegistryItem &item : items)
        knownValues[item.key] = item.value;
    copy.replaceAll(items, span, std::equal_to<>());
    share.onChanged();
}

void SimulatedInstance::onChanges(const std::vector<RegistryItem> &changes,
                                  RegistryPosition position)
{
    for (const RegistryItem &item : changes) {
        if (item.isRemoved)
            knownValues.erase(item.key);
        else
            knownValues[item.key] = item.value;
        copy.note(item, position);
    }
    copy.setReceived(position);
    share.onChanged();
}

void SimulatedInstance::DirectReader::list(const std::string &, const std::string &, Callback done)
{
    poll([this] { return std::optional(m_owner.m_fleet.registry.list()); },
         m_owner.m_fleet.scheduler.now(), done);
    ++m_owner.m_fleet.registry.calls;
    ++m_owner.directCalls;
}

void SimulatedInstance::DirectReader::watch(const std::string &, RegistryPosition position,
                                            Duration wait, Callback done)
{
    const TimePoint end = m_owner.m_fleet.scheduler.now() + wait;
    poll(
        [this, position, end] {
            RegistryAnswer answer = m_owner.m_fleet.registry.changesSince(position);
            const bool hasWaited = m_owner.m_fleet.scheduler.now() >= end;
            const bool hasNoChanges = answer.error == RegistryError::None && answer.items.empty();
            return hasNoChanges && !hasWaited ? std::nullopt : std::optional(answer);
        },
        end, done);
    ++m_owner.m_fleet.registry.calls;
    ++m_owner.directCalls;
}

void SimulatedInstance::DirectReader::poll(
    const std::function<std::optional<RegistryAnswer>()> &read, TimePoint end, const Callback &done)
{
    VirtualScheduler &scheduler = m_owner.m_fleet.scheduler;
    scheduler.schedule(scheduler.now() + registryDelay,
                       [this, read, end, done, lifetime = std::weak_ptr(m_owner.m_lifetime)] {
                           if (lifetime.expired())
                               return;
                           VirtualScheduler &clock = m_owner.m_fleet.scheduler;
                           if (!m_owner.canReachRegistry()) {
                               clock.schedule(end + registryTimeout, [done, lifetime] {
                                   RegistryAnswer failure;
                                   failure.error = RegistryError::Unreachable;
                                   if (!lifetime.expired())
                                       done(failure);
                               });
                               return;
                           }
                           if (const auto answer = read())
                               done(*answer);
                           else
                               clock.schedule(clock.now() + pollPeriod - registryDelay,
                                              [this, read, end, done, lifetime] {
                                                  if (!lifetime.expired())
                                                      poll(read, end, done);
                                              });
                       });
}

PeerCallId SimulatedInstance::SimulatedPeers::call(const Instance &peer, PeerRequest request,
                                                   Duration timeLeft, PeerCallback callback)
{
    VirtualScheduler &scheduler = m_owner.m_fleet.scheduler;
    const auto hasEnded = std::make_shared<bool>(false);
    const auto finish = [hasEnded, callback,
                         lifetime = std::weak_ptr(m_owner.m_lifetime)](PeerOutcome outcome) {
        if (std::exchange(*hasEnded, true) || lifetime.expired())
            return;
        callback(std::move(outcome));
    };
    scheduler.schedule(scheduler.now() + timeLeft, [finish] {
        finish({PeerCallStatus::MaybeProcessed, std::nullopt});
    });
    scheduler.schedule(scheduler.now() + peerDelay,
                       [this, peer, request, finish, lifetime = std::weak_ptr(m_owner.m_lifetime)] {
                           if (!lifetime.expired())
                               deliver(peer, std::get<RegistryChangesRequest>(request), finish);
                       });
    return PeerCallId(1);
}

/// Delivers the request and its response, unless the sender or the receiver hangs.
void SimulatedInstance::SimulatedPeers::deliver(const Instance &peer,
                                                const RegistryChangesRequest &question,
                                                const PeerCallback &finish)
{
    for (const auto &instance : m_owner.m_fleet.instances) {
        if (instance->description().id != peer.id || instance->isHung || m_owner.isHung)
            continue;
        SimulatedInstance *target = instance.get();
        target->share.ask(
            question, [this, target, finish, lifetime = std::weak_ptr(m_owner.m_lifetime),
                       targetLifetime = std::weak_ptr(target->m_lifetime)](RegistryChanges news) {
                if (lifetime.expired() || targetLifetime.expired())
                    return;
                if (!target->isHung && !m_owner.isHung)
                    finish({PeerCallStatus::Replied, std::move(news)});
            });
        return;
    }
}

} // namespace oleander::gateway::testing
