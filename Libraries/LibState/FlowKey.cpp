#include "LibState/FlowKey.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>

namespace Papaya {

std::uint64_t hashOf(const FlowKey &flow)
{
    const std::array<std::uint32_t, 4> words {
        flow.caller.address,
        flow.service.address,
        flow.caller.port,
        flow.service.port,
    };
    return XXH3_64bits(words.data(), sizeof(words));
}

std::uint64_t hashOf(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

Result<FlowKey> parseFlowKey(std::string_view text)
{
    const auto dash = text.find('-');
    if (dash == std::string_view::npos)
        return Failure {FailureKind::InvalidAddress, 0, std::string(text)};
    BOOST_OUTCOME_TRY(caller, parseEndpoint(text.substr(0, dash)));
    BOOST_OUTCOME_TRY(service, parseEndpoint(text.substr(dash + 1)));
    return FlowKey {caller, service};
}

std::string toString(const FlowKey &flow)
{
    return toString(flow.caller) + "-" + toString(flow.service);
}

} // namespace Papaya
