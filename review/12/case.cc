// A share of the store's writes gets no answer and is carried out late, while 100 callers hand in
// small jobs. Every fourth caller doesn't wait for its job: it cancels it after its first answer.

#include "review/stage-3/scene.h"

#include <fmt/format.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <random>
#include <vector>

using namespace goldcrest;

namespace {

constexpr int callers = 100;
constexpr int leaving = 4; // every fourth
constexpr duration callerGap = 24ms;
constexpr duration callerPause = 1s; // before a caller's next try
constexpr int maxTries = 5;
// The disruption of the store.
constexpr double lostShare = 0.35;
constexpr duration troubleTime = 2500ms;
constexpr std::int64_t shortestLate = 1000;
constexpr std::int64_t longestLate = 6000;
constexpr duration cancelTime = 3s; // cancel_ms
constexpr duration contactTime = 3s; // contact_ms
constexpr duration watchTime = 15s;

// The callers, and what they have been told.
class caller_group
{
public:
    explicit caller_group(review_scene &scene)
        : m_scene(scene)
    { }

    void begin(int number)
    {
        review_job job;
        job.id = fmt::format("00000000000e{:04x}", number);
        job.steps = {{{"count", 1}, {"cpu", 500}, {"mem_mb", 512}, {"estimated_ms", 1000}}};
        submit(job, number % leaving == 0, 1);
    }

    // When the cancelling of a job was acknowledged, and with which status.
    struct acknowledgement
    {
        time_point at{};
        int status = 0;
    };
    const std::map<std::string, acknowledgement> &cancelled() const { return m_cancelled; }
    int open() const { return m_open; }

private:
    void submit(const review_job &job, bool leaves, int tries)
    {
        const nlohmann::json body = {{"spec", "spec of " + job.id}, {"steps", job.steps}};
        ++m_open;
        m_scene.call("POST", job.prefix + job.id, job.key, body.dump(),
                     [this, job, leaves, tries](const http_answer &answer) {
                         --m_open;
                         if (leaves)
                             return cancel(job, 1);
                         if (answer.status != 200 && tries < maxTries)
                             later([this, job, tries] { submit(job, false, tries + 1); });
                     });
    }

    void cancel(const review_job &job, int tries)
    {
        ++m_open;
        m_scene.call("DELETE", job.prefix + job.id, job.key, {},
                     [this, job, tries](const http_answer &answer) {
                         --m_open;
                         if (answer.status / 100 == 2 || answer.status == 410)
                             m_cancelled[job.id] = {m_scene.now(), answer.status};
                         else if (tries < maxTries)
                             later([this, job, tries] { cancel(job, tries + 1); });
                     });
    }

    void later(std::function<void()> action)
    {
        ++m_open;
        m_timers.push_back(m_scene.loop().after(callerPause, [this, action = std::move(action)] {
            --m_open;
            action();
        }));
    }

    review_scene &m_scene;
    std::map<std::string, acknowledgement> m_cancelled;
    std::vector<timer_handle> m_timers;
    int m_open = 0;
};

int run()
{
    scene_options options;
    options.configuration = smallConfiguration(0);
    options.planOf = [](const std::string &, std::int32_t) { return run_plan{}; };
    review_scene scene("review/12/record.txt", options);
    if (!scene.start())
        return couldNotRun;
    scene.pass(4s);

    const time_point begin = scene.now();
    const time_point troubleEnd = begin + (hasTrouble() ? troubleTime : 0ms);
    std::mt19937 random(1);
    std::vector<timer_handle> timers;
    scene.storeHook = [&](const std::string &process, const soak_request &request,
                          const review_scene::respond_function &) {
        if (scene.now() >= troubleEnd || request.target.rfind("/v1/kv-txn", 0) != 0
            || std::uniform_real_distribution<double>()(random) >= lostShare)
            return false;
        const duration late(
            std::uniform_int_distribution<std::int64_t>(shortestLate, longestLate)(random));
        scene.note(fmt::format("store: a write of {} is carried out {} ms late, without an answer",
                               process, late.count()));
        timers.push_back(scene.loop().after(
            late, [&scene, request] { scene.carryOut(request, [](int, const std::string &) {}); }));
        return true;
    };
    caller_group group(scene);
    for (int i = 0; i < callers; ++i) {
        scene.wait(troubleTime, [&] { return scene.now() >= begin + callerGap * i; });
        group.begin(i);
    }
    scene.pass(watchTime);
    if (!scene.wait(watchTime, [&] { return group.open() == 0; }))
        return couldNotRun;

    int late = 0;
    for (const seen_run &one : scene.seen()) {
        const auto cancelled = group.cancelled().find(one.task.substr(0, one.task.find('.')));
        if (one.event != "start" || cancelled == group.cancelled().end())
            continue;
        const auto &[at, status] = cancelled->second;
        if (one.at <= at + cancelTime || one.at <= troubleEnd + contactTime)
            continue;
        ++late;
        scene.note(fmt::format("{} run {} was started {} ms after the cancelling was acknowledged "
                               "with {}, and {} ms after the store's disruption",
                               one.task, one.run, (one.at - at).count(), status,
                               (one.at - troubleEnd).count()));
    }
    const auto gone = std::count_if(group.cancelled().begin(), group.cancelled().end(),
                                    [](const auto &one) { return one.second.status == 410; });
    scene.note(fmt::format("{} jobs cancelled, {} of them acknowledged with 410; {} starts over "
                           "3 s after the acknowledgement",
                           group.cancelled().size(), gone, late));
    return late > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main()
{
    try {
        return run();
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return couldNotRun;
    }
}
