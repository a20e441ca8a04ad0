#include <oleander/standins/ExecutionLedger.h>

namespace oleander::standins {

namespace {

std::string nameOfRequest(const CallerId &caller, const RequestId &request)
{
    return caller.text() + '\n' + request.text();
}

} // namespace

void ExecutionLedger::record(const SubRequest &request)
{
    auto name = nameOfRequest(request.caller, request.request);
    const std::uint64_t hash = std::hash<std::string>{}(name);
    auto &part = partOf(hash);
    const std::lock_guard lock(part.mutex);
    ++part.executions;
    part.requests.insert(hash);
    if (request.isIdempotent)
        return;
    name += '\n';
    name += request.shard.text();
    if (++part.runs[name] > 1)
        ++part.doubledRuns;
}

bool ExecutionLedger::hasRun(const CallerId &caller, const RequestId &request)
{
    const std::uint64_t hash = std::hash<std::string>{}(nameOfRequest(caller, request));
    auto &part = partOf(hash);
    const std::lock_guard lock(part.mutex);
    return part.requests.contains(hash);
}

std::uint64_t ExecutionLedger::doubledRuns()
{
    std::uint64_t sum = 0;
    for (auto &part : m_parts) {
        const std::lock_guard lock(part.mutex);
        sum += part.doubledRuns;
    }
    return sum;
}

std::uint64_t ExecutionLedger::executions()
{
    std::uint64_t sum = 0;
    for (auto &part : m_parts) {
        const std::lock_guard lock(part.mutex);
        sum += part.executions;
    }
    return sum;
}

} // namespace oleander::standins
