#include "goldcrest/outage_rule.h"

namespace goldcrest {

namespace {

class stopping_policy final : public outage_policy
{
public:
    bool mayContinue(const entry_answers &) const override { return false; }
};

class unanimous_policy final : public outage_policy
{
public:
    bool mayContinue(const entry_answers &answers) const override
    {
        return answers.known > 0 && answers.answered == answers.known && answers.reachedStore == 0
            && answers.newerRevision == 0;
    }
};

class majority_policy final : public outage_policy
{
public:
    bool mayContinue(const entry_answers &answers) const override
    {
        const std::size_t withoutContact = answers.answered - answers.reachedStore;
        return withoutContact * 2 > answers.known && answers.newerRevision == 0;
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
