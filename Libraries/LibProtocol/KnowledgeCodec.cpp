#include "LibProtocol/KnowledgeCodec.h"

#include "Generated/Knowledge_generated.h"

#include <charconv>

namespace Papaya {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;

constexpr std::string_view VersionParameter = "?version=";
constexpr std::string_view HashParameter = "&hash=";

/// Reads a parameter with a decimal number at the start of a text and removes both. Returns nothing if there is none.
std::optional<std::uint64_t> takeNumber(std::string_view &text, std::string_view parameter)
{
    if (!text.starts_with(parameter))
        return std::nullopt;
    text.remove_prefix(parameter.size());
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc {})
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return number;
}

constexpr std::size_t InitialBuilderSize = std::size_t {16} * 1'024;

KnowledgeWire::Address toWire(const Endpoint &endpoint)
{
    return {endpoint.address, endpoint.port};
}

Endpoint fromWire(const KnowledgeWire::Address *address)
{
    return address == nullptr ? Endpoint {} : Endpoint {address->address(), address->port()};
}

std::string fromWire(const flatbuffers::String *text)
{
    return text == nullptr ? std::string {} : text->str();
}

flatbuffers::Offset<KnowledgeWire::Route> write(Builder &builder, const Route &route)
{
    std::vector<flatbuffers::Offset<KnowledgeWire::Service>> services;
    for (const auto &service : route.services)
        services.push_back(KnowledgeWire::CreateService(builder, builder.CreateString(service.name), service.weight));
    const auto name = builder.CreateString(route.name);
    const auto list = builder.CreateVector(services);
    const auto address = toWire(route.address);
    return KnowledgeWire::CreateRoute(builder,
                                      name,
                                      &address,
                                      list,
                                      route.isIdempotent,
                                      route.priority,
                                      static_cast<std::uint32_t>(route.timeout.count()),
                                      static_cast<std::uint32_t>(route.latencyObjective.count()));
}

flatbuffers::Offset<KnowledgeWire::Target> write(Builder &builder, const PublishedTarget &target)
{
    const auto name = builder.CreateString(target.name);
    const auto failureDomain = builder.CreateString(target.failureDomain);
    const auto application = toWire(target.application);
    const auto agent = toWire(target.agent);
    KnowledgeWire::TargetBuilder wire(builder);
    wire.add_id(target.id);
    wire.add_name(name);
    wire.add_service(target.service);
    wire.add_application(&application);
    wire.add_agent(&agent);
    wire.add_failure_domain(failureDomain);
    wire.add_slots(target.slots);
    wire.add_is_draining(target.isDraining);
    wire.add_cold_ms(static_cast<std::uint32_t>(target.coldTime.count()));
    wire.add_incarnation(target.incarnation);
    wire.add_listing_revision(target.listingRevision.number);
    wire.add_listing_era(target.listingRevision.era);
    wire.add_revision(target.revision.number);
    wire.add_era(target.revision.era);
    if (target.sequence)
        wire.add_sequence(*target.sequence);
    return wire.Finish();
}

Route read(const KnowledgeWire::Route &wire)
{
    Route route;
    route.name = fromWire(wire.name());
    route.address = fromWire(wire.address());
    route.isIdempotent = wire.is_repeatable();
    route.priority = wire.priority();
    route.timeout = Duration(wire.timeout_ms());
    route.latencyObjective = Duration(wire.latency_objective_ms());
    if (wire.services() == nullptr)
        return route;
    for (const auto *service : *wire.services()) {
        auto name = fromWire(service->name());
        const auto id = hashOf(name);
        route.services.push_back({id, std::move(name), service->weight()});
    }
    return route;
}

PublishedTarget read(const KnowledgeWire::Target &wire)
{
    PublishedTarget target;
    target.id = wire.id();
    target.name = fromWire(wire.name());
    target.service = wire.service();
    target.application = fromWire(wire.application());
    target.agent = fromWire(wire.agent());
    target.failureDomain = fromWire(wire.failure_domain());
    target.slots = wire.slots();
    target.isDraining = wire.is_draining();
    target.coldTime = Duration(wire.cold_ms());
    target.incarnation = wire.incarnation();
    if (const auto sequence = wire.sequence(); sequence.has_value())
        target.sequence = *sequence;
    target.revision = {wire.era(), wire.revision()};
    target.listingRevision = {wire.listing_era(), wire.listing_revision()};
    return target;
}

} // namespace

std::string encodeKnowledgePath(const std::optional<KnowledgeDigest> &digest)
{
    std::string path(KnowledgePath);
    if (digest) {
        path.append(VersionParameter).append(std::to_string(digest->routesVersion));
        path.append(HashParameter).append(std::to_string(digest->hash));
    }
    return path;
}

std::optional<KnowledgeDigest> decodeKnowledgePath(std::string_view path)
{
    if (!path.starts_with(KnowledgePath))
        return std::nullopt;
    path.remove_prefix(KnowledgePath.size());
    const auto version = takeNumber(path, VersionParameter);
    const auto hash = takeNumber(path, HashParameter);
    if (!version || !hash || !path.empty())
        return std::nullopt;
    return KnowledgeDigest {*version, *hash};
}

std::string encodeKnowledge(const RelayKnowledge &knowledge)
{
    Builder builder(InitialBuilderSize);
    std::vector<flatbuffers::Offset<KnowledgeWire::Route>> routes;
    for (const auto &[address, route] : knowledge.routes.routes)
        routes.push_back(write(builder, route));
    std::vector<flatbuffers::Offset<KnowledgeWire::Target>> targets;
    for (const auto &target : knowledge.targets)
        targets.push_back(write(builder, target));
    const auto routeList = builder.CreateVector(routes);
    const auto targetList = builder.CreateVector(targets);
    std::vector<flatbuffers::Offset<KnowledgeWire::Target>> withdrawn;
    for (const auto &target : knowledge.withdrawnTargets)
        withdrawn.push_back(write(builder, target));
    const auto withdrawnList = builder.CreateVector(withdrawn);
    std::vector<flatbuffers::Offset<KnowledgeWire::ServiceTraits>> services;
    for (const auto &[service, traits] : knowledge.routes.services)
        services.push_back(KnowledgeWire::CreateServiceTraits(builder, service, traits.coldRate));
    const auto serviceList = builder.CreateVector(services);
    std::vector<flatbuffers::Offset<KnowledgeWire::Evacuation>> evacuations;
    for (const auto &[domain, statement] : knowledge.evacuations)
        evacuations.push_back(KnowledgeWire::CreateEvacuation(
            builder, builder.CreateString(domain), statement.asOf.era, statement.asOf.number, statement.isEvacuated));
    const auto evacuationList = builder.CreateVector(evacuations);
    const auto idleTimeoutMs = static_cast<std::uint32_t>(knowledge.routes.idleTimeout.count());
    const auto &table = knowledge.routes;
    builder.Finish(KnowledgeWire::CreateKnowledge(builder,
                                                  table.version,
                                                  table.changeRevision.number,
                                                  idleTimeoutMs,
                                                  routeList,
                                                  targetList,
                                                  table.changeRevision.era,
                                                  knowledge.isSettled,
                                                  withdrawnList,
                                                  serviceList,
                                                  evacuationList));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

Result<RelayKnowledge> decodeKnowledge(std::string_view bytes)
{
    const Failure malformed {FailureKind::MalformedFrame, 0, "knowledge"};
    if (bytes.size() > KnowledgeSizeLimit)
        return malformed;
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!verifier.VerifyBuffer<KnowledgeWire::Knowledge>(nullptr))
        return malformed;
    const auto *wire = flatbuffers::GetRoot<KnowledgeWire::Knowledge>(data);
    RelayKnowledge knowledge;
    knowledge.isSettled = wire->is_settled();
    knowledge.routes.version = wire->version();
    knowledge.routes.changeRevision = {wire->change_era(), wire->change_revision()};
    knowledge.routes.idleTimeout = Duration(wire->idle_timeout_ms());
    if (wire->routes() != nullptr) {
        for (const auto *item : *wire->routes()) {
            auto route = read(*item);
            const auto address = route.address;
            knowledge.routes.routes.emplace(address, std::move(route));
        }
    }
    if (wire->targets() != nullptr) {
        for (const auto *item : *wire->targets())
            knowledge.targets.push_back(read(*item));
    }
    if (wire->withdrawn() != nullptr) {
        for (const auto *item : *wire->withdrawn())
            knowledge.withdrawnTargets.push_back(read(*item));
    }
    if (wire->services() != nullptr) {
        for (const auto *item : *wire->services())
            knowledge.routes.services[item->id()] = {item->cold_rate()};
    }
    if (wire->evacuations() != nullptr) {
        for (const auto *item : *wire->evacuations())
            knowledge.evacuations[fromWire(item->domain())] = {{item->era(), item->revision()}, item->is_evacuated()};
    }
    return knowledge;
}

} // namespace Papaya
