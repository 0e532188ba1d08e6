#include "wire/user.hpp"

#include <algorithm>
#include <utility>

#include "wire/names.hpp"

namespace asterstair::wire {
namespace {

constexpr std::string_view kJobPrefix = "req-";
// Most characters of a job's name. It is a part of keys, paths and commands.
constexpr std::size_t kLongestJobId = 64;
// Most characters of other names; the text of the error says so too.
constexpr std::size_t kLongestName = 100;

/// Words of the wire for the values of an enumeration.
template <typename T>
using Word = std::pair<const char*, T>;

const Word<JobKind> kKinds[] = {
    {"batch", JobKind::Array}, {"ensemble", JobKind::Gang}, {"service", JobKind::Service}};
const Word<Priority> kPriorities[] = {{"critical", Priority::Production},
                                      {"high", Priority::High},
                                      {"standard", Priority::Normal},
                                      {"idle", Priority::Low}};
const Word<JobStage> kStages[] = {{"queued", JobStage::Queued},
                                  {"running", JobStage::Running},
                                  {"done", JobStage::Done},
                                  {"withdrawn", JobStage::Cancelled}};

template <typename T, std::size_t N>
T decode_word(const Json& body, const char* key, const Word<T> (&words)[N]) {
  const auto& text_of_field = text(body, key);
  for (const auto& [word, value] : words) {
    if (text_of_field == word) return value;
  }
  fail_field(key, "is none of the known values");
}

template <typename T, std::size_t N>
const char* word_for(T value, const Word<T> (&words)[N]) {
  for (const auto& [word, known] : words) {
    if (value == known) return word;
  }
  return "";
}

std::string decode_name(const Json& body, const char* key) {
  const auto& value = text(body, key);
  if (value.empty() || value.size() > kLongestName) {
    fail_field(key, "must have 1 to 100 characters");
  }
  return value;
}

std::uint32_t decode_task_count(const Json& body) {
  const auto tasks = integer(body, name::kTasks);
  if (tasks < 1 || tasks > kMostTasks) fail_field(name::kTasks, "must be 1 to 100000");
  return static_cast<std::uint32_t>(tasks);
}

std::vector<std::string> decode_type_names(const Json& types) {
  if (!types.is_array()) fail_field(name::kTypes, "must be a list");
  std::vector<std::string> names;
  for (const auto& type : types) {
    if (!type.is_string()) fail_field(name::kTypes, "must hold names");
    names.push_back(type.get<std::string>());
  }
  return names;
}

void decode_identity(const Json& body, JobSpec& job) {
  job.id = text(body, name::kId);
  if (!valid_job_id(job.id)) fail_field(name::kId, "must look like req-000412");
  job.job_class = decode_name(body, name::kClass);
  job.team = decode_name(body, name::kTeam);
  job.kind = decode_word(body, name::kKind, kKinds);
  job.priority = decode_word(body, name::kPriority, kPriorities);
}

void decode_needs(const Json& body, JobSpec& job) {
  job.tasks = decode_task_count(body);
  job.cpus = number(body, name::kCpus);
  job.gpus = number(body, name::kGpus);
  job.memory_gb = number(body, name::kMemoryGb);
  job.image = decode_name(body, name::kImage);
  job.image_gb = number(body, name::kImageGb);
}

void decode_constraints(const Json& body, JobSpec& job) {
  if (const Json* types = optional_member(body, name::kTypes)) {
    job.types = decode_type_names(*types);
  }
  if (optional_member(body, name::kZone) != nullptr) job.zone = decode_name(body, name::kZone);
  job.one_zone = flag(body, name::kOneZone);
  job.spread = flag(body, name::kSpread);
  job.spot = flag(body, name::kSpot);
}

void decode_times(const Json& body, JobSpec& job) {
  job.estimate = Seconds(number(body, name::kEstimate));
  job.checkpoint_interval = Seconds(number(body, name::kCheckpoint));
  job.checkpoint_time = Seconds(number(body, name::kSave));
  if (optional_member(body, name::kDeadline) != nullptr) {
    job.deadline = Seconds(number(body, name::kDeadline));
  }
}

}  // namespace

bool valid_job_id(std::string_view id) {
  if (!id.starts_with(kJobPrefix) || id.size() <= kJobPrefix.size()) return false;
  if (id.size() > kLongestJobId) return false;
  return std::all_of(id.begin() + kJobPrefix.size(), id.end(),
                     [](char character) { return character >= '0' && character <= '9'; });
}

std::string job_id_of(const Json& body) {
  const auto found = body.find(name::kId);
  if (found == body.end() || !found->is_string()) return {};
  const auto& id = found->get_ref<const std::string&>();
  return valid_job_id(id) ? id : std::string();
}

// Only the fields that may be null may be absent (PROTOCOL): types, zone and deadline.
// The first wrong field in this order is the one that the user is told.
JobSpec decode_job(const Json& body) {
  JobSpec job;
  decode_identity(body, job);
  decode_needs(body, job);
  decode_constraints(body, job);
  decode_times(body, job);
  return job;
}

Json encode_job(const JobSpec& job) {
  Json out = {{name::kId, job.id},
              {name::kClass, job.job_class},
              {name::kTeam, job.team},
              {name::kKind, word_for(job.kind, kKinds)},
              {name::kPriority, word_for(job.priority, kPriorities)},
              {name::kTasks, job.tasks},
              {name::kCpus, job.cpus},
              {name::kGpus, job.gpus},
              {name::kMemoryGb, job.memory_gb},
              {name::kImage, job.image},
              {name::kImageGb, job.image_gb},
              {name::kOneZone, job.one_zone},
              {name::kSpread, job.spread},
              {name::kSpot, job.spot},
              {name::kEstimate, job.estimate.count()},
              {name::kCheckpoint, job.checkpoint_interval.count()},
              {name::kSave, job.checkpoint_time.count()}};
  if (job.types) out[name::kTypes] = *job.types;
  if (job.zone) out[name::kZone] = *job.zone;
  if (job.deadline) out[name::kDeadline] = job.deadline->count();
  return out;
}

std::string encode_status(const std::string& id, JobStage stage) {
  return dump({{name::kId, id}, {name::kState, word_for(stage, kStages)}});
}

std::string encode_status(const std::string& id, JobStage stage, std::uint64_t done,
                          std::uint64_t running) {
  return dump({{name::kId, id},
               {name::kState, word_for(stage, kStages)},
               {name::kDone, done},
               {name::kRunning, running}});
}

std::string encode_error(std::string_view message) {
  return dump({{name::kError, std::string(message)}});
}

}  // namespace asterstair::wire
