#pragma once

#include "LibState/Metrics.h"

#include <caf/all.hpp>

#include <cstdint>
#include <exception>
#include <type_traits>

namespace Papaya {

/// Counts the messages that a task could not process, and logs the first one of each kind. Such a message never ends the task.
class MessageGuard
{
public:
    /// Records a message for which the task has no handler.
    void recordUnexpected(const caf::message &message);
    /// Records a handler that threw an exception.
    void recordException(const std::exception &exception);

    /// Number of messages without a handler.
    [[nodiscard]] std::uint64_t unexpectedCount() const { return m_unexpectedCount; }
    /// Number of messages whose handler threw an exception.
    [[nodiscard]] std::uint64_t exceptionCount() const { return m_exceptionCount; }

private:
    std::uint64_t m_unexpectedCount = 0;
    std::uint64_t m_exceptionCount = 0;
};

/// Sets the gauges of the messages that a task could not process.
void setMessageGauges(Metrics &metrics, const MessageGuard &guard);

/// Returns a handler that answers a request with what `function` returns, or with an error if it throws an exception.
template <typename Request, typename Function>
auto answerRequest(MessageGuard &guard, Function function)
{
    using Reply = std::invoke_result_t<Function, const Request &>;
    return [&guard, function](const Request &request) -> caf::result<Reply> {
        try {
            return function(request);
        } catch (const std::exception &exception) {
            guard.recordException(exception);
            return caf::make_error(caf::sec::runtime_error);
        }
    };
}

/// Processes all messages in a task's mailbox. A request without a handler is answered with an error. Handlers of requests are made with
/// answerRequest().
template <typename... Handlers>
void drainMailbox(caf::blocking_actor &task, MessageGuard &guard, Handlers... handlers)
{
    // Without a handler for all other messages, receive() would leave one in the mailbox, and this loop would never end.
    const auto reject = [&](caf::message_view &view) -> caf::result<caf::message> {
        guard.recordUnexpected(view.move_content_to_message());
        return caf::sec::unexpected_message;
    };
    while (!task.mailbox().empty()) {
        try {
            task.receive(handlers..., caf::others >> reject);
        } catch (const std::exception &exception) {
            guard.recordException(exception);
        }
    }
}

} // namespace Papaya
