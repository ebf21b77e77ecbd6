#pragma once

#include <functional>
#include <string>
#include <vector>

namespace Papaya {

/// One measured point.
struct SlopePoint {
    double size = 0;
    double figure = 0;
};

/// A least-squares line through measured points.
struct SlopeFit {
    double base = 0;
    double slope = 0;
    /// Coefficient of determination; 1 is a perfect line.
    double quality = 0;
};

/// Fits a line to at least two points.
[[nodiscard]] SlopeFit fitLine(const std::vector<SlopePoint> &points);

/// Measures a figure at each size and prints sizes, figures and the fitted line.
void printSlope(const std::string &name,
                const std::string &unit,
                const std::vector<double> &sizes,
                const std::function<double(double)> &measure);

/// Returns the least processor time of one call in nanoseconds, over several rounds of `calls` calls.
[[nodiscard]] double nanosecondsPerCall(int calls, const std::function<void()> &call);

/// Returns the bytes that the heap holds now.
[[nodiscard]] double heapBytes();

} // namespace Papaya
