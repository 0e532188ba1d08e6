#pragma once
/// @file
/// Applies administrators' requests to provisioning. Owned by ProvisioningController.

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
  /// `hand_over` is called when the record requests that the current holder hands its lease over.
  AdminControl(Runtime& runtime, store::Store& store, const lease::Lease& lease,
               std::function<void()> hand_over)
      : runtime_(runtime), store_(store), lease_(lease), hand_over_(std::move(hand_over)) {}

  /// Polls until the lease is lost or has another token. Called when the lease is acquired.
  void start(std::uint64_t token);

  /// Whether provisioning is paused: no operation may begin. True until the record has been read
  /// under the current token.
  bool paused() const { return control_.paused; }

 private:
  void poll(std::uint64_t token);
  bool holds(std::uint64_t token) const;
  /// Decodes the record. A malformed record pauses provisioning, because the request is unknown.
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
