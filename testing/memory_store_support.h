#pragma once

// A platform_store in memory for tests in virtual time, with injected faults.
//
//   memory_store store(loop);
//   store.fault = store_fault::AnswerLost;    // writes take effect and end as StoreAmbiguous

#include "goldcrest/event_loop.h"
#include "goldcrest/platform_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

enum class store_fault {
    None,
    Down, // every call ends as StoreUnavailable
    AnswerLost, // writes take effect and end as StoreAmbiguous; reads fail
    RequestLost, // writes have no effect and end as StoreAmbiguous; reads fail
};

class memory_store final : public platform_store
{
public:
    explicit memory_store(event_loop &loop)
        : m_loop(loop)
    { }

    void get(std::string_view key, const call_options &options,
             store_callback<std::optional<store_entry>> callback) override;
    void list(std::string_view prefix, std::size_t limit, const call_options &options,
              store_callback<std::vector<store_entry>> callback) override;
    void commit(store_transaction transaction, const call_options &options,
                store_callback<commit_reply> callback) override;
    void grantLease(duration lifetime, const call_options &options,
                    store_callback<lease_id> callback) override;
    void renewLease(lease_id lease, const call_options &options,
                    store_callback<duration> callback) override;
    void revokeLease(lease_id lease, const call_options &options,
                     store_callback<done> callback) override;
    std::unique_ptr<store_watch> watch(std::string_view prefix, store_revision from,
                                       std::function<void(watch_batch)> callback) override;

    // Writes a key directly, as another process would.
    void put(std::string_view key, std::string_view value);
    const store_entry *entry(std::string_view key) const;

    store_fault fault = store_fault::None;
    duration delay = 0ms; // of each answer; the effect of a call comes after the delay as well
    std::map<std::string, store_entry, std::less<>> entries;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;

private:
    struct memory_watch;

    void answer(std::function<void()> task);
    commit_reply apply(const store_transaction &transaction);
    void write(const std::string &key, const std::optional<std::string> &value, lease_id lease);
    void notify(const store_entry &changed, bool deleted);

    event_loop &m_loop;
    store_revision m_revision = 0;
    lease_id m_lastLease = 0;
    std::vector<timer_handle> m_timers;
    std::vector<std::pair<std::string, std::weak_ptr<std::function<void(watch_batch)>>>> m_watches;
};

} // namespace goldcrest
