#include "PlatformCall.h"

#include <oleander/adapters/platform/AsioPlatformReader.h>

namespace oleander {

namespace {
constexpr std::string_view valuesPath = "/v1/values/";
}

struct AsioPlatformReader::State
{
    asio::io_context &context;
    std::shared_ptr<PlatformEndpoints> service;

    void call(std::string target, Duration wait, PlatformCallback callback) const
    {
        std::make_shared<PlatformCall>(context, service, std::move(target), wait,
                                       std::move(callback))
            ->start();
    }
};

AsioPlatformReader::AsioPlatformReader(boost::asio::io_context &context,
                                       std::vector<std::string> addresses,
                                       PlatformReaderLimits limits)
    : m_state(std::make_unique<State>(State{
        context,
        std::make_shared<PlatformEndpoints>(PlatformEndpoints{std::move(addresses), limits, 0})}))
{
}

AsioPlatformReader::~AsioPlatformReader() = default;

void AsioPlatformReader::read(const std::string &key, PlatformCallback callback)
{
    m_state->call(std::string(valuesPath) + key, Duration{}, std::move(callback));
}

void AsioPlatformReader::watch(const std::string &key, SectionVersion after, Duration wait,
                               PlatformCallback callback)
{
    const auto waitMs = std::chrono::duration_cast<milliseconds>(wait).count();
    auto target = std::string(valuesPath) + key + "?after=" + std::to_string(after.value())
                  + "&waitMs=" + std::to_string(waitMs);
    m_state->call(std::move(target), wait, std::move(callback));
}

} // namespace oleander
