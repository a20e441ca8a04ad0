#include "LocalFirstRank.h"

#include <oleander/gateway/RegistryRelay.h>
#include <oleander/gateway/SharedRegistryReader.h>

#include <xxhash.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace oleander::gateway {

namespace {

constexpr const char *registrySource = "registry";
/// There are three seeds, and each may have had several names. Anyone can state to be one.
constexpr std::size_t maximumReaders = 64;

RegistryAnswer toRegistryAnswer(RegistryChanges changes)
{
    RegistryAnswer answer;
    answer.isFromPeer = true;
    answer.age = changes.age;
    answer.position = changes.position;
    if (!changes.isKnown)
        answer.error = RegistryError::HistoryGone;
    answer.items = std::move(changes.items);
    return answer;
}

bool isStale(const RegistryChanges &changes)
{
    return changes.age >= RegistryRelay::staleAge;
}

} // namespace

SharedRegistryReader::SharedRegistryReader(RegistryReaderRole role, RegistryReader &direct,
                                           PeerNetwork &peers, TimerService &timer, EventLog &log)
    : m_role(std::move(role))
    , m_direct(direct)
    , m_peers(peers)
    , m_timer(timer)
    , m_log(log)
{
}

void SharedRegistryReader::onReaderBeacon(const Instance &reader)
{
    if (reader.id == m_role.self)
        return;
    if (m_readers.size() >= maximumReaders && !m_readers.contains(reader.id))
        m_readers.erase(std::ranges::min_element(
            m_readers, {}, [](const auto &entry) { return entry.second.lastHeard; }));
    Reader &held = m_readers[reader.id];
    held.instance = reader;
    held.lastHeard = m_timer.now();
}

void SharedRegistryReader::list(const std::string &prefix, const std::string &afterKey,
                                Callback done)
{
    if (!afterKey.empty()) {
        m_direct.list(prefix, afterKey, std::move(done));
        return;
    }
    Reader *reader = m_role.isReader ? nullptr : chooseReader();
    if (!reader) {
        listDirectly(prefix, std::move(done));
        return;
    }
    const InstanceId id = reader->instance.id;
    requestChanges(reader->instance, {},
                   [this, id, prefix, done](std::optional<RegistryChanges> changes) {
                       if (!changes || !changes->isKnown || isStale(*changes)
                           || changes->position < m_deliveredPosition) {
                           noteFailure(id, changes ? "its registry content is stale" : "no answer");
                           listDirectly(prefix, done);
                           return;
                       }
                       deliver(id.text(), toRegistryAnswer(std::move(*changes)), done);
                   });
}

void SharedRegistryReader::watch(const std::string &prefix, RegistryPosition position,
                                 Duration wait, Callback done)
{
    Reader *reader = m_role.isReader ? nullptr : chooseReader();
    const auto watchDirectly = [this, prefix, position, wait, done] {
        m_direct.watch(prefix, position, wait,
                       [this, done, lifetime = std::weak_ptr(m_lifetime)](RegistryAnswer answer) {
                           if (!lifetime.expired())
                               deliver(registrySource, std::move(answer), done);
                       });
    };
    if (!reader) {
        watchDirectly();
        return;
    }
    const InstanceId id = reader->instance.id;
    requestChanges(
        reader->instance, {position, maximumChangesWait},
        [this, id, position, watchDirectly, done](std::optional<RegistryChanges> changes) {
            // A reader of an earlier epoch has not noticed yet that the registry was
            // restored.
            if (!changes || isStale(*changes) || changes->position.epoch < position.epoch) {
                noteFailure(id, changes ? "its registry content is stale" : "no answer");
                watchDirectly();
                return;
            }
            deliver(id.text(), toRegistryAnswer(std::move(*changes)), done);
        });
}

SharedRegistryReader::Reader *SharedRegistryReader::chooseReader()
{
    Reader *best = nullptr;
    for (auto &[id, reader] : m_readers) {
        if (isUsable(reader) && (!best || rank(reader) < rank(*best)))
            best = &reader;
    }
    return best;
}

bool SharedRegistryReader::isUsable(const Reader &reader) const
{
    const TimePoint now = m_timer.now();
    if (now - reader.lastHeard > beaconTimeout)
        return false;
    // A frozen reader sends no beacons either. Waiting for a new beacon avoids a delay on each
    // call.
    return !reader.failedAt
           || (now - *reader.failedAt >= failedReaderPause && reader.lastHeard > *reader.failedAt);
}

std::uint64_t SharedRegistryReader::rank(const Reader &reader) const
{
    // Distributes the instances of a data centre over its readers.
    const std::string pair = m_role.self.text() + "\n" + reader.instance.id.text();
    return localFirstRank(XXH3_64bits(pair.data(), pair.size()),
                          reader.instance.dataCentre == m_role.dataCentre);
}

void SharedRegistryReader::requestChanges(const Instance &reader,
                                          const RegistryChangesRequest &request,
                                          ChangesCallback done)
{
    const Duration timeLeft = request.wait + replyMargin;
    m_peers.call(
        reader, request, timeLeft,
        [done = std::move(done), lifetime = std::weak_ptr(m_lifetime)](PeerOutcome outcome) {
            if (lifetime.expired())
                return;
            auto *changes = outcome.reply ? std::get_if<RegistryChanges>(&*outcome.reply) : nullptr;
            done(changes ? std::optional(std::move(*changes)) : std::nullopt);
        });
}

void SharedRegistryReader::listDirectly(const std::string &prefix, Callback done)
{
    m_direct.list(prefix, {},
                  [this, done = std::move(done),
                   lifetime = std::weak_ptr(m_lifetime)](RegistryAnswer answer) {
                      if (lifetime.expired())
                          return;
                      if (answer.error != RegistryError::None
                          && m_deliveredPosition == RegistryPosition()) {
                          listFromStaleReader(std::move(answer), done);
                          return;
                      }
                      deliver(registrySource, std::move(answer), done);
                  });
}

/// Used when this instance has no content yet and the registry is unreachable.
void SharedRegistryReader::listFromStaleReader(RegistryAnswer failure, Callback done)
{
    Reader *reader = nullptr;
    for (auto &[id, held] : m_readers) {
        if (m_timer.now() - held.lastHeard <= beaconTimeout
            && (!reader || held.lastHeard > reader->lastHeard))
            reader = &held;
    }
    if (!reader) {
        done(std::move(failure));
        return;
    }
    const InstanceId id = reader->instance.id;
    requestChanges(reader->instance, {},
                   [this, id, failure = std::move(failure), done = std::move(done)](auto changes) {
                       if (!changes || !changes->isKnown) {
                           done(failure);
                           return;
                       }
                       deliver(id.text(), toRegistryAnswer(std::move(*changes)), done);
                   });
}

void SharedRegistryReader::noteFailure(const InstanceId &reader, const char *cause)
{
    const auto found = m_readers.find(reader);
    if (found != m_readers.end())
        found->second.failedAt = m_timer.now();
    m_log.record(EventId::RegistryReaderFailed, {}, {{"reader", reader.text()}, {"cause", cause}});
}

void SharedRegistryReader::deliver(const std::string &source, RegistryAnswer answer,
                                   const Callback &done)
{
    const bool isSuccess = answer.error == RegistryError::None;
    // A reader whose history is too short has still answered, so it counts as the source.
    if ((isSuccess || answer.isFromPeer) && source != m_source) {
        m_source = source;
        m_log.record(EventId::RegistrySourceChanged, {},
                     {{"source", source},
                      {"ageMs", inMilliseconds(answer.age)},
                      {"revision", answer.position.revision},
                      {"heldRevision", m_deliveredPosition.revision}});
    }
    if (isSuccess)
        m_deliveredPosition = advanced(m_deliveredPosition, answer.position);
    done(std::move(answer));
}

} // namespace oleander::gateway
