#include "LibBalancing/RendezvousHash.h"

#include <algorithm>
#include <numeric>

namespace Papaya {

std::size_t rendezvousFirst(std::span<const std::uint64_t> candidates, std::uint64_t key)
{
    std::size_t best = candidates.size();
    std::uint64_t bestWeight = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto weight = rendezvousWeight(candidates[index], key);
        if (best == candidates.size() || weight > bestWeight) {
            best = index;
            bestWeight = weight;
        }
    }
    return best;
}

std::vector<std::size_t> rendezvousRank(std::span<const std::uint64_t> candidates, std::uint64_t key, std::size_t count)
{
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t {0});
    const auto wanted = std::min(count, order.size());
    const auto isHeavier = [&](std::size_t left, std::size_t right) {
        return rendezvousWeight(candidates[left], key) > rendezvousWeight(candidates[right], key);
    };
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(wanted), order.end(), isHeavier);
    order.resize(wanted);
    return order;
}

} // namespace Papaya
