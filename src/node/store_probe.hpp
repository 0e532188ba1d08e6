#pragma once
/// @file
/// Periodic reads of the state service by an idle node.

#include "base/runtime.hpp"
#include "store/store.hpp"

namespace asterstair {

/// Keeps an idle node's view of the state service current: reads one key whenever no request has
/// been answered for a second.
///
/// Otherwise an idle node would not notice that the state service has failed or recovered, and
/// would report an outdated state to its peers and the load balancer. Owned by Node.
class StoreProbe {
 public:
  /// Both references must outlive this object.
  StoreProbe(Runtime& runtime, store::Store& store) : runtime_(runtime), store_(store) {}

  /// Starts the periodic probe. Called once.
  void start() { probe(); }

 private:
  void probe();

  Runtime& runtime_;
  store::Store& store_;
};

}  // namespace asterstair
