#pragma once

// A store of a test that can be lost, and a caller of a front that runs the event loop on which
// this store is served.
//
//   asio_event_loop loop;
//   losable_store store(loop, port);
//   queue_caller caller(loop);
//   CHECK(caller.reaches(200, "POST", "127.0.0.1:20000/q0/5c0e7a21d94b36f8"));

#include "goldcrest/asio_event_loop.h"
#include "goldcrest/graph_job.h"
#include "goldcrest/http_client.h"
#include "standins/kv_service.h"
#include "standins/store_model.h"
#include "testing/process_support.h"
#include "testing/soak_network_support.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

namespace goldcrest {

// A store with a public queue and one that needs a key. Its server can be lost while it carries out
// a transaction, or leave all reads without an answer.
class losable_store
{
public:
    losable_store(asio_event_loop &loop, int port)
        : m_loop(loop)
        , m_port(port)
        , m_service(loop, m_model)
    {
        putConfiguration(1, R"(["key-1"])");
        listen();
    }

    // @param keys of team-1, as a JSON array
    void putConfiguration(int version, const std::string &keys)
    {
        const auto route = [](const std::string &name, const std::string &isPublic) {
            return R"({"name": ")" + name + R"(", "host": "jobs.example", "prefix": "/)" + name
                + R"(/", "priority": 0, "kind": "non_idempotent", "timeout_ms": 3000,
                "target_completion_ms": 1000, "service": "svc", "max_attempts": 4,
                "slack_factor": 3.0, "public": )"
                + isPublic + "}";
        };
        store_transaction transaction;
        transaction.put("op/config",
                        R"({"version": )" + std::to_string(version)
                            + R"(, "limits": {"max_body_bytes": 262144},
            "services": [{"name": "svc", "enforces_capacity": false, "standby": false}],
            "tenants": [{"name": "team-1", "api_keys": )"
                            + keys + R"(, "guaranteed": {"gpus": 4}}],
            "routes": [)" + route("q0", "true")
                            + "," + route("q1", "false") + "]}");
        m_model.commit(transaction);
    }

    // Closes all connections and takes no new ones.
    void close() { m_server.reset(); }

    void listen()
    {
        m_server = std::make_unique<soak_http_server>(
            m_loop, m_port,
            [this](const soak_request &request, const soak_http_server::respond_function &respond) {
                serve(request, respond);
            });
    }

    bool hasJob(const std::string &id) { return !m_model.range(graphJobKey(id), "").empty(); }

    // Carries out the next transaction without an answer, closes all connections and takes no new
    // ones until listen().
    bool isLostAtNextWrite = false;

    // Reads stay without an answer, on open connections.
    bool areReadsSilent = false;

private:
    void serve(const soak_request &request, const soak_http_server::respond_function &respond)
    {
        const bool isWrite = request.target == "/v1/kv-txn";
        if (areReadsSilent && request.method == "GET")
            return;
        http_request passed;
        passed.method = request.method;
        passed.url = "http://store" + request.target;
        passed.body = request.body;
        m_service.send(std::move(passed), [respond](const result<http_response> &outcome) {
            if (failureOf(outcome))
                return respond(0, {});
            respond(valueOf(outcome).status, valueOf(outcome).body);
        });
        if (isWrite && std::exchange(isLostAtNextWrite, false))
            m_loop.post([this] { m_server.reset(); });
    }

    asio_event_loop &m_loop;
    int m_port;
    store_model m_model;
    kv_service m_service;
    std::unique_ptr<soak_http_server> m_server;
};

// A caller of a front, which runs the event loop of the stand-ins while it waits for the response.
class queue_caller
{
public:
    explicit queue_caller(asio_event_loop &loop)
        : m_loop(loop)
        , m_client(makeCurlClient(loop))
    { }

    // Returns the status, 0 without a response. POST submits a job of one task unless there is a
    // body.
    int call(const std::string &method, const std::string &url, const std::string &key = "",
             const std::string &body = "")
    {
        std::optional<int> status;
        http_request request;
        request.method = method;
        request.url = "http://" + url;
        request.headers = {{"Host", "jobs.example"}, {"Deadline-Ms", "3000"}};
        if (!key.empty())
            request.headers.emplace_back("Key", key);
        if (!body.empty())
            request.body = body;
        else if (method == "POST")
            request.body = R"({"spec":"s","steps":[{"count":1,"cpu":100,"estimated_ms":50}]})";
        m_client->send(std::move(request), [&status](const result<http_response> &outcome) {
            status = failureOf(outcome) ? 0 : valueOf(outcome).status;
        });
        CHECK(m_loop.runUntil([&] { return status.has_value(); }, conditionLimit));
        return *status;
    }

    // Repeats a call until it returns this status. Returns whether it does.
    bool reaches(int status, const std::string &method, const std::string &url,
                 const std::string &key = "")
    {
        const time_point limit = m_loop.now() + conditionLimit;
        while (call(method, url, key) != status) {
            if (m_loop.now() > limit)
                return false;
            m_loop.runUntil([] { return false; }, 50ms);
        }
        return true;
    }

private:
    asio_event_loop &m_loop;
    std::unique_ptr<http_client> m_client;
};

} // namespace goldcrest
