#include "wire/user.hpp"

#include <algorithm>

#include "wire/names.hpp"

namespace asterstair::wire {
namespace {

constexpr std::string_view kJobPrefix = "req-";
constexpr std::size_t kLongestName = 100;

const std::pair<const char*, JobKind> kKinds[] = {
    {"batch", JobKind::Array}, {"ensemble", JobKind::Gang}, {"service", JobKind::Service}};
const std::pair<const char*, Priority> kPriorities[] = {{"critical", Priority::Production},
                                                        {"high", Priority::High},
                                                        {"standard", Priority::Normal},
                                                        {"idle", Priority::Low}};

template <typename T, std::size_t N>
T choice(const Json& body, const char* key, const std::pair<const char*, T> (&options)[N]) {
  const auto& value = text(body, key);
  for (const auto& [word, meaning] : options) {
    if (value == word) return meaning;
  }
  throw DecodeError(std::string(key) + " is none of the known values");
}

template <typename T, std::size_t N>
const char* word_for(T value, const std::pair<const char*, T> (&options)[N]) {
  for (const auto& [word, meaning] : options) {
    if (value == meaning) return word;
  }
  return "";
}

std::string short_name(const Json& body, const char* key) {
  const auto& value = text(body, key);
  if (value.empty() || value.size() > kLongestName) {
    throw DecodeError(std::string(key) + " must have 1 to 100 characters");
  }
  return value;
}

const char* stage_word(JobStage stage) {
  switch (stage) {
    case JobStage::Queued:
      return "queued";
    case JobStage::Running:
      return "running";
    case JobStage::Done:
      return "done";
    case JobStage::Cancelled:
      return "withdrawn";
  }
  return "";
}

}  // namespace

bool valid_job_id(std::string_view id) {
  if (id.size() <= kJobPrefix.size() || id.size() > 64 || !id.starts_with(kJobPrefix)) return false;
  return std::all_of(id.begin() + kJobPrefix.size(), id.end(),
                     [](char c) { return c >= '0' && c <= '9'; });
}

std::string job_id_of(const Json& body) {
  const auto it = body.find(name::kId);
  if (it == body.end() || !it->is_string()) return {};
  const auto& id = it->get_ref<const std::string&>();
  return valid_job_id(id) ? id : std::string();
}

// Only what may be null may be absent (PROTOCOL): types, zone and deadline.
JobSpec decode_job(const Json& body) {
  JobSpec job;
  job.id = text(body, name::kId);
  if (!valid_job_id(job.id))
    throw DecodeError(std::string(name::kId) + " must look like req-000412");
  job.job_class = short_name(body, name::kClass);
  job.team = short_name(body, name::kTeam);
  job.kind = choice(body, name::kKind, kKinds);
  job.priority = choice(body, name::kPriority, kPriorities);
  const auto tasks = integer(body, name::kTasks);
  if (tasks < 1 || tasks > kMostTasks)
    throw DecodeError(std::string(name::kTasks) + " must be 1 to 100000");
  job.tasks = static_cast<std::uint32_t>(tasks);
  job.cpus = number(body, name::kCpus);
  job.gpus = number(body, name::kGpus);
  job.memory_gb = number(body, name::kMemoryGb);
  job.image = short_name(body, name::kImage);
  job.image_gb = number(body, name::kImageGb);
  if (const Json* types = optional_member(body, name::kTypes)) {
    if (!types->is_array()) throw DecodeError(std::string(name::kTypes) + " must be a list");
    job.types.emplace();
    for (const auto& t : *types) {
      if (!t.is_string()) throw DecodeError(std::string(name::kTypes) + " must hold names");
      job.types->push_back(t.get<std::string>());
    }
  }
  if (optional_member(body, name::kZone) != nullptr) job.zone = short_name(body, name::kZone);
  job.one_zone = flag(body, name::kOneZone);
  job.spread = flag(body, name::kSpread);
  job.spot = flag(body, name::kSpot);
  job.estimate = Seconds(number(body, name::kEstimate));
  job.checkpoint = Seconds(number(body, name::kCheckpoint));
  job.save = Seconds(number(body, name::kSave));
  if (optional_member(body, name::kDeadline) != nullptr)
    job.deadline = Seconds(number(body, name::kDeadline));
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
              {name::kCheckpoint, job.checkpoint.count()},
              {name::kSave, job.save.count()}};
  if (job.types) out[name::kTypes] = *job.types;
  if (job.zone) out[name::kZone] = *job.zone;
  if (job.deadline) out[name::kDeadline] = job.deadline->count();
  return out;
}

std::string encode_status(const std::string& id, JobStage stage) {
  return dump({{name::kId, id}, {name::kState, stage_word(stage)}});
}

std::string encode_status(const std::string& id, JobStage stage, std::uint64_t done,
                          std::uint64_t running) {
  return dump({{name::kId, id},
               {name::kState, stage_word(stage)},
               {name::kDone, done},
               {name::kRunning, running}});
}

std::string encode_error(std::string_view message) {
  return dump({{name::kError, std::string(message)}});
}

}  // namespace asterstair::wire
