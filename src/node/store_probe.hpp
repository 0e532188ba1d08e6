#pragma once
/// @file
/// Keeps an idle node's view of the state service current.

#include "base/runtime.hpp"
#include "store/store.hpp"

namespace asterstair {

/// Keeps the view that an idle node has of the state service current: reads one key whenever no
/// request has been answered for a second.
///
/// Without it an idle node would not notice that the state service has gone or come back, and would
/// tell its peers and the load balancer so. Owned by Node.
class StoreProbe {
 public:
  /// Both references have to outlive this object.
  StoreProbe(Runtime& runtime, store::Store& store) : runtime_(runtime), store_(store) {}

  /// Starts the periodic probe. Called once.
  void start() { probe(); }

 private:
  void probe();

  Runtime& runtime_;
  store::Store& store_;
};

}  // namespace asterstair
