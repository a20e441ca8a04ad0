#include "StatusPage.h"
#include "ViewBoard.h"
#include "Worker.h"

#include <oleander/adapters/log/GlogEventLog.h>
#include <oleander/adapters/metrics/BurnTracker.h>
#include <oleander/adapters/metrics/PrometheusText.h>
#include <oleander/adapters/metrics/QueryMetrics.h>
#include <oleander/adapters/operators/OperatorServer.h>
#include <oleander/adapters/peers/Http2PeerNetwork.h>
#include <oleander/adapters/platform/AsioPlatformReader.h>
#include <oleander/daemon/Daemon.h>
#include <oleander/node/ControlNode.h>
#include <oleander/node/SettingsParsers.h>

#include <algorithm>
#include <atomic>
#include <future>

namespace oleander {

namespace {

/// Between "not ready" and the end of listening, so that the balancer can move away.
constexpr Duration lameDuckTime = milliseconds(1000);

ControlSettings controlSettings(const DaemonSettings &settings)
{
    ControlSettings control;
    control.self.id = settings.instance;
    control.self.dataCentre = settings.dataCentre;
    control.self.peerAddress = settings.peerAddress;
    control.self.operatorAddress = settings.operatorAddress;
    control.fleet = settings.fleet;
    return control;
}

} // namespace

struct Daemon::Impl : private PeerHandler
{
    explicit Impl(DaemonSettings newSettings)
        : settings(std::move(newSettings))
        , timers(control.context())
        , random(SeededRandom::unpredictable())
        , metrics(board)
        , burn(metrics, board, timers, settings.instance)
        , peers(control.context(), timers, log,
                {settings.instance, settings.fleet, settings.peerKey})
        , platform(control.context(), settings.platformAddresses, PlatformReaderLimits{})
        , operators(control.context())
        , node({timers, peers, platform, random, log}, controlSettings(settings), settingsParsers(),
               hooks())
    {
        for (int number = 0; number < settings.workerThreads; ++number)
            workers.push_back(std::make_unique<Worker>(workerShared(), identityOf(number)));
        peers.setHandler(this);
        addPages();
    }

    ControlNode::Hooks hooks()
    {
        ControlNode::Hooks made;
        made.viewPublished = [this](std::shared_ptr<const FleetView> view) {
            board.publish(std::move(view));
        };
        made.crashReported = [this](const CrashNotice &notice) {
            for (const auto &worker : workers)
                worker->takeCrashNotice(notice);
        };
        return made;
    }

    Worker::Shared workerShared()
    {
        return {control,
                peers,
                board,
                log,
                metrics.addThread(),
                [this](PeerRequest request, std::shared_ptr<PeerResponder> responder) {
                    routeLocally(std::move(request), std::move(responder));
                }};
    }

    QueryNode::Identity identityOf(int worker) const
    {
        return {settings.instance, settings.dataCentre, worker, settings.workerThreads};
    }

    /// Called on any worker's thread.
    void routeLocally(PeerRequest request, std::shared_ptr<PeerResponder> responder)
    {
        auto *query = std::get_if<PeerQuery>(&request);
        if (!query) {
            responder->refuse();
            return;
        }
        Worker &worker = workerOf(workers, query->query.service);
        worker.takeLocalRequest(std::move(request), std::move(responder));
    }

    // PeerHandler, on the control thread
    void onPeerRequest(PeerRequest request, std::shared_ptr<PeerResponder> responder) override
    {
        const auto *query = std::get_if<PeerQuery>(&request);
        if (!query) {
            node.onPeerRequest(std::move(request), std::move(responder));
            return;
        }
        Worker &worker = workerOf(workers, query->query.service);
        worker.peerNetwork().deliver(std::move(request), std::move(responder));
    }

    void addPages()
    {
        operators.addPage("/readyz", [this](const std::string &) { return readyPage(); });
        operators.addPage("/control", [this](const std::string &) {
            return jsonPage(controlPage(node.status()));
        });
        operators.addPage("/burn",
                          [this](const std::string &) { return jsonPage(toJson(burn.burn())); });
        operators.addDeferredPage("/status", [this](const std::string &, auto reply) {
            collectStatus([this, reply](const std::vector<QueryNodeStatus> &workerStatus) {
                reply(jsonPage(
                    toJson(daemonStatus(settings, node.status(), workerStatus, uptime()))));
            });
        });
        operators.addDeferredPage("/metrics", [this](const std::string &, auto reply) {
            collectStatus([this, reply](const std::vector<QueryNodeStatus> &workerStatus) {
                reply(metricsPage(workerStatus));
            });
        });
    }

    OperatorPage readyPage() const
    {
        OperatorPage page;
        const ControlStatus status = node.status();
        if (status.isReady && !status.isStopping) {
            page.body = "ready\n";
            return page;
        }
        page.status = 503;
        page.body = status.isStopping ? "stopping\n" : status.notReadyReason + "\n";
        return page;
    }

    static OperatorPage jsonPage(std::string body)
    {
        OperatorPage page;
        page.contentType = "application/json";
        page.body = std::move(body);
        return page;
    }

    OperatorPage metricsPage(const std::vector<QueryNodeStatus> &workerStatus) const
    {
        const DaemonStatus status = daemonStatus(settings, node.status(), workerStatus, uptime());
        OperatorPage page;
        page.contentType = "text/plain; version=0.0.4";
        page.body = prometheusText(metrics.totals(), gaugesOf(status, node.status(), log));
        return page;
    }

    [[nodiscard]] Duration uptime() const { return timers.now() - startedAt; }

    void collectStatus(const std::function<void(std::vector<QueryNodeStatus>)> &whenCollected)
    {
        auto collected = std::make_shared<std::vector<QueryNodeStatus>>();
        for (const auto &worker : workers) {
            worker->readStatus([this, collected, whenCollected](const QueryNodeStatus &status) {
                control.post([this, collected, whenCollected, status] {
                    collected->push_back(status);
                    if (collected->size() == workers.size())
                        whenCollected(*collected);
                });
            });
        }
    }

    bool start(Reason &reason)
    {
        if (!operators.listen(settings.operatorAddress, reason))
            return false;
        if (!peers.listen(settings.peerAddress, reason))
            return false;
        log.record(EventId::DaemonStarted, settings.instance.text());
        node.start();
        for (const auto &worker : workers) {
            if (!worker->start(settings.callerAddress, reason))
                return false;
        }
        controlThread = std::thread([this] { control.run(); });
        return true;
    }

    void beginStop()
    {
        control.post([this] {
            if (isStopping)
                return;
            isStopping = true;
            log.record(EventId::DaemonStopping, settings.instance.text());
            node.beginStop();
            peers.beginStop();
            lameDuck = timers.callAfter(lameDuckTime, [this](const TimerTick &) { stopWorkers(); });
        });
    }

    void stopWorkers()
    {
        for (const auto &worker : workers) {
            worker->beginStop([this] {
                if (idleWorkers.fetch_add(1) + 1 == settings.workerThreads)
                    control.post([this] { peers.whenStopped([this] { ended.set_value(); }); });
            });
        }
    }

    void wait()
    {
        ended.get_future().wait();
        log.record(EventId::DaemonStopped, settings.instance.text());
        end();
    }

    void end()
    {
        for (const auto &worker : workers)
            worker->join();
        control.stop();
        if (controlThread.joinable())
            controlThread.join();
    }

    ~Impl() override { end(); }

    DaemonSettings settings;
    GlogEventLog log;
    ViewBoard board;
    EventLoop control;
    AsioTimerService timers;
    SeededRandom random;
    QueryMetrics metrics;
    BurnTracker burn;
    Http2PeerNetwork peers;
    AsioPlatformReader platform;
    OperatorServer operators;
    std::vector<std::unique_ptr<Worker>> workers;
    ControlNode node;
    std::thread controlThread;
    TimePoint startedAt = timers.now();
    Subscription lameDuck;
    bool isStopping = false;
    std::atomic<int> idleWorkers = 0;
    std::promise<void> ended;
};

Daemon::Daemon(DaemonSettings settings)
    : m_impl(std::make_unique<Impl>(std::move(settings)))
{
}

Daemon::~Daemon() = default;

bool Daemon::start(Reason &reason)
{
    return m_impl->start(reason);
}

void Daemon::beginStop()
{
    m_impl->beginStop();
}

void Daemon::wait()
{
    m_impl->wait();
}

} // namespace oleander
