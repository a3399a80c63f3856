#include "goldcrest/team_shares.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace goldcrest {

namespace {

// Upper bounds of the classes, in fair shares. With two teams the fair share is half of the
// capacity, so that a bound of 2 would never be reached.
constexpr double classBounds[] = {1.5, 3};
// A team that was over its share counts as within it again below this, so that it doesn't change
// with each pass.
constexpr double withinShare = 1.2;

// Past use is halved within this many run times. Over a shorter time the use of a team with wide
// jobs varies too much, and over a longer one a team is held back for use that nobody missed.
constexpr double runTimesPerHalfLife = 4;
constexpr duration shortestHalfLife = 2s;
constexpr duration longestHalfLife = 10min;

// A smaller decayed share doesn't count as use, and its entry is removed.
constexpr double negligibleShare = 0.001;
// Guarantees leave at least this share to be divided, so that the fair share is never 0.
constexpr double smallestRest = 0.05;

// A wide job has precedence once it has waited for this share of its useful time, which leaves the
// other half for reaching its target after capacity has been reserved for it.
constexpr double agingShare = 0.5;
// The goal is that wide jobs are served at least half as often as the rest. The margin is for the
// time that reserving capacity takes.
constexpr double leastServedRatio = 0.6;
// Jobs of each kind that are taken as served before the first one arrived. Without them, two wide
// jobs that wait in a new planner would count as never served.
constexpr double servedBefore = 2;
// Share of the jobs of a queue that are smaller than a wide one. Buckets of widths are coarse, so
// that a job at the boundary of the largest tenth may be in a bucket with some others.
constexpr double smallerShare = 0.85;
// With fewer jobs there is no telling which are the largest tenth.
constexpr double fewestArrivals = 20;
// Counts are halved beyond this number of arrivals, so that older jobs count less.
constexpr double countedArrivals = 400;
constexpr double bucketsPerDoubling = 4;

// Without work that waits, a service is not planned and its state is not updated. The planner plans
// more often than this otherwise.
constexpr duration lastingState = 5s;

constexpr std::size_t maxServices = 64; // more are only possible with queues that were removed
constexpr std::size_t maxNotes = 64;
constexpr duration noteInterval = 5s; // of notes about the same team or service

double ratioOf(std::int64_t part, std::int64_t whole)
{
    return part > 0 && whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

} // namespace

// ---- samples -------------------------------------------------------------------------------

void use_sample::addWorker(const resources &capacity)
{
    m_usable += capacity;
}

void use_sample::addRun(std::string_view team, const resources &demand, duration estimate)
{
    m_used += demand;
    m_byTeam[team] += demand;
    m_runs += 1;
    m_runTime
        += static_cast<double>(std::clamp(estimate, duration::zero(), longestHalfLife).count());
}

// ---- configuration -------------------------------------------------------------------------

void team_shares::setTeams(const std::vector<queue_team> &teams)
{
    m_teams.clear();
    for (const queue_team &team : teams) {
        team_terms terms;
        if (std::isfinite(team.weight) && team.weight > 0)
            terms.weight = team.weight;
        terms.guaranteed
            = static_cast<double>(std::max<std::int64_t>(0, team.guaranteedAccelerators));
        m_teams.emplace(team.name, terms);
    }
    for (auto &[name, service] : m_services) {
        for (auto use = service.teams.begin(); use != service.teams.end();)
            use = knownTeam(use->first) != use->first ? service.teams.erase(use) : std::next(use);
    }
}

void team_shares::setQueues(const std::vector<queue_entry> &queues)
{
    std::map<std::string, queue_counts, std::less<>> kept;
    for (const queue_entry &queue : queues) {
        auto found = m_queues.extract(queue.name);
        if (found.empty())
            kept.emplace(queue.name, queue_counts{});
        else
            kept.insert(std::move(found));
    }
    m_queues = std::move(kept);
}

// Returns the name under which the use of a team is kept: all teams that are not in the catalogue
// share the empty one, which public queues have.
std::string_view team_shares::knownTeam(std::string_view team) const
{
    return m_teams.find(team) == m_teams.end() ? std::string_view() : team;
}

team_shares::team_terms team_shares::termsOf(std::string_view team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? team_terms{} : found->second;
}

// ---- width of jobs -------------------------------------------------------------------------

std::size_t team_shares::bucketOf(std::int64_t width)
{
    const double number
        = bucketsPerDoubling * std::log2(static_cast<double>(std::max<std::int64_t>(1, width)));
    return std::min(static_cast<std::size_t>(number), widthBuckets - 1);
}

// Returns whether a width is among the largest tenth of a queue.
bool team_shares::isWide(const queue_counts &queue, std::int64_t width)
{
    if (queue.total < fewestArrivals)
        return false;
    double smaller = 0;
    for (std::size_t i = 0; i < bucketOf(width); ++i)
        smaller += static_cast<double>(queue.arrivals[i]);
    return smaller >= smallerShare * queue.total;
}

// Returns whether the wide jobs of a queue are served too seldom.
bool team_shares::isBehind(const queue_counts &queue)
{
    const auto servedShare = [&queue](std::size_t kind) {
        return std::min(1.0,
                        (queue.served[kind] + servedBefore) / (queue.arrived[kind] + servedBefore));
    };
    return servedShare(1) < leastServedRatio * servedShare(0);
}

void team_shares::halve(queue_counts &queue)
{
    for (float &count : queue.arrivals)
        count /= 2;
    queue.total /= 2;
    for (std::size_t kind = 0; kind < 2; ++kind) {
        queue.arrived[kind] /= 2;
        queue.served[kind] /= 2;
    }
}

// Returns the counts of a queue with their name: all queues that are not in the catalogue share the
// empty one.
team_shares::named_counts &team_shares::countsOf(std::string_view queue)
{
    const auto found = m_queues.find(queue);
    return found == m_queues.end() ? *m_queues.try_emplace(std::string()).first : *found;
}

void team_shares::noteArrival(std::string_view queue, std::int64_t width)
{
    queue_counts &counts = countsOf(queue).second;
    const std::size_t kind = isWide(counts, width) ? 1 : 0;
    counts.arrivals[bucketOf(width)] += 1;
    counts.total += 1;
    counts.arrived[kind] += 1;
    if (counts.total > countedArrivals)
        halve(counts);
}

void team_shares::noteServed(std::string_view queue, std::int64_t width)
{
    queue_counts &counts = countsOf(queue).second;
    counts.served[isWide(counts, width) ? 1 : 0] += 1;
}

// ---- use of teams --------------------------------------------------------------------------

team_shares::service_use &team_shares::serviceOf(const std::string &name)
{
    const auto found = m_services.find(name);
    if (found != m_services.end())
        return found->second;
    if (m_services.size() >= maxServices) {
        m_services.erase(std::min_element(
            m_services.begin(), m_services.end(),
            [](const auto &a, const auto &b) { return a.second.updatedAt < b.second.updatedAt; }));
    }
    return m_services[name];
}

team_shares::team_use &team_shares::useOf(service_use &service, std::string_view team)
{
    const auto found = service.teams.find(team);
    return found == service.teams.end() ? service.teams[std::string(team)] : found->second;
}

double team_shares::dominantShare(const service_use &service, const resources &demand)
{
    return std::max({ratioOf(demand.cores, service.usable.cores),
                     ratioOf(demand.memory, service.usable.memory),
                     ratioOf(demand.accelerators, service.usable.accelerators)});
}

void team_shares::update(const std::string &name, const use_sample &sample, time_point now)
{
    service_use &service = serviceOf(name);
    service.usable = sample.m_usable;
    service.used = sample.m_used;
    if (sample.m_runs > 0) {
        const duration mean(static_cast<duration::rep>(sample.m_runTime / sample.m_runs));
        service.halfLife = scaled(mean, runTimesPerHalfLife);
    }
    service.halfLife = std::clamp(service.halfLife, shortestHalfLife, longestHalfLife);
    const bool isFirst = service.updatedAt == time_point{};
    const duration passed = isFirst ? 0ms : std::max<duration>(0ms, now - service.updatedAt);
    service.updatedAt = now;
    const double kept = std::exp2(-static_cast<double>(passed.count())
                                  / static_cast<double>(service.halfLife.count()));
    for (auto &[team, use] : service.teams)
        use.present = 0;
    for (const auto &[team, demand] : sample.m_byTeam)
        useOf(service, knownTeam(team)).present += dominantShare(service, demand);
    for (auto use = service.teams.begin(); use != service.teams.end();) {
        team_use &one = use->second;
        one.decayed = one.decayed * kept + one.present * (1 - kept);
        const bool isUnused = one.present <= 0 && one.decayed < negligibleShare && !one.isOver;
        use = isUnused ? service.teams.erase(use) : std::next(use);
    }
}

double team_shares::guaranteedShare(const service_use &service, std::string_view team) const
{
    if (service.usable.accelerators <= 0)
        return 0;
    return std::min(1.0,
                    termsOf(team).guaranteed / static_cast<double>(service.usable.accelerators));
}

double team_shares::levelOf(const service_use &service, std::string_view team, double use) const
{
    if (service.fairShare <= 0)
        return 0;
    const double above = std::max(0.0, use - guaranteedShare(service, team));
    return above / termsOf(team).weight / service.fairShare;
}

// Returns whether the free capacity of a service is less than what waits for it.
bool team_shares::isShort(const service_use &service, const std::vector<share_request> &requests)
{
    resources needed = service.used;
    for (const share_request &request : requests)
        needed += request.demand;
    return !service.usable.covers(needed);
}

// Finds the fair share of the teams that use a service or wait for it.
void team_shares::beginRanking(service_use &service, const std::vector<share_request> &requests)
{
    for (auto &[team, use] : service.teams) {
        use.isWaiting = false;
        use.planned = 0;
    }
    for (const share_request &request : requests)
        useOf(service, knownTeam(request.team)).isWaiting = true;
    double weights = 0;
    double guaranteed = 0;
    for (const auto &[team, use] : service.teams) {
        weights += termsOf(team).weight;
        guaranteed += guaranteedShare(service, team);
    }
    const bool isShared = service.teams.size() > 1 && isShort(service, requests);
    service.fairShare = isShared ? std::max(smallestRest, 1 - guaranteed) / weights : 0;
}

// Ranks a step after those that were ranked before, as if these had started: otherwise a burst of
// one team would take all free capacity in the pass in which it arrives.
share_rank team_shares::rankOf(service_use &service, const share_request &request)
{
    const std::string_view team = knownTeam(request.team);
    team_use &use = useOf(service, team);
    share_rank rank;
    if (!request.isGuaranteed) {
        const double level
            = levelOf(service, team, std::max(use.present, use.decayed) + use.planned);
        for (const double bound : classBounds)
            rank.overShare += level > bound ? 1 : 0;
    }
    use.planned += dominantShare(service, request.demand);
    return rank;
}

std::vector<share_rank>
team_shares::rank(std::string_view name, const std::vector<share_request> &requests, time_point now)
{
    std::vector<share_rank> ranks(requests.size());
    const auto found = m_services.find(name);
    if (found == m_services.end() || found->second.updatedAt != now)
        return ranks;
    service_use &service = found->second;
    beginRanking(service, requests);
    noteTeams(name, service, now);
    if (service.fairShare <= 0)
        return ranks;
    for (std::size_t i = 0; i < requests.size(); ++i)
        ranks[i] = rankOf(service, requests[i]);
    chooseAged(requests, ranks, now);
    noteOrder(name, service, ranks, now);
    return ranks;
}

// ---- wide jobs -----------------------------------------------------------------------------

bool team_shares::mayTakePrecedence(const queue_counts &queue, const share_request &request)
{
    return request.mayAge && !request.isGuaranteed && isWide(queue, request.width)
        && static_cast<double>(request.waited.count())
        >= agingShare * static_cast<double>(request.usefulTime.count());
}

// Gives precedence to one wide job of each queue whose wide jobs are served too seldom. It keeps it
// until it starts, since capacity that is reserved for one job after another is of use to none. A
// job that does not start within its useful time loses it, as it may fit nowhere.
void team_shares::chooseAged(const std::vector<share_request> &requests,
                             std::vector<share_rank> &ranks, time_point now)
{
    struct choice
    {
        const share_request *kept = nullptr;
        const share_request *next = nullptr; // first in today's order
    };
    std::map<std::string_view, choice> choices;
    for (const share_request &request : requests) {
        const auto &[name, queue] = countsOf(request.queue);
        choice &chosen = choices[name];
        if (queue.agedJob == request.job) {
            if (now - queue.agedAt <= request.usefulTime)
                chosen.kept = &request;
        } else if (!chosen.next && request.job != queue.skippedJob && isBehind(queue)
                   && mayTakePrecedence(queue, request)) {
            chosen.next = &request;
        }
    }
    for (const auto &[name, chosen] : choices) {
        queue_counts &queue = m_queues.find(name)->second;
        if (chosen.kept)
            continue;
        queue.skippedJob = std::exchange(queue.agedJob, {});
        if (!chosen.next)
            continue;
        queue.agedJob = chosen.next->job;
        queue.agedAt = now;
        addNote(
            "wide job moved ahead", chosen.next->job,
            fmt::format("queue={} team={} waited_ms={} useful_ms={} width={} served_wide={:.0f} "
                        "of={:.0f} served_rest={:.0f} of={:.0f}",
                        name, chosen.next->team, chosen.next->waited.count(),
                        chosen.next->usefulTime.count(), chosen.next->width, queue.served[1],
                        queue.arrived[1], queue.served[0], queue.arrived[0]));
    }
    for (std::size_t i = 0; i < requests.size(); ++i) {
        const queue_counts &queue = countsOf(requests[i].queue).second;
        ranks[i].isAged = !requests[i].isGuaranteed && queue.agedJob == requests[i].job;
    }
}

// ---- notes ---------------------------------------------------------------------------------

void team_shares::noteTeams(std::string_view name, service_use &service, time_point now)
{
    for (auto &[team, use] : service.teams) {
        const double share = std::max(use.present, use.decayed);
        const double level = levelOf(service, team, share);
        const bool isOver = level > (use.isOver ? withinShare : classBounds[0]);
        if (isOver == use.isOver)
            continue;
        use.isOver = isOver;
        if (use.notedAt != time_point{} && now - use.notedAt < noteInterval)
            continue;
        use.notedAt = now;
        addNote(isOver ? "team over its share" : "team within its share", {},
                fmt::format("service={} team={} share={:.3f} decayed={:.3f} guaranteed={:.3f} "
                            "fair={:.3f} level={:.2f} half_life_ms={} teams={}",
                            name, team, use.present, use.decayed, guaranteedShare(service, team),
                            service.fairShare, level, service.halfLife.count(),
                            service.teams.size()));
    }
}

void team_shares::noteOrder(std::string_view name, service_use &service,
                            const std::vector<share_rank> &ranks, time_point now)
{
    std::size_t lowered = 0;
    std::size_t aged = 0;
    for (const share_rank &rank : ranks) {
        lowered += rank.overShare > 0 ? 1 : 0;
        aged += rank.isAged ? 1 : 0;
    }
    const bool isRecent = service.notedAt != time_point{} && now - service.notedAt < noteInterval;
    if (lowered + aged == 0 || isRecent)
        return;
    service.notedAt = now;
    addNote("work ordered by team shares", {},
            fmt::format("service={} steps={} lowered={} aged={} teams={} fair={:.3f}", name,
                        ranks.size(), lowered, aged, service.teams.size(), service.fairShare));
}

void team_shares::addNote(std::string_view event, std::string_view job, std::string inputs)
{
    if (m_notes.size() < maxNotes)
        m_notes.push_back({std::string(event), std::string(job), std::move(inputs)});
}

std::vector<share_note> team_shares::takeNotes()
{
    return std::exchange(m_notes, {});
}

// ---- queries -------------------------------------------------------------------------------

std::size_t team_shares::teamsOverShare(time_point now) const
{
    std::size_t count = 0;
    for (const auto &[name, service] : m_services) {
        if (now - service.updatedAt > lastingState)
            continue;
        for (const auto &[team, use] : service.teams)
            count += use.isOver ? 1 : 0;
    }
    return count;
}

double team_shares::decayedShare(const std::string &service, const std::string &team) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return 0;
    const auto use = found->second.teams.find(team);
    return use == found->second.teams.end() ? 0 : use->second.decayed;
}

std::size_t team_shares::entryCount() const
{
    std::size_t count = m_queues.size();
    for (const auto &[name, service] : m_services)
        count += 1 + service.teams.size();
    return count;
}

// ---- record for the next planner -----------------------------------------------------------

std::vector<learned_use> team_shares::save() const
{
    std::vector<learned_use> uses;
    for (const auto &[name, service] : m_services) {
        for (const auto &[team, use] : service.teams) {
            if (use.decayed >= negligibleShare)
                uses.push_back({name, team, use.decayed, service.halfLife});
        }
    }
    return uses;
}

void team_shares::restore(gsl::span<const learned_use> uses)
{
    for (const learned_use &one : uses) {
        const bool isNew = m_services.find(one.service) == m_services.end();
        if (knownTeam(one.team) != one.team || (isNew && m_services.size() >= maxServices))
            continue;
        service_use &service = serviceOf(one.service);
        if (isNew)
            service.halfLife = std::clamp(one.halfLife, shortestHalfLife, longestHalfLife);
        double &decayed = useOf(service, one.team).decayed;
        decayed = std::max(decayed, one.share);
    }
}

} // namespace goldcrest
