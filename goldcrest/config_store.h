#pragma once

// Keeps a config_view in step with the configuration document in the store, and publishes new
// documents.
//
//   config_store configs(store, loop, view, "entry-1", [&] { apply(view.current()); });
//   configs.start();
//   configs.publish(changed, expected, [](result<revision> outcome) { ... });
//
// One conditional read per configConfirmInterval confirms the revision; its answer carries the
// document only if that has changed. A watch brings changes at once. The view never goes back to a
// lower revision, whatever the store holds.

#include "goldcrest/config_view.h"
#include "goldcrest/event_loop.h"
#include "goldcrest/platform_store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrest {

// A publication that has no certain outcome after this time is reported as ambiguous.
constexpr duration publishDeadline = 5s;

class config_store
{
public:
    // @param writer name of this process, part of the writer tokens
    // @param changed runs after the view has taken a newer revision from the store
    config_store(platform_store &store, event_loop &loop, config_view &view,
                 std::string_view writer, std::function<void()> changed);
    ~config_store();
    config_store(const config_store &) = delete;
    config_store &operator=(const config_store &) = delete;

    // Starts to read, watch and confirm.
    void start();

    // Publishes a configuration that replaces revision `expected`; 0 if there is none. Its number
    // and writer are set here. Gives its revision.
    // Errors: RevisionConflict with the current revision in the reason, also in the view;
    // StoreAmbiguous if it may be stored or not, or was stored and replaced since;
    // StoreValueTooLarge; StoreUnavailable and StoreOverBudget if it was not stored.
    void publish(configuration next, revision expected,
                 std::function<void(result<revision>)> callback);

    // Returns why the document in the store could not be used, if that is so. The view keeps the
    // revision before it.
    const std::optional<failure> &problem() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace goldcrest
