#include "goldcrest/incarnation_check.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace goldcrest {

namespace {

// Bounds the memory for announcements that are not confirmed.
constexpr std::size_t maxCandidates = 8;

struct candidate
{
    host_announcement announcement;
    time_point seenAt{};
    std::uint64_t query = 0; // number of the last query
};

} // namespace

struct incarnation_check::state : std::enable_shared_from_this<incarnation_check::state>
{
    state(event_loop &eventLoop, run_host &backendHost)
        : loop(eventLoop)
        , host(backendHost)
    { }

    void makeRoom();
    void ask(const std::string &incarnation);
    void askAll();
    void onAnswer(const std::string &incarnation, const result<host_status> &outcome);

    event_loop &loop;
    run_host &host;
    incarnation_check_options options;
    incarnation_check_callbacks callbacks;
    epoch token = 0;
    std::map<std::string, candidate> candidates; // by incarnation
    std::uint64_t lastQuery = 0;
    timer_handle retryTimer;
};

incarnation_check::incarnation_check(event_loop &loop, run_host &host,
                                     const incarnation_check_options &options,
                                     incarnation_check_callbacks callbacks)
    : m_state(std::make_shared<state>(loop, host))
{
    m_state->options = options;
    m_state->callbacks = std::move(callbacks);
}

incarnation_check::~incarnation_check()
{
    m_state->retryTimer.reset();
    // Answers that are still under way find nothing.
    m_state->candidates.clear();
}

void incarnation_check::start(const host_announcement &announcement, epoch token)
{
    m_state->token = token;
    const std::string incarnation = announcement.incarnation();
    if (m_state->candidates.count(incarnation) == 0)
        m_state->makeRoom();
    candidate &added = m_state->candidates[incarnation];
    added.announcement = announcement;
    added.seenAt = m_state->loop.now();
    m_state->ask(incarnation);
}

void incarnation_check::askAgain(epoch token)
{
    m_state->token = token;
    m_state->askAll();
}

void incarnation_check::state::makeRoom()
{
    if (candidates.size() < maxCandidates)
        return;
    candidates.erase(
        std::min_element(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) {
            return a.second.seenAt < b.second.seenAt;
        }));
}

// The query acknowledges no ends and extends no lease.
void incarnation_check::state::ask(const std::string &incarnation)
{
    candidate &asked = candidates.at(incarnation);
    asked.query = ++lastQuery;
    host.queryStatus(token, 0, 0, 0ms, asked.announcement.id,
                     [weak = weak_from_this(), incarnation,
                      number = asked.query](const result<host_status> &outcome) {
                         const std::shared_ptr<state> self = weak.lock();
                         if (!self)
                             return;
                         const auto found = self->candidates.find(incarnation);
                         if (found != self->candidates.end() && found->second.query == number)
                             self->onAnswer(incarnation, outcome);
                     });
}

void incarnation_check::state::askAll()
{
    std::vector<std::string> incarnations;
    for (const auto &[incarnation, asked] : candidates)
        incarnations.push_back(incarnation);
    // An answer may arrive at once and remove candidates.
    for (const std::string &incarnation : incarnations) {
        if (candidates.count(incarnation) > 0)
            ask(incarnation);
    }
}

void incarnation_check::state::onAnswer(const std::string &incarnation,
                                        const result<host_status> &outcome)
{
    const auto found = candidates.find(incarnation);
    if (failureOf(outcome)) {
        // There was no answer, or the backend server has seen the token of a newer planner.
        if (loop.now() - found->second.seenAt >= options.limit)
            candidates.erase(found);
        else
            retryTimer = loop.after(options.retryPause, [this] { askAll(); });
        return;
    }
    const host_announcement announced = found->second.announcement;
    candidates.erase(found);
    const host_status &status = valueOf(outcome);
    if (status.isOtherIncarnation) {
        callbacks.onRefused(announced, "the backend server has another id");
    } else if (status.startedAtMs != announced.startedAtMs) {
        callbacks.onRefused(announced, "the backend server has another start");
    } else {
        candidates.clear();
        callbacks.onConfirmed(announced);
    }
}

} // namespace goldcrest
