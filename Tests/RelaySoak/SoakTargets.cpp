#include "SoakTargets.h"

#include "LibTransport/HttpClient.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace Papaya {

namespace {

const std::string KeyPrefix = "servers/";
constexpr Duration ReadTimeout {2'000};

} // namespace

SoakTargets::SoakTargets(RelayDeployment &deployment)
    : m_store(deployment.store())
{
    HttpClient client(RelayDeployment::storeAddress(EntryOptions {}.storePort));
    const auto response = client.get("/-/kv-range?Prefix=" + KeyPrefix, ReadTimeout, ReadTimeout).value();
    const auto body = nlohmann::json::parse(response.body);
    for (const auto &item : body.at("items")) {
        const auto key = item.at("Key").get<std::string>();
        Target target;
        if (!key.starts_with(KeyPrefix) || !absl::Base64Unescape(item.at("Value").get<std::string>(), &target.entry))
            continue;
        target.host = parseEndpoint(nlohmann::json::parse(target.entry).at("Address").get<std::string>()).value().address;
        m_targets.emplace(key.substr(KeyPrefix.size()), std::move(target));
    }
}

void SoakTargets::drain(const std::string &agent)
{
    auto entry = nlohmann::json::parse(m_targets.at(agent).entry);
    entry["State"] = "draining";
    m_store.put(KeyPrefix + agent, entry.dump());
}

} // namespace Papaya
