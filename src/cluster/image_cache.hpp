#pragma once
/// @file
/// Estimates which images a machine has cached from the tasks that it has run.

#include <list>
#include <set>
#include <string>
#include <utility>

namespace asterstair::cluster {

/// Least-recently-used model of a worker's image cache. Workers do not report their caches.
class ImageCache {
 public:
  /// Records that a task uses the image, and evicts the least recently used images that exceed the
  /// capacity. At least one image is kept.
  /// \param capacity_gb of the cache in GB; 0: unknown, nothing is evicted
  void use(const std::string& image, double size_gb, double capacity_gb);
  /// The images that are estimated to be cached.
  const std::set<std::string>& images() const { return images_; }

 private:
  std::list<std::pair<std::string, double>> by_last_use_;  // image and size in GB; most recent last
  std::set<std::string> images_;
};

}  // namespace asterstair::cluster
