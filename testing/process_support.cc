#include "testing/process_support.h"

#include <arpa/inet.h>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <sstream>
#include <stdexcept>
#include <sys/file.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace goldcrest {

namespace {

constexpr duration pollInterval = 20ms;
constexpr int firstPort = 20'000;
constexpr int portBlock = 100;
constexpr int blocksPerRange = 5;
constexpr int portRanges = 24; // keeps the ports below the usual ephemeral port range

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

bool isPortFree(int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return false;
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    const bool isFree
        = ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    ::close(descriptor);
    return isFree;
}

bool areFree(int first, int count)
{
    for (int port = first; port < first + count; ++port) {
        if (!isPortFree(port))
            return false;
    }
    return true;
}

// Locks a range of ports against other test programs until this one exits, and returns its first
// port. Checking that ports are unused is not enough: they are bound much later, when another
// program may have found them unused as well.
int lockPortRange()
{
    const auto directory = std::filesystem::temp_directory_path();
    for (int tries = 0; tries < portRanges; ++tries) {
        const int range = (::getpid() + tries) % portRanges;
        const auto path = directory / ("goldcrest-ports-" + std::to_string(range) + ".lock");
        const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);
        if (file < 0)
            continue;
        if (::flock(file, LOCK_EX | LOCK_NB) == 0)
            return firstPort + range * blocksPerRange * portBlock;
        ::close(file);
    }
    throw std::runtime_error("all ranges of ports are in use by other test programs");
}

// Runs after fork() in a program that may have threads, so it must not allocate.
[[noreturn]] void runChild(const char *output, char *const *arguments, pid_t parent)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        ::_exit(EXIT_FAILURE);
    const int file = ::open(output, O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (file >= 0) {
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
    }
    ::execv(arguments[0], arguments);
    constexpr int notFound = 127;
    ::_exit(notFound);
}

} // namespace

bool waitFor(const std::function<bool()> &condition, duration limit)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= until)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

std::string binary(std::string_view name)
{
    const char *directory = std::getenv("GOLDCREST_BUILD_DIR");
    return std::string(directory == nullptr ? "build" : directory) + "/" + std::string(name);
}

std::string makeTestDirectory(std::string_view name)
{
    const std::filesystem::path path = std::filesystem::temp_directory_path()
        / ("goldcrest-" + std::to_string(::getpid()) + "-" + std::string(name));
    std::filesystem::remove_all(path);
    std::filesystem::create_directories(path);
    return path.string();
}

void writeFile(const std::string &path, std::string_view content)
{
    std::ofstream(path) << content;
}

std::string readFile(const std::string &path)
{
    std::ostringstream content;
    content << std::ifstream(path).rdbuf();
    return content.str();
}

int findFreePorts(int count)
{
    static const int rangeStart = lockPortRange();
    // Each call takes the next block, so that a restarted system does not reuse its old ports.
    static std::atomic<int> calls{0};
    for (int tries = 0; tries < blocksPerRange; ++tries) {
        const int first = rangeStart + calls++ % blocksPerRange * portBlock;
        if (first + count <= rangeStart + blocksPerRange * portBlock && areFree(first, count))
            return first;
    }
    throw std::runtime_error("no block of consecutive free ports found");
}

process_group::process_group(std::string directory)
    : m_directory(std::move(directory))
{ }

process_group::~process_group()
{
    for (auto &[name, process] : m_children) {
        if (process.pid > 0 && !process.status)
            ::kill(process.pid, SIGKILL);
    }
    for (auto &[name, process] : m_children)
        reap(process, true);
}

void process_group::start(const std::string &name, const std::vector<std::string> &arguments)
{
    child &process = m_children[name];
    reap(process, false);
    if (process.pid > 0 && !process.status)
        throw std::logic_error(name + " is already running");
    const std::string output = outputPath(name);
    std::vector<char *> list;
    list.reserve(arguments.size() + 1);
    for (const std::string &argument : arguments)
        list.push_back(const_cast<char *>(argument.c_str()));
    list.push_back(nullptr);
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid < 0)
        throw std::runtime_error("fork failed");
    if (pid == 0)
        runChild(output.c_str(), list.data(), parent);
    process = child{pid, std::nullopt};
}

void process_group::kill(const std::string &name)
{
    signal(name, SIGKILL);
    reap(m_children[name], true);
}

void process_group::pause(const std::string &name)
{
    signal(name, SIGSTOP);
}

void process_group::resume(const std::string &name)
{
    signal(name, SIGCONT);
}

void process_group::terminate(const std::string &name)
{
    signal(name, SIGTERM);
}

bool process_group::isRunning(const std::string &name)
{
    child &process = m_children[name];
    reap(process, false);
    return process.pid > 0 && !process.status;
}

std::optional<int> process_group::waitForExit(const std::string &name, duration limit)
{
    waitFor([&] { return !isRunning(name); }, limit);
    return m_children[name].status;
}

pid_t process_group::idOf(const std::string &name) const
{
    const auto found = m_children.find(name);
    return found == m_children.end() ? 0 : found->second.pid;
}

std::string process_group::outputPath(const std::string &name) const
{
    return m_directory + "/" + name + ".out";
}

void process_group::signal(const std::string &name, int number)
{
    if (isRunning(name))
        ::kill(m_children[name].pid, number);
}

void process_group::reap(child &process, bool wait)
{
    if (process.pid <= 0 || process.status)
        return;
    int status = 0;
    if (::waitpid(process.pid, &status, wait ? 0 : WNOHANG) == process.pid)
        process.status = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

test_client::test_client()
    : m_loop(std::make_unique<asio_event_loop>())
    , m_client(makeCurlClient(*m_loop))
{ }

test_client::~test_client() = default;

result<http_response> test_client::call(std::string_view method, std::string_view url)
{
    return call(method, url, options{});
}

result<http_response> test_client::call(std::string_view method, std::string_view url,
                                        const options &extra)
{
    auto answer = std::make_shared<std::optional<result<http_response>>>();
    start(method, url, extra,
          [answer](result<http_response> received) { *answer = std::move(received); });
    if (!wait([&] { return answer->has_value(); }, extra.timeout + conditionLimit))
        return makeFailure(code::Internal, "the HTTP client reported no response");
    return **answer;
}

void test_client::start(std::string_view method, std::string_view url, const options &extra,
                        std::function<void(result<http_response>)> callback)
{
    http_request request;
    request.method = method;
    request.url = url;
    request.headers = extra.headers;
    request.body = extra.body;
    request.timeout = extra.timeout;
    m_client->send(std::move(request), std::move(callback));
}

bool test_client::wait(const std::function<bool()> &condition, duration limit)
{
    return m_loop->runUntil(condition, limit);
}

} // namespace goldcrest
