#pragma once
// What the other controller nodes have last said of themselves. All of it is gossip: a wrong or
// missing entry may delay a decision or cause a needless change of leader, and breaks no rule.

#include <map>
#include <string>
#include <vector>

#include "base/settings.hpp"
#include "base/time.hpp"
#include "wire/peer.hpp"

namespace asterstair {

class PeerTable {
 public:
  struct Status {
    TimePoint last_seen{};  // its last message
    bool store_reachable = false;
    TimePoint store_last_answer{};  // when the state service last answered it
    TimePoint last_heartbeat{};     // when a worker's heartbeat last reached it
    std::string leader;             // whom it follows
    TimePoint leader_last_seen{};   // when it last heard from that leader
  };

  PeerTable(const std::vector<Peer>& peers, TimePoint started);

  // Takes over what a gossip message says of its sender. False: it is not from a peer.
  bool update(const wire::GossipMessage& message, TimePoint now);

  const std::map<std::string, Status>& all() const { return all_; }
  // Whether its last message is recent enough to rely on.
  static bool recent(const Status& status, TimePoint now);
  // When the node was last heard from; of one that never was, when this process started.
  TimePoint last_seen(const std::string& node) const;
  // Whether it has been heard from, but not recently.
  bool is_unreachable(const std::string& node, TimePoint now) const;
  // Whether a majority of all nodes, this one included, follows the leader and has not heard from
  // it for so long. One node alone may be the one that is cut off.
  bool majority_suspects(const std::string& leader, Duration timeout, TimePoint now) const;

 private:
  TimePoint started_;
  std::map<std::string, Status> all_;
};

}  // namespace asterstair
