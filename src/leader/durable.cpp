// What the leader makes durable: the machine registry of machines, progress, and how jobs end.

#include <algorithm>

#include "leader/term.hpp"
#include "store/records.hpp"

namespace asterstair::leader {
namespace {

constexpr std::size_t kRoomPerName = 40;  // bytes in a chunk of the machine registry

}  // namespace

// Writes keys that only the leader changes: conditional on leadership and on their versions. The
// callback runs only while this term lasts.
void Term::write_own(wire::Txn txn, store::Urgency urgency, std::function<void(bool)> done) {
  std::vector<std::string> keys;
  for (const auto& c : txn.changes) {
    keys.push_back(c.key);
    txn.conditions.push_back({c.key, versions_[c.key]});
  }
  txn.conditions.push_back(election_.guard());
  store_.write(
      std::move(txn), urgency,
      [self = weak_from_this(), keys, done = std::move(done)](const store::WriteResult& r) {
        const auto f = self.lock();
        if (!f || !f->alive()) return;
        if (r.outcome == store::WriteOutcome::Committed) {
          for (const auto& key : keys) f->versions_[key] = r.revision;
          done(true);
        } else if (r.outcome == store::WriteOutcome::NotDone) {
          done(false);
        } else {
          // An earlier unanswered write was, or may yet be, carried out.
          f->read_versions(keys, [done] { done(false); });
        }
      });
}

// Looks which versions of the leader's own keys stand, so that a write may be tried again.
void Term::read_versions(const std::vector<std::string>& keys, const std::function<void()>& done) {
  auto left = std::make_shared<std::size_t>(keys.size());
  for (const auto& key : keys) {
    store_.get(key, [self = weak_from_this(), key, left, done](const store::ReadResult& r) {
      const auto f = self.lock();
      if (!f || !f->alive()) return;
      if (r.outcome == store::ReadOutcome::Found) f->versions_[key] = r.item.version;
      if (r.outcome == store::ReadOutcome::Missing) f->versions_[key] = 0;
      if (--*left == 0) done();
    });
  }
}

// Of the machines that a chunk of the machine registry names, those that are there still.
std::set<std::string> Term::present_in_registry(std::size_t chunk) const {
  std::set<std::string> out;
  std::copy_if(registry_[chunk].begin(), registry_[chunk].end(), std::inserter(out, out.end()),
               [this](const std::string& id) { return present(id); });
  return out;
}

bool Term::present(const std::string& id) const {
  const Machine* m = machines_.find(id);
  return m != nullptr && !m->lease_expired;
}

// The first chunk that names machines that have gone, or has room for new ones; a new one if need
// be.
std::optional<std::size_t> Term::registry_chunk_to_write(std::size_t names_per_chunk) {
  for (std::size_t chunk = 0; chunk < registry_.size(); ++chunk) {
    const auto& names = registry_[chunk];
    if (!registry_additions_.empty() && names.size() < names_per_chunk) return chunk;
    const bool all_present = std::all_of(names.begin(), names.end(),
                                         [this](const std::string& id) { return present(id); });
    if (!all_present) return chunk;
  }
  if (registry_additions_.empty()) return std::nullopt;
  registry_.emplace_back();
  return registry_.size() - 1;
}

void Term::write_registry() {
  if (registry_write_in_flight_) return;
  for (auto it = registry_additions_.begin(); it != registry_additions_.end();) {
    const Machine* m = machines_.find(*it);
    it = m == nullptr || m->registered ? registry_additions_.erase(it) : std::next(it);
  }
  if (!registry_stale_ && registry_additions_.empty()) return;
  const std::size_t names_per_chunk = settings_.value_bytes / kRoomPerName;
  const auto chunk = registry_chunk_to_write(names_per_chunk);
  if (!chunk) {
    registry_stale_ = false;
    return;
  }
  auto names = present_in_registry(*chunk);
  // Left out before the write is sent: one that comes back gets no work until it is entered anew.
  for (const auto& id : registry_[*chunk]) {
    if (names.count(id) != 0) continue;
    if (Machine* m = machines_.find(id)) m->registered = false;
  }
  std::vector<std::string> added;
  for (const auto& id : registry_additions_) {
    if (names.size() >= names_per_chunk) break;
    names.insert(id);
    added.push_back(id);
  }
  wire::Txn txn;
  txn.changes = {
      {store::machine_registry_key(*chunk),
       store::encode_machine_registry(std::vector<std::string>(names.begin(), names.end()))}};
  registry_write_in_flight_ = true;
  write_own(std::move(txn), store::Urgency::Start,
            [this, chunk = *chunk, names = std::move(names), added = std::move(added)](bool done) {
              registry_write_in_flight_ = false;
              if (done) registry_written(chunk, names, added);
            });
}

void Term::registry_written(std::size_t chunk, const std::set<std::string>& names,
                            const std::vector<std::string>& added) {
  registry_[chunk] = names;
  for (const auto& id : added) {
    registry_additions_.erase(id);
    if (Machine* m = machines_.find(id)) m->registered = true;
  }
}

void Term::begin_jobs() {
  for (auto& [id, job] : jobs_.all()) {
    if (!job.begun && !job.beginning) begin(job);
  }
}

void Term::begin(Job& job) {
  job.beginning = true;
  wire::Txn txn;
  txn.conditions = {{store::live_key(job.spec->id), job.version}};
  txn.changes = {{store::progress_key(job.spec->id, 0),
                  store::encode_progress_chunk(job.done, 0, settings_.value_bytes)}};
  write_own(std::move(txn), store::Urgency::Start, [this, id = job.spec->id](bool committed) {
    Job* j = jobs_.find(id);
    if (j == nullptr) return;
    j->beginning = false;
    j->begun = committed;
  });
}

void Term::flush(Job& job) {
  if (job.flushing || job.ending) return;
  job.flushing = true;
  job.last_flush = runtime_.now();
  wire::Txn txn;
  txn.conditions = {{store::live_key(job.spec->id), job.version}};
  std::set<std::size_t> chunks;
  for (const auto c : job.dirty) {
    if (txn.changes.size() >= settings_.txn_ops) break;
    txn.changes.push_back({store::progress_key(job.spec->id, c),
                           store::encode_progress_chunk(job.done, c, settings_.value_bytes)});
    chunks.insert(c);
  }
  for (const auto c : chunks) job.dirty.erase(c);
  auto written = std::make_shared<std::vector<bool>>(job.done);
  write_own(std::move(txn), store::Urgency::Lazy,
            [this, id = job.spec->id, chunks, written](bool committed) {
              Job* j = jobs_.find(id);
              if (j == nullptr) return;
              j->flushing = false;
              if (!committed) {
                j->dirty.insert(chunks.begin(), chunks.end());
                return;
              }
              const auto per = store::tasks_per_progress_chunk(settings_.value_bytes);
              for (const auto c : chunks) {
                const auto end = std::min<std::size_t>((c + 1) * per, written->size());
                for (std::size_t i = c * per; i < end; ++i) {
                  if ((*written)[i]) j->durable[i] = true;
                }
              }
            });
}

void Term::finish(Job& job) {
  if (job.ending || !election_.lease_valid()) return;
  job.ending = true;
  auto txn = store::make_end_job_txn(*job.spec, job.version, false, settings_.value_bytes,
                                     settings_.txn_ops);
  txn.conditions.push_back(election_.guard());
  store_.write(std::move(txn), store::Urgency::Final,
               [self = weak_from_this(), id = job.spec->id](const store::WriteResult& r) {
                 const auto f = self.lock();
                 if (!f || !f->alive()) return;
                 Job* j = f->jobs_.find(id);
                 if (j == nullptr) return;
                 j->ending = false;
                 // Otherwise the next turn tries again, or the watch tells of a cancellation.
                 if (r.outcome == store::WriteOutcome::Committed) f->job_ended(id);
               });
}

}  // namespace asterstair::leader
