#pragma once

// platform_store implementation over the HTTP/JSON interface of etcd version 3.
//
//   etcd_store store(*client, loop, std::vector<std::string>{"http://127.0.0.1:2379"});
//
// Calls go to one member of the etcd cluster; after a failed HTTP exchange, later calls go to the
// next member.
//
// Each call is one HTTP exchange and is never retried here; store_client adds the call budget,
// retries and the resolution of ambiguous writes.

#include "goldcrest/event_loop.h"
#include "goldcrest/http_client.h"
#include "goldcrest/platform_store.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

class etcd_store final : public platform_store
{
public:
    // @param urls base URLs of the cluster's members; host:port means http://host:port
    // The client and the loop must outlive the store.
    etcd_store(http_client &client, event_loop &loop, const std::vector<std::string> &urls);

    // As above, with one member.
    etcd_store(http_client &client, event_loop &loop, std::string_view url);

    void get(std::string_view key, const call_options &options,
             store_callback<std::optional<store_entry>> callback) override;
    void list(std::string_view prefix, std::size_t limit, const call_options &options,
              store_callback<std::vector<store_entry>> callback) override;
    void commit(store_transaction transaction, const call_options &options,
                store_callback<commit_reply> callback) override;

    // etcd lease lifetimes are in whole seconds; `lifetime` is rounded up.
    void grantLease(duration lifetime, const call_options &options,
                    store_callback<lease_id> callback) override;
    void renewLease(lease_id lease, const call_options &options,
                    store_callback<duration> callback) override;
    void revokeLease(lease_id lease, const call_options &options,
                     store_callback<done> callback) override;
    std::unique_ptr<store_watch> watch(std::string_view prefix, store_revision from,
                                       std::function<void(watch_batch)> callback) override;

private:
    struct members;

    http_request makeRequest(std::string_view path, std::string body, duration timeout) const;

    template<typename T, typename Read>
    void exchange(const http_request &request, bool isWrite, store_callback<T> callback, Read read);

    http_client &m_client;
    event_loop &m_loop;
    std::shared_ptr<members> m_members; // callbacks may outlive the store
};

} // namespace goldcrest
