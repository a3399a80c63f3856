#include "goldcrest/outage_rule.h"

namespace goldcrest {

namespace {

class stopping_policy final : public outage_policy
{
public:
    bool mayContinue(const outage_census &) const override { return false; }
};

class unanimous_policy final : public outage_policy
{
public:
    bool mayContinue(const outage_census &census) const override
    {
        return census.known > 0 && census.answered == census.known && census.heardFromStore == 0
            && census.newerRevision == 0;
    }
};

class majority_policy final : public outage_policy
{
public:
    bool mayContinue(const outage_census &census) const override
    {
        const std::size_t withoutContact = census.answered - census.heardFromStore;
        return withoutContact * 2 > census.known && census.newerRevision == 0;
    }
};

} // namespace

std::unique_ptr<outage_policy> makeStoppingPolicy()
{
    return std::make_unique<stopping_policy>();
}

std::unique_ptr<outage_policy> makeUnanimousPolicy()
{
    return std::make_unique<unanimous_policy>();
}

std::unique_ptr<outage_policy> makeMajorityPolicy()
{
    return std::make_unique<majority_policy>();
}

} // namespace goldcrest
