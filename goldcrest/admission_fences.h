#pragma once

// Fences: keys in the store that keep the submission of a job that was refused, or cancelled while
// the store did not have it, from taking effect later.
//
//   admission_fences fences(loop, store, "front-1");
//   fences.withLease(bound, [](const result<fence_lease> &lease) { ... });   // before a refusal
//   transaction.put(graphFenceKey(id), fences.nextToken(reason), lease.id);
//   fences.noteRevision(reply.at);
//   if (fences.wasWrittenBefore(fence.modRevision, arrivedAt)) ...
//
// A submission requires that its job has no fence. The store may carry a write out up to 15 s after
// it was sent, so that a fence must last longer than that after the refusal. All fences of a front
// are attached to one lease at a time and are removed with it.
//
// A submission that finds a fence may replace it only if it was sent after the refusal: otherwise
// the caller may have got the refusal as the answer to a later try. A front knows this if it had
// seen the revision of the fence, or a later one, before the submission arrived.
//
// A caller that has cancelled a job may hand it in again at once, at any front, which can't have
// seen the fence yet. So a submission may also replace the fence of a cancellation if it was
// answered by the store right after it arrived: a caller that sent it before the cancellation would
// have given it up within that time.

#include "goldcrest/clock.h"
#include "goldcrest/event_loop.h"
#include "goldcrest/platform_store.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

// Lifetime of the lease of fences, and how long after its request a refusal may still rely on it.
// The difference is more than the 15 s within which an earlier submission may take effect, with the
// difference between the clocks of two machines.
constexpr duration fenceLifetime = 40s;
constexpr duration fenceUse = 22s;

enum class fence_reason { Refused, Cancelled };

struct fence_lease
{
    lease_id id = 0;
    time_point requestedAt{}; // the lease lasts at least fenceLifetime from then on
};

class admission_fences
{
public:
    // @param name of this process, unique among the processes that use the store
    admission_fences(event_loop &loop, platform_store &store, std::string_view name);
    ~admission_fences();
    admission_fences(const admission_fences &) = delete;
    admission_fences &operator=(const admission_fences &) = delete;

    // Gives a lease that new fences may use. Creates one if there is none or it is too old.
    // Errors: those of platform_store::grantLease().
    void withLease(const call_options &bound,
                   std::function<void(const result<fence_lease> &)> callback);

    // The store does not know the lease.
    void forgetLease(lease_id lease);

    // Returns whether the fences of a lease last long enough for a refusal that is answered now.
    bool isSafe(const fence_lease &lease) const;

    // Returns a value for a fence that no other write has. It proves that the write took effect.
    std::string nextToken(fence_reason reason);

    /// @param token the value of a fence of any process
    /// @return why the fence was written
    static fence_reason reasonOf(std::string_view token);

    // The store is known to have had this revision by now.
    void noteRevision(store_revision seen);

    // Returns whether what was written at a revision was certainly written before `arrivedAt`.
    bool wasWrittenBefore(store_revision revision, time_point arrivedAt) const;

    /// @param arrivedAt when a submission was read whose first write has just been answered
    /// @return whether so little time has passed since it was sent that a caller can't have given
    ///         it up and cancelled the job in between
    bool isPrompt(time_point arrivedAt) const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace goldcrest
