// Runs the product's policy and its baselines in virtual time with one seed. Prints the measures that the users' requirements
// list, and writes them as CSV to the file given as the first argument.

#include "RequestModel.h"

#include "LibBalancing/RendezvousHash.h"
#include "LibState/FlowKey.h"

#include <cstdio>
#include <fstream>
#include <random>
#include <string>

namespace {

using namespace Papaya;

constexpr std::uint64_t Seed = 1;

/// Prints each measured value, and also writes it to a CSV file if a path is given.
class Table
{
public:
    explicit Table(const char *csvPath)
    {
        if (csvPath != nullptr)
            m_csv.open(csvPath);
        m_csv << "deployment,measure,baseline,figure,bound\n";
    }

    void add(const std::string &deployment, const std::string &measure, std::string_view baseline, double value, const std::string &bound)
    {
        std::printf("%-16s %-42s %-26.*s %10.4g  %s\n",
                    deployment.c_str(),
                    measure.c_str(),
                    static_cast<int>(baseline.size()),
                    baseline.data(),
                    value,
                    bound.c_str());
        std::fflush(stdout);
        m_csv << deployment << ',' << measure << ',' << baseline << ',' << value << ',' << bound << '\n';
    }

private:
    std::ofstream m_csv;
};

std::string policyNames(PlacementPolicy placement, QueuePolicy queue)
{
    return std::string(policyName(placement)) + "+" + std::string(policyName(queue));
}

RequestPlan basePlan(int slots)
{
    RequestPlan plan;
    plan.slots = slots;
    plan.seed = Seed;
    return plan;
}

void measureImbalance(Table &table, const std::string &deployment, int slots)
{
    for (const auto placement :
         {PlacementPolicy::Protocol, PlacementPolicy::Random, PlacementPolicy::HashAlone, PlacementPolicy::LowestReportedLoad}) {
        auto plan = basePlan(slots);
        plan.placement = placement;
        const auto outcome = runRequests(plan);
        table.add(deployment, "imbalance at 70% load", policyName(placement), outcome.imbalance, "1.25");
        table.add(
            deployment, "answered in time of offered at 70% load", policyName(placement), outcome.answeredInTime / outcome.offered, "");
        if (placement == PlacementPolicy::Protocol)
            table.add(deployment, "mean hops of a new flow", policyName(placement), outcome.meanHops, "1.2");
        plan.hasMisreportingTarget = true;
        table.add(deployment, "imbalance while the slowest target lies", policyName(placement), runRequests(plan).imbalance, "1.25");
    }
}

void measurePeak(Table &table, const std::string &deployment, int slots)
{
    for (const double peak : {3.0, 6.0}) {
        for (const auto queue : {QueuePolicy::Policy, QueuePolicy::Unbounded, QueuePolicy::FixedLength}) {
            auto plan = basePlan(slots);
            plan.queue = queue;
            plan.peakLoad = peak;
            const auto outcome = runRequests(plan);
            const auto name = " at " + std::to_string(static_cast<int>(peak)) + "x";
            const auto admitted = outcome.offered - outcome.shed;
            table.add(deployment, "crest goodput of capacity" + name, policyName(queue), outcome.peakGoodput, "0.95");
            table.add(deployment, "admitted answered in time" + name, policyName(queue), outcome.answeredInTime / admitted, "1");
            table.add(deployment, "recovery seconds" + name, policyName(queue), outcome.recoverySeconds, "5");
        }
    }
}

void measureStragglers(Table &table, const std::string &deployment, int slots)
{
    for (const auto queue : {QueuePolicy::Policy, QueuePolicy::Unbounded}) {
        auto plan = basePlan(slots);
        plan.queue = queue;
        const auto without = runRequests(plan);
        plan.stragglerFraction = 0.01;
        const auto with = runRequests(plan);
        table.add(deployment, "short work p99 without stragglers", policyName(queue), without.percentile99, "");
        table.add(deployment, "short work p99 ratio with 1% stragglers", policyName(queue), with.percentile99 / without.percentile99, "2");
        table.add(
            deployment, "short work p99.9 ratio with 1% stragglers", policyName(queue), with.percentile999 / without.percentile999, "2");
    }
}

void measureColdStart(Table &table, const std::string &deployment, int slots)
{
    for (const auto placement : {PlacementPolicy::Protocol, PlacementPolicy::Random}) {
        auto plan = basePlan(slots);
        plan.placement = placement;
        plan.queue = placement == PlacementPolicy::Protocol ? QueuePolicy::Policy : QueuePolicy::Unbounded;
        plan.coldStartFactor = 10;
        plan.load = 0.5;
        table.add(
            deployment, "late at a cold target", policyNames(placement, plan.queue), runRequests(plan).answeredLateByJoinedTarget, "0");
    }
}

/// Measures how many flows of a million are routed to another target when an eighth target joins seven others. These flows would
/// break if agents did not forward packets to the owners of flows.
void measureMoves(Table &table)
{
    constexpr int Flows = 200'000;
    std::mt19937_64 random(Seed);
    std::vector<std::uint64_t> targets;
    targets.reserve(8);
    for (int index = 0; index < 8; ++index)
        targets.push_back(hashOf("target-" + std::to_string(index)));
    const auto before = std::span(targets).first(7);
    int movedByModulo = 0;
    int movedByRank = 0;
    for (int index = 0; index < Flows; ++index) {
        const auto key = random();
        movedByModulo += key % 7 != key % 8 ? 1 : 0;
        movedByRank += rendezvousFirst(before, key) != rendezvousFirst(targets, key) ? 1 : 0;
    }
    table.add("both", "moved flows per million from 7 to 8", "modulo", 1e6 * movedByModulo / Flows, "");
    table.add("both", "moved flows per million from 7 to 8", "rendezvous", 1e6 * movedByRank / Flows, "125000 (1/n)");
}

} // namespace

int main(int argc, char **argv)
{
    Table table(argc > 1 ? argv[1] : nullptr);
    std::printf("seed %llu\n", static_cast<unsigned long long>(Seed));
    measureMoves(table);
    for (const auto &[deployment, slots] : {std::pair<std::string, int> {"7 targets x 7", 7}, {"7 targets x 5", 5}}) {
        measureImbalance(table, deployment, slots);
        measurePeak(table, deployment, slots);
        measureStragglers(table, deployment, slots);
        measureColdStart(table, deployment, slots);
    }
}
