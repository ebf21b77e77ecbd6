#include "LibState/Metrics.h"

#include <sstream>

namespace Papaya {

namespace {

constexpr unsigned LatencyBins = 24;
/// Range of the latency histogram in milliseconds.
constexpr double MinimumLatency = 0.1;
constexpr double MaximumLatency = 100'000;

} // namespace

Metrics::Metrics()
    : m_latencies(boost::histogram::make_histogram(LatencyAxis(LatencyBins, MinimumLatency, MaximumLatency)))
{
}

void Metrics::count(std::string_view name, std::string_view label, std::uint64_t amount)
{
    m_counters[{std::string(name), std::string(label)}] += amount;
}

void Metrics::setGauge(std::string_view name, double value)
{
    m_gauges[std::string(name)] = value;
}

void Metrics::recordLatency(double milliseconds)
{
    m_latencies(milliseconds);
    m_latencySum += milliseconds;
}

std::uint64_t Metrics::counter(std::string_view name, std::string_view label) const
{
    const auto found = m_counters.find({std::string(name), std::string(label)});
    return found == m_counters.end() ? 0 : found->second;
}

std::string Metrics::prometheusText() const
{
    std::ostringstream text;
    std::string_view previous;
    for (const auto &[key, value] : m_counters) {
        if (key.first != previous)
            text << "# TYPE papaya_" << key.first << "_total counter\n";
        previous = key.first;
        text << "papaya_" << key.first << "_total";
        if (!key.second.empty())
            text << "{reason=\"" << key.second << "\"}";
        text << ' ' << value << '\n';
    }
    for (const auto &[name, value] : m_gauges)
        text << "# TYPE papaya_" << name << " gauge\npapaya_" << name << ' ' << value << '\n';

    text << "# TYPE papaya_request_latency_milliseconds histogram\n";
    double cumulative = m_latencies.at(-1);
    for (int bin = 0; bin < m_latencies.axis().size(); ++bin) {
        cumulative += m_latencies.at(bin);
        text << "papaya_request_latency_milliseconds_bucket{le=\"" << m_latencies.axis().bin(bin).upper() << "\"} " << cumulative << '\n';
    }
    cumulative += m_latencies.at(m_latencies.axis().size());
    text << "papaya_request_latency_milliseconds_bucket{le=\"+Inf\"} " << cumulative << '\n';
    text << "papaya_request_latency_milliseconds_sum " << m_latencySum << '\n';
    text << "papaya_request_latency_milliseconds_count " << cumulative << '\n';
    return text.str();
}

} // namespace Papaya
