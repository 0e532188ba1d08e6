#pragma once
// How requests to the state service end.

#include <optional>
#include <vector>

#include "base/log.hpp"
#include "wire/state.hpp"

namespace asterstair::store {

enum class ReadOutcome { Found, Missing, Unavailable };
struct ReadResult {
  ReadOutcome outcome = ReadOutcome::Unavailable;
  wire::Item item;
  std::uint64_t revision = 0;  // Missing
};

// NotDone: surely not carried out. Unknown: it may have been, or may yet be.
enum class WriteOutcome { Committed, Conflict, NotDone, Unknown };
struct WriteResult {
  WriteOutcome outcome = WriteOutcome::NotDone;
  std::uint64_t revision = 0;
};

enum class StoreLeaseOutcome { Alive, Gone, Unavailable };

struct WatchResult {
  enum class Outcome { Events, TooOld, Unavailable } outcome = Outcome::Unavailable;
  wire::ItemPage events;
};

struct ListResult {
  bool ok = false;
  std::vector<wire::Item> items;
  std::uint64_t revision = 0;  // of the first page: changes after it may be missing
};

// Decodes an answer; a malformed one is logged and counts as none.
template <typename F>
auto decode_or_log(const char* what, F decode) -> std::optional<decltype(decode())> {
  try {
    return decode();
  } catch (const std::exception& e) {
    log::error("state service: malformed answer to {}: {}", what, e.what());
    return std::nullopt;
  }
}

ReadResult read_result(const HttpResponse& response);

}  // namespace asterstair::store
