#include "LibTransport/EventPoll.h"

#include <sys/epoll.h>

#include <array>

namespace Papaya {

namespace {

constexpr std::size_t EventsPerWait = 256;

void add(int poll, int descriptor, std::uint64_t token, std::uint32_t events)
{
    epoll_event event {};
    event.events = events;
    event.data.u64 = token;
    ::epoll_ctl(poll, EPOLL_CTL_ADD, descriptor, &event);
}

} // namespace

EventPoll::EventPoll()
    : m_descriptor(::epoll_create1(EPOLL_CLOEXEC))
{
}

void EventPoll::addReader(int descriptor, std::uint64_t token)
{
    add(m_descriptor.get(), descriptor, token, EPOLLIN);
}

void EventPoll::addStream(int descriptor, std::uint64_t token)
{
    add(m_descriptor.get(), descriptor, token, EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET);
}

void EventPoll::wait(Duration timeout, const Handler &handler)
{
    std::array<epoll_event, EventsPerWait> events {};
    const int count = ::epoll_wait(m_descriptor.get(), events.data(), EventsPerWait, static_cast<int>(timeout.count()));
    for (int index = 0; index < count; ++index)
        handler(events[static_cast<std::size_t>(index)].data.u64);
}

} // namespace Papaya
