#include "autoscale/machine_lister.hpp"

namespace asterstair::autoscale {

void MachineLister::list_if_due(Duration interval, OnList on_list) {
  const auto now = runtime_.now();
  if (listing_ || now - last_begun_ < interval || !cloud_.may_call()) return;
  listing_ = true;
  last_begun_ = now;
  request_page("", std::make_shared<Progress>(Progress{{}, std::move(on_list)}));
}

void MachineLister::request_page(const std::string& after,
                                 const std::shared_ptr<Progress>& progress) {
  cloud_.list_machines(
      after, while_running([progress](MachineLister& self, std::optional<wire::MachinePage> page) {
        self.on_page(std::move(page), progress);
      }));
}

void MachineLister::on_page(std::optional<wire::MachinePage> page,
                            const std::shared_ptr<Progress>& progress) {
  if (!page) {
    listing_ = false;
    return;
  }
  auto& machines = progress->machines;
  for (auto& machine : page->machines) machines.push_back(std::move(machine));
  if (page->more && !machines.empty()) {
    const std::string last = machines.back().id;
    request_page(last, progress);
    return;
  }
  complete(*progress);
}

void MachineLister::complete(const Progress& progress) {
  listing_ = false;
  if (!has_completed()) first_completed_ = runtime_.now();
  progress.on_list(progress.machines);
}

}  // namespace asterstair::autoscale
