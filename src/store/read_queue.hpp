#pragma once
// Reads of single keys, within the request limit. Reads of the same key that have not been sent are
// shared, and many of live jobs are answered by one list.

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "store/link.hpp"
#include "store/results.hpp"
#include "store/wake_timer.hpp"

namespace asterstair::store {

class ReadQueue {
 public:
  // Somebody waits on a connection for each read: there need never be more of them than sockets.
  ReadQueue(Link& link, std::size_t most_waiting)
      : link_(link), most_waiting_(most_waiting), wake_(link.runtime(), [this] { pump(); }) {}

  // Given up, as Unavailable, after `patience`.
  void get(const std::string& key, std::function<void(ReadResult)> done, Duration timeout);

 private:
  struct Read {
    std::string key;
    TimePoint give_up;
    int tries = 0;
    std::vector<std::function<void(ReadResult)>> done;

    void answer(const ReadResult& result) const;
  };

  void pump();
  Read take_first();
  void send(Read read);
  void answered(Read& read, const HttpResponse& response);
  void index();
  std::size_t waiting_for_live(TimePoint now) const;
  std::vector<Read> take_waiting_for_live(TimePoint now);
  void read_live_batched();

  Link& link_;
  std::size_t most_waiting_;
  std::deque<Read> reads_;
  std::map<std::string, Read*> by_key_;  // deque entries keep their addresses at either end
  std::size_t in_flight_ = 0;
  WakeTimer wake_;
  bool batch_in_flight_ = false;
  TimePoint next_batch_{};
};

}  // namespace asterstair::store
