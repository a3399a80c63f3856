// Starts a system of 2 entries and 11 workers in four failure domains, sized for the catalogue in
// examples/regie, with stand-ins for the store and the backend servers. Takes a failure domain out
// of service while a gang runs, returns it after the gang has ended, and checks the histories of
// all processes. Prints each step.
//
//   scripts/demo.sh

#include "testing/system_support.h"

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

using namespace goldcrest;
using nlohmann::json;

namespace {

std::vector<worker_place> regieWorkers()
{
    const std::vector<std::pair<std::string, int>> domains
        = {{"Rimouski", 3}, {"Matane", 3}, {"Rivière-du-Loup", 3}, {"Amqui", 2}};
    std::vector<worker_place> workers;
    for (const auto &[domain, count] : domains) {
        for (int i = 0; i < count; ++i) {
            const std::string name = "w" + std::to_string(workers.size() + 1);
            workers.push_back({name, domain, domain + "-1"});
        }
    }
    return workers;
}

void printStep(const std::string &text)
{
    std::cout << "* " << text << std::endl;
}

bool require(bool condition, const std::string &what)
{
    if (!condition)
        std::cout << "! failed: " << what << std::endl;
    return condition;
}

// Prints the tasks on each worker by failure domain.
void printWorkers(test_system &system)
{
    const json all = system.status(1);
    for (const json &cell : all["cells"]) {
        std::cout << "  planner " << cell.value("planner", "") << ", epoch "
                  << cell.value("epoch", 0) << ", free accelerators "
                  << cell.value("freeAccelerators", 0) << '\n';
        for (const json &worker : cell.value("workers", json::array()))
            std::cout << "  " << worker.value("worker", "") << " in "
                      << worker.value("failureDomain", "") << ": " << worker.value("state", "")
                      << ", " << worker.value("tasks", 0) << " tasks\n";
    }
}

int tasksIn(test_system &system, const std::string &domain)
{
    int tasks = 0;
    const json all = system.status(1);
    for (const json &cell : all["cells"]) {
        for (const json &worker : cell.value("workers", json::array())) {
            if (worker.value("failureDomain", "") == domain)
                tasks += worker.value("tasks", 0);
        }
    }
    return tasks;
}

// Returns the failure domain with the most tasks.
std::string busiestDomain(test_system &system)
{
    std::string busiest;
    int most = -1;
    for (const worker_place &worker : system.workers()) {
        const int tasks = tasksIn(system, worker.failureDomain);
        if (tasks > most) {
            most = tasks;
            busiest = worker.failureDomain;
        }
    }
    return busiest;
}

bool changeDomain(test_system &system, const std::string &domain, bool out)
{
    const test_answer stored = system.setDomain(1, domain, out);
    if (!require(stored.status == 200, "storing the change of " + domain))
        return false;
    const int revision = stored.body.value("revision", 0);
    printStep(domain + (out ? " taken out" : " taken back in") + ": stored as revision "
              + std::to_string(revision) + ", " + stored.body["cells"].dump());
    if (!require(system.waitForRevision(1, revision), "the change to be in force"))
        return false;
    printStep("revision " + std::to_string(revision) + " is in force everywhere");
    return true;
}

bool runDemo(test_system &system)
{
    printStep("starting the store, 2 entries, 11 agents and 11 backend servers");
    if (!require(system.start(), "the start of the system"))
        return false;
    printWorkers(system);

    test_job routes;
    routes.id = "morning-routes";
    routes.shape = "region-routes";
    routes.tasks = 32;
    routes.runTime = 8s;
    routes.canCheckpoint = true;
    printStep("submitting a gang of 32 tasks for team routes");
    const test_answer accepted = system.submit(1, routes);
    if (!require(accepted.status == 201, "the acceptance: " + accepted.body.dump())
        || !require(system.waitForState(1, routes, "running"), "the start of the gang"))
        return false;
    printWorkers(system);

    const std::string domain = busiestDomain(system);
    if (!changeDomain(system, domain, true)
        || !require(waitFor([&] { return tasksIn(system, domain) == 0; }), domain + " to be empty"))
        return false;
    printStep("no task is left in " + domain);
    printWorkers(system);
    const test_answer order = system.submit(
        2,
        [] {
            test_job job;
            job.id = "order-1";
            job.team = "orders";
            job.shape = "order";
            job.tasks = 1;
            job.idempotent = false;
            return job;
        }(),
        20s);
    printStep("an order through the other entry: " + order.outcome() + ", started after "
              + std::to_string(order.body.value("startDelayMs", 0)) + " ms");

    const test_answer finished = system.waitForOutcome(2, routes);
    printStep("the gang ended as " + finished.outcome() + " in attempt "
              + std::to_string(finished.body.value("attempt", 0)) + " with "
              + std::to_string(finished.body.value("results", json::array()).size()) + " results");
    if (!require(finished.outcome() == "completed", finished.body.dump())
        || !changeDomain(system, domain, false)
        || !require(system.waitForWorkers(1, 11), "all workers to be in service"))
        return false;
    printWorkers(system);

    printStep("checking the histories of all processes");
    const std::vector<violation> found = system.check();
    for (const violation &broken : found)
        std::cout << "! " << broken.text() << std::endl;
    return found.empty();
}

} // namespace

int main()
{
    system_options options;
    options.name = "demo";
    options.workers = regieWorkers();
    options.catalogue = readFile("examples/regie/catalogue.json");
    test_system system(options);
    const bool succeeded = runDemo(system);
    printStep(succeeded ? "done; stopping all processes" : "failed; stopping all processes");
    return succeeded ? EXIT_SUCCESS : EXIT_FAILURE;
}
