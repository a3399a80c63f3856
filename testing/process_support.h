#pragma once

// Starts, pauses and kills real processes for tests, by process id, and sends HTTP requests to
// them.
//
//   process_group processes(directory);
//   processes.start("entry-1", {binary("goldcrest-entry"), "--settings", path});
//   processes.pause("entry-1");                     // SIGSTOP
//   CHECK(waitFor([&] { return isReady(); }));      // returns as soon as it holds
//
// Every process is killed when the group is destroyed, and by the kernel if the test itself dies.

#include "goldcrest/asio_event_loop.h"
#include "goldcrest/clock.h"
#include "goldcrest/http_client.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace goldcrest {

// Conditions of tests hold long before this limit even on a loaded machine, so only a fault reaches
// it.
constexpr duration conditionLimit = 60s;

// Polls a condition until it holds or the limit has passed. Returns whether it holds.
bool waitFor(const std::function<bool()> &condition, duration limit = conditionLimit);

// Returns the path of a program of this build.
std::string binary(std::string_view name);

// Creates an empty directory for one test under the system's directory for temporary files.
std::string makeTestDirectory(std::string_view name);

void writeFile(const std::string &path, std::string_view content);
std::string readFile(const std::string &path);

// Returns `count` consecutive unused ports of the loopback interface, at most 500. The first call
// locks a range of ports until the program exits, so that test programs that run at the same time
// use different ports.
int findFreePorts(int count);

class process_group
{
public:
    // @param directory receives the output of the processes, one file each
    explicit process_group(std::string directory);
    ~process_group();
    process_group(const process_group &) = delete;
    process_group &operator=(const process_group &) = delete;

    // Starts a program; `arguments` begins with its path. A name may be started again after the
    // process has ended.
    void start(const std::string &name, const std::vector<std::string> &arguments);

    void kill(const std::string &name); // SIGKILL, waits until it has exited
    void pause(const std::string &name); // SIGSTOP
    void resume(const std::string &name); // SIGCONT
    void terminate(const std::string &name); // SIGTERM, does not wait

    // Returns whether the process runs (or is paused).
    bool isRunning(const std::string &name);

    // Waits for the process to exit by itself. Returns its exit status, or nothing if it still
    // runs.
    std::optional<int> waitForExit(const std::string &name, duration limit = conditionLimit);

    std::string outputPath(const std::string &name) const;

    // Returns the process id, or 0 for an unknown name.
    pid_t idOf(const std::string &name) const;

private:
    struct child
    {
        pid_t pid = 0;
        std::optional<int> status; // set when it has ended
    };

    void signal(const std::string &name, int number);
    void reap(child &process, bool wait);

    std::string m_directory;
    std::map<std::string, child> m_children;
};

// A blocking HTTP client with its own event loop.
class test_client
{
public:
    test_client();
    ~test_client();

    struct options
    {
        std::vector<std::pair<std::string, std::string>> headers;
        std::string body;
        duration timeout = 20s;
    };

    // Returns the response, or the failure if none arrived.
    result<http_response> call(std::string_view method, std::string_view url);
    result<http_response> call(std::string_view method, std::string_view url, const options &extra);

    // Starts a call whose response arrives during later calls or in wait().
    void start(std::string_view method, std::string_view url, const options &extra,
               std::function<void(result<http_response>)> callback);

    // Runs callbacks until the condition holds. Returns whether it does.
    bool wait(const std::function<bool()> &condition, duration limit = conditionLimit);

private:
    std::unique_ptr<asio_event_loop> m_loop;
    std::unique_ptr<http_client> m_client;
};

} // namespace goldcrest
