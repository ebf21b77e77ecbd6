#include "LibTransport/OperatorsTask.h"

#include "LibTransport/EventLog.h"

#include <httplib.h>

#include <optional>

namespace Papaya {

namespace {

constexpr std::chrono::seconds AnswerTimeout {2};
constexpr std::size_t ServerThreads = 2;

/// Asks the main task and waits for its answer; nothing when it does not answer in time.
template <typename Answer, typename Question>
std::optional<Answer> ask(caf::actor_system &system, const caf::actor &task, Question question)
{
    std::optional<Answer> result;
    caf::scoped_actor self(system);
    self->request(task, AnswerTimeout, std::move(question))
        .receive([&](Answer &answer) { result = std::move(answer); }, [](const caf::error &) {});
    return result;
}

} // namespace

OperatorsTask::OperatorsTask(caf::actor_config &config, Endpoint address, caf::actor mainTask)
    : caf::blocking_actor(config)
    , m_address(address)
    , m_mainTask(std::move(mainTask))
{
}

void OperatorsTask::act()
{
    httplib::Server server;
    server.new_task_queue = [] { return new httplib::ThreadPool(ServerThreads); };
    server.set_keep_alive_max_count(1);
    const auto answerStatus = [&](httplib::Response &response, const auto &fill) {
        const auto status = ask<StatusReport>(system(), m_mainTask, AskStatus {});
        if (status)
            fill(*status);
        else
            response.status = 503;
    };
    server.Get("/healthz", [&](const httplib::Request &, httplib::Response &response) {
        answerStatus(response, [&](const StatusReport &) { response.set_content("alive\n", "text/plain"); });
    });
    server.Get("/readyz", [&](const httplib::Request &, httplib::Response &response) {
        answerStatus(response, [&](const StatusReport &status) {
            response.status = status.isReady ? 200 : 503;
            response.set_content(status.isReady ? "ready\n" : "not ready\n", "text/plain");
        });
    });
    server.Get("/metrics", [&](const httplib::Request &, httplib::Response &response) {
        answerStatus(response, [&](const StatusReport &status) { response.set_content(status.metricsText, "text/plain; version=0.0.4"); });
    });
    server.Get("/status", [&](const httplib::Request &, httplib::Response &response) {
        answerStatus(response, [&](const StatusReport &status) { response.set_content(status.statusJson, "application/json"); });
    });
    server.Get("/explain", [&](const httplib::Request &request, httplib::Response &response) {
        const auto report = ask<ExplainReport>(system(), m_mainTask, AskExplain {request.get_param_value("flow")});
        response.status = report ? 200 : 503;
        if (report)
            response.set_content(report->json, "application/json");
    });
    const auto text = toString(m_address);
    if (!server.listen(text.substr(0, text.find(':')), m_address.port))
        EventLog("operators_listen_failed", LogLevel::Error).with("address", text);
}

} // namespace Papaya
