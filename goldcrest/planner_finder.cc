#include "goldcrest/planner_finder.h"

#include "goldcrest/job_record.h"
#include "goldcrest/log_fields.h"

#include <random>
#include <utility>

namespace goldcrest {

namespace {

const call_options searchOptions{call_priority::Urgent, 800ms};

// Timeout of an answer of a connected planner. A planner answers each report and query at once; one
// that does not may have lost its role without knowing it.
constexpr duration responseTimeout = 600ms;

// A link that has not opened within this time is dialled again.
constexpr duration connectTimeout = 1500ms;

} // namespace

struct planner_finder::state : std::enable_shared_from_this<planner_finder::state>
{
    state(event_loop &eventLoop, platform_store &platformStore, peer_network &peerNetwork)
        : loop(eventLoop)
        , store(platformStore)
        , network(peerNetwork)
    { }

    // Returns whether no planner is connected or the connected one does not answer.
    bool needsSearch() const
    {
        return !isOpen
            || (unansweredSince > lastReceivedAt && loop.now() - unansweredSince > responseTimeout);
    }

    void search();
    void onLeader(const result<std::optional<store_entry>> &outcome);
    void dial(const leader_record &leader, epoch number);
    void disconnect();
    void closeLink();
    void scheduleSearch();

    event_loop &loop;
    platform_store &store;
    peer_network &network;
    std::string key;
    planner_finder_callbacks callbacks;
    planner_finder_options options;
    std::mt19937_64 random;

    std::shared_ptr<peer_link> link;
    std::string address;
    epoch dialledEpoch = 0;
    time_point dialledAt{};
    time_point unansweredSince{}; // send time of the first unanswered message
    time_point lastReceivedAt{};
    bool isOpen = false;
    bool isSearching = false;
    timer_handle searchTimer;
};

void planner_finder::state::scheduleSearch()
{
    const auto whole = static_cast<std::uint64_t>(options.searchInterval.count());
    const duration delay(static_cast<duration::rep>(whole / 2 + random() % (whole + 1)));
    searchTimer = loop.after(delay, [this] {
        scheduleSearch();
        search();
    });
}

void planner_finder::state::search()
{
    if (isSearching || !needsSearch())
        return;
    isSearching = true;
    store.get(key, searchOptions,
              [weak = weak_from_this()](const result<std::optional<store_entry>> &outcome) {
                  const std::shared_ptr<state> self = weak.lock();
                  if (!self)
                      return;
                  self->isSearching = false;
                  if (self->needsSearch())
                      self->onLeader(outcome);
              });
}

void planner_finder::state::onLeader(const result<std::optional<store_entry>> &outcome)
{
    if (const failure *error = failureOf(outcome)) {
        log_line(log_level::Warning, "cannot read the leader key").error(*error).limit(key).write();
        return;
    }
    const std::optional<store_entry> &entry = valueOf(outcome);
    if (!entry) {
        // The connected planner has lost its role, even if the link to it is still open.
        disconnect();
        if (callbacks.onNoLeader)
            callbacks.onNoLeader();
        return;
    }
    const result<leader_record> leader = decodeLeader(entry->value);
    if (const failure *error = failureOf(leader)) {
        log_line(log_level::Error, "leader key is malformed").error(*error).limit(key).write();
        return;
    }
    const bool isSame = link && dialledEpoch == entry->createRevision;
    if (isSame && isOpen)
        return;
    if (callbacks.mayDial && !callbacks.mayDial(valueOf(leader), *entry))
        return;
    if (!isSame || loop.now() - dialledAt > connectTimeout)
        dial(valueOf(leader), entry->createRevision);
}

// Disconnects from the planner, if one is connected, and reports it.
void planner_finder::state::disconnect()
{
    const bool wasOpen = isOpen;
    closeLink();
    if (wasOpen)
        callbacks.onClose();
}

void planner_finder::state::closeLink()
{
    if (link)
        link->close();
    link.reset();
    isOpen = false;
}

void planner_finder::state::dial(const leader_record &leader, epoch number)
{
    disconnect();
    address = leader.address;
    dialledEpoch = number;
    dialledAt = loop.now();
    link = network.dial(address);
    const std::weak_ptr<state> weak = weak_from_this();
    link->onOpen([weak, number, leader] {
        const std::shared_ptr<state> self = weak.lock();
        if (!self || self->dialledEpoch != number)
            return;
        self->isOpen = true;
        self->lastReceivedAt = self->loop.now();
        self->unansweredSince = self->lastReceivedAt;
        log_line(log_level::Info, "planner connected")
            .atEpoch(number)
            .peer(leader.address)
            .field("planner", leader.worker)
            .write();
        self->callbacks.onOpen(number);
    });
    link->onMessage([weak](const message &received) {
        const std::shared_ptr<state> self = weak.lock();
        if (!self)
            return;
        self->lastReceivedAt = self->loop.now();
        self->callbacks.onMessage(received);
    });
    link->onClose([weak, number] {
        const std::shared_ptr<state> self = weak.lock();
        if (!self || self->dialledEpoch != number || !self->isOpen)
            return;
        self->isOpen = false;
        log_line(log_level::Warning, "planner disconnected")
            .atEpoch(number)
            .peer(self->address)
            .write();
        self->callbacks.onClose();
        // The next read of the leader key shows whether this planner still has the role. Until then
        // it is not dialled again: a process that has lost the role closes each link that it
        // accepts.
        self->loop.post([weak] {
            const std::shared_ptr<state> later = weak.lock();
            if (later && !later->isOpen)
                later->closeLink();
        });
    });
}

planner_finder::planner_finder(event_loop &loop, platform_store &store, peer_network &network,
                               std::string_view cell, planner_finder_callbacks callbacks,
                               const planner_finder_options &options)
    : m_state(std::make_shared<state>(loop, store, network))
{
    m_state->key = leaderKey(cell);
    m_state->callbacks = std::move(callbacks);
    m_state->options = options;
    m_state->random.seed(options.seed);
    m_state->scheduleSearch();
    m_state->search();
}

planner_finder::~planner_finder()
{
    m_state->searchTimer.reset();
    m_state->closeLink();
}

bool planner_finder::send(const message &value)
{
    state &self = *m_state;
    if (!self.isOpen || !self.link->send(value))
        return false;
    if (self.unansweredSince <= self.lastReceivedAt)
        self.unansweredSince = self.loop.now();
    return true;
}

bool planner_finder::isConnected() const
{
    return m_state->isOpen;
}

void planner_finder::search()
{
    m_state->search();
}

} // namespace goldcrest
