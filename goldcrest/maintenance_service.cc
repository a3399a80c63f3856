#include "goldcrest/maintenance_service.h"

#include "goldcrest/job_record.h"
#include "goldcrest/log_fields.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace goldcrest {

namespace {

constexpr duration tickInterval = 200ms;
const call_options storeOptions{call_priority::Normal, 2s, largeAnswer};
constexpr duration storeRetryPause = 1s;
// A service that never ends its list must not keep the reading going for ever.
constexpr int maxPages = 1000;
constexpr std::size_t maxMachines = 20'000; // four times the design size

duration pauseOf(double perSecond)
{
    return perSecond > 0 ? scaled(1s, 1 / perSecond) : 1s;
}

// Returns the number of a wave from the end of its key, or nothing.
std::optional<std::int64_t> numberIn(std::string_view text)
{
    std::int64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return number;
}

bool areSame(const std::vector<maintenance_wave> &before,
             const std::vector<maintenance_wave> &after)
{
    return std::equal(before.begin(), before.end(), after.begin(), after.end(),
                      [](const maintenance_wave &a, const maintenance_wave &b) {
                          return a.number == b.number && a.at == b.at && a.time == b.time
                              && a.cap == b.cap && a.machines == b.machines;
                      });
}

// Delays calls after failures.
struct backoff
{
    duration pause = 0ms;
    time_point until{};

    void fail(const maintenance_service_options &options, time_point now)
    {
        pause = std::clamp(pause * 2, options.firstBackoff, options.longestBackoff);
        until = now + pause;
    }
    void succeed() { *this = {}; }
};

} // namespace

struct maintenance_service::state : std::enable_shared_from_this<maintenance_service::state>
{
    state(event_loop &eventLoop, platform_store &platformStore, machine_service &machineService,
          const maintenance_service_options &serviceOptions)
        : loop(eventLoop)
        , store(platformStore)
        , machines(machineService)
        , options(serviceOptions)
        , planner(serviceOptions.planner, eventLoop.now())
    { }

    void tick();
    void readStates();
    void onStates(const result<std::vector<store_entry>> &outcome);
    void readMachines();
    void readPage(const std::string &token);
    void onPage(const result<machine_page> &outcome);
    void carryOut();
    void logDrains(const std::map<std::string, time_point> &next);
    void send(const maintenance_release &release);
    void onAnswer(const maintenance_release &release, machine_answer answer, time_point sentAt);
    bool storeStates(const std::map<std::int64_t, wave_state> &states);
    void storeState(std::int64_t wave, wave_state next);
    void onStored(std::int64_t wave, wave_state next, const result<commit_reply> &outcome);

    // Wraps a callback so that it does nothing once the service is destroyed.
    template<typename Callback>
    auto guarded(Callback callback)
    {
        return [weak = weak_from_this(), callback = std::move(callback)](auto &&...arguments) {
            const std::shared_ptr<state> self = weak.lock();
            if (self)
                callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    event_loop &loop;
    platform_store &store;
    machine_service &machines;
    maintenance_service_options options;
    maintenance_callbacks callbacks;
    epoch number = 0;
    maintenance_planner planner;
    std::vector<maintenance_wave> waves;
    time_point confirmedAt{};
    bool isSettled = true; // nothing is left to do until the waves change
    std::map<std::string, time_point> drains; // as last set

    bool hasStates = false; // the stored states are known
    bool isPlannerInformed = false; // of the states that earlier planners have stored
    bool isStoreBusy = false; // a call to the store is in progress
    time_point storeRetryAt{};
    std::map<std::int64_t, stored_wave_state> stored;

    bool isReading = false;
    int pages = 0;
    std::vector<machine_entry> listed; // pages of the reading in progress
    time_point listBegunAt{};
    time_point nextReadAt{};
    time_point listedAt{}; // beginning of the last complete reading
    backoff reads;
    timer_handle pageTimer;

    time_point nextCallAt{};
    backoff calls;
    timer_handle tickTimer;
};

void maintenance_service::state::tick()
{
    if (isSettled || !callbacks.mayAct())
        return;
    if (!hasStates && !waves.empty())
        readStates();
    if (!isPlannerInformed)
        return;
    carryOut();
    if (planner.needsMachines())
        readMachines();
}

// ---- states in the store -------------------------------------------------------------------

void maintenance_service::state::readStates()
{
    if (isStoreBusy || loop.now() < storeRetryAt)
        return;
    isStoreBusy = true;
    store.list(options.status.prefix, 0, storeOptions,
               guarded([this](const result<std::vector<store_entry>> &outcome) {
                   isStoreBusy = false;
                   onStates(outcome);
               }));
}

void maintenance_service::state::onStates(const result<std::vector<store_entry>> &outcome)
{
    if (const failure *error = failureOf(outcome)) {
        storeRetryAt = loop.now() + storeRetryPause;
        log_line(log_level::Warning, "cannot read the states of maintenance waves")
            .error(*error)
            .limit("maintenance states")
            .write();
        return;
    }
    hasStates = true;
    stored.clear();
    std::map<std::int64_t, stored_wave_state> readable;
    for (const store_entry &entry : valueOf(outcome)) {
        const auto wave
            = numberIn(std::string_view(entry.key).substr(options.status.prefix.size()));
        if (!wave)
            continue;
        // An unreadable state is written again, and the wave counts as one that runs.
        const std::optional<wave_state> decoded = options.status.decode(entry.value);
        readable[*wave] = {decoded.value_or(wave_state::Running), entry.modRevision};
        stored[*wave] = readable[*wave];
        stored[*wave].isReadable = decoded.has_value();
    }
    if (!isPlannerInformed)
        planner.setStoredStates(std::move(readable));
    isPlannerInformed = true;
}

// Writes at most one of the states. Returns whether all of them are stored.
bool maintenance_service::state::storeStates(const std::map<std::int64_t, wave_state> &states)
{
    if (states.empty())
        return true;
    if (!hasStates || isStoreBusy || loop.now() < storeRetryAt)
        return false;
    for (const auto &[wave, next] : states) {
        const auto found = stored.find(wave);
        if (found == stored.end() || !found->second.isReadable || found->second.state != next) {
            storeState(wave, next);
            return false;
        }
    }
    return true;
}

void maintenance_service::state::storeState(std::int64_t wave, wave_state next)
{
    const std::string key = options.status.prefix + std::to_string(wave);
    const auto found = stored.find(wave);
    store_transaction transaction;
    // The second condition keeps a write that arrives late from replacing a later one.
    transaction.requireCreateRevision(leaderKey(options.cell), number)
        .requireModRevision(key, found == stored.end() ? 0 : found->second.at)
        .put(key, options.status.encode(next));
    isStoreBusy = true;
    store.commit(std::move(transaction), storeOptions,
                 guarded([this, wave, next](const result<commit_reply> &outcome) {
                     isStoreBusy = false;
                     onStored(wave, next, outcome);
                 }));
}

void maintenance_service::state::onStored(std::int64_t wave, wave_state next,
                                          const result<commit_reply> &outcome)
{
    const failure *error = failureOf(outcome);
    const bool isApplied = !error && valueOf(outcome).applied;
    log_line line(log_level::Info, "state of maintenance wave");
    line.atEpoch(number)
        .field("wave", wave)
        .field("state", next == wave_state::Completed ? "completed" : "running")
        .field("stored", isApplied ? 1 : 0);
    if (error)
        line.error(*error);
    line.limit("wave state", 20).write();
    if (isApplied) {
        stored[wave] = {next, valueOf(outcome).at};
        return;
    }
    // The write may have taken effect, or the item was changed, so it is read again.
    hasStates = false;
    storeRetryAt = loop.now() + storeRetryPause;
}

// ---- machine list --------------------------------------------------------------------------

void maintenance_service::state::readMachines()
{
    const time_point now = loop.now();
    if (isReading || now < nextReadAt || now < reads.until
        || now - listBegunAt < options.listInterval)
        return;
    isReading = true;
    listBegunAt = now;
    pages = 0;
    listed.clear();
    readPage({});
}

void maintenance_service::state::readPage(const std::string &token)
{
    nextReadAt = loop.now() + pauseOf(options.readsPerSecond);
    machines.list(token, guarded([this](const result<machine_page> &outcome) { onPage(outcome); }));
}

void maintenance_service::state::onPage(const result<machine_page> &outcome)
{
    const failure *error = failureOf(outcome);
    const bool isTooLong = !error
        && (++pages > maxPages || listed.size() + valueOf(outcome).machines.size() > maxMachines);
    if (error || isTooLong) {
        isReading = false;
        listed = {};
        reads.fail(options, loop.now());
        log_line line(log_level::Warning, "machine list unreadable");
        if (error)
            line.error(*error);
        line.field("pages", pages).limit("machine list", 1).write();
        return;
    }
    const machine_page &page = valueOf(outcome);
    listed.insert(listed.end(), page.machines.begin(), page.machines.end());
    if (!page.nextToken.empty()) {
        pageTimer = loop.after(std::max<duration>(0ms, nextReadAt - loop.now()),
                               [this, token = page.nextToken] { readPage(token); });
        return;
    }
    isReading = false;
    reads.succeed();
    listedAt = listBegunAt;
    planner.onMachines(listed, listBegunAt, loop.now());
    listed = {};
}

// ---- calls ---------------------------------------------------------------------------------

void maintenance_service::state::carryOut()
{
    const time_point now = loop.now();
    const std::map<std::string, server_use> uses = callbacks.uses();
    const maintenance_decisions decisions
        = planner.plan({waves, confirmedAt, uses, callbacks.ownServer(), now});
    logDrains(decisions.drains);
    drains = decisions.drains;
    callbacks.setDrains(drains);
    isSettled = storeStates(decisions.states) && drains.empty() && !planner.needsMachines();
    // One call each time. The others are decided again.
    if (!decisions.releases.empty() && now >= nextCallAt && now >= calls.until)
        send(decisions.releases.front());
}

void maintenance_service::state::logDrains(const std::map<std::string, time_point> &next)
{
    const auto log = [&](std::string_view event, const std::string &server, time_point due) {
        log_line(log_level::Info, event)
            .atEpoch(number)
            .field("server", server)
            .field("due_in_ms", (due - loop.now()).count())
            .field("list_age_ms", (loop.now() - listedAt).count())
            .limit("maintenance drain", 20)
            .write();
    };
    for (const auto &[server, due] : next) {
        if (drains.count(server) == 0)
            log("drain for maintenance", server, due);
    }
    for (const auto &[server, due] : drains) {
        if (next.count(server) == 0)
            log("drain for maintenance ended", server, due);
    }
}

void maintenance_service::state::send(const maintenance_release &release)
{
    const time_point now = loop.now();
    nextCallAt = now + pauseOf(options.callsPerSecond);
    planner.onSent(release);
    machines.maintain(
        {release.machine, options.holder, number}, release.wave,
        guarded([this, release, now](machine_answer answer) { onAnswer(release, answer, now); }));
}

void maintenance_service::state::onAnswer(const maintenance_release &release, machine_answer answer,
                                          time_point sentAt)
{
    const time_point now = loop.now();
    planner.onAnswer(release, answer, now);
    log_line(log_level::Info, "maintenance call")
        .atEpoch(number)
        .field("wave", release.wave)
        .field("machine", release.machine)
        .field("answer", nameOf(answer))
        .field("list_age_ms", (sentAt - listedAt).count())
        .field("view_age_ms", (sentAt - confirmedAt).count())
        .field("took_ms", (now - sentAt).count())
        .limit("maintenance call", 20)
        .write();
    if (callbacks.onAnswer)
        callbacks.onAnswer(answer);
    if (answer == machine_answer::NotSent || answer == machine_answer::Lost)
        calls.fail(options, now);
    else
        calls.succeed();
}

maintenance_service::maintenance_service(event_loop &loop, platform_store &store,
                                         machine_service &machines,
                                         const maintenance_service_options &options, epoch number,
                                         maintenance_callbacks callbacks)
    : m_state(std::make_shared<state>(loop, store, machines, options))
{
    m_state->number = number;
    m_state->callbacks = std::move(callbacks);
    m_state->tickTimer = loop.every(tickInterval, [self = m_state.get()] { self->tick(); });
}

maintenance_service::~maintenance_service() = default;

void maintenance_service::setView(const operator_view &view)
{
    if (!areSame(m_state->waves, view.waves)) {
        m_state->waves = view.waves;
        m_state->isSettled = false;
    }
    m_state->confirmedAt = view.confirmedAt;
}

std::vector<wave_progress> maintenance_service::progress() const
{
    return m_state->planner.progress(m_state->loop.now());
}

} // namespace goldcrest
