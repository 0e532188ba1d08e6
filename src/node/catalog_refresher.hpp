#pragma once
/// @file
/// Periodic refresh of the machine types.

#include <optional>
#include <vector>

#include "base/model.hpp"
#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "cloud/catalog.hpp"
#include "cloud/cloud.hpp"
#include "store/store.hpp"

namespace asterstair {

/// Keeps the catalog of machine types current: requests them from the cloud every minute, or every
/// 2 s until the cloud has answered once.
///
/// The types of the first answer are saved in the state service. A node that has no types loads
/// them from there, so that it can decide on submissions even if it starts while the cloud is down.
/// Owned by Node; the only writer of the catalog.
class CatalogRefresher {
 public:
  /// All references must outlive this object.
  CatalogRefresher(Runtime& runtime, store::Store& store, cloud::Cloud& cloud,
                   const Settings& settings, cloud::Catalog& catalog);

  /// Starts the periodic refresh. Called once.
  void start() { refresh(); }

 private:
  void refresh();
  void load_saved_types();
  void on_types(const std::vector<MachineType>& types);
  void save_types(const std::vector<MachineType>& types);

  Runtime& runtime_;
  store::Store& store_;
  cloud::Cloud& cloud_;
  const Settings& settings_;
  cloud::Catalog& catalog_;
  bool cloud_has_answered_ = false;
};

}  // namespace asterstair
