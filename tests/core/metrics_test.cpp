// The metrics endpoint: histograms whose buckets a scraper can sum over VMs.

#include "core/metrics.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace boragepath {

TEST(Metrics, BucketsAreCumulativeAndEndWithInfinity)
{
    Metrics metrics;
    metrics.observe("call_seconds", 0.004);
    metrics.observe("call_seconds", 0.3);
    metrics.observe("call_seconds", 60);
    const std::string text = metrics.prometheusText();
    EXPECT_THAT(text, testing::HasSubstr("# TYPE call_seconds histogram\n"));
    EXPECT_THAT(text, testing::HasSubstr("call_seconds_bucket{le=\"0.005\"} 1\n"));
    EXPECT_THAT(text, testing::HasSubstr("call_seconds_bucket{le=\"0.25\"} 1\n"));
    EXPECT_THAT(text, testing::HasSubstr("call_seconds_bucket{le=\"0.5\"} 2\n"));
    EXPECT_THAT(text, testing::HasSubstr("call_seconds_bucket{le=\"+Inf\"} 3\n"));
    EXPECT_THAT(text, testing::HasSubstr("call_seconds_sum 60.304\n"));
    EXPECT_THAT(text, testing::HasSubstr("call_seconds_count 3\n"));
}

TEST(Metrics, SampleEqualToABoundIsInThatBucket)
{
    Metrics metrics;
    metrics.observe("call_seconds", 0.5);
    EXPECT_THAT(metrics.prometheusText(),
                testing::HasSubstr("call_seconds_bucket{le=\"0.5\"} 1\n"));
}

TEST(Metrics, QuantilesAreEstimated)
{
    Metrics metrics;
    for (int sample = 1; sample <= 1'000; ++sample) {
        metrics.observe("call_seconds", sample / 1'000.0);
    }
    EXPECT_THAT(metrics.prometheusText(),
                testing::ContainsRegex("call_seconds_quantile\\{quantile=\"0.95\"\\} 0.9[45]"));
}

} // namespace boragepath
