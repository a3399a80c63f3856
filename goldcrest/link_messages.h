#pragma once

// The message buffers of WebSocket++, which charge what arrives on a connection to the memory
// budget.
//
//   auto memory = std::make_shared<link_memory>(budget, pool, loop, ip, onDrop);
//   con->get_message(websocketpp::frame::opcode::binary, 0)->maker().setMemory(memory);

#include "goldcrest/asio_event_loop.h"
#include "goldcrest/memory_budget.h"

#include <websocketpp/frame.hpp>
#include <websocketpp/message_buffer/alloc.hpp>
#include <websocketpp/message_buffer/message.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace goldcrest::link_impl {

// Charges the message that arrives on a connection to the budget. Exists as long as the
// connection of the library, which may still read after its link has closed.
class link_memory final : public budget_client
{
public:
    // @param onDrop closes the connection
    link_memory(const std::shared_ptr<memory_budget> &budget, memory_budget::pool_id pool,
                asio_event_loop &loop, std::string ip, std::function<void(refusal_cause)> onDrop)
        : m_entry(budget, pool, *this, loop.now())
        , m_loop(loop)
        , m_ip(std::move(ip))
        , m_onDrop(std::move(onDrop))
    { }

    budget_entry &entry() { return m_entry; }

    // Returns the IP address of the client.
    const std::string &ip() const { return m_ip; }

    void drop(refusal_cause cause) override;

    // Whether the link may be closed in favour of others: it was accepted and has not opened.
    bool mayGiveWay = false;

    // Messages that are sent are not charged; the send buffer has a limit of its own.
    bool isSending = false;

    // Called before bytes are added to the payload of the message.
    void update(const std::string &payload);

    // Called when the message is destroyed.
    void end();

private:
    budget_entry m_entry;
    asio_event_loop &m_loop;
    std::string m_ip;
    std::function<void(refusal_cause)> m_onDrop;
    std::size_t m_received = 0; // bytes of the current message
};

class charged_messages;

// A message of WebSocket++. The library reserves the declared size of the first frame, and calls
// get_raw_payload() before it adds received bytes.
class charged_message : public websocketpp::message_buffer::message<
                            websocketpp::message_buffer::alloc::con_msg_manager>
{
public:
    using base
        = websocketpp::message_buffer::message<websocketpp::message_buffer::alloc::con_msg_manager>;
    using ptr = std::shared_ptr<charged_message>;

    // @param memory of an incoming message, else empty
    charged_message(charged_messages &maker, std::weak_ptr<link_memory> memory,
                    websocketpp::frame::opcode::value kind, std::size_t size)
        : base(nullptr, kind, size)
        , m_maker(maker)
        , m_memory(std::move(memory))
    {
        get_raw_payload();
    }
    ~charged_message()
    {
        if (const auto memory = m_memory.lock())
            memory->end();
    }
    charged_message(const charged_message &) = delete;
    charged_message &operator=(const charged_message &) = delete;

    std::string &get_raw_payload() // NOLINT: name required by WebSocket++
    {
        std::string &payload = base::get_raw_payload();
        if (const auto memory = m_memory.lock())
            memory->update(payload);
        return payload;
    }

    // Returns the object that has created the message, which its connection owns.
    charged_messages &maker() const { return m_maker; }

private:
    charged_messages &m_maker;
    std::weak_ptr<link_memory> m_memory;
};

// Creates the messages of one connection.
class charged_messages
{
public:
    using ptr = std::shared_ptr<charged_messages>;
    using message_ptr = charged_message::ptr; // NOLINT: name required by WebSocket++

    // NOLINTBEGIN(readability-identifier-naming): names required by WebSocket++
    message_ptr get_message()
    {
        return std::make_shared<charged_message>(*this, std::weak_ptr<link_memory>(),
                                                 websocketpp::frame::opcode::binary, 0);
    }
    message_ptr get_message(websocketpp::frame::opcode::value kind, std::size_t size)
    {
        const bool isCharged
            = m_memory && !m_memory->isSending && !websocketpp::frame::opcode::is_control(kind);
        return std::make_shared<charged_message>(
            *this, isCharged ? std::weak_ptr<link_memory>(m_memory) : std::weak_ptr<link_memory>(),
            kind, size);
    }
    // NOLINTEND(readability-identifier-naming)

    void setMemory(const std::shared_ptr<link_memory> &memory) { m_memory = memory; }

private:
    std::shared_ptr<link_memory> m_memory; // null before the link uses the connection
};

} // namespace goldcrest::link_impl
