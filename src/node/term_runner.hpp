#pragma once
/// @file
/// Runs one term of leadership.

#include <memory>

#include "autoscale/autoscaler.hpp"
#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "cloud/catalog.hpp"
#include "cloud/cloud.hpp"
#include "leader/election.hpp"
#include "leader/term.hpp"
#include "provisioning/provisioning_controller.hpp"
#include "store/store.hpp"

namespace asterstair {

/// Runs the components that a node needs only while it leads: one leader::Term with its autoscaler,
/// from an election to the loss of leadership.
///
/// Owned by Node, which calls begin() and end() from the election's callbacks. The other components
/// of the node call term().
class TermRunner {
 public:
  /// All references must outlive this object.
  TermRunner(Runtime& runtime, store::Store& store, cloud::Cloud& cloud, const Settings& settings,
             const cloud::Catalog& catalog, leader::Election& election,
             provisioning::ProvisioningController& provisioning);

  /// Starts a new term, after ending one that is still running.
  void begin();
  /// Ends the term. Afterwards no command, response or write is sent under its token. If no term is
  /// running, only the term of the provisioning controller is ended.
  void end();

  /// The running term; null while this node does not lead. Must not be kept across callbacks.
  leader::Term* term() const { return term_.get(); }

 private:
  Runtime& runtime_;
  store::Store& store_;
  cloud::Cloud& cloud_;
  const Settings& settings_;
  const cloud::Catalog& catalog_;
  leader::Election& election_;
  provisioning::ProvisioningController& provisioning_;
  std::shared_ptr<leader::Term> term_;
  std::shared_ptr<autoscale::Autoscaler> autoscaler_;
};

}  // namespace asterstair
