#pragma once
/// @file
/// Queue of single-key reads.

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "store/results.hpp"
#include "store/transport.hpp"
#include "store/wake_timer.hpp"

namespace asterstair::store {

/// Reads single keys within the rate limit on requests. Store owns it and is its only caller.
///
/// A call for a key whose read is queued but not sent shares that read. When many reads of live
/// job records wait, one list of all live records serves them.
class ReadQueue {
 public:
  /// @param max_waiting  maximum number of queued reads. A connection waits for each read, so that
  ///                     the maximum number of connections is a suitable bound.
  ReadQueue(Transport& transport, std::size_t max_waiting)
      : transport_(transport),
        max_waiting_(max_waiting),
        wake_(transport.runtime(), [this] { send_ready(); }) {}

  /// Reads a key. `done` runs exactly once: with Unavailable after `timeout`, or at once if
  /// `max_waiting` reads are queued. A shared read keeps the timeout of its first caller.
  void get(const std::string& key, std::function<void(ReadResult)> done, Duration timeout);

 private:
  struct Read {
    std::string key;
    TimePoint deadline;
    int attempts = 0;
    std::vector<std::function<void(ReadResult)>> callbacks;

    void complete(const ReadResult& result) const;
  };

  void send_ready();
  Read pop_front();
  void send(Read read);
  void on_response(Read& read, const HttpResponse& response);
  void rebuild_index();

  static bool waits_for_live_record(const Read& read, TimePoint now);
  bool reaches_live_list_threshold(TimePoint now) const;
  std::vector<Read> pop_reads_of_live_records(TimePoint now);
  void list_live_records();
  void on_live_list(const std::vector<Read>& reads, const ListResult& list);

  Transport& transport_;
  std::size_t max_waiting_;
  std::deque<Read> waiting_;
  // Points into waiting_, whose elements keep their addresses.
  std::map<std::string, Read*> by_key_;
  std::size_t in_flight_ = 0;
  WakeTimer wake_;
  bool live_list_in_flight_ = false;
  TimePoint next_live_list_at_{};
};

}  // namespace asterstair::store
