#pragma once
// Client of the state service. Keeps within the rates of the settings, joins writes into
// transactions (group commit), and never guesses: an unanswered write is Unknown.

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/runtime.hpp"
#include "base/settings.hpp"
#include "store/budget.hpp"
#include "wire/state.hpp"

namespace asterstair::store {

enum class ReadOutcome { Found, Missing, Unavailable };
struct ReadResult {
  ReadOutcome outcome = ReadOutcome::Unavailable;
  wire::Item item;
  std::uint64_t revision = 0;  // Missing
};

enum class WriteOutcome { Committed, Conflict, NotDone, Unknown };
struct WriteResult {
  WriteOutcome outcome = WriteOutcome::NotDone;
  std::uint64_t revision = 0;
};

// Lower goes first.
enum class Urgency { User, Final, Start, Lazy };

enum class GrantOutcome { Alive, Gone, Unavailable };

struct WatchResult {
  enum class Outcome { Events, TooOld, Unavailable } outcome = Outcome::Unavailable;
  wire::ItemPage events;
};

struct ListResult {
  bool ok = false;
  std::vector<wire::Item> items;
  std::uint64_t revision = 0;  // of the first page: changes after it may be missing
};

// Users wait 2 s for an answer to a poll: reads are given up before that.
inline constexpr Duration kReadPatience = 1500ms;

class Store {
 public:
  Store(Runtime& runtime, const Settings& settings);

  void get(const std::string& key, std::function<void(ReadResult)> done,
           Duration patience = kReadPatience);
  // The same at once, past the queue and the rate limit: for what leadership depends on.
  void get_now(const std::string& key, std::function<void(ReadResult)> done);
  void list(const std::string& prefix, std::function<void(ListResult)> done);
  void write(wire::Txn txn, Urgency urgency, std::function<void(WriteResult)> done);
  void create_grant(Duration ttl, std::function<void(std::optional<std::uint64_t>)> done);
  void touch_grant(std::uint64_t grant, std::function<void(GrantOutcome)> done);
  void drop_grant(std::uint64_t grant);
  void watch(const std::string& prefix, std::uint64_t after, Duration wait,
             std::function<void(WatchResult)> done);

  // Whether requests have failed for a while with none served in between.
  bool seems_down() const;
  // Since when, if so; and when a request was last answered.
  TimePoint failing_since() const { return first_bad_; }
  TimePoint last_answer() const { return last_ok_; }
  // Whether a request was answered within the last moments.
  bool heard_lately(Duration within) const;

 private:
  struct Read {
    std::string key;
    TimePoint give_up;
    int tries = 0;
    std::vector<std::function<void(ReadResult)>> done;
  };
  struct Write {
    wire::Txn txn;
    std::size_t size = 0;
    TimePoint give_up;
    bool alone = false;
    std::function<void(WriteResult)> done;
  };
  using Batch = std::vector<Write>;

  void pump();
  void pump_reads();
  void pump_writes();
  void wake(Duration delay);
  void send_read(Read read);
  void read_live_together();
  void send_batch(std::size_t urgency, Batch batch);
  struct ListRequest {
    std::string prefix;
    std::size_t page;
    Duration timeout;
    int tries;  // when refused for the limits
  };
  void list_page(const ListRequest& request, const std::string& after, int tries,
                 const std::shared_ptr<ListResult>& so_far, std::function<void(ListResult)> done);
  void note(int status);

  Runtime& runtime_;
  std::string address_;
  std::size_t txn_ops_;
  Budget requests_, changes_;
  std::deque<Read> reads_;
  std::map<std::string, Read*> waiting_reads_;
  std::deque<Write> writes_[4];
  std::size_t reads_in_flight_ = 0, writes_in_flight_ = 0;
  std::optional<TimePoint> wake_at_;
  bool together_in_flight_ = false;
  TimePoint next_together_{};
  TimePoint last_ok_{}, first_bad_{}, refusals_told_at_{};
  std::uint64_t refused_ = 0;
};

}  // namespace asterstair::store
