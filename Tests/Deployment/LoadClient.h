#pragma once

#include "LibState/Endpoint.h"
#include "LibTransport/FileDescriptor.h"

#include <chrono>
#include <string>
#include <string_view>

namespace Papaya {

/// What a caller learnt of one request.
struct RequestResult {
    /// The status; 0 when no whole response arrived.
    int status = 0;
    /// The outcome header.
    std::string outcome;
    std::string body;
    std::string target;
};

/// How the requests of a run ended.
struct OutcomeCounts {
    int answered = 0;
    int notRun = 0;
    int unknown = 0;
    /// Answers that were not the caller's own.
    int wrong = 0;
};

/// What a request asks for besides its path.
struct RequestOptions {
    std::string body;
    int workMilliseconds = 0;
    int deadlineMilliseconds = 0;
};

/// Sends one request on a connection of its own and waits for the answer.
[[nodiscard]] RequestResult sendRequest(const Endpoint &address,
                                        const std::string &method,
                                        const std::string &path,
                                        const std::string &id,
                                        const RequestOptions &options = {});

/// Counts a result; an answer to a GET that lacks the request's id is wrong.
void countOutcome(OutcomeCounts &counts, const RequestResult &result);

/// A caller's standing connection to a service that sends back what it receives.
class StandingConnection
{
public:
    explicit StandingConnection(const Endpoint &address);

    /// Sends bytes and waits until the same have come back. Returns false, and is broken from then on, when they do not.
    [[nodiscard]] bool exchange(std::string_view bytes, std::chrono::milliseconds limit);

    /// Waits, without sending, until the connection is reset or ended. Returns whether it was in time.
    [[nodiscard]] bool waitForReset(std::chrono::milliseconds limit);

    [[nodiscard]] bool isBroken() const { return m_isBroken; }

private:
    FileDescriptor m_stream;
    bool m_isBroken = false;
};

} // namespace Papaya
