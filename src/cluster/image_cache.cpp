#include "cluster/image_cache.hpp"

#include <algorithm>

namespace asterstair::cluster {

void ImageCache::use(const std::string& image, double size_gb, double capacity_gb) {
  if (!by_last_use_.empty() && by_last_use_.back().first == image) return;
  const auto cached = std::find_if(by_last_use_.begin(), by_last_use_.end(),
                                   [&](const auto& entry) { return entry.first == image; });
  if (cached != by_last_use_.end()) {
    by_last_use_.splice(by_last_use_.end(), by_last_use_, cached);
    return;
  }
  by_last_use_.emplace_back(image, size_gb);
  images_.insert(image);
  double total_gb = 0;
  for (const auto& [name, gb] : by_last_use_) total_gb += gb;
  while (capacity_gb > 0 && total_gb > capacity_gb && by_last_use_.size() > 1) {
    total_gb -= by_last_use_.front().second;
    images_.erase(by_last_use_.front().first);
    by_last_use_.pop_front();
  }
}

}  // namespace asterstair::cluster
