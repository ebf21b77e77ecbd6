#include "LibState/Metrics.h"

#include <gtest/gtest.h>

namespace Papaya {

TEST(Metrics, FormatsCountersGaugesAndLatenciesAsPrometheusText)
{
    Metrics metrics;
    metrics.count("requests", "answered");
    metrics.count("requests", "answered", 2);
    metrics.setGauge("connections", 5);
    metrics.recordLatency(1);
    metrics.recordLatency(1'000'000);
    const auto text = metrics.prometheusText();
    EXPECT_NE(text.find("papaya_requests_total{reason=\"answered\"} 3\n"), std::string::npos);
    EXPECT_NE(text.find("papaya_connections 5\n"), std::string::npos);
    EXPECT_NE(text.find("papaya_request_latency_milliseconds_bucket{le=\"+Inf\"} 2\n"), std::string::npos);
    EXPECT_NE(text.find("papaya_request_latency_milliseconds_count 2\n"), std::string::npos);
    EXPECT_EQ(metrics.counter("requests", "answered"), 3U);
    EXPECT_EQ(metrics.counter("requests", "unknown"), 0U);
}

} // namespace Papaya
