#include "SharingFleet.h"

#include <utility>
#include <variant>

namespace oleander::gateway::testing {

namespace {

constexpr Duration registryTime = milliseconds(4);
constexpr Duration registryTimeout = milliseconds(1500);
constexpr Duration peerTime = milliseconds(2);
constexpr Duration beaconPeriod = seconds(3);
constexpr Duration lookPeriod = milliseconds(20);
constexpr Duration readerPeriod = milliseconds(1200);

FollowerTiming paceOf(bool isReader)
{
    FollowerTiming pace;
    if (isReader)
        pace.minimumPeriod = readerPeriod;
    return pace;
}

} // namespace

SharingFleet::SharingFleet(std::size_t count, std::size_t readerCount)
    : readers(readerCount)
{
    for (std::size_t index = 0; index < count; ++index)
        instances.push_back(std::make_unique<SharingInstance>(*this, index));
}

SharingFleet::~SharingFleet() = default;

void SharingFleet::restart(std::size_t index)
{
    instances[index] = std::make_unique<SharingInstance>(*this, index);
    instances[index]->follower.start();
}

void SharingFleet::startBeacons()
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

SharingInstance::SharingInstance(SharingFleet &fleet, std::size_t index)
    : m_fleet(fleet)
    , m_index(index)
    , m_timer(fleet.scheduler)
    , m_random(index + 1)
    , reader({description().id, description().dataCentre, index < fleet.readers}, m_direct, m_peers,
             m_timer, log)
    , follower("", paceOf(index < fleet.readers), reader, *this, m_timer, m_random, log)
    , share(
          copy, [this] { return follower.age(); }, m_timer)
{
}

Instance SharingInstance::description() const
{
    Instance result;
    result.id = InstanceId("i-" + std::to_string(m_index));
    result.dataCentre = DataCentreId(m_index % 2 == 0 ? "east" : "west");
    return result;
}

void SharingInstance::onItems(const std::vector<RegistryItem> &items, RegistryRevision revision)
{
    believed.clear();
    for (const RegistryItem &item : items)
        believed[item.key] = item.value;
    copy.replaceAll(items, revision, std::equal_to<>());
    share.onChanged();
}

void SharingInstance::onChanges(const std::vector<RegistryItem> &changes, RegistryRevision revision)
{
    for (const RegistryItem &item : changes) {
        if (item.isRemoved)
            believed.erase(item.key);
        else
            believed[item.key] = item.value;
        copy.note(item, revision);
    }
    share.onChanged();
}

void SharingInstance::Direct::list(const std::string &, const std::string &, Callback done)
{
    attempt([this] { return std::optional(m_owner.m_fleet.registry.list()); },
            m_owner.m_fleet.scheduler.now(), done);
    ++m_owner.m_fleet.registry.calls;
    ++m_owner.directCalls;
}

void SharingInstance::Direct::watch(const std::string &, RegistryRevision revision, Duration wait,
                                    Callback done)
{
    const TimePoint end = m_owner.m_fleet.scheduler.now() + wait;
    attempt(
        [this, revision, end] {
            RegistryAnswer answer = m_owner.m_fleet.registry.since(revision);
            const bool isDue = m_owner.m_fleet.scheduler.now() >= end;
            const bool isWaiting = answer.error == RegistryError::None && answer.items.empty();
            return isWaiting && !isDue ? std::nullopt : std::optional(answer);
        },
        end, done);
    ++m_owner.m_fleet.registry.calls;
    ++m_owner.directCalls;
}

/// Looks each 20 ms until there is something to answer.
void SharingInstance::Direct::attempt(const std::function<std::optional<RegistryAnswer>()> &read,
                                      TimePoint end, const Callback &done)
{
    VirtualScheduler &scheduler = m_owner.m_fleet.scheduler;
    scheduler.schedule(scheduler.now() + registryTime, [this, read, end, done,
                                                        life = std::weak_ptr(m_owner.m_life)] {
        if (life.expired())
            return;
        VirtualScheduler &clock = m_owner.m_fleet.scheduler;
        if (!m_owner.isReached()) {
            clock.schedule(end + registryTimeout, [done, life] {
                RegistryAnswer failed;
                failed.error = RegistryError::Unreachable;
                if (!life.expired())
                    done(failed);
            });
            return;
        }
        if (const auto answer = read())
            done(*answer);
        else
            clock.schedule(clock.now() + lookPeriod - registryTime, [this, read, end, done, life] {
                if (!life.expired())
                    attempt(read, end, done);
            });
    });
}

PeerCallId SharingInstance::Peers::call(const Instance &peer, PeerRequest request,
                                        Duration timeLeft, PeerCallback callback)
{
    VirtualScheduler &scheduler = m_owner.m_fleet.scheduler;
    const auto isEnded = std::make_shared<bool>(false);
    const auto finish = [isEnded, callback,
                         life = std::weak_ptr(m_owner.m_life)](PeerOutcome outcome) {
        if (std::exchange(*isEnded, true) || life.expired())
            return;
        callback(std::move(outcome));
    };
    scheduler.schedule(scheduler.now() + timeLeft, [finish] {
        finish({PeerCallStatus::MaybeProcessed, std::nullopt});
    });
    scheduler.schedule(scheduler.now() + peerTime,
                       [this, peer, request, finish, life = std::weak_ptr(m_owner.m_life)] {
                           if (!life.expired())
                               deliver(peer, std::get<RegistryChangesRequest>(request), finish);
                       });
    return PeerCallId(1);
}

/// A hung process sends nothing, and a hung asker gets nothing.
void SharingInstance::Peers::deliver(const Instance &peer, const RegistryChangesRequest &question,
                                     const PeerCallback &finish)
{
    for (const auto &instance : m_owner.m_fleet.instances) {
        if (instance->description().id != peer.id || instance->isHung || m_owner.isHung)
            continue;
        SharingInstance *target = instance.get();
        target->share.ask(question,
                          [this, target, finish, life = std::weak_ptr(m_owner.m_life),
                           targetLife = std::weak_ptr(target->m_life)](RegistryChanges news) {
                              if (life.expired() || targetLife.expired())
                                  return;
                              if (!target->isHung && !m_owner.isHung)
                                  finish({PeerCallStatus::Replied, std::move(news)});
                          });
        return;
    }
}

} // namespace oleander::gateway::testing
