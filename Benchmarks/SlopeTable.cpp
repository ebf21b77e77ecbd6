#include "SlopeTable.h"

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <limits>

namespace Papaya {

namespace {

constexpr int Rounds = 5;

double processorNanoseconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e9 + static_cast<double>(time.tv_nsec);
}

} // namespace

SlopeFit fitLine(const std::vector<SlopePoint> &points)
{
    const auto count = static_cast<double>(points.size());
    double sumX = 0;
    double sumY = 0;
    for (const auto &point : points) {
        sumX += point.size;
        sumY += point.value;
    }
    const double meanX = sumX / count;
    const double meanY = sumY / count;
    double covariance = 0;
    double varianceX = 0;
    double varianceY = 0;
    for (const auto &point : points) {
        covariance += (point.size - meanX) * (point.value - meanY);
        varianceX += (point.size - meanX) * (point.size - meanX);
        varianceY += (point.value - meanY) * (point.value - meanY);
    }
    SlopeFit fit;
    fit.slope = covariance / varianceX;
    fit.intercept = meanY - fit.slope * meanX;
    fit.rSquared = varianceY == 0 ? 1 : covariance * covariance / (varianceX * varianceY);
    return fit;
}

void printSlope(const std::string &name,
                const std::string &unit,
                const std::vector<double> &sizes,
                const std::function<double(double)> &measure)
{
    std::vector<SlopePoint> points;
    std::printf("%-42s", name.c_str());
    for (const auto size : sizes) {
        points.push_back({size, measure(size)});
        std::printf(" %g:%.4g", size, points.back().value);
    }
    const auto fit = fitLine(points);
    std::printf("  %s; fit %.4g + %.4g per unit, r2 %.3f\n", unit.c_str(), fit.intercept, fit.slope, fit.rSquared);
    std::fflush(stdout);
}

double nanosecondsPerCall(int calls, const std::function<void()> &call)
{
    double least = std::numeric_limits<double>::max();
    for (int round = 0; round < Rounds; ++round) {
        const double start = processorNanoseconds();
        for (int index = 0; index < calls; ++index)
            call();
        least = std::min(least, (processorNanoseconds() - start) / calls);
    }
    return least;
}

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

} // namespace Papaya
