#include "store/records.hpp"

#include <algorithm>
#include <charconv>

#include "wire/user.hpp"

namespace asterstair::store {
namespace {

using wire::Json;
constexpr const char* kHex = "0123456789abcdef";
constexpr std::size_t kChunkOverhead = 64;

}  // namespace

std::string live_key(const std::string& job) { return kLivePrefix + job; }
std::string final_key(const std::string& job) { return "final/" + job; }
std::string progress_key(const std::string& job, std::size_t chunk) {
  return kProgressPrefix + job + "/" + std::to_string(chunk);
}
std::string machine_registry_key(std::size_t chunk) {
  return kMachineRegistryPrefix + std::to_string(chunk);
}

Json encode_live(const JobSpec& job, WallTime accepted) {
  const auto ms = std::chrono::duration_cast<milliseconds>(accepted.time_since_epoch()).count();
  return {{"job", wire::encode_job(job)}, {"at", ms}};
}

LiveRecord decode_live(const Json& value) {
  LiveRecord out;
  out.job = wire::decode_job(wire::member(value, "job"));
  out.accepted = WallTime(milliseconds(wire::integer(value, "at")));
  return out;
}

Json encode_final(const FinalRecord& r) {
  return {{"end", r.cancelled ? "cancelled" : "done"}, {"tasks", r.tasks}};
}

FinalRecord decode_final(const Json& value) {
  return {wire::text(value, "end") == "cancelled",
          static_cast<std::uint32_t>(wire::integer(value, "tasks"))};
}

void require_known_form(const Json& value) {
  if (wire::optional_member(value, "form") == nullptr) return;
  const auto form = wire::integer(value, "form");
  if (form > kRecordForm) throw wire::DecodeError("form " + std::to_string(form) + " is newer");
}

Json encode_holder(const HolderRecord& r) {
  return {{"node", r.node}, {"claim", r.claim}, {"contested", r.forced}};
}

HolderRecord decode_holder(const Json& value) {
  require_known_form(value);
  return {wire::text(value, "node"), wire::integer(value, "claim"),
          wire::flag_or(value, "contested", false)};
}

Json encode_previous_holders_expired(std::uint64_t token) { return {{"token", token}}; }

std::uint64_t decode_previous_holders_expired(const Json& value) {
  return wire::integer(value, "token");
}

std::size_t tasks_per_chunk(std::size_t value_bytes) {
  return (value_bytes - kChunkOverhead) * 4;  // four tasks a digit
}

std::size_t chunk_count(std::uint32_t tasks, std::size_t value_bytes) {
  const auto per = tasks_per_chunk(value_bytes);
  return std::max<std::size_t>(1, (tasks + per - 1) / per);
}

Json encode_chunk(const std::vector<bool>& done, std::size_t chunk, std::size_t value_bytes) {
  const auto per = tasks_per_chunk(value_bytes);
  const auto first = chunk * per;
  const auto last = std::min(done.size(), first + per);
  std::string digits;
  for (auto i = first; i < last; i += 4) {
    unsigned digit = 0;
    for (unsigned b = 0; b < 4 && i + b < last; ++b) digit |= (done[i + b] ? 1U : 0U) << b;
    digits += kHex[digit];
  }
  while (!digits.empty() && digits.back() == '0') digits.pop_back();
  return {{"done", digits}};
}

void decode_chunk(const Json& value, std::size_t chunk, std::size_t value_bytes,
                  std::vector<bool>& done) {
  const auto& digits = wire::text(value, "done");
  auto i = chunk * tasks_per_chunk(value_bytes);
  for (const char c : digits) {
    const auto digit = static_cast<unsigned>(c >= 'a' ? c - 'a' + 10 : c - '0');
    for (unsigned b = 0; b < 4 && i < done.size(); ++b, ++i) {
      if ((digit >> b) & 1U) done[i] = true;
    }
  }
}

std::optional<std::pair<std::string, std::size_t>> parse_progress_key(const std::string& key) {
  const std::string_view prefix = kProgressPrefix;
  const auto slash = key.rfind('/');
  if (!key.starts_with(prefix) || slash < prefix.size() || slash == std::string::npos) return {};
  std::size_t chunk = 0;
  const char* end = key.data() + key.size();
  const auto [at, error] = std::from_chars(key.data() + slash + 1, end, chunk);
  if (error != std::errc() || at != end) return {};
  return std::pair{key.substr(prefix.size(), slash - prefix.size()), chunk};
}

Json encode_machine_registry(const std::vector<std::string>& machines) {
  return {{"machines", machines}};
}

std::vector<std::string> decode_machine_registry(const Json& value) {
  std::vector<std::string> out;
  for (const auto& m : wire::list(value, "machines")) {
    if (m.is_string()) out.push_back(m.get<std::string>());
  }
  return out;
}

wire::Txn end_job(const JobSpec& job, std::uint64_t live_version, bool cancelled,
                  std::size_t value_bytes, std::size_t txn_ops) {
  wire::Txn txn;
  txn.conditions.push_back({live_key(job.id), live_version});
  txn.changes.push_back({live_key(job.id), std::nullopt});
  txn.changes.push_back({final_key(job.id), encode_final({cancelled, job.tasks})});
  // Chunks beyond a transaction's room are left for the leader to sweep.
  const auto chunks = chunk_count(job.tasks, value_bytes);
  for (std::size_t c = 0; c < chunks && txn.changes.size() < txn_ops; ++c) {
    txn.changes.push_back({progress_key(job.id, c), std::nullopt});
  }
  return txn;
}

}  // namespace asterstair::store
