#include "ToolRun.h"

#include <oleander/adapters/callers/CallerServer.h>
#include <oleander/adapters/concurrency/EventLoop.h>
#include <oleander/adapters/operators/OperatorServer.h>
#include <oleander/reports/DaemonBurn.h>

#include <gtest/gtest.h>

#include <thread>

using namespace oleander;

namespace {

constexpr auto statusBody =
    R"({"instance": "a-1", "dataCentre": "d", "ready": true, "stopping": false,
        "configuration": 12, "configurationAgeMs": 250, "uptimeMs": 9000, "coordinated": ["s"],
        "connections": 3, "activeQueries": 4, "waitingSubRequests": 5, "refusals": 6,
        "suspicions": 7})";

std::string burnBody(std::uint64_t late)
{
    DaemonBurn burn;
    burn.instance = InstanceId("a-1");
    BackendBurn backend;
    backend.backend = BackendId("desk<script>");
    backend.objectives = objectivesOf(Policy{});
    WindowCounts &window = backend.windows.back();
    window.reach = seconds(7500);
    window.counts.queries = 1000;
    window.counts.late = late;
    window.counts.shardsAsked = 20000;
    window.counts.latencies.add(milliseconds(20), 1000);
    burn.backends.push_back(backend);
    return toJson(burn);
}

/// The operators' pages of a daemon on loopback.
class PageServer
{
public:
    explicit PageServer(std::uint64_t late)
        : m_server(m_loop.context())
    {
        m_server.addPage("/status", [](const std::string &) {
            return OperatorPage{200, "application/json", statusBody};
        });
        m_server.addPage("/burn", [late](const std::string &) {
            return OperatorPage{200, "application/json", burnBody(late)};
        });
        Reason reason;
        const auto port = m_server.listen("127.0.0.1:0", reason);
        m_address = "127.0.0.1:" + std::to_string(port.value_or(0));
        m_thread = std::thread([this] { m_loop.run(); });
    }

    PageServer(const PageServer &) = delete;
    PageServer &operator=(const PageServer &) = delete;
    ~PageServer()
    {
        m_loop.stop();
        m_thread.join();
    }

    [[nodiscard]] const std::string &address() const { return m_address; }

private:
    EventLoop m_loop;
    OperatorServer m_server;
    std::string m_address;
    std::thread m_thread;
};

/// Nothing listens there.
const std::string deadAddress = "127.0.0.1:9";

} // namespace

TEST(Status, ShowsOneRowADaemonAndNamesThoseThatDoNotAnswer)
{
    const PageServer server(0);
    const ToolRun run = runInTest({"status", "--daemon", server.address()});
    EXPECT_EQ(run.code, ExitCode::Ok) << run.out << run.err;
    EXPECT_NE(run.out.find("a-1       d            ready  12"), std::string::npos) << run.out;
    const ToolRun part =
        runInTest({"status", "--daemon", server.address(), "--daemon", deadAddress});
    EXPECT_EQ(part.code, ExitCode::Unreachable);
    EXPECT_NE(part.out.find("a-1 "), std::string::npos);
    EXPECT_NE(part.out.find(deadAddress + " can not be connected"), std::string::npos) << part.out;
    const ToolRun json = runInTest({"status", "--daemon", server.address(), "--json"});
    EXPECT_NE(json.out.find("\"configurationAgeMs\": 250.0"), std::string::npos) << json.out;
}

TEST(Status, RefusesWrongUse)
{
    EXPECT_EQ(runInTest({"status"}).code, ExitCode::Usage);
    EXPECT_EQ(runInTest({"status", "--timeout-ms", "soon", "--daemon", deadAddress}).code,
              ExitCode::Usage);
    EXPECT_EQ(runInTest({"status", "--instances", "/does/not/exist"}).code, ExitCode::Usage);
    EXPECT_EQ(runInTest({"status", "--platform", deadAddress}).code, ExitCode::Unreachable);
}

TEST(Burn, AddsDaemonsUpAndTellsASpentBudgetByItsExitCode)
{
    const PageServer calm(4);
    const PageServer slow(16);
    const ToolRun well = runInTest({"burn", "--daemon", calm.address()});
    EXPECT_EQ(well.code, ExitCode::Ok) << well.out << well.err;
    EXPECT_NE(well.out.find("40.0%"), std::string::npos) << well.out;
    EXPECT_NE(well.out.find("2 h 5 min"), std::string::npos) << well.out;
    const ToolRun both =
        runInTest({"burn", "--daemon", calm.address(), "--daemon", slow.address(), "--json"});
    EXPECT_EQ(both.code, ExitCode::Finding);
    EXPECT_NE(both.out.find("\"latencyBudgetBurnt\": 1.0"), std::string::npos) << both.out;
    EXPECT_EQ(runInTest({"burn", "--daemon", deadAddress}).code, ExitCode::Unreachable);
}

TEST(Burn, WritesAPageThatNeedsNoOtherFile)
{
    const PageServer server(16);
    const TemporaryFolder folder;
    const std::string path = folder.path() + "/burn.html";
    EXPECT_EQ(runInTest({"burn", "--daemon", server.address(), "--html", path}).code,
              ExitCode::Finding);
    const std::string page = fileText(path);
    EXPECT_NE(page.find("<svg"), std::string::npos);
    EXPECT_NE(page.find("<td class=\"spent\">160.0%</td>"), std::string::npos) << page;
    for (const char *foreign : {"<script", "src=", "href=", "url(", "@import"})
        EXPECT_EQ(page.find(foreign), std::string::npos) << foreign;
}

namespace {

/// Answers every query with one document.
class OneDocument : public QueryHandler
{
public:
    QueryTicket submit(Query query, std::function<void(Answer)> done) override
    {
        Answer answer;
        answer.outcome = query.limit == 1 ? Outcome::Partial : Outcome::Answered;
        answer.ran = ExecutionState::Ran;
        answer.documents = {{DocumentId("doc-1"), 0.5, query.payload}};
        done(answer);
        return {};
    }
    void abandon(QueryTicket /*ticket*/) override {}
};

class NoLog : public EventLog
{
public:
    void record(EventId /*event*/, const RequestId & /*request*/,
                std::string_view /*text*/) override
    {
    }
};

} // namespace

TEST(Query, ShowsTheAnswerAndTellsAPartialOneByItsExitCode)
{
    EventLoop loop;
    OneDocument handler;
    NoLog log;
    CallerServer server(loop.context(), handler, log, HttpLimits{});
    Reason reason;
    const auto port = server.listen("127.0.0.1:0", reason);
    ASSERT_TRUE(port) << reason.text;
    std::thread thread([&loop] { loop.run(); });
    const std::string address = "127.0.0.1:" + std::to_string(*port);
    const std::vector<std::string> arguments{"query", "--address", address, "--backend",
                                             "b",     "--payload", "words"};
    const ToolRun whole = runInTest(arguments);
    std::vector<std::string> limited = arguments;
    limited.insert(limited.end(), {"--limit", "1"});
    const ToolRun part = runInTest(limited);
    loop.stop();
    thread.join();
    EXPECT_EQ(whole.code, ExitCode::Ok) << whole.out << whole.err;
    EXPECT_NE(whole.out.find("doc-1  0.5  words"), std::string::npos) << whole.out;
    EXPECT_EQ(part.code, ExitCode::Finding) << part.out << part.err;
}

TEST(Query, RefusesWrongUseAndNamesASilentDaemon)
{
    EXPECT_EQ(runInTest({"query"}).code, ExitCode::Usage);
    EXPECT_EQ(
        runInTest({"query", "--address", deadAddress, "--backend", "b", "--urgency", "x"}).code,
        ExitCode::Usage);
    EXPECT_EQ(runInTest({"query", "--address", deadAddress, "--backend", "b"}).code,
              ExitCode::Unreachable);
}
