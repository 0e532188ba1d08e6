#include "lease/previous_holders.hpp"

#include "store/records.hpp"

namespace asterstair::lease {

// A previous holder sent its last successful renewal before this claim was executed, see
// Renewer::renew(). Its lease therefore expires within one ttl from now.
void PreviousHolders::begin_term(std::uint64_t token, bool forced) {
  token_ = token;
  expiry_ = runtime_.now();
  if (forced) expiry_ += to_duration(Seconds(seconds(options_.ttl) * (1 + kClockDrift)));
  unrecorded_ = forced && !options_.expiry_record_key.empty();
  writing_ = false;
}

void PreviousHolders::end_term() { write_.cancel(); }

void PreviousHolders::record_when_expired(bool lease_valid) {
  if (!unrecorded_ || writing_ || !lease_valid) return;
  if (runtime_.now() < expiry_) return;
  writing_ = true;
  wire::Txn txn;
  txn.conditions.push_back({options_.key, token_});
  txn.changes.push_back(
      {options_.expiry_record_key, store::encode_previous_holders_expired(token_)});
  store_.write(std::move(txn), store::Urgency::Lazy,
               write_.begin([this](const store::WriteResult& result) {
                 writing_ = false;
                 if (result.outcome == store::WriteOutcome::Committed) unrecorded_ = false;
               }));
}

}  // namespace asterstair::lease
