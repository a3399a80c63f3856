// Measures processor time, memory, link bytes and store calls of the real processes, by number of
// workers, first idle and then with running tasks. The slopes feed docs/CAPACITY.md.
//
//   GOLDCREST_BUILD_DIR=build build/process_cost_benchmark [workers...]
//
// Processor time depends on the machine; bytes and calls hardly vary.

#include "testing/system_support.h"

#include <fmt/format.h>

#include <array>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

using namespace goldcrest;

namespace {

constexpr duration observation = 20s;
constexpr int jobsPerWorker = 3;
constexpr int tasksPerJob = 4;
constexpr int workersPerRack = 20;

struct sample
{
    double processorSeconds = 0;
    double residentKiB = 0;
    double sentBytes = 0;
    double receivedBytes = 0;
};

struct role_cost
{
    std::string role;
    int processes = 0;
    sample total; // over the observation, all processes of the role
};

double processorSecondsOf(pid_t id)
{
    std::ifstream file("/proc/" + std::to_string(id) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    constexpr int fieldsBeforeUserTime = 11; // after the command name
    std::string skipped;
    for (int i = 0; i < fieldsBeforeUserTime; ++i)
        fields >> skipped;
    double userTicks = 0;
    double systemTicks = 0;
    fields >> userTicks >> systemTicks;
    return (userTicks + systemTicks) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double residentKiBOf(pid_t id)
{
    std::ifstream file("/proc/" + std::to_string(id) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.rfind("VmRSS:", 0) == 0)
            return std::stod(line.substr(std::string("VmRSS:").size()));
    }
    return 0;
}

// Returns the value of an unlabelled metric in the Prometheus text format.
double metricIn(const std::string &text, const std::string &name)
{
    const std::size_t at = text.find("\n" + name + " ");
    return at == std::string::npos ? 0 : std::stod(text.substr(at + name.size() + 2));
}

class cost_observation
{
public:
    cost_observation(test_system &system, int workers)
        : m_system(system)
        , m_workers(workers)
    { }

    std::vector<role_cost> run()
    {
        const std::string planner = m_system.planner();
        std::vector<std::pair<std::string, std::string>> processes; // process, role
        processes.emplace_back("entry-1", "entry");
        processes.emplace_back("entry-2", "entry");
        for (int i = 1; i <= m_workers; ++i) {
            const std::string worker = "w" + std::to_string(i);
            processes.emplace_back("agent-" + worker, worker == planner ? "planner" : "agent");
        }
        std::vector<sample> before;
        before.reserve(processes.size());
        for (const auto &[process, role] : processes)
            before.push_back(takeSample(process));
        const nlohmann::json callsBefore = m_system.storeCounts();
        std::this_thread::sleep_for(observation);
        std::vector<role_cost> roles = {{"entry", 0, {}}, {"planner", 0, {}}, {"agent", 0, {}}};
        for (std::size_t i = 0; i < processes.size(); ++i) {
            const sample after = takeSample(processes[i].first);
            for (role_cost &role : roles) {
                if (role.role == processes[i].second)
                    add(role, before[i], after);
            }
        }
        printStoreCalls(callsBefore, m_system.storeCounts());
        return roles;
    }

private:
    sample takeSample(const std::string &process)
    {
        const pid_t id = m_system.processes().idOf(process);
        sample taken{processorSecondsOf(id), residentKiBOf(id), 0, 0};
        const result<http_response> answer
            = m_system.client().call("GET", "http://" + m_system.httpAddress(process) + "/metrics");
        if (failureOf(answer))
            return taken;
        const std::string &text = valueOf(answer).body;
        taken.sentBytes = metricIn(text, "goldcrest_link_bytes_sent_total");
        taken.receivedBytes = metricIn(text, "goldcrest_link_bytes_received_total");
        return taken;
    }

    static void add(role_cost &role, const sample &before, const sample &after)
    {
        ++role.processes;
        role.total.processorSeconds += after.processorSeconds - before.processorSeconds;
        role.total.residentKiB += after.residentKiB;
        role.total.sentBytes += after.sentBytes - before.sentBytes;
        role.total.receivedBytes += after.receivedBytes - before.receivedBytes;
    }

    static void printStoreCalls(const nlohmann::json &before, const nlohmann::json &after)
    {
        const double seconds = std::chrono::duration<double>(observation).count();
        fmt::print("  store calls/s:");
        for (const auto &[kind, count] : after.items()) {
            // The number of waiting watches is a gauge; the others are counters.
            if (kind == "waitingWatches")
                fmt::print(" {} {}", kind, count.dump());
            else if (count.is_number() && before.contains(kind))
                fmt::print(" {} {:.1f}", kind,
                           (count.get<double>() - before[kind].get<double>()) / seconds);
        }
        fmt::print("\n");
    }

    test_system &m_system;
    int m_workers;
};

void print(const std::vector<role_cost> &roles)
{
    const double seconds = std::chrono::duration<double>(observation).count();
    for (const role_cost &role : roles) {
        if (role.processes == 0)
            continue;
        const double count = role.processes;
        fmt::print("  {:<8} {:>4} processes: {:>6.2f}% of a core, {:>6.1f} MiB, sent {:>7.0f} B/s, "
                   "received {:>7.0f} B/s each\n",
                   role.role, role.processes, 100 * role.total.processorSeconds / seconds / count,
                   role.total.residentKiB / 1024 / count, role.total.sentBytes / seconds / count,
                   role.total.receivedBytes / seconds / count);
    }
}

bool measure(int workers)
{
    system_options options;
    options.name = "cost-" + std::to_string(workers);
    for (int i = 1; i <= workers; ++i)
        options.workers.push_back(
            {"w" + std::to_string(i), "north", "n" + std::to_string(i / workersPerRack)});
    test_system system(options);
    if (!system.start()) {
        fmt::print("{} workers: the system did not start\n", workers);
        return false;
    }
    cost_observation observe(system, workers);
    fmt::print("{} workers, idle\n", workers);
    print(observe.run());

    test_job job;
    job.tasks = tasksPerJob;
    job.accelerators = 0;
    job.runTime = 10min;
    job.team = "vision";
    for (int i = 0; i < workers * jobsPerWorker; ++i) {
        job.id = "long-" + std::to_string(i);
        system.submit(1 + i % 2, job);
    }
    fmt::print("{} workers, {} tasks\n", workers, workers * jobsPerWorker * tasksPerJob);
    print(observe.run());
    return true;
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<int> sizes;
    for (int i = 1; i < argc; ++i)
        sizes.push_back(std::atoi(argv[i]));
    if (sizes.empty())
        sizes = {11, 33, 99};
    for (const int workers : sizes) {
        if (!measure(workers))
            return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
