#include "LibProtocol/VmListJson.h"

#include "LibProtocol/IniDocument.h"

#include <nlohmann/json.hpp>

#include <set>

namespace Papaya {

namespace {

using Json = nlohmann::json;

Result<std::string> readText(const Json &object, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string())
        return Failure {FailureKind::MissingKey, 0, key};
    return found->get<std::string>();
}

Result<VirtualMachine> readMachine(const Json &object)
{
    if (!object.is_object())
        return Failure {FailureKind::MalformedJson, 0, "vm"};
    VirtualMachine machine;
    BOOST_OUTCOME_TRY(name, readText(object, "name"));
    BOOST_OUTCOME_TRY(failureDomain, readText(object, "failure_domain"));
    BOOST_OUTCOME_TRY(role, readText(object, "role"));
    BOOST_OUTCOME_TRY(state, readText(object, "state"));
    BOOST_OUTCOME_TRY(address, readText(object, "daemon"));
    BOOST_OUTCOME_TRY(daemon, parseEndpoint(address));
    machine.name = name;
    machine.failureDomain = failureDomain;
    machine.daemon = daemon;
    if ((role != "entry" && role != "target") || (state != "live" && state != "leaving"))
        return Failure {FailureKind::ValueOutOfRange, 0, machine.name};
    machine.role = role == "entry" ? VmRole::Entry : VmRole::Target;
    machine.state = state == "live" ? VmState::Live : VmState::Leaving;
    if (machine.role == VmRole::Target) {
        BOOST_OUTCOME_TRY(group, readText(object, "group"));
        machine.group = group;
    }
    return machine;
}

} // namespace

Result<VmList> parseVmList(std::string_view text)
{
    if (text.size() > TextSizeLimit)
        return Failure {FailureKind::TextTooLarge, 0, "vms"};
    const auto root = Json::parse(text, nullptr, false);
    if (!root.is_object() || !root.contains("version") || !root["version"].is_number_unsigned() || !root.contains("vms")
        || !root["vms"].is_array())
        return Failure {FailureKind::MalformedJson, 0, "vms"};
    VmList list;
    list.version = root["version"].get<std::uint64_t>();
    std::set<std::string> names;
    for (const auto &object : root["vms"]) {
        BOOST_OUTCOME_TRY(machine, readMachine(object));
        if (!names.insert(machine.name).second)
            return Failure {FailureKind::DuplicateKey, 0, machine.name};
        list.machines.push_back(std::move(machine));
    }
    return list;
}

Result<VmListChange> parseVmListChange(std::uint64_t baseVersion, std::string_view changed, std::vector<std::string> removed)
{
    BOOST_OUTCOME_TRY(list, parseVmList(changed));
    return VmListChange {baseVersion, list.version, std::move(list.machines), std::move(removed)};
}

std::string formatChangedMachines(const VmListChange &change)
{
    return formatVmList({change.version, change.changed});
}

std::string formatVmList(const VmList &list)
{
    Json root;
    root["version"] = list.version;
    root["vms"] = Json::array();
    for (const auto &machine : list.machines) {
        Json object;
        object["name"] = machine.name;
        object["role"] = machine.role == VmRole::Entry ? "entry" : "target";
        object["state"] = machine.state == VmState::Live ? "live" : "leaving";
        object["failure_domain"] = machine.failureDomain;
        object["daemon"] = toString(machine.daemon);
        if (machine.role == VmRole::Target)
            object["group"] = machine.group;
        root["vms"].push_back(std::move(object));
    }
    return root.dump();
}

} // namespace Papaya
