#pragma once

#include "LibState/FlowKey.h"
#include "LibTransport/DaemonMessages.h"

#include <nlohmann/json.hpp>

#include <functional>

namespace Papaya {

/// Builds the response to an ExplainRequest. `describe` adds the daemon's decision for the flow to the JSON object. If `text` is not a
/// valid flow, the report holds the parse failure instead.
[[nodiscard]] ExplainReport explainFlow(const std::string &text, const std::function<void(const FlowKey &, nlohmann::json &)> &describe);

} // namespace Papaya
