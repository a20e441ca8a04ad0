#include <oleander/gateway/RegistryShare.h>

#include <unordered_map>
#include <utility>

namespace oleander::gateway {

namespace {

/// Precision of the waits.
constexpr Duration lookPeriod = milliseconds(50);
/// Age that is stated before the registry has ever answered.
constexpr Duration neverHeard = seconds(3600);

} // namespace

RegistryShare::RegistryShare(const RegistryCopy &copy, AgeSource age, TimerService &timer)
    : m_copy(copy)
    , m_age(std::move(age))
    , m_timer(timer)
{
}

void RegistryShare::ask(const RegistryChangesRequest &question, Reply reply)
{
    RegistryChanges present = news(question.after);
    const bool hasNews = !question.after || !present.isKnown || !present.items.empty();
    if (hasNews || isOld() || question.wait <= Duration::zero()) {
        reply(std::move(present));
        return;
    }
    m_waiting.push_back({*question.after, m_timer.now() + question.wait, std::move(reply)});
    if (m_waiting.size() == 1)
        m_tick = m_timer.callEvery(lookPeriod, [this](const TimerTick &) { answerDue(); });
}

void RegistryShare::onChanged()
{
    answerDue();
}

void RegistryShare::answerDue()
{
    const TimePoint now = m_timer.now();
    const bool isEnd = isOld();
    // A reply may ask anew, which adds to the list.
    std::list<Waiting> due;
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
        const auto next = std::next(entry);
        if (isEnd || now >= entry->until || m_copy.revision() > entry->after)
            due.splice(due.end(), m_waiting, entry);
        entry = next;
    }
    if (m_waiting.empty())
        m_tick.reset();
    // Most of those that wait know the same revision.
    std::unordered_map<RegistryRevision, RegistryChanges> newsAfter;
    for (Waiting &entry : due) {
        const auto [found, isNew] = newsAfter.try_emplace(entry.after);
        if (isNew)
            found->second = news(entry.after);
        entry.reply(found->second);
    }
}

RegistryChanges RegistryShare::news(std::optional<RegistryRevision> after) const
{
    RegistryChanges result;
    result.revision = m_copy.revision();
    result.age = m_age().value_or(neverHeard);
    auto items = after ? m_copy.since(*after) : std::optional(m_copy.items());
    result.isKnown = items && m_copy.isWhole();
    if (result.isKnown)
        result.items = std::move(*items);
    return result;
}

bool RegistryShare::isOld() const
{
    const auto age = m_age();
    return !age || *age >= oldAge;
}

} // namespace oleander::gateway
