#include "CrashSpread.h"

namespace oleander {

namespace {

constexpr std::size_t maximumKnown = 4096;

} // namespace

bool CrashSpread::note(const CrashNotice &notice, TimePoint now, Duration memory)
{
    const Key key{notice.service, notice.fingerprint, notice.server};
    if (notice.age >= memory || m_seenAt.contains(key) || m_seenAt.size() >= maximumKnown)
        return false;
    m_seenAt[key] = now - notice.age;
    m_pending.push_back(key);
    return true;
}

std::vector<CrashNotice> CrashSpread::takePending(TimePoint now)
{
    std::vector<CrashNotice> notices;
    for (const Key &key : m_pending) {
        const auto seen = m_seenAt.find(key);
        if (seen != m_seenAt.end())
            notices.push_back({key.service, key.fingerprint, key.server, now - seen->second});
    }
    m_pending.clear();
    return notices;
}

void CrashSpread::expire(TimePoint now, Duration memory)
{
    std::erase_if(m_seenAt, [=](const auto &item) { return now - item.second >= memory; });
}

} // namespace oleander
