// Exponentially weighted averages.

#ifndef OLEANDERTIDE_MESH_AVERAGE_H_
#define OLEANDERTIDE_MESH_AVERAGE_H_

#include <cstdint>

namespace oleandertide::mesh {

// The first `window_samples` samples have equal weight, which makes the average
// usable after one sample; later ones have the weight 1/`window_samples`. Not
// thread-safe.
class ExponentialAverage {
 public:
  explicit ExponentialAverage(int window_samples, double initial = 0)
      : window_samples_(window_samples), value_(initial) {}

  void Add(double sample) {
    if (count_ < window_samples_) ++count_;
    value_ += (sample - value_) / count_;
  }

  // Moves the value towards `target` by `fraction` (0 to 1) of the distance.
  void MoveTowards(double target, double fraction) {
    value_ += (target - value_) * fraction;
  }

  bool is_empty() const { return count_ == 0; }
  double value() const { return value_; }

 private:
  int window_samples_;
  int count_ = 0;
  double value_;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_AVERAGE_H_
