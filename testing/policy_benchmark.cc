// Compares the policy with the baselines and a lower bound, in virtual time. Usage:
//
//   policy_benchmark [deployment [workload]]
//   policy_benchmark cost
//
// Figures are means over the seeds. Maxima are merged by maximum, counts by sum.

#include "testing/policy_workload_support.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <malloc.h>
#include <new>

using namespace goldcrest;

namespace {

heap_use used;

heap_use heapUse()
{
    return used;
}

} // namespace

void *operator new(std::size_t size)
{
    void *memory = std::malloc(size);
    if (!memory)
        throw std::bad_alloc();
    ++used.allocations;
    used.allocatedBytes += size;
    used.liveBytes += std::int64_t(malloc_usable_size(memory));
    return memory;
}

void operator delete(void *memory) noexcept
{
    used.liveBytes -= memory ? std::int64_t(malloc_usable_size(memory)) : 0;
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    operator delete(memory);
}

namespace {

constexpr unsigned smallCellSeeds = 5; // one seed of a small cell varies by 10%
constexpr unsigned largeCellSeeds = 1;
constexpr std::size_t largeCell = 100; // workers

using reports = std::vector<run_report>;

reports runAll(engine_maker make, const deployment &where, workload kind)
{
    const unsigned seeds = where.workers.size() > largeCell ? largeCellSeeds : smallCellSeeds;
    reports all;
    for (unsigned seed = 1; seed <= seeds; ++seed)
        all.push_back(runWorkload(make, where, kind, seed));
    return all;
}

enum class merge { Mean, Max, Sum };

template<typename F>
double aggregate(const reports &all, merge how, F of)
{
    if (all.empty())
        return -1;
    double sum = 0;
    double maximum = 0;
    for (const run_report &report : all) {
        sum += of(report);
        maximum = std::max(maximum, of(report));
    }
    if (how == merge::Max)
        return maximum;
    return how == merge::Sum ? sum : sum / double(all.size());
}

double at(const std::map<int, distribution> &bySize, int size)
{
    const auto found = bySize.find(size);
    return found == bySize.end() ? 0 : found->second.p95;
}

void printRow(const std::string &what, double baseline, double firstFit, double policy)
{
    const double ratio = baseline > 0 ? policy / baseline : 0;
    char middle[16] = "-";
    if (firstFit >= 0)
        std::snprintf(middle, sizeof middle, "%.2f", firstFit);
    std::printf("| %-32s | %10.2f | %10s | %10.2f | %6.3f |\n", what.c_str(), baseline, middle,
                policy, ratio);
}

void compare(const deployment &where, workload kind)
{
    const reports f = runAll(makeFifoScheduler, where, kind);
    // The skipping baseline examines the whole queue on each event, which takes too long here.
    const reports s
        = where.workers.size() > largeCell ? reports{} : runAll(makeFirstFitScheduler, where, kind);
    const reports g = runAll(makeGangScheduler, where, kind);
    const run_report &first = g.front();
    std::printf(
        "\n| %-32s | %10s | %10s | %10s | %6s |\n|---|---|---|---|---|\n",
        (where.name + ", " + nameOf(kind) + ", " + std::to_string(first.completion.count) + " jobs")
            .c_str(),
        "baseline", "first fit", "policy", "ratio");
    const auto show = [&](const std::string &what, auto of, merge how = merge::Mean) {
        printRow(what, aggregate(f, how, of), aggregate(s, how, of), aggregate(g, how, of));
    };
    using r = const run_report &;
    show("completion mean, s", [](r x) { return x.completion.mean; });
    show("- / lower bound", [](r x) { return x.completion.mean / x.lowerBound; });
    show("completion p50, s", [](r x) { return x.completion.p50; });
    show("completion p95, s", [](r x) { return x.completion.p95; });
    for (const auto &entry : first.completionByClass) {
        const std::string &name = entry.first;
        show("- " + name, [&](r x) { return x.completionByClass.at(name).p95; });
    }
    for (const auto &entry : first.completionBySize) {
        const int size = entry.first;
        show("- up to " + std::to_string(size) + " accelerators",
             [&](r x) { return at(x.completionBySize, size); });
    }
    show("unusable free accelerators, %", [](r x) { return 100 * x.unusableShare; });
    show("largest rack gang / free, %", [](r x) { return 100 * x.largestGangShare; });
    if (first.domainChangeShare > 0)
        show("work while a domain changes, %", [](r x) { return 100 * x.domainChangeShare; });
    if (first.reclaim.count > 0) {
        show("reclaim p50, s", [](r x) { return x.reclaim.p50; });
        show(
            "reclaim max, s", [](r x) { return x.reclaim.max; }, merge::Max);
        show(
            "reclaims above the stop bound", [](r x) { return double(x.lateReclaims); },
            merge::Sum);
    }
    if (first.urgentDelay.count > 0) {
        show("urgent delay p99, s", [](r x) { return x.urgentDelay.p99; });
        show(
            "urgent delay max, s", [](r x) { return x.urgentDelay.max; }, merge::Max);
        show(
            "urgent above 3 s, freeable", [](r x) { return double(x.lateUrgent); }, merge::Sum);
    }
    show("work lost to stops, %", [](r x) { return 100 * x.lostShare; });
    show(
        "longest wait / job length", [](r x) { return x.starvation; }, merge::Max);
    show(
        "unfinished jobs", [](r x) { return double(x.unfinished); }, merge::Sum);
    show(
        "stops", [](r x) { return double(x.stops); }, merge::Sum);
    std::fflush(stdout);
}

void showCost()
{
    const std::vector<int> sizes = {11, 111, 445, 1225, 4900};
    std::vector<cost_report> reports;
    std::printf("| workers | B/worker | B/task | B/queued job |\n|---|---|---|---|\n");
    for (const int workers : sizes) {
        reports.push_back(measureCost(makeGangScheduler, workers, 1, heapUse));
        const cost_report &r = reports.back();
        std::printf("| %7d | %8.0f | %6.0f | %12.0f |\n", workers, r.bytesPerWorker, r.bytesPerTask,
                    r.bytesPerQueuedJob);
    }
    const auto show = [&](const char *what, cost_kind kind, double event_cost::*figure) {
        std::vector<std::pair<double, double>> points;
        std::printf("| %-24s |", what);
        for (std::size_t i = 0; i < sizes.size(); ++i) {
            const double cost = reports[i].events[kind].*figure;
            points.emplace_back(double(sizes[i]), cost);
            std::printf(" %10.1f |", cost);
        }
        std::printf(" %8.2f |\n", growthExponent(points));
    };
    std::printf("\n| per event, workers | 11 | 111 | 445 | 1225 | 4900 | exponent |\n"
                "|---|---|---|---|---|---|---|\n");
    const std::pair<const char *, cost_kind> kinds[] = {{"queued", cost_kind::Queued},
                                                        {"stopped", cost_kind::Stopped},
                                                        {"cancelled", cost_kind::Cancelled},
                                                        {"tick", cost_kind::Tick}};
    for (const auto &[name, kind] : kinds) {
        const std::string prefix = name;
        show((prefix + ", examined").c_str(), kind, &event_cost::examined);
        show((prefix + ", allocations").c_str(), kind, &event_cost::allocations);
        show((prefix + ", bytes").c_str(), kind, &event_cost::bytes);
        show((prefix + ", ns").c_str(), kind, &event_cost::nanoseconds);
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc > 1 && std::strcmp(argv[1], "cost") == 0) {
        showCost();
        return 0;
    }
    for (const char *name : {"regie", "water", "target"}) {
        if (argc > 1 && std::strcmp(argv[1], name) != 0)
            continue;
        for (const workload kind : {workload::Burst, workload::Borrowing, workload::Fragmented,
                                    workload::DomainOut, workload::Faulty}) {
            if (argc > 2 && std::strcmp(argv[2], nameOf(kind)) != 0)
                continue;
            // The target's cell is one failure domain; to take one out, it is split into four.
            constexpr int split = 4;
            const bool takesDomainOut = kind == workload::DomainOut;
            compare(deploymentOf(name, takesDomainOut ? split : 0), kind);
        }
    }
}
