#include "goldcrest/platform_store.h"

#include <utility>

namespace goldcrest {

bool wroteNothing(code number)
{
    return number == code::StoreUnavailable || number == code::StoreOverBudget
        || number == code::StoreValueTooLarge;
}

bool changedNothing(code number)
{
    constexpr int firstRefusal = 100;
    constexpr int endOfRefusals = 300;
    const int value = static_cast<int>(number);
    const bool isRefusal = value >= firstRefusal && value < endOfRefusals;
    return isRefusal || number == code::StoreConflict || wroteNothing(number);
}

void platform_store::changes(std::string_view, store_revision, const call_options &,
                             store_callback<watch_batch> callback)
{
    const auto answer = std::move(callback);
    watch_batch unknown;
    unknown.broken = true;
    answer(std::move(unknown));
}

failure writeFailure(const failure &why)
{
    if (why.number == code::StoreAmbiguous)
        return makeFailure(code::OutcomeUnknown,
                           "no answer from the store; the write may have been applied");
    return why;
}

store_transaction &store_transaction::requireAbsent(std::string_view key)
{
    conditions.push_back({std::string(key), true, 0});
    return *this;
}

store_transaction &store_transaction::requireModRevision(std::string_view key,
                                                         store_revision expected)
{
    conditions.push_back({std::string(key), false, expected});
    return *this;
}

store_transaction &store_transaction::requireCreateRevision(std::string_view key,
                                                            store_revision expected)
{
    conditions.push_back({std::string(key), true, expected});
    return *this;
}

store_transaction &store_transaction::put(std::string_view key, std::string_view value,
                                          lease_id lease)
{
    writes.push_back({std::string(key), std::string(value), lease});
    return *this;
}

store_transaction &store_transaction::remove(std::string_view key)
{
    writes.push_back({std::string(key), std::nullopt, 0});
    return *this;
}

} // namespace goldcrest
