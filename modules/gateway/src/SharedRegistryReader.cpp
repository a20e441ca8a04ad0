#include "NearFirst.h"

#include <oleander/gateway/RegistryShare.h>
#include <oleander/gateway/SharedRegistryReader.h>

#include <xxhash.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace oleander::gateway {

namespace {

constexpr const char *registryItself = "registry";

RegistryAnswer answerFrom(RegistryChanges news)
{
    RegistryAnswer answer;
    answer.isShared = true;
    answer.age = news.age;
    answer.revision = news.revision;
    if (!news.isKnown)
        answer.error = RegistryError::HistoryGone;
    answer.items = std::move(news.items);
    return answer;
}

bool isOld(const RegistryChanges &news)
{
    return news.age >= RegistryShare::oldAge;
}

} // namespace

SharedRegistryReader::SharedRegistryReader(SharingRole role, RegistryReader &direct,
                                           PeerNetwork &peers, TimerService &timer, EventLog &log)
    : m_role(std::move(role))
    , m_direct(direct)
    , m_peers(peers)
    , m_timer(timer)
    , m_log(log)
{
}

void SharedRegistryReader::hearOfReader(const Instance &reader)
{
    if (reader.id == m_role.self)
        return;
    Reader &held = m_readers[reader.id];
    held.instance = reader;
    held.heard = m_timer.now();
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
    ask(reader->instance, {}, [this, id, prefix, done](std::optional<RegistryChanges> news) {
        if (!news || !news->isKnown || isOld(*news) || news->revision < m_delivered) {
            noteFailure(id, news ? "its news are old" : "no answer");
            listDirectly(prefix, done);
            return;
        }
        deliver(id.text(), answerFrom(std::move(*news)), done);
    });
}

void SharedRegistryReader::watch(const std::string &prefix, RegistryRevision revision,
                                 Duration wait, Callback done)
{
    Reader *reader = m_role.isReader ? nullptr : chooseReader();
    const auto watchDirectly = [this, prefix, revision, wait, done] {
        m_direct.watch(prefix, revision, wait,
                       [this, done, life = std::weak_ptr(m_life)](RegistryAnswer answer) {
                           if (!life.expired())
                               deliver(registryItself, std::move(answer), done);
                       });
    };
    if (!reader) {
        watchDirectly();
        return;
    }
    const InstanceId id = reader->instance.id;
    ask(reader->instance, {revision, questionWait},
        [this, id, watchDirectly, done](std::optional<RegistryChanges> news) {
            if (!news || isOld(*news)) {
                noteFailure(id, news ? "its news are old" : "no answer");
                watchDirectly();
                return;
            }
            deliver(id.text(), answerFrom(std::move(*news)), done);
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
    if (now - reader.heard > silenceLimit)
        return false;
    // A reader that hangs is not heard of either, and must not cost a wait again and again.
    return !reader.failed
           || (now - *reader.failed >= failurePause && reader.heard > *reader.failed);
}

std::uint64_t SharedRegistryReader::rank(const Reader &reader) const
{
    // Spreads the instances of one data centre over its readers.
    const std::string pair = m_role.self.text() + "\n" + reader.instance.id.text();
    return placeNearFirst(XXH3_64bits(pair.data(), pair.size()),
                          reader.instance.dataCentre == m_role.dataCentre);
}

void SharedRegistryReader::ask(const Instance &reader, const RegistryChangesRequest &question,
                               NewsCallback done)
{
    const Duration timeLeft = question.wait + answerTime;
    m_peers.call(reader, question, timeLeft,
                 [done = std::move(done), life = std::weak_ptr(m_life)](PeerOutcome outcome) {
                     if (life.expired())
                         return;
                     auto *news =
                         outcome.reply ? std::get_if<RegistryChanges>(&*outcome.reply) : nullptr;
                     done(news ? std::optional(std::move(*news)) : std::nullopt);
                 });
}

void SharedRegistryReader::listDirectly(const std::string &prefix, Callback done)
{
    m_direct.list(
        prefix, {},
        [this, done = std::move(done), life = std::weak_ptr(m_life)](RegistryAnswer answer) {
            if (life.expired())
                return;
            if (answer.error != RegistryError::None && m_delivered == 0) {
                listOldNews(std::move(answer), done);
                return;
            }
            deliver(registryItself, std::move(answer), done);
        });
}

/// For an instance that knows nothing yet, while the registry is out of reach.
void SharedRegistryReader::listOldNews(RegistryAnswer failure, Callback done)
{
    Reader *reader = nullptr;
    for (auto &[id, held] : m_readers) {
        if (m_timer.now() - held.heard <= silenceLimit && (!reader || held.heard > reader->heard))
            reader = &held;
    }
    if (!reader) {
        done(std::move(failure));
        return;
    }
    const InstanceId id = reader->instance.id;
    ask(reader->instance, {},
        [this, id, failure = std::move(failure), done = std::move(done)](auto news) {
            if (!news || !news->isKnown) {
                done(failure);
                return;
            }
            deliver(id.text(), answerFrom(std::move(*news)), done);
        });
}

void SharedRegistryReader::noteFailure(const InstanceId &reader, const char *cause)
{
    const auto found = m_readers.find(reader);
    if (found != m_readers.end())
        found->second.failed = m_timer.now();
    m_log.record(EventId::RegistryReaderFailed, {}, {{"reader", reader.text()}, {"cause", cause}});
}

void SharedRegistryReader::deliver(const std::string &source, RegistryAnswer answer,
                                   const Callback &done)
{
    const bool isGood = answer.error == RegistryError::None;
    // A reader whose history is too short has answered all the same.
    if ((isGood || answer.isShared) && source != m_source) {
        m_source = source;
        m_log.record(EventId::RegistrySourceChanged, {},
                     {{"source", source}, {"ageMs", inMilliseconds(answer.age)}});
    }
    if (isGood)
        m_delivered = std::max(m_delivered, answer.revision);
    done(std::move(answer));
}

} // namespace oleander::gateway
