#include "ServerState.h"

#include <oleander/standins/StandinDocuments.h>

namespace oleander::standins {

namespace {

constexpr int badRequest = 400;
constexpr int notFound = 404;

std::string memoryKey(const SubRequest &request)
{
    return request.caller.text() + '\n' + request.request.text() + '\n' + request.shard.text();
}

HttpResponse plain(int status)
{
    HttpResponse response;
    response.status = status;
    return response;
}

} // namespace

Execution::Execution(asio::io_context &context, ReceivedSubRequest sent, HttpResponder responder)
    : timer(context)
    , received(std::move(sent))
    , respond(std::move(responder))
    , deadline(Clock::now() + received.request.timeLeft)
{
}

ServerStandin::State::State(asio::io_context &io, Server described, const ServerShape &behaviour,
                            ExecutionLedger &record)
    : context(io)
    , server(std::move(described))
    , shape(behaviour)
    , ledger(record)
    , random(behaviour.seed ^ std::hash<std::string>{}(server.id.text()))
{
}

void ServerStandin::State::onRequest(const HttpRequest &request, const HttpResponder &respond)
{
    if (request.target == shardPath)
        onShard(request, respond);
    else if (request.target == cancelPath)
        onCancel(request, respond);
    else
        respond(plain(notFound));
}

void ServerStandin::State::onShard(const HttpRequest &request, const HttpResponder &respond)
{
    Reason reason;
    auto received = decodeSubRequest(request.body, reason);
    if (!received) {
        respond(plain(badRequest));
        return;
    }
    ++counts.received;
    if (faults.isDraining)
        counts.lastDrainArrival = std::chrono::duration_cast<Duration>(Clock::now() - drainStarted);
    auto execution = std::make_shared<Execution>(context, std::move(*received), respond);
    if (shape.networkDelay <= Duration{}) {
        admit(execution);
        return;
    }
    execution->timer.expires_after(shape.networkDelay);
    execution->timer.async_wait([self = shared_from_this(), execution](const auto &error) {
        if (!error)
            self->admit(execution);
    });
}

void ServerStandin::State::onCancel(const HttpRequest &request, const HttpResponder &respond)
{
    Reason reason;
    const auto wanted = decodeCancel(request.body, reason);
    if (!wanted) {
        respond(plain(badRequest));
        return;
    }
    ++counts.cancelCalls;
    const auto matches = [&](const ExecutionPointer &execution) {
        return execution->received.client == wanted->client
               && execution->received.request.id == wanted->request;
    };
    auto waiting = std::find_if(queue.begin(), queue.end(), matches);
    auto active = std::find_if(running.begin(), running.end(), matches);
    if (waiting != queue.end())
        stopExecution(ExecutionPointer(*waiting));
    else if (active != running.end() && (*active)->received.request.isIdempotent)
        stopExecution(ExecutionPointer(*active));
    SubReply reply;
    reply.id = wanted->request;
    reply.kind = ReplyKind::Cancelled;
    send(reply, respond);
}

void ServerStandin::State::stopExecution(const ExecutionPointer &execution)
{
    ++counts.cancelled;
    std::erase(queue, execution);
    end(execution, ReplyKind::Cancelled);
}

std::optional<ReplyKind> ServerStandin::State::refusalOf(const SubRequest &request)
{
    if (faults.isDraining) {
        ++counts.drainRefusals;
        return ReplyKind::Draining;
    }
    const auto snapshot = request.snapshot.value();
    if (snapshot < faults.oldestSnapshot || snapshot > faults.newestSnapshot) {
        ++counts.wrongSnapshot;
        return ReplyKind::WrongSnapshot;
    }
    if (!request.isIdempotent && remembered.contains(memoryKey(request)))
        return ReplyKind::AlreadyRan;
    if (faults.isShedding || queue.size() >= shape.queueLimit) {
        ++counts.shed;
        return ReplyKind::Shed;
    }
    return std::nullopt;
}

void ServerStandin::State::admit(const ExecutionPointer &execution)
{
    if (const auto refused = refusalOf(execution->received.request)) {
        reply(*execution, *refused);
        return;
    }
    queue.push_back(execution);
    beginNext();
}

void ServerStandin::State::beginNext()
{
    while (!queue.empty() && running.size() < static_cast<std::size_t>(server.slots)) {
        const auto execution = queue.front();
        queue.pop_front();
        if (Clock::now() >= execution->deadline) {
            ++counts.expired;
            reply(*execution, ReplyKind::Cancelled);
            continue;
        }
        begin(execution);
    }
}

void ServerStandin::State::begin(const ExecutionPointer &execution)
{
    const auto &request = execution->received.request;
    ++counts.executed;
    ledger.record(request);
    if (!request.isIdempotent)
        remembered.insert(memoryKey(request));
    if (request.payload.find(crashMarker) != std::string::npos) {
        ++counts.crashes;
        kill();
        return;
    }
    running.insert(execution);
    const auto serviceTime = drawServiceTime();
    if (serviceTime <= Duration{}) {
        end(execution, ReplyKind::Ok);
        return;
    }
    const auto finished = Clock::now() + serviceTime;
    const bool isInTime = finished <= execution->deadline || !request.isIdempotent;
    execution->timer.expires_at(isInTime ? finished : execution->deadline);
    execution->timer.async_wait(
        [self = shared_from_this(), execution, isInTime](const auto &error) {
            if (error || execution->isDone)
                return;
            self->counts.expired += isInTime ? 0 : 1;
            self->end(execution, isInTime ? ReplyKind::Ok : ReplyKind::Cancelled);
        });
}

void ServerStandin::State::end(const ExecutionPointer &execution, ReplyKind kind)
{
    execution->isDone = true;
    execution->timer.cancel();
    running.erase(execution);
    reply(*execution, kind);
    beginNext();
}

Duration ServerStandin::State::drawServiceTime()
{
    if (shape.serviceTime <= Duration{})
        return Duration{};
    const double half = static_cast<double>(shape.serviceTime.count()) / 2;
    double time = half + std::exponential_distribution<double>(1 / half)(random);
    if (random() % 1000 < shape.stragglerShare.value)
        time *= shape.stragglerFactor;
    if (Clock::now() < warmFrom)
        time *= shape.coldFactor;
    constexpr double percent = 100;
    return Duration(static_cast<Duration::rep>(time * faults.slowPercent / percent));
}

void ServerStandin::State::reply(Execution &execution, ReplyKind kind)
{
    const auto &request = execution.received.request;
    SubReply reply;
    reply.id = request.id;
    reply.kind = kind;
    reply.shard = request.shard;
    reply.snapshot = request.snapshot;
    if (faults.answersOtherSnapshot)
        reply.snapshot = SnapshotId(request.snapshot.value() + 1);
    if (kind == ReplyKind::Ok || kind == ReplyKind::AlreadyRan)
        reply.documents = documentsOf(request.shard, reply.snapshot, request.payload, shape);
    reply.reportedLoad = reportedLoad();
    if (shape.networkDelay <= Duration{}) {
        send(reply, execution.respond);
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(context, shape.networkDelay);
    timer->async_wait([self = shared_from_this(), timer, reply = std::move(reply),
                       respond = execution.respond](const auto &error) {
        if (!error)
            self->send(reply, respond);
    });
}

void ServerStandin::State::send(const SubReply &reply, const HttpResponder &respond)
{
    HttpResponse response;
    response.contentType = messagePackType;
    encodeSubReply(reply, response.body);
    respond(std::move(response));
}

int ServerStandin::State::load() const
{
    return static_cast<int>(queue.size() + running.size());
}

int ServerStandin::State::reportedLoad()
{
    if (shape.loadReport == LoadReport::Honest)
        return load();
    if (shape.loadReport == LoadReport::Zero)
        return 0;
    const auto now = Clock::now();
    pastLoad.emplace_back(now, load());
    while (pastLoad.size() > 1 && now - pastLoad[1].first >= shape.reportLag)
        pastLoad.pop_front();
    return pastLoad.front().second;
}

void ServerStandin::State::kill()
{
    for (const auto &execution : running) {
        execution->isDone = true;
        execution->timer.cancel();
    }
    running.clear();
    queue.clear();
    remembered.clear();
    listener->stop();
}

} // namespace oleander::standins
