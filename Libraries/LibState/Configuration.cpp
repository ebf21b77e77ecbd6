#include "LibState/Configuration.h"

#include <algorithm>

namespace Papaya {

const ServiceConfiguration *serviceAt(const Configuration &configuration, const Endpoint &address)
{
    const auto hasAddress = [&](const ServiceConfiguration &service) {
        return std::find(service.addresses.begin(), service.addresses.end(), address) != service.addresses.end();
    };
    const auto found = std::find_if(configuration.services.begin(), configuration.services.end(), hasAddress);
    return found == configuration.services.end() ? nullptr : &*found;
}

const ServiceConfiguration *serviceOfGroup(const Configuration &configuration, std::string_view targetGroup)
{
    const auto isOfGroup = [&](const ServiceConfiguration &service) { return service.targetGroup == targetGroup; };
    const auto found = std::find_if(configuration.services.begin(), configuration.services.end(), isOfGroup);
    return found == configuration.services.end() ? nullptr : &*found;
}

} // namespace Papaya
