#pragma once

#include <functional>
#include <string>
#include <vector>

namespace Papaya {

/// One measurement: the measured value at one size of the problem.
struct SlopePoint {
    double size = 0;
    double value = 0;
};

/// A least-squares line through measured points.
struct SlopeFit {
    double intercept = 0;
    double slope = 0;
    /// Coefficient of determination; 1 means that all points lie on the line.
    double rSquared = 0;
};

/// Fits a line to at least two points.
[[nodiscard]] SlopeFit fitLine(const std::vector<SlopePoint> &points);

/// Measures a value at each size and prints the sizes, the values and the fitted line.
void printSlope(const std::string &name,
                const std::string &unit,
                const std::vector<double> &sizes,
                const std::function<double(double)> &measure);

/// Returns the processor time of one call in nanoseconds: the minimum over several rounds of the mean of `calls` calls.
[[nodiscard]] double nanosecondsPerCall(int calls, const std::function<void()> &call);

/// Returns the number of bytes that are allocated on the heap now.
[[nodiscard]] double heapBytes();

} // namespace Papaya
