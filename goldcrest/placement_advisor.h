#pragma once

// Interface of the external service that decides which workers may run a step. It issues a ticket
// for each of them, which the start of a task there must carry.
//
//   advisor.advise({"ID.0.1", machines, 200ms}, [](result<placement_advice> advice) { ... });

#include "goldcrest/clock.h"
#include "goldcrest/outcome.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace goldcrest {

// Maximum number of workers in one request.
constexpr std::size_t maxAdvisedWorkers = 100;

struct advice_request
{
    std::string step; // "ID.OCCURRENCE.STEP"
    std::vector<std::string> machines; // ids of backend servers
    duration expected = 0ms; // expected response time
    // Incarnations of these backend servers, in the same order. A ticket holds for one of them
    // only.
    std::vector<std::string> incarnations;
};

struct placement_advice
{
    std::map<std::string, std::string> tickets; // by id of each machine that may run the step
    duration lifetime = 0ms; // of the tickets
    bool isPartial = false; // rows could not be decoded and are left out
};

class placement_advisor
{
public:
    virtual ~placement_advisor() = default;

    // Errors: StoreOverBudget if too many requests are queued at the service, BackendUnavailable.
    virtual void advise(const advice_request &request,
                        std::function<void(result<placement_advice>)> callback)
        = 0;
};

} // namespace goldcrest
