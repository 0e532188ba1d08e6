#pragma once
/// @file
/// Follows what an administrator has requested of provisioning. Owned by ProvisioningController.

#include <cstdint>
#include <functional>

#include "base/runtime.hpp"
#include "lease/lease.hpp"
#include "provisioning/records.hpp"
#include "store/store.hpp"

namespace asterstair::provisioning {

/// Polls the control record while this node holds the provisioning lease, and applies it.
class AdminControl {
 public:
  /// `hand_over` is called when the record asks the present holder to give its lease away.
  AdminControl(Runtime& runtime, store::Store& store, const lease::Lease& lease,
               std::function<void()> hand_over)
      : runtime_(runtime), store_(store), lease_(lease), hand_over_(std::move(hand_over)) {}

  /// Begins to poll, until the lease is lost or has another token. Called when it is acquired.
  void follow(std::uint64_t token);

  /// Whether no operation may begin. True until the record has been read under the present token.
  bool paused() const { return control_.paused; }

 private:
  void poll(std::uint64_t token);
  bool holds(std::uint64_t token) const;
  /// Returns what the record says. A malformed one pauses: the request cannot be known.
  ControlRecord decode(const store::ReadResult& result);
  void apply(const ControlRecord& control);

  Runtime& runtime_;
  store::Store& store_;
  const lease::Lease& lease_;
  std::function<void()> hand_over_;
  ControlRecord control_;
  bool malformed_logged_ = false;  ///< a malformed record is logged once, not at every poll
};

}  // namespace asterstair::provisioning
