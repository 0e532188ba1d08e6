#include "node/catalog_refresher.hpp"

#include "base/log.hpp"
#include "store/records.hpp"
#include "wire/state.hpp"

namespace asterstair {
namespace {

// Long, since machine types change rarely.
constexpr auto kRefreshInterval = 60s;
// Interval until the cloud has answered once: without machine types a node may have to refuse
// submissions.
constexpr auto kRefreshRetryInterval = 2s;

}  // namespace

CatalogRefresher::CatalogRefresher(Runtime& runtime, store::Store& store, cloud::Cloud& cloud,
                                   const Settings& settings, cloud::Catalog& catalog)
    : runtime_(runtime), store_(store), cloud_(cloud), settings_(settings), catalog_(catalog) {}

void CatalogRefresher::refresh() {
  if (!catalog_.known()) load_saved_types();
  cloud_.fetch_machine_types([this](const std::optional<std::vector<MachineType>>& types) {
    if (types && !types->empty()) on_types(*types);
    runtime_.after(
        cloud_has_answered_ ? Duration(kRefreshInterval) : Duration(kRefreshRetryInterval),
        [this] { refresh(); });
  });
}

void CatalogRefresher::load_saved_types() {
  store_.get(store::kCatalogKey, [this](const store::ReadResult& result) {
    if (result.outcome != store::ReadOutcome::Found || cloud_has_answered_) return;
    try {
      catalog_.set(wire::decode_machine_types(wire::dump(*result.item.value)));
    } catch (const wire::DecodeError& error) {
      log::error("catalog: malformed record: {}", error.what());
    }
  });
}

void CatalogRefresher::on_types(const std::vector<MachineType>& types) {
  const bool first_answer = !cloud_has_answered_;
  cloud_has_answered_ = true;
  catalog_.set(types);
  if (first_answer) save_types(types);
}

// A failed write is not retried: each node writes the types once after its start.
void CatalogRefresher::save_types(const std::vector<MachineType>& types) {
  auto value = wire::encode_machine_types(types);
  if (wire::dump(value).size() >= settings_.value_bytes) return;
  wire::Txn txn;
  txn.changes = {{store::kCatalogKey, std::move(value)}};
  store_.write(std::move(txn), store::Urgency::Lazy, [](const store::WriteResult&) {});
}

}  // namespace asterstair
