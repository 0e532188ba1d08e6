#include "store/responses.hpp"

#include "base/http_status.hpp"
#include "base/log.hpp"

namespace asterstair::store {
namespace {

template <typename Decode>
auto decode_or_log(const char* request, Decode decode) -> std::optional<decltype(decode())> {
  try {
    return decode();
  } catch (const std::exception& error) {
    log::error("state service: malformed answer to {}: {}", request, error.what());
    return std::nullopt;
  }
}

}  // namespace

ReadResult decode_read_response(const HttpResponse& response) {
  ReadResult result;
  if (response.status == http_status::kOk) {
    if (auto item = decode_or_log("get", [&] { return wire::decode_item(response.body); })) {
      result.outcome = ReadOutcome::Found;
      result.item = std::move(*item);
    }
  } else if (response.status == http_status::kNotFound) {
    if (auto revision =
            decode_or_log("get", [&] { return wire::decode_revision(response.body); })) {
      result.outcome = ReadOutcome::Missing;
      result.revision = *revision;
    }
  }
  return result;
}

std::optional<wire::ItemPage> decode_list_response(const HttpResponse& response) {
  if (response.status != http_status::kOk) return std::nullopt;
  return decode_or_log("list", [&] { return wire::decode_items(response.body); });
}

WriteResult decode_txn_response(const HttpResponse& response) {
  switch (response.status) {
    case http_status::kOk:
      if (auto revision =
              decode_or_log("txn", [&] { return wire::decode_revision(response.body); })) {
        return {WriteOutcome::Committed, *revision};
      }
      return {WriteOutcome::Unknown, 0};
    case http_status::kBadRequest:
      log::error("state service refused a transaction: {}", response.body);
      return {WriteOutcome::NotApplied, 0};
    case http_status::kServiceUnavailable:
      return {WriteOutcome::NotApplied, 0};
    default:
      return {WriteOutcome::Unknown, 0};
  }
}

std::set<std::string> decode_conflict_response(const HttpResponse& response) {
  const auto failed =
      decode_or_log("txn", [&] { return wire::decode_failed_conditions(response.body); });
  if (!failed) return {};
  return {failed->begin(), failed->end()};
}

WatchResult decode_watch_response(const HttpResponse& response) {
  WatchResult result;
  if (response.status == http_status::kOk) {
    if (auto events = decode_or_log("watch", [&] { return wire::decode_events(response.body); })) {
      result.outcome = WatchResult::Outcome::Events;
      result.events = std::move(*events);
    }
  } else if (response.status == http_status::kGone) {
    result.outcome = WatchResult::Outcome::TooOld;
  }
  return result;
}

std::optional<std::uint64_t> decode_lease_creation_response(const HttpResponse& response) {
  if (response.status != http_status::kOk) return std::nullopt;
  return decode_or_log("lease creation", [&] { return wire::decode_store_lease(response.body); });
}

StoreLeaseOutcome decode_lease_renewal_response(const HttpResponse& response) {
  switch (response.status) {
    case http_status::kOk:
      return StoreLeaseOutcome::Renewed;
    case http_status::kNotFound:
      return StoreLeaseOutcome::NotFound;
    default:
      return StoreLeaseOutcome::Unavailable;
  }
}

}  // namespace asterstair::store
