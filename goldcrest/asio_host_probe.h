#pragma once

// Implementation of host_probe with TCP connections, on the event loop of a daemon.
//
//   asio_host_probe probe(loop);
//   options.probe = &probe;

#include "goldcrest/asio_event_loop.h"
#include "goldcrest/host_probe.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace goldcrest {

class asio_host_probe final : public host_probe
{
public:
    explicit asio_host_probe(asio_event_loop &loop);
    ~asio_host_probe() override;
    asio_host_probe(const asio_host_probe &) = delete;
    asio_host_probe &operator=(const asio_host_probe &) = delete;

    void probe(const std::string &address, duration limit,
               std::function<void(probe_outcome)> callback) override;

private:
    struct attempt;

    asio_event_loop &m_loop;
    std::shared_ptr<std::set<std::shared_ptr<attempt>>> m_attempts;
};

} // namespace goldcrest
