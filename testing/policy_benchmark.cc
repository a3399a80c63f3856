// Compares the policy with the baseline and a lower bound, in virtual time. Usage:
//
//   policy_benchmark [deployment [workload]]

#include "testing/policy_workload_support.h"

#include <cstdio>
#include <cstring>

using namespace goldcrest;

namespace {

constexpr unsigned seed = 1;

void row(const std::string &what, double baseline, double firstFit, double policy)
{
    const double ratio = baseline > 0 ? policy / baseline : 0;
    std::printf("| %-32s | %10.2f | %10.2f | %10.2f | %6.3f |\n", what.c_str(), baseline, firstFit,
                policy, ratio);
}

void compare(const deployment &where, workload kind)
{
    const run_report f = runWorkload(makeFifoScheduler, where, kind, seed);
    const run_report s = runWorkload(makeFirstFitScheduler, where, kind, seed);
    const run_report g = runWorkload(makeGangScheduler, where, kind, seed);
    std::printf(
        "\n| %-32s | %10s | %10s | %10s | %6s |\n|---|---|---|---|---|\n",
        (where.name + ", " + nameOf(kind) + ", " + std::to_string(g.completion.count) + " jobs")
            .c_str(),
        "baseline", "first fit", "policy", "ratio");
    const auto show = [&](const std::string &what, auto of) { row(what, of(f), of(s), of(g)); };
    show("completion mean, s", [](const run_report &r) { return r.completion.mean; });
    show("- / lower bound", [](const run_report &r) { return r.completion.mean / r.lowerBound; });
    show("completion p50, s", [](const run_report &r) { return r.completion.p50; });
    show("completion p95, s", [](const run_report &r) { return r.completion.p95; });
    for (const auto &entry : g.completionByClass) {
        const std::string &name = entry.first;
        show("- " + name, [&](const run_report &r) { return r.completionByClass.at(name).p95; });
    }
    for (const auto &entry : g.completionBySize) {
        const int size = entry.first;
        show("- up to " + std::to_string(size) + " accelerators",
             [&](const run_report &r) { return r.completionBySize.at(size).p95; });
    }
    show("unusable free accelerators, %",
         [](const run_report &r) { return 100 * r.unusableShare; });
    show("largest rack gang / free, %",
         [](const run_report &r) { return 100 * r.largestGangShare; });
    if (g.domainChangeShare > 0)
        show("work while a domain changes, %",
             [](const run_report &r) { return 100 * r.domainChangeShare; });
    if (g.reclaim.count > 0) {
        show("reclaim p50, s", [](const run_report &r) { return r.reclaim.p50; });
        show("reclaim max, s", [](const run_report &r) { return r.reclaim.max; });
        show("reclaims above the stop bound",
             [](const run_report &r) { return double(r.lateReclaims); });
    }
    if (g.urgentDelay.count > 0) {
        show("urgent delay p99, s", [](const run_report &r) { return r.urgentDelay.p99; });
        show("urgent delay max, s", [](const run_report &r) { return r.urgentDelay.max; });
        show("urgent above 3 s, freeable",
             [](const run_report &r) { return double(r.lateUrgent); });
    }
    show("work lost to stops, %", [](const run_report &r) { return 100 * r.lostShare; });
    show("longest wait / job length", [](const run_report &r) { return r.starvation; });
    show("unfinished jobs", [](const run_report &r) { return double(r.unfinished); });
    show("stops", [](const run_report &r) { return double(r.stops); });
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    for (const char *name : {"regie", "water", "target"}) {
        if (argc > 1 && std::strcmp(argv[1], name) != 0)
            continue;
        for (const workload kind : {workload::Burst, workload::Borrowing, workload::Fragmented,
                                    workload::DomainOut, workload::Faulty}) {
            if (argc > 2 && std::strcmp(argv[2], nameOf(kind)) != 0)
                continue;
            // The target's cell is one failure domain; to take one out, it is split into four.
            constexpr int split = 4;
            const bool leaves = kind == workload::DomainOut;
            compare(deploymentOf(name, leaves ? split : 0), kind);
        }
    }
}
