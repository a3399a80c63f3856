#include "goldcrest/admission_fences.h"

#include "goldcrest/stall_detector.h"
#include "goldcrest/text_prefix.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace goldcrest {

namespace {

// New fences use a lease for this long, so that a refusal that takes a second is still in time.
constexpr duration leaseUse = 20s;

// A submission may have waited in a socket while this process was suspended, and be read a moment
// after a newer revision. A revision counts for submissions that arrive this much later.
constexpr duration settleTime = 1s;

// Callers wait longer for an answer than this, beyond the time that a stall can go unnoticed,
// before they cancel instead.
constexpr duration promptAnswer = 100ms;

// Begins the tokens of fences of cancellations. A front of an earlier version takes them for
// refusals.
constexpr std::string_view cancelledMark = "#cancelled:";

// Revisions seen within one interval count as one, and as many are kept as submissions may need.
constexpr duration sampleInterval = 100ms;
constexpr std::size_t maxSamples = 64;

struct revision_sample
{
    time_point firstAt{};
    time_point at{};
    store_revision revision = 0;
};

} // namespace

struct admission_fences::state : std::enable_shared_from_this<admission_fences::state>
{
    state(event_loop &eventLoop, platform_store &platformStore)
        : loop(eventLoop)
        , store(platformStore)
        , stalls(eventLoop)
    { }

    event_loop &loop;
    platform_store &store;
    stall_detector stalls;
    std::string tokenPrefix;
    std::uint64_t tokens = 0;
    fence_lease lease;
    std::vector<std::function<void(const result<fence_lease> &)>> waiting; // for the lease
    std::deque<revision_sample> samples;
};

admission_fences::admission_fences(event_loop &loop, platform_store &store, std::string_view name)
    : m_state(std::make_shared<state>(loop, store))
{
    m_state->tokenPrefix = fmt::format("{}:{}:", name, loop.now().time_since_epoch().count());
}

admission_fences::~admission_fences()
{
    m_state->waiting.clear();
}

void admission_fences::withLease(const call_options &bound,
                                 std::function<void(const result<fence_lease> &)> callback)
{
    state &self = *m_state;
    const time_point now = self.loop.now();
    if (self.lease.id != 0 && now - self.lease.requestedAt <= leaseUse)
        return callback(self.lease);
    self.waiting.push_back(std::move(callback));
    if (self.waiting.size() > 1)
        return;
    self.store.grantLease(
        fenceLifetime, bound,
        [weak = std::weak_ptr<state>(m_state), now](const result<lease_id> &granted) {
            const std::shared_ptr<state> owner = weak.lock();
            if (!owner)
                return;
            const failure *error = failureOf(granted);
            if (!error)
                owner->lease = {valueOf(granted), now};
            const auto outcome
                = error ? result<fence_lease>(*error) : result<fence_lease>(owner->lease);
            for (const auto &next : std::exchange(owner->waiting, {}))
                next(outcome);
        });
}

void admission_fences::forgetLease(lease_id lease)
{
    if (m_state->lease.id == lease)
        m_state->lease = {};
}

bool admission_fences::isSafe(const fence_lease &lease) const
{
    return m_state->loop.now() - lease.requestedAt <= fenceUse;
}

std::string admission_fences::nextToken(fence_reason reason)
{
    return fmt::format("{}{}{}", reason == fence_reason::Cancelled ? cancelledMark : "",
                       m_state->tokenPrefix, ++m_state->tokens);
}

fence_reason admission_fences::reasonOf(std::string_view token)
{
    return startsWith(token, cancelledMark) ? fence_reason::Cancelled : fence_reason::Refused;
}

void admission_fences::noteRevision(store_revision seen)
{
    std::deque<revision_sample> &samples = m_state->samples;
    const time_point now = m_state->loop.now();
    if (seen <= 0 || (!samples.empty() && seen <= samples.back().revision))
        return;
    if (!samples.empty() && now - samples.back().firstAt < sampleInterval) {
        samples.back().at = now;
        samples.back().revision = seen;
        return;
    }
    samples.push_back({now, now, seen});
    if (samples.size() > maxSamples)
        samples.pop_front();
}

bool admission_fences::wasWrittenBefore(store_revision revision, time_point arrivedAt) const
{
    return std::any_of(
        m_state->samples.begin(), m_state->samples.end(), [&](const revision_sample &sample) {
            return sample.revision >= revision && sample.at + settleTime <= arrivedAt;
        });
}

bool admission_fences::isPrompt(time_point arrivedAt) const
{
    return m_state->loop.now() - arrivedAt <= promptAnswer
        && !m_state->stalls.hasStalledSince(arrivedAt - settleTime);
}

} // namespace goldcrest
