// Exponentially weighted averages.

#ifndef OLEANDERTIDE_MESH_AVERAGE_H_
#define OLEANDERTIDE_MESH_AVERAGE_H_

#include <cstdint>

namespace oleandertide::mesh {

// The first samples weigh equally, so that the average is useful at once; later
// ones weigh 1/`window`. Not thread-safe.
class Average {
 public:
  explicit Average(int window, double initial = 0)
      : window_(window), value_(initial) {}

  void Add(double sample) {
    if (count_ < window_) ++count_;
    value_ += (sample - value_) / count_;
  }

  // Moves the value towards `target` by a share from 0 to 1.
  void Relax(double target, double share) {
    value_ += (target - value_) * share;
  }

  bool is_empty() const { return count_ == 0; }
  double value() const { return value_; }

 private:
  int window_;
  int count_ = 0;
  double value_;
};

}  // namespace oleandertide::mesh

#endif  // OLEANDERTIDE_MESH_AVERAGE_H_
