#include "Whole/DeploymentFixture.h"

#include "LibTransport/SocketAddress.h"

#include <sys/socket.h>

#include <future>
#include <thread>

namespace Papaya {

namespace {

using namespace std::chrono_literals;

class Requests : public DeploymentFixture
{
};

/// Sends raw bytes and returns what is received until the peer closes the connection, or until nothing arrives for 20 s.
std::string exchangeRaw(const Endpoint &address, const std::string &bytes)
{
    const FileDescriptor stream(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const auto socketAddress = toSocketAddress(address);
    if (::connect(stream.get(), reinterpret_cast<const sockaddr *>(&socketAddress), sizeof(socketAddress)) != 0)
        return {};
    const timeval limit {20, 0};
    ::setsockopt(stream.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    ::send(stream.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    std::string received;
    std::array<char, 4096> buffer;
    while (true) {
        const auto size = ::recv(stream.get(), buffer.data(), buffer.size(), 0);
        if (size <= 0)
            return received;
        received.append(buffer.data(), static_cast<std::size_t>(size));
    }
}

} // namespace

TEST_F(Requests, PipelinedRequestsAreAnsweredInOrder)
{
    startDeployment(0, 2);
    std::string pipeline;
    for (int index = 0; index < 5; ++index) {
        // Earlier requests take longer, so that running them in parallel would return the answers out of order.
        const auto work = std::to_string(50 - 10 * index);
        pipeline += "GET /horn HTTP/1.1\r\nHost: a\r\nRequest-Id: p" + std::to_string(index) + "\r\nWork-Ms: " + work + "\r\n"
                    + (index == 4 ? "Connection: close\r\n" : "") + "\r\n";
    }
    const auto answers = exchangeRaw(m_deployment->callerAddress("catalogue"), pipeline);
    std::size_t position = 0;
    for (int index = 0; index < 5; ++index) {
        const auto found = answers.find("served /horn id=p" + std::to_string(index) + "\n", position);
        ASSERT_NE(found, std::string::npos) << index << " " << answers;
        position = found;
    }
}

TEST_F(Requests, ConcurrentCallersGetTheirOwnAnswersOverLossyFabric)
{
    startDeployment(0, 2);
    m_deployment->setFaults(0.005, 0.01, 0.1);
    std::vector<std::future<OutcomeCounts>> callers;
    callers.reserve(6);
    for (int caller = 0; caller < 6; ++caller) {
        callers.push_back(std::async(std::launch::async, [this, caller] {
            OutcomeCounts counts;
            for (int index = 0; index < 6; ++index) {
                RequestOptions options;
                options.workMilliseconds = 5 + 7 * ((caller + index) % 5);
                countOutcome(counts, request("GET", std::to_string(caller) + "-" + std::to_string(index), options));
            }
            return counts;
        }));
    }
    for (auto &caller : callers) {
        const auto counts = caller.get();
        EXPECT_EQ(counts.wrong, 0);
        EXPECT_EQ(counts.answered, 6);
    }
}

TEST_F(Requests, PostWithLostAnswerIsReportedUnknownAndRunOnce)
{
    startDeployment(0, 1);
    m_deployment->postTarget("catalogue-1", "/break?count=1");
    const auto result = request("POST", "lost", {"six donkeys"});
    EXPECT_EQ(result.status, 502);
    EXPECT_EQ(result.outcome, "unknown");
    EXPECT_EQ(timesRun("lost"), 1);
}

TEST_F(Requests, IdempotentRequestWithLostAnswerIsRetried)
{
    startDeployment(0, 1);
    m_deployment->postTarget("catalogue-1", "/break?count=1");
    const auto result = request("GET", "again");
    EXPECT_EQ(result.outcome, "answered");
    EXPECT_EQ(timesRun("again"), 2);
}

TEST_F(Requests, ShedPostIsReportedNotRunAndNeverRuns)
{
    startDeployment(0, 2);
    for (const auto &target : m_deployment->targetNames("catalogue"))
        m_deployment->postTarget(target, "/shed?on=1");
    for (int index = 0; index < 5; ++index) {
        const auto id = "shed" + std::to_string(index);
        const auto result = request("POST", id, {"one donkey"});
        EXPECT_EQ(result.status, 503);
        EXPECT_EQ(result.outcome, "not-run");
        EXPECT_EQ(timesRun(id), 0);
    }
}

TEST_F(Requests, DeadlinePassedInQueueIsReportedNotRunAndAtTargetUnknown)
{
    startDeployment(0, 1);
    auto first = std::async(std::launch::async, [this] { return request("POST", "slow1", {"a", 1'500, 600}); });
    std::this_thread::sleep_for(300ms);
    // The request waits for slow1, because an agent opens only one slot until the target has answered its first request.
    const auto queued = request("POST", "queued", {"b", 10, 200});
    EXPECT_EQ(queued.outcome, "not-run");
    EXPECT_EQ(timesRun("queued"), 0);
    EXPECT_EQ(first.get().outcome, "unknown");
    EXPECT_EQ(timesRun("slow1"), 1);
}

TEST_F(Requests, KilledTargetCausesNoSecondRunAndNoRunThatWasReportedNotRun)
{
    startDeployment(0, 2);
    std::vector<std::pair<std::string, RequestResult>> results;
    std::jthread killer([this] {
        std::this_thread::sleep_for(300ms);
        m_deployment->killProcess("target-catalogue-1");
    });
    for (int index = 0; index < 60; ++index) {
        const auto id = "k" + std::to_string(index);
        results.emplace_back(id, request("POST", id, {"order", 10}));
    }
    killer.join();
    for (const auto &[id, result] : results) {
        EXPECT_LE(timesRun(id), 1) << id;
        if (result.outcome == "not-run") {
            EXPECT_EQ(timesRun(id), 0) << id;
        }
        EXPECT_NE(result.outcome, "wrong");
    }
}

TEST_F(Requests, NoRequestFailsWhileAgentStopsGracefully)
{
    startDeployment(0, 2);
    std::atomic<bool> isOver = false;
    auto load = std::async(std::launch::async, [&] {
        OutcomeCounts counts;
        for (int index = 0; !isOver; ++index)
            countOutcome(counts, request("POST", "g" + std::to_string(index), {"order", 20}));
        return counts;
    });
    std::this_thread::sleep_for(300ms);
    m_deployment->signalProcess("catalogue-1", SIGTERM);
    EXPECT_TRUE(m_deployment->waitForExit("catalogue-1", 20s));
    std::this_thread::sleep_for(1s);
    isOver = true;
    const auto counts = load.get();
    EXPECT_GT(counts.answered, 0);
    EXPECT_EQ(counts.unknown + counts.notRun + counts.wrong, 0);
}

TEST_F(Requests, AllAreAnsweredWhileEntryDaemonsAreReplaced)
{
    startDeployment(0, 2);
    std::atomic<bool> isOver = false;
    auto load = std::async(std::launch::async, [&] {
        OutcomeCounts counts;
        for (int index = 0; !isOver; ++index)
            countOutcome(counts, request("GET", "r" + std::to_string(index), {"", 5}));
        return counts;
    });
    for (const auto *name : {"entry-1", "entry-2", "entry-3"}) {
        m_deployment->killProcess(name);
        m_deployment->startProcess(name);
        EXPECT_TRUE(Deployment::waitUntil([&] { return m_deployment->readOperatorEndpoint(name, "/readyz").has_value(); }, 20s));
    }
    isOver = true;
    const auto counts = load.get();
    EXPECT_GT(counts.answered, 0);
    EXPECT_EQ(counts.unknown + counts.notRun + counts.wrong, 0);
}

TEST_F(Requests, MalformedRequestsAreRejectedAndLaterOnesAreAnswered)
{
    startDeployment(0, 1);
    const auto address = m_deployment->callerAddress("catalogue");
    EXPECT_NE(exchangeRaw(address, "NONSENSE\r\n\r\n").find("HTTP/1.1 400"), std::string::npos);
    const std::string large = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n";
    EXPECT_NE(exchangeRaw(address, large).find("HTTP/1.1 413"), std::string::npos);
    EXPECT_EQ(request("GET", "after").outcome, "answered");
}

} // namespace Papaya
