#include "CrashNoticeRelay.h"

namespace oleander {

namespace {

constexpr std::size_t maximumRemembered = 4096;

} // namespace

bool CrashNoticeRelay::add(const CrashNotice &notice, TimePoint now, Duration memory)
{
    const Key key{notice.service, notice.fingerprint, notice.server};
    if (notice.age >= memory || m_knownSince.contains(key)
        || m_knownSince.size() >= maximumRemembered)
        return false;
    m_knownSince[key] = now - notice.age;
    m_pending.push_back(key);
    return true;
}

std::vector<CrashNotice> CrashNoticeRelay::takePending(TimePoint now)
{
    std::vector<CrashNotice> notices;
    for (const Key &key : m_pending) {
        const auto known = m_knownSince.find(key);
        if (known != m_knownSince.end())
            notices.push_back({key.service, key.fingerprint, key.server, now - known->second});
    }
    m_pending.clear();
    return notices;
}

void CrashNoticeRelay::expire(TimePoint now, Duration memory)
{
    std::erase_if(m_knownSince, [=](const auto &item) { return now - item.second >= memory; });
}

} // namespace oleander
