#pragma once

#include "LibState/Endpoint.h"

#include <string_view>

namespace Papaya {

/// Sends bytes to an HTTP server as they are, without a check of what they mean. Returns the status of the response, or 0 if there was none
/// within some seconds.
[[nodiscard]] int sendRawHttp(const Endpoint &server, std::string_view bytes);

} // namespace Papaya
