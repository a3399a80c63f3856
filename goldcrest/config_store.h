#pragma once

// Keeps a config_view up to date with the configuration document in the store, and publishes new
// documents.
//
//   config_store configs(store, loop, view, "entry-1", [&] { apply(view.current()); });
//   configs.start();
//   configs.publish(next, expected, [](result<revision> outcome) { ... });
//
// One conditional read per configConfirmInterval confirms the revision; its reply carries the
// document only if it has changed. A watch delivers changes at once. The view never goes back to a
// lower revision, even if the store does.

#include "goldcrest/config_view.h"
#include "goldcrest/event_loop.h"
#include "goldcrest/platform_store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrest {

// A publication whose outcome is still unknown after this time is reported as StoreAmbiguous.
constexpr duration publishDeadline = 5s;

class config_store
{
public:
    // @param writer name of this process, part of the writer tokens
    // @param changed runs after the view was updated to a newer revision from the store
    config_store(platform_store &store, event_loop &loop, config_view &view,
                 std::string_view writer, std::function<void()> changed);
    ~config_store();
    config_store(const config_store &) = delete;
    config_store &operator=(const config_store &) = delete;

    // Starts to read, watch and confirm the document.
    void start();

    // Publishes a configuration that replaces revision `expected`, which is 0 if there is none.
    // Sets the number and the writer of `next`, and passes the new revision to the callback.
    // Errors: RevisionConflict, with the current revision in the reason and in the view;
    // StoreAmbiguous if the document may have been stored, and perhaps replaced since;
    // StoreValueTooLarge, StoreUnavailable and StoreOverBudget if it was not stored.
    void publish(configuration next, revision expected,
                 std::function<void(result<revision>)> callback);

    // Returns why the document in the store can't be used, or std::nullopt if it can. The view
    // keeps the last usable revision meanwhile.
    const std::optional<failure> &documentError() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace goldcrest
