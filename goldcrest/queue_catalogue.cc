#include "goldcrest/queue_catalogue.h"
#include "goldcrest/text_prefix.h"

namespace goldcrest {

namespace {

template<typename T>
const T *findByName(const std::vector<T> &items, std::string_view name)
{
    for (const T &item : items) {
        if (item.name == name)
            return &item;
    }
    return nullptr;
}

} // namespace

const queue_entry *findQueue(const queue_catalogue &catalogue, std::string_view host,
                             std::string_view path)
{
    const std::string_view name = host.substr(0, host.find(':'));
    const queue_entry *best = nullptr;
    for (const queue_entry &queue : catalogue.queues) {
        if (queue.host != name || !startsWith(path, queue.prefix))
            continue;
        if (!best || queue.prefix.size() > best->prefix.size())
            best = &queue;
    }
    return best;
}

const queue_entry *findQueueByName(const queue_catalogue &catalogue, std::string_view name)
{
    return findByName(catalogue.queues, name);
}

const queue_team *findTeamOfKey(const queue_catalogue &catalogue, std::string_view key)
{
    const auto found = catalogue.teamOfKey.find(std::string(key));
    return found == catalogue.teamOfKey.end() ? nullptr : &catalogue.teams[found->second];
}

const queue_team *findTeam(const queue_catalogue &catalogue, std::string_view name)
{
    return findByName(catalogue.teams, name);
}

void indexKeys(queue_catalogue &catalogue)
{
    catalogue.teamOfKey.clear();
    for (std::size_t i = 0; i < catalogue.teams.size(); ++i) {
        for (const std::string &key : catalogue.teams[i].keys)
            catalogue.teamOfKey.emplace(key, i);
    }
}

} // namespace goldcrest
