#pragma once

#include "LibState/Endpoint.h"
#include "LibTransport/FileDescriptor.h"

#include <chrono>
#include <string>
#include <string_view>

namespace Papaya {

/// The response to a request as the caller received it.
struct RequestResult {
    /// The HTTP status; 0 if no complete response arrived.
    int status = 0;
    /// Value of the Papaya-Outcome header, or `wrong`: see sendRequest().
    std::string outcome;
    std::string body;
    /// Name of the target that ran the request.
    std::string target;
};

/// Number of requests by their outcome.
struct OutcomeCounts {
    int answered = 0;
    int notRun = 0;
    int unknown = 0;
    /// Requests that received the response to another request.
    int wrong = 0;
};

/// Optional parts of a request.
struct RequestOptions {
    std::string body;
    /// How long the target works on the request; 0 for no time.
    int workMilliseconds = 0;
    /// Value of the Papaya-Deadline-Ms header; 0 to send none.
    int deadlineMilliseconds = 0;
};

/// Sends one request on a new connection and waits for the response. The outcome is `wrong` if the response has the outcome
/// `answered` and status 200 but belongs to another request: its body must be the request's own body or, if the request has no
/// body, `served PATH id=ID` with the request's path and id.
[[nodiscard]] RequestResult sendRequest(const Endpoint &address,
                                        const std::string &method,
                                        const std::string &path,
                                        const std::string &id,
                                        const RequestOptions &options = {});

/// Adds a result to the counts by its outcome. Results without an outcome count as unknown.
void countOutcome(OutcomeCounts &counts, const RequestResult &result);

/// A caller's long-lived connection to an echo service, which sends back what it receives.
class EchoConnection
{
public:
    explicit EchoConnection(const Endpoint &address);

    /// Sends bytes and waits until the same bytes have been received. Returns false if other bytes or not all bytes are received
    /// within the timeout; the connection counts as broken from then on.
    [[nodiscard]] bool exchange(std::string_view bytes, std::chrono::milliseconds timeout);

    /// Waits, without sending, until the connection is reset or closed. Returns false after the timeout.
    [[nodiscard]] bool waitForReset(std::chrono::milliseconds timeout);

    [[nodiscard]] bool isBroken() const { return m_isBroken; }

private:
    FileDescriptor m_stream;
    bool m_isBroken = false;
};

} // namespace Papaya
