#pragma once
/// @file
/// Which images a machine has cached, estimated from the tasks that it has run.

#include <list>
#include <set>
#include <string>
#include <utility>

namespace asterstair::cluster {

/// Least-recently-used model of a worker's image cache. The worker itself never reports its cache.
class ImageCache {
 public:
  /// Records that a task with the image runs, and evicts what exceeds the capacity.
  /// \param capacity_gb of the cache in GB; 0: unknown, nothing is evicted
  void use(const std::string& image, double size_gb, double capacity_gb);
  /// The images that are believed to be cached.
  const std::set<std::string>& images() const { return images_; }

 private:
  std::list<std::pair<std::string, double>> by_last_use_;  // with sizes in GB; the latest last
  std::set<std::string> images_;
};

}  // namespace asterstair::cluster
