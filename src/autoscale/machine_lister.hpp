#pragma once
/// @file
/// Lists the cloud's machines at intervals. Owned by Autoscaler.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/runtime.hpp"
#include "base/stoppable.hpp"
#include "cloud/cloud.hpp"

namespace asterstair::autoscale {

/// Reads the list of machines page by page. One listing is in progress at a time.
class MachineLister : public Stoppable<MachineLister> {
 public:
  /// Receives a complete list.
  using OnList = std::function<void(const std::vector<ListedMachine>&)>;

  /// Both references must outlive the callbacks.
  MachineLister(Runtime& runtime, cloud::Cloud& cloud) : runtime_(runtime), cloud_(cloud) {}

  /// Begins a listing if the last one began at least `interval` ago and the cloud's rate limit
  /// allows it. `on_list` receives the complete list; it is not called if a page fails.
  void list_if_due(Duration interval, OnList on_list);
  /// When the first listing was complete; TimePoint{} before that.
  TimePoint first_completed() const { return first_completed_; }
  /// Whether a listing has been completed in this term.
  bool has_completed() const { return first_completed_ != TimePoint{}; }

 private:
  /// A listing in progress.
  struct Progress {
    std::vector<ListedMachine> machines;
    OnList on_list;
  };
  void request_page(const std::string& after, const std::shared_ptr<Progress>& progress);
  void on_page(std::optional<wire::MachinePage> page, const std::shared_ptr<Progress>& progress);
  void complete(const Progress& progress);

  Runtime& runtime_;
  cloud::Cloud& cloud_;
  bool listing_ = false;
  TimePoint last_begun_{}, first_completed_{};
};

}  // namespace asterstair::autoscale
