#include "Asio.h"
#include "Target.h"

#include <oleander/standins/ConfigStandin.h>
#include <oleander/standins/HttpListener.h>

#include <nlohmann/json.hpp>

#include <list>

namespace oleander::standins {

namespace {

constexpr Duration longestWatch = seconds(60);
constexpr int notChanged = 304;
constexpr int notFound = 404;

HttpResponse plain(int status)
{
    HttpResponse response;
    response.status = status;
    return response;
}

HttpResponse valueResponse(SectionVersion version, std::string body)
{
    HttpResponse response;
    response.version = std::to_string(version.value());
    response.body = std::move(body);
    return response;
}

/// One waiting watch call.
struct Watch
{
    Watch(asio::io_context &context, std::string watched, SectionVersion version,
          HttpResponder responder)
        : timer(context)
        , key(std::move(watched))
        , after(version)
        , respond(std::move(responder))
    {
    }

    asio::steady_timer timer;
    std::string key;
    SectionVersion after;
    HttpResponder respond;
};

} // namespace

struct ConfigStandin::State : std::enable_shared_from_this<State>
{
    explicit State(asio::io_context &io)
        : context(io)
    {
    }

    void onRead(const HttpRequest &request, const HttpResponder &respond);
    void answerAfterDelay(HttpResponse response, const HttpResponder &respond);
    void startWatch(const std::string &key, const Target &target, const HttpResponder &respond);
    void wakeWatches();
    void onAdmin(const HttpRequest &request, const HttpResponder &respond);
    void applySwitches(const Target &target);
    void setDown(bool value);
    std::string countsText() const;

    asio::io_context &context;
    ConfigStore store;
    std::string folder;
    std::string address;
    std::unique_ptr<HttpListener> listener;
    std::unique_ptr<HttpListener> admin;
    std::list<std::shared_ptr<Watch>> watches;
    bool isDown = false;
    bool isStale = false;
    Duration delay{};
    std::uint64_t reads = 0;
    std::uint64_t watchCalls = 0;
};

void ConfigStandin::State::onRead(const HttpRequest &request, const HttpResponder &respond)
{
    const auto target = splitTarget(request.target);
    const auto key = tailOf(target.path, "/v1/values/");
    if (!key || request.method != "GET") {
        respond(plain(notFound));
        return;
    }
    if (target.arguments.contains("after")) {
        ++watchCalls;
        startWatch(*key, target, respond);
        return;
    }
    ++reads;
    const auto value = servedValue(store, *key, isStale);
    answerAfterDelay(value ? valueResponse(value->first, value->second) : plain(notFound), respond);
}

void ConfigStandin::State::answerAfterDelay(HttpResponse response, const HttpResponder &respond)
{
    if (delay <= Duration{}) {
        respond(std::move(response));
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(context, delay);
    timer->async_wait([timer, response = std::move(response), respond](const auto &error) {
        if (!error)
            respond(response);
    });
}

void ConfigStandin::State::startWatch(const std::string &key, const Target &target,
                                      const HttpResponder &respond)
{
    const SectionVersion after(target.number("after").value_or(0));
    const auto waitMs = target.number("waitMs").value_or(0);
    auto watch = std::make_shared<Watch>(context, key, after, respond);
    watches.push_back(watch);
    const auto wait = std::min<Duration>(milliseconds(waitMs), longestWatch);
    watch->timer.expires_after(wait);
    watch->timer.async_wait([self = shared_from_this(), watch](const auto &error) {
        if (error)
            return;
        self->watches.remove(watch);
        watch->respond(plain(notChanged));
    });
    wakeWatches();
}

void ConfigStandin::State::wakeWatches()
{
    const auto waiting = watches;
    for (const auto &watch : waiting) {
        const auto value = servedValue(store, watch->key, isStale);
        if (!value || value->first <= watch->after)
            continue;
        watch->timer.cancel();
        watches.remove(watch);
        answerAfterDelay(valueResponse(value->first, value->second), watch->respond);
    }
}

void ConfigStandin::State::onAdmin(const HttpRequest &request, const HttpResponder &respond)
{
    const auto target = splitTarget(request.target);
    const auto key = tailOf(target.path, "/values/");
    HttpResponse response;
    if (key && request.method == "PUT")
        putValue(store, *key, request.body);
    else if (target.path == "/switch" && request.method == "POST")
        applySwitches(target);
    else if (target.path == "/counts")
        response.body = countsText();
    else if (target.path == "/reload" && request.method == "POST") {
        Reason reason;
        if (!loadFolder(store, folder, reason))
            response = plain(notFound);
    } else
        response = plain(notFound);
    wakeWatches();
    respond(std::move(response));
}

void ConfigStandin::State::applySwitches(const Target &target)
{
    if (const auto stale = target.number("stale"))
        isStale = *stale != 0;
    if (const auto slow = target.number("slowMs"))
        delay = std::min<Duration>(milliseconds(*slow), longestWatch);
    if (const auto down = target.number("down"))
        setDown(*down != 0);
}

void ConfigStandin::State::setDown(bool value)
{
    if (isDown == value || !listener)
        return;
    isDown = value;
    if (isDown) {
        watches.clear();
        listener->stop();
        return;
    }
    Reason reason;
    listener->listen(address, reason);
}

std::string ConfigStandin::State::countsText() const
{
    const nlohmann::json counts{{"calls", reads + watchCalls},
                                {"reads", reads},
                                {"watches", watchCalls},
                                {"waiting", watches.size()}};
    return counts.dump();
}

ConfigStandin::ConfigStandin(boost::asio::io_context &context)
    : m_state(std::make_shared<State>(context))
{
}

ConfigStandin::~ConfigStandin()
{
    m_state->watches.clear();
    m_state->listener.reset();
    m_state->admin.reset();
}

void ConfigStandin::put(const std::string &key, std::string body)
{
    putValue(m_state->store, key, std::move(body));
    m_state->wakeWatches();
}

std::optional<int> ConfigStandin::load(const std::string &folder, Reason &reason)
{
    m_state->folder = folder;
    const auto changed = loadFolder(m_state->store, folder, reason);
    m_state->wakeWatches();
    return changed;
}

std::optional<std::uint16_t> ConfigStandin::listen(const std::string &address, Reason &reason)
{
    m_state->listener = std::make_unique<HttpListener>(
        m_state->context, HttpListenerLimits{},
        [state = m_state.get()](const HttpRequest &request, const HttpResponder &respond) {
            state->onRead(request, respond);
        });
    const auto port = m_state->listener->listen(address, reason);
    if (port)
        m_state->address = address.substr(0, address.rfind(':') + 1) + std::to_string(*port);
    return port;
}

std::optional<std::uint16_t> ConfigStandin::listenAdmin(const std::string &address, Reason &reason)
{
    m_state->admin = std::make_unique<HttpListener>(
        m_state->context, HttpListenerLimits{},
        [state = m_state.get()](const HttpRequest &request, const HttpResponder &respond) {
            state->onAdmin(request, respond);
        });
    return m_state->admin->listen(address, reason);
}

void ConfigStandin::setDown(bool isDown)
{
    m_state->setDown(isDown);
}

void ConfigStandin::setStale(bool isStale)
{
    m_state->isStale = isStale;
}

void ConfigStandin::setSlow(Duration delay)
{
    m_state->delay = delay;
}

std::uint64_t ConfigStandin::calls() const
{
    return m_state->reads + m_state->watchCalls;
}

} // namespace oleander::standins
