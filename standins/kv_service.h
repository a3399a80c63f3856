#pragma once

// Simulated metadata store of the users, in the form of an http_client. It responds in virtual time
// with the contents of a store_model, in the store's HTTP protocol, and can inject faults.
//
//   kv_service service(loop, model);
//   service.faults().loseAnswers = 1;
//   platform::kv_store store(service, loop, "10.0.0.7:8524");

#include "goldcrest/event_loop.h"
#include "goldcrest/http_client.h"
#include "standins/one_shot_timers.h"
#include "standins/store_model.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace goldcrest {

// Injected faults.
struct kv_service_faults
{
    int loseAnswers = 0; // this many of the next calls take effect but get no response
    int refuse = 0; // this many of the next calls get refusalStatus and take no effect
    int refusalStatus = 503;
    int misreport = 0; // this many of the next calls take effect, but get misreportedStatus
    int misreportedStatus = 500;
    bool refuseWatches = false; // watches get status 400
    bool hideEvents = false; // watches hear nothing of changes
    bool failWatches = false; // watches without events fail instead of returning an empty response
    std::size_t pageItems = 500; // most items of one response to a range request
    std::size_t bytesPerMs = 0; // of the caller's link, on which all responses arrive; 0: no limit
    int losePages = 0; // this many of the next pages after the first of a range get no response
};

class kv_service final : public http_client
{
public:
    kv_service(event_loop &loop, store_model &model);

    kv_service_faults &faults() { return m_faults; }

    // Returns the requests so far, each as "METHOD /path?query".
    const std::vector<std::string> &calls() const { return m_calls; }

    // Returns the bytes of the bodies that were sent on the caller's link, with those of responses
    // that were cut off.
    std::size_t sentBytes() const { return m_sentBytes; }

    void send(http_request request, std::function<void(result<http_response>)> callback) override;
    std::unique_ptr<http_stream> stream(http_request request,
                                        std::function<void(std::string_view)> onData,
                                        std::function<void(result<done>)> onEnd) override;

private:
    using callback_type = std::function<void(result<http_response>)>;

    http_response answer(const std::string &method, const std::string &path,
                         const std::map<std::string, std::string> &query, const std::string &body);
    http_response range(const std::map<std::string, std::string> &query) const;
    http_response transact(const nlohmann::json &body);
    void watch(const std::map<std::string, std::string> &query, const http_request &request,
               callback_type callback);
    void deliver(const http_request &request, http_response response, callback_type callback);

    event_loop &m_loop;
    store_model &m_model;
    kv_service_faults m_faults;
    std::vector<std::string> m_calls;
    one_shot_timers m_timers;
    time_point m_linkFreeAt{};
    std::size_t m_sentBytes = 0;
};

} // namespace goldcrest
