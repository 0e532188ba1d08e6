#pragma once
// The users' interface, on every node. It holds nothing that matters: every answer about a job
// comes from the state service, leader or no leader.

#include <functional>
#include <list>
#include <string>
#include <unordered_map>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "cloud/catalog.hpp"
#include "store/records.hpp"
#include "store/store.hpp"

namespace asterstair::frontend {

struct Counts {
  std::uint32_t done = 0, running = 0;
};
using CountsByJob = std::unordered_map<std::string, Counts>;

class Frontend {
 public:
  Frontend(Runtime& runtime, store::Store& store, const Settings& settings,
           const cloud::Catalog& catalog, std::function<void(const std::string&)> on_cancelled);

  void submit(const std::string& body, const HttpCallback& respond);
  void status(const std::string& id, const HttpCallback& respond);
  void cancel(const std::string& id, const HttpCallback& respond);

  // For display only; told by the leader.
  void set_counts(CountsByJob counts) { counts_ = std::move(counts); }

 private:
  struct Found {
    enum class Outcome { Live, Final, Absent, Unavailable } outcome = Outcome::Unavailable;
    store::LiveRecord live;
    std::uint64_t version = 0;
    store::FinalRecord final;
  };

  void look_up(const std::string& id, std::function<void(Found)> done);
  void answer_known(const std::string& id, const Found& found, const HttpCallback& respond,
                    HttpResponse if_absent);
  void accept(const JobSpec& job, const HttpCallback& respond);
  void cancel_once(const std::string& id, int tries, const HttpCallback& respond);
  void remember(const std::string& id, const store::FinalRecord& record);

  Runtime& runtime_;
  store::Store& store_;
  const Settings& settings_;
  const cloud::Catalog& catalog_;
  std::function<void(const std::string&)> tell_;
  std::unordered_map<std::string, Counts> counts_;
  // How jobs ended never changes, so this alone may be kept; the least recently added goes.
  std::unordered_map<std::string, store::FinalRecord> finals_;
  std::list<std::string> finals_order_;
};

}  // namespace asterstair::frontend
