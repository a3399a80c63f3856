#pragma once

// Orders waiting work by how much each team uses of a service, where its capacity is short, and
// keeps wide jobs from being overtaken for ever.
//
//   team_shares shares;
//   shares.setTeams(catalogue.teams);
//   shares.noteArrival("batch", width);                 // each new job
//   use_sample sample;                                  // in each pass: workers and active runs
//   sample.addWorker(capacity);
//   sample.addRun("team-1", demand, estimate);
//   shares.update("service", sample, now);
//   std::vector<share_rank> ranks = shares.rank("service", requests, now);
//
// The use of a team is its dominant share: the largest of its shares of the usable cores, memory
// and accelerators. What counts is the larger of its present and its decayed use, above its
// guarantee and divided by its weight. Only coarse classes of it decide, so that work of teams with
// similar use keeps its order.
//
// The decayed use is kept for the next planner (learned_state.h); the rest is learned again. The
// state grows with the teams and queues of the catalogue only: all others share one entry.

#include "goldcrest/clock.h"
#include "goldcrest/model.h"
#include "goldcrest/queue_catalogue.h"

#include <gsl/span>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace goldcrest {

// Capacity of the usable workers of one service, and what runs there, at one time.
class use_sample
{
public:
    // Adds the capacity of a usable worker.
    void addWorker(const resources &capacity);

    // Adds a run on a usable worker.
    // @param team must outlive the sample
    // @param estimate expected run time
    void addRun(std::string_view team, const resources &demand, duration estimate);

private:
    friend class team_shares;

    resources m_usable;
    resources m_used;
    std::unordered_map<std::string_view, resources> m_byTeam;
    double m_runs = 0;
    double m_runTime = 0; // sum over the runs, in milliseconds
};

// The waiting tasks of a step.
struct share_request
{
    std::string_view team;
    std::string_view queue;
    std::string_view job;
    bool isGuaranteed = false;
    bool mayAge = true; // false for steps that run until they are cancelled
    resources demand; // of all waiting tasks
    std::int64_t width = 0; // of the step, as passed to noteArrival() for jobs
    duration waited = 0ms; // since the job was accepted
    duration usefulTime = 0ms; // from acceptance to the target of the job
};

// Place of a waiting step among those of the same priority.
struct share_rank
{
    // Before all others, whatever their lateness: a wide job that has waited long.
    bool isAged = false;
    // 0: the team is near or below its fair share; higher numbers come later.
    std::int32_t overShare = 0;
};

// Something to be logged.
struct share_note
{
    std::string event;
    std::string job; // may be empty
    std::string inputs; // as name=value
};

// Decayed use of a service by a team, as kept for the next planner (learned_state.h).
struct learned_use
{
    std::string service;
    std::string team;
    double share = 0; // dominant share
    duration halfLife = 0ms; // of the use of this service
};

class team_shares
{
public:
    // Replaces the teams. Use of teams that are no longer known is forgotten.
    void setTeams(const std::vector<queue_team> &teams);

    // Replaces the names of the queues. Counts of queues that are no longer known are forgotten.
    void setQueues(const std::vector<queue_entry> &queues);

    // Counts a job that has arrived.
    // @param width largest demand of one of its steps, on any scale that is the same for all jobs
    void noteArrival(std::string_view queue, std::int64_t width);

    // Counts a job whose widest step has started for the first time.
    void noteServed(std::string_view queue, std::int64_t width);

    // Records the present use of a service and adds it to the decayed use.
    void update(const std::string &service, const use_sample &sample, time_point now);

    // Returns the ranks of the waiting steps of a service, in the order of the requests. All are
    // equal if less than two teams use the service or wait for it, if its free capacity suffices
    // for all that waits, or if update() was not called at this time.
    // @param requests in the order in which they would be planned otherwise
    std::vector<share_rank> rank(std::string_view service,
                                 const std::vector<share_request> &requests, time_point now);

    // Returns the number of teams that are far over their share. A service for which nothing was
    // planned lately counts as one without such teams.
    std::size_t teamsOverShare(time_point now) const;

    // Returns the decayed use of a team as a share of the service; 0 if it is not known.
    double decayedShare(const std::string &service, const std::string &team) const;

    // Returns the decayed use of all teams.
    std::vector<learned_use> save() const;

    // Adopts decayed use of an earlier planner, where it is more than what was recorded since. To
    // be called after setTeams(); use of unknown teams is ignored.
    void restore(gsl::span<const learned_use> uses);

    // Returns the notes since the last call. Their number is bounded.
    std::vector<share_note> takeNotes();

    // Returns the number of entries that are kept for teams and queues.
    std::size_t entryCount() const;

private:
    static constexpr std::size_t widthBuckets = 128;

    struct team_terms
    {
        double weight = 1;
        double guaranteed = 0; // accelerators
    };

    struct team_use
    {
        double present = 0; // dominant share
        double decayed = 0;
        bool isOver = false;
        time_point notedAt{};
        // Scratch of a pass.
        bool isWaiting = false;
        double planned = 0; // of the waiting steps that were ranked so far
    };

    struct service_use
    {
        resources usable;
        resources used;
        duration halfLife = 0ms;
        time_point updatedAt{};
        time_point notedAt{};
        std::map<std::string, team_use, std::less<>> teams;
        double fairShare = 0; // per unit of weight; 0: all teams are equal
    };

    // Jobs of one queue by width, and how many of the largest tenth and of the rest were served.
    struct queue_counts
    {
        std::array<float, widthBuckets> arrivals{};
        double total = 0;
        double arrived[2] = {0, 0}; // rest, wide
        double served[2] = {0, 0};
        std::string agedJob; // that has precedence now; empty: none
        time_point agedAt{};
        std::string skippedJob; // had precedence and did not start
    };

    using named_counts = std::pair<const std::string, queue_counts>;

    static std::size_t bucketOf(std::int64_t width);
    static bool isWide(const queue_counts &queue, std::int64_t width);
    static bool isBehind(const queue_counts &queue);
    static void halve(queue_counts &queue);
    named_counts &countsOf(std::string_view queue);
    std::string_view knownTeam(std::string_view team) const;
    team_terms termsOf(std::string_view team) const;
    double guaranteedShare(const service_use &service, std::string_view team) const;
    // Returns the use of a team above its guarantee, in fair shares.
    double levelOf(const service_use &service, std::string_view team, double use) const;
    service_use &serviceOf(const std::string &name);
    static team_use &useOf(service_use &service, std::string_view team);
    static double dominantShare(const service_use &service, const resources &demand);
    static bool isShort(const service_use &service, const std::vector<share_request> &requests);
    void beginRanking(service_use &service, const std::vector<share_request> &requests);
    share_rank rankOf(service_use &service, const share_request &request);
    void chooseAged(const std::vector<share_request> &requests, std::vector<share_rank> &ranks,
                    time_point now);
    static bool mayTakePrecedence(const queue_counts &queue, const share_request &request);
    void noteTeams(std::string_view name, service_use &service, time_point now);
    void noteOrder(std::string_view name, service_use &service,
                   const std::vector<share_rank> &ranks, time_point now);
    void addNote(std::string_view event, std::string_view job, std::string inputs);

    std::map<std::string, team_terms, std::less<>> m_teams;
    std::map<std::string, service_use, std::less<>> m_services;
    std::map<std::string, queue_counts, std::less<>> m_queues;
    std::vector<share_note> m_notes;
};

} // namespace goldcrest
