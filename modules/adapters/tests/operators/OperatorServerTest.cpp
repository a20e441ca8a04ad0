#include "callers/RawClient.h"
#include "concurrency/LoopThread.h"

#include <oleander/adapters/operators/OperatorServer.h>

#include <gtest/gtest.h>

using namespace oleander;

TEST(OperatorServer, ServesRegisteredPages)
{
    LoopThread worker;
    std::unique_ptr<OperatorServer> server;
    const std::uint16_t port = worker.run([&] {
        server = std::make_unique<OperatorServer>(worker.context());
        server->addPage("/readyz", [](const std::string &) {
            return OperatorPage{.status = 503, .body = "no configuration\n"};
        });
        server->addDeferredPage("/burn", [&](const std::string &query, auto reply) {
            worker.loop().post([query, reply] {
                reply(OperatorPage{.contentType = "application/json", .body = query});
            });
        });
        Reason reason;
        return server->listen("127.0.0.1:0", reason).value_or(0);
    });
    RawClient client(port);
    const auto page = [&](const std::string &line) {
        client.send(line + " HTTP/1.1\r\nHost: x\r\n\r\n");
        return client.readResponse();
    };
    EXPECT_TRUE(page("GET /healthz").ends_with("\r\n\r\nok\n"));
    EXPECT_TRUE(page("GET /readyz").starts_with("HTTP/1.1 503 "));
    const std::string burn = page("GET /burn?window=1h");
    EXPECT_TRUE(burn.ends_with("\r\n\r\nwindow=1h")) << burn;
    EXPECT_NE(burn.find("Content-Type: application/json\r\n"), std::string::npos);
    EXPECT_TRUE(page("GET /none").ends_with("there are: /burn /healthz /readyz\n"));
    EXPECT_TRUE(page("POST /readyz").starts_with("HTTP/1.1 405 "));
    worker.run([&] { server.reset(); });
}

// Guards against clients that open all connections of the readiness page and send nothing, so that
// the platform takes the instance for dead.
TEST(OperatorServer, ConnectionBeyondTheLimitTakesThePlaceOfTheLongestWaiting)
{
    LoopThread worker;
    std::unique_ptr<OperatorServer> server;
    HttpLimits limits;
    limits.maximumConnections = 4;
    limits.isLongestWaitingClosed = true;
    const std::uint16_t port = worker.run([&] {
        server = std::make_unique<OperatorServer>(worker.context(), limits);
        Reason reason;
        return server->listen("127.0.0.1:0", reason).value_or(0);
    });
    std::vector<std::unique_ptr<RawClient>> silent;
    for (std::size_t number = 0; number < 2 * limits.maximumConnections; ++number) {
        silent.push_back(std::make_unique<RawClient>(port));
        silent.back()->send("GET /healthz HTTP/1.1\r\nHost: x\r\n");
    }
    RawClient client(port);
    client.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(client.readResponse().starts_with("HTTP/1.1 200 "));
    // The first one is closed, the last one may still end its request.
    EXPECT_EQ(silent.front()->readAll(), "");
    silent.back()->send("\r\n");
    EXPECT_TRUE(silent.back()->readResponse().starts_with("HTTP/1.1 200 "));
    worker.run([&] { server.reset(); });
}
