#include "goldcrest/membership.h"

#include "goldcrest/job_record.h"
#include "goldcrest/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace goldcrest {

namespace {

constexpr duration electionDeadline = 2s;
constexpr duration resignDeadline = 1s;

// The leader key is read back after this many renewals, in case it was removed without its lease.
constexpr int renewalsPerKeyCheck = 5;

const call_options electionOptions{call_priority::Urgent, electionDeadline};
const call_options resignOptions{call_priority::Urgent, resignDeadline};

enum class role { Idle, Candidate, Leader };

} // namespace

std::string encodeLeader(const leader_record &leader)
{
    const nlohmann::json record = {{"worker", leader.worker}, {"address", leader.address}};
    return record.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<leader_record> decodeLeader(std::string_view value)
{
    const nlohmann::json record = parseJson(value);
    if (!record.is_object())
        return makeFailure(code::MalformedMessage, "the leader record is not a JSON object");
    leader_record leader;
    for (const auto &[name, field] :
         {std::pair<const char *, std::string *>{"worker", &leader.worker},
          {"address", &leader.address}}) {
        const auto found = record.find(name);
        if (found == record.end() || !found->is_string())
            return makeFailure(code::MalformedMessage, "expected a string", name);
        *field = found->get<std::string>();
    }
    return leader;
}

struct membership::state : std::enable_shared_from_this<membership::state>
{
    state(platform_store &platformStore, event_loop &eventLoop)
        : store(platformStore)
        , loop(eventLoop)
    { }

    void campaign();
    void createKey(lease_id granted);
    void resolveUnknownCreation();
    void becomeLeader(epoch elected);
    void abandonCandidacy();
    void renew();
    void onRenewal(const result<duration> &outcome, time_point sentAt);
    void checkKey(time_point renewedAt);
    void stepDown();
    void reset();

    call_options renewalOptions() const { return {call_priority::Urgent, times.renewalTimeout}; }

    // Wraps a callback so that it runs only in the candidacy or term in which it was created.
    template<typename Callback>
    auto guarded(Callback callback)
    {
        return [weak = weak_from_this(), termAtCreation = term,
                callback = std::move(callback)](auto outcome) {
            const std::shared_ptr<state> self = weak.lock();
            if (self && self->term == termAtCreation)
                callback(std::move(outcome));
        };
    }

    platform_store &store;
    event_loop &loop;
    std::string key;
    std::string value;
    membership_callbacks callbacks;
    membership_times times;

    role currentRole = role::Idle;
    std::uint64_t term = 0; // incremented at each candidacy, resignation and loss
    lease_id lease = 0;
    epoch elected = 0;
    time_point confirmedAt{}; // send time of the last confirmed renewal
    bool isStoreUnresponsive = false;
    bool isRenewing = false;
    int renewalsUntilKeyCheck = renewalsPerKeyCheck;
    timer_handle renewalTimer;
};

void membership::state::reset()
{
    ++term;
    currentRole = role::Idle;
    lease = 0;
    elected = 0;
    isStoreUnresponsive = false;
    isRenewing = false;
    renewalsUntilKeyCheck = renewalsPerKeyCheck;
    renewalTimer.reset();
}

void membership::state::campaign()
{
    if (currentRole != role::Idle)
        return;
    reset();
    currentRole = role::Candidate;
    confirmedAt = loop.now();
    store.grantLease(times.lifetime, electionOptions,
                     guarded([this](const result<lease_id> &granted) {
                         if (failureOf(granted))
                             return reset();
                         createKey(valueOf(granted));
                     }));
}

void membership::state::createKey(lease_id granted)
{
    lease = granted;
    store_transaction creation;
    creation.requireAbsent(key).put(key, value, lease);
    store.commit(std::move(creation), electionOptions,
                 guarded([this](const result<commit_reply> &outcome) {
                     if (const failure *error = failureOf(outcome)) {
                         if (error->number == code::StoreAmbiguous)
                             return resolveUnknownCreation();
                         return abandonCandidacy();
                     }
                     const commit_reply &reply = valueOf(outcome);
                     if (reply.applied)
                         return becomeLeader(reply.at);
                     for (const store_entry &entry : reply.current) {
                         if (entry.key == key && entry.lease == lease)
                             return becomeLeader(entry.createRevision);
                     }
                     abandonCandidacy();
                 }));
}

void membership::state::resolveUnknownCreation()
{
    using entry_option = std::optional<store_entry>;
    store.get(key, electionOptions, guarded([this](const result<entry_option> &outcome) {
                  const entry_option *entry = std::get_if<entry_option>(&outcome);
                  if (entry && *entry && (*entry)->lease == lease)
                      return becomeLeader((*entry)->createRevision);
                  // The write may still arrive late; it fails once its lease is revoked.
                  abandonCandidacy();
              }));
}

void membership::state::abandonCandidacy()
{
    // If this fails too, the lease expires.
    store.revokeLease(lease, resignOptions, [](const result<done> &) {});
    reset();
}

void membership::state::becomeLeader(epoch newEpoch)
{
    currentRole = role::Leader;
    elected = newEpoch;
    renewalTimer = loop.every(times.renewal, [this] { renew(); });
    if (callbacks.elected)
        callbacks.elected(newEpoch);
}

void membership::state::renew()
{
    if (isRenewing)
        return;
    isRenewing = true;
    const time_point sentAt = loop.now();
    store.renewLease(
        lease, renewalOptions(),
        guarded([this, sentAt](const result<duration> &outcome) { onRenewal(outcome, sentAt); }));
}

void membership::state::onRenewal(const result<duration> &outcome, time_point sentAt)
{
    isRenewing = false;
    if (const failure *error = failureOf(outcome)) {
        if (error->number == code::LeaseLost)
            return stepDown();
        isStoreUnresponsive = true;
        return;
    }
    // After an outage the lease may exist without its key, since the store can come back with an
    // older state. The key is read before the lease counts as valid again.
    const bool mustCheck = isStoreUnresponsive || --renewalsUntilKeyCheck <= 0;
    if (mustCheck)
        return checkKey(sentAt);
    confirmedAt = std::max(confirmedAt, sentAt);
}

void membership::state::checkKey(time_point renewedAt)
{
    using entry_option = std::optional<store_entry>;
    isRenewing = true;
    store.get(key, renewalOptions(),
              guarded([this, renewedAt](const result<entry_option> &outcome) {
                  isRenewing = false;
                  if (failureOf(outcome)) {
                      isStoreUnresponsive = true;
                      return;
                  }
                  const entry_option &entry = valueOf(outcome);
                  if (!entry || entry->createRevision != elected || entry->lease != lease)
                      return stepDown();
                  isStoreUnresponsive = false;
                  renewalsUntilKeyCheck = renewalsPerKeyCheck;
                  confirmedAt = std::max(confirmedAt, renewedAt);
              }));
}

void membership::state::stepDown()
{
    const lease_id ended = lease;
    reset();
    // The lease may still exist if only the key was removed.
    store.revokeLease(ended, resignOptions, [](const result<done> &) {});
    if (callbacks.deposed)
        callbacks.deposed();
}

membership::membership(platform_store &store, event_loop &loop, std::string_view cell,
                       std::string_view worker, std::string_view address,
                       membership_callbacks callbacks, const membership_times &times)
    : m_state(std::make_shared<state>(store, loop))
{
    m_state->key = leaderKey(cell);
    m_state->value = encodeLeader({std::string(worker), std::string(address)});
    m_state->callbacks = std::move(callbacks);
    m_state->times = times;
}

membership::~membership()
{
    m_state->reset();
    m_state->callbacks = {};
}

void membership::campaign()
{
    m_state->campaign();
}

void membership::resign(std::function<void()> then)
{
    const lease_id lease = m_state->lease;
    m_state->reset();
    if (lease == 0)
        return m_state->loop.post(std::move(then));
    m_state->store.revokeLease(lease, resignOptions,
                               [then = std::move(then)](const result<done> &) { then(); });
}

bool membership::isLeader() const
{
    return m_state->currentRole == role::Leader;
}

bool membership::isCandidate() const
{
    return m_state->currentRole == role::Candidate;
}

epoch membership::currentEpoch() const
{
    return m_state->elected;
}

bool membership::isLeaseValid(time_point now) const
{
    return isLeader()
        && now < m_state->confirmedAt + m_state->times.lifetime - m_state->times.margin;
}

duration membership::timeSinceRenewal(time_point now) const
{
    return now - m_state->confirmedAt;
}

bool membership::storeUnresponsive() const
{
    return m_state->isStoreUnresponsive;
}

} // namespace goldcrest
