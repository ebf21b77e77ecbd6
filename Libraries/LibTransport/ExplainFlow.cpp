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
    return {report.dump()};
}

} // namespace Papaya
