#include "node/term_runner.hpp"

namespace asterstair {

TermRunner::TermRunner(Runtime& runtime, store::Store& store, cloud::Cloud& cloud,
                       const Settings& settings, const cloud::Catalog& catalog,
                       leader::Election& election,
                       provisioning::ProvisioningController& provisioning)
    : runtime_(runtime),
      store_(store),
      cloud_(cloud),
      settings_(settings),
      catalog_(catalog),
      election_(election),
      provisioning_(provisioning) {}

void TermRunner::begin() {
  end();
  term_ = std::make_shared<leader::Term>(runtime_, store_, election_, settings_, catalog_);
  autoscaler_ = std::make_shared<autoscale::Autoscaler>(runtime_, cloud_, provisioning_, settings_,
                                                        catalog_, term_);
  term_->start();
  autoscaler_->start();
}

void TermRunner::end() {
  if (autoscaler_) autoscaler_->stop();
  if (term_) term_->stop();
  autoscaler_.reset();
  term_.reset();
  provisioning_.end_term();
}

}  // namespace asterstair
