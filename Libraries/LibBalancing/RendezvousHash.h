#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace Papaya {

/// Returns the weight of a candidate for a key: a 64-bit mix of both (highest random weight, Thaler and Ravishankar 1998).
[[nodiscard]] constexpr std::uint64_t rendezvousWeight(std::uint64_t candidate, std::uint64_t key)
{
    // The finalizer of SplitMix64 (Steele, Lea and Flood 2014) over the combined words.
    std::uint64_t mixed = candidate ^ (key * 0x9e3779b97f4a7c15ULL);
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

/// Returns the index of the candidate with the greatest weight, or `candidates.size()` if there are no candidates.
[[nodiscard]] std::size_t rendezvousFirst(std::span<const std::uint64_t> candidates, std::uint64_t key);

/// Returns the indices of at most `count` candidates in descending order of weight.
[[nodiscard]] std::vector<std::size_t> rendezvousRank(std::span<const std::uint64_t> candidates, std::uint64_t key, std::size_t count);

} // namespace Papaya
