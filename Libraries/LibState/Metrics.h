#pragma once

#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Papaya {

/// Counters, gauges and a latency histogram of one task.
class Metrics
{
public:
    Metrics();

    /// Adds to a counter. `label` is the value of the counter's only label, `reason`; it may be empty.
    void count(std::string_view name, std::string_view label = {}, std::uint64_t amount = 1);

    /// Sets a gauge.
    void setGauge(std::string_view name, double value);

    /// Records one latency in milliseconds.
    void recordLatency(double milliseconds);

    /// Returns the value of a counter; 0 if it was never incremented.
    [[nodiscard]] std::uint64_t counter(std::string_view name, std::string_view label = {}) const;

    /// Returns all values in the Prometheus text exposition format 0.0.4.
    [[nodiscard]] std::string prometheusText() const;

private:
    using LatencyAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Latencies = decltype(boost::histogram::make_histogram(std::declval<LatencyAxis>()));

    std::map<std::pair<std::string, std::string>, std::uint64_t, std::less<>> m_counters;
    std::map<std::string, double, std::less<>> m_gauges;
    Latencies m_latencies;
    double m_latencySum = 0;
};

} // namespace Papaya
