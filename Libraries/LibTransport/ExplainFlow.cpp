#include "LibTransport/ExplainFlow.h"

namespace Papaya {

ExplainReport explainFlow(const std::string &text, const std::function<void(const FlowKey &, nlohmann::json &)> &describe)
{
    nlohmann::json report;
    report["flow"] = text;
    const auto flow = parseFlowKey(text);
    if (flow.has_error())
        report["failure"] = Papaya::describe(flow.error());
    else
        describe(flow.value(), report);
    // Names come from the platform and may have any bytes. Without the replacement, dump() throws on those that are not UTF-8.
    constexpr int WithoutIndentation = -1;
    return {report.dump(WithoutIndentation, ' ', false, nlohmann::json::error_handler_t::replace)};
}

} // namespace Papaya
