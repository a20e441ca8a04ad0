#include <oleander/gateway/RegistryRelay.h>

#include <map>
#include <utility>

namespace oleander::gateway {

namespace {

/// Interval at which waiting requests are checked.
constexpr Duration waitCheckPeriod = milliseconds(50);
/// Age reported before the first answer of the registry.
constexpr Duration unknownAge = seconds(3600);

} // namespace

RegistryRelay::RegistryRelay(const RegistryCopy &copy, AgeSource age, TimerService &timer)
    : m_copy(copy)
    , m_age(std::move(age))
    , m_timer(timer)
{
}

void RegistryRelay::ask(const RegistryChangesRequest &request, Reply reply)
{
    RegistryChanges changes = buildChanges(request.after);
    const bool isAnswerReady = !request.after || !changes.isKnown || !changes.items.empty();
    if (isAnswerReady || isStale() || request.wait <= Duration::zero()) {
        reply(std::move(changes));
        return;
    }
    m_waiting.push_back({*request.after, m_timer.now() + request.wait, std::move(reply)});
    if (m_waiting.size() == 1)
        m_checkTimer =
            m_timer.callEvery(waitCheckPeriod, [this](const TimerTick &) { answerDue(); });
}

void RegistryRelay::onChanged()
{
    answerDue();
}

void RegistryRelay::answerDue()
{
    const TimePoint now = m_timer.now();
    const bool isSourceStale = isStale();
    // A reply may start a new request, which is added to the list.
    std::list<PendingRequest> due;
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
        const auto next = std::next(entry);
        if (isSourceStale || now >= entry->deadline || entry->after < m_copy.position())
            due.splice(due.end(), m_waiting, entry);
        entry = next;
    }
    if (m_waiting.empty())
        m_checkTimer.reset();
    // Most waiting requests ask for the same position, so answers are built once for each.
    std::map<RegistryPosition, RegistryChanges> changesByPosition;
    for (PendingRequest &entry : due) {
        const auto [found, isNew] = changesByPosition.try_emplace(entry.after);
        if (isNew)
            found->second = buildChanges(entry.after);
        entry.reply(found->second);
    }
}

RegistryChanges RegistryRelay::buildChanges(std::optional<RegistryPosition> after) const
{
    RegistryChanges result;
    result.position = m_copy.position();
    result.age = m_age().value_or(unknownAge);
    auto items = after ? m_copy.since(*after) : std::optional(m_copy.items());
    result.isKnown = items && m_copy.isComplete();
    if (result.isKnown)
        result.items = std::move(*items);
    return result;
}

bool RegistryRelay::isStale() const
{
    const auto age = m_age();
    return !age || *age >= staleAge;
}

} // namespace oleander::gateway
