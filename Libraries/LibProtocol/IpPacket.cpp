#include "LibProtocol/IpPacket.h"

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>

#include <cstring>

namespace Papaya {

namespace {

constexpr std::size_t IpHeaderSize = sizeof(iphdr);
constexpr std::size_t TcpHeaderSize = sizeof(tcphdr);
constexpr std::size_t WordSize = 4;
constexpr std::uint16_t FragmentMask = 0x3fff;
constexpr std::uint8_t DefaultTimeToLive = 64;

/// The IP and TCP headers of a packet. They are copied because the packet buffer is not aligned for header structs.
struct Headers {
    iphdr ip {};
    tcphdr tcp {};
    std::size_t payloadSize = 0;
};

Failure malformed(const char *reason)
{
    return {FailureKind::MalformedPacket, 0, reason};
}

Result<Headers> readHeaders(std::span<const std::byte> packet)
{
    Headers headers;
    if (packet.size() < IpHeaderSize + TcpHeaderSize)
        return malformed("short_packet");
    std::memcpy(&headers.ip, packet.data(), IpHeaderSize);
    const std::size_t ipSize = headers.ip.ihl * WordSize;
    if (headers.ip.version != IPVERSION || ipSize < IpHeaderSize)
        return malformed("ip_header");
    if (headers.ip.protocol != IPPROTO_TCP)
        return malformed("ip_protocol");
    if ((ntohs(headers.ip.frag_off) & FragmentMask) != 0)
        return malformed("fragment");
    if (ntohs(headers.ip.tot_len) != packet.size() || packet.size() < ipSize + TcpHeaderSize)
        return malformed("ip_length");
    std::memcpy(&headers.tcp, packet.data() + ipSize, TcpHeaderSize);
    const std::size_t tcpSize = headers.tcp.doff * WordSize;
    if (tcpSize < TcpHeaderSize || packet.size() < ipSize + tcpSize)
        return malformed("tcp_header");
    headers.payloadSize = packet.size() - ipSize - tcpSize;
    return headers;
}

/// Adds the 16-bit words of a buffer to an unfolded ones' complement sum (RFC 1071).
std::uint32_t addToChecksum(std::uint32_t sum, std::span<const std::byte> bytes)
{
    for (std::size_t index = 0; index + 1 < bytes.size(); index += 2)
        sum += (std::to_integer<std::uint32_t>(bytes[index]) << 8U) | std::to_integer<std::uint32_t>(bytes[index + 1]);
    if (bytes.size() % 2 == 1)
        sum += std::to_integer<std::uint32_t>(bytes.back()) << 8U;
    return sum;
}

std::uint16_t foldChecksum(std::uint32_t sum)
{
    while ((sum >> 16U) != 0)
        sum = (sum & 0xffffU) + (sum >> 16U);
    return htons(static_cast<std::uint16_t>(~sum));
}

std::uint16_t tcpChecksum(const iphdr &ip, const tcphdr &tcp)
{
    std::uint32_t sum = IPPROTO_TCP + TcpHeaderSize;
    sum = addToChecksum(sum, std::as_bytes(std::span(&ip.saddr, 1)));
    sum = addToChecksum(sum, std::as_bytes(std::span(&ip.daddr, 1)));
    return foldChecksum(addToChecksum(sum, std::as_bytes(std::span(&tcp, 1))));
}

/// The variable fields of a segment without payload from the service to the caller.
struct EmptySegment {
    FlowKey flow;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    bool isReset = false;
    bool hasAcknowledgement = false;
};

std::vector<std::byte> buildPacketToCaller(const EmptySegment &segment)
{
    iphdr ip {};
    ip.version = IPVERSION;
    ip.ihl = IpHeaderSize / WordSize;
    ip.tot_len = htons(IpHeaderSize + TcpHeaderSize);
    ip.frag_off = htons(IP_DF);
    ip.ttl = DefaultTimeToLive;
    ip.protocol = IPPROTO_TCP;
    ip.saddr = htonl(segment.flow.service.address);
    ip.daddr = htonl(segment.flow.caller.address);
    ip.check = foldChecksum(addToChecksum(0, std::as_bytes(std::span(&ip, 1))));

    tcphdr tcp {};
    tcp.source = htons(segment.flow.service.port);
    tcp.dest = htons(segment.flow.caller.port);
    tcp.seq = htonl(segment.sequence);
    tcp.ack_seq = htonl(segment.acknowledgement);
    tcp.doff = TcpHeaderSize / WordSize;
    tcp.rst = segment.isReset ? 1 : 0;
    tcp.ack = segment.hasAcknowledgement ? 1 : 0;
    tcp.check = tcpChecksum(ip, tcp);

    std::vector<std::byte> packet(IpHeaderSize + TcpHeaderSize);
    std::memcpy(packet.data(), &ip, IpHeaderSize);
    std::memcpy(packet.data() + IpHeaderSize, &tcp, TcpHeaderSize);
    return packet;
}

} // namespace

Result<SegmentSummary> parsePacket(std::span<const std::byte> packet, PacketDirection direction)
{
    BOOST_OUTCOME_TRY(headers, readHeaders(packet));
    const Endpoint source {ntohl(headers.ip.saddr), ntohs(headers.tcp.source)};
    const Endpoint destination {ntohl(headers.ip.daddr), ntohs(headers.tcp.dest)};
    SegmentSummary segment;
    segment.flow = direction == PacketDirection::FromCaller ? FlowKey {source, destination} : FlowKey {destination, source};
    segment.sequence = ntohl(headers.tcp.seq);
    segment.acknowledgement = ntohl(headers.tcp.ack_seq);
    segment.isSyn = headers.tcp.syn != 0;
    segment.isReset = headers.tcp.rst != 0;
    segment.hasAcknowledgement = headers.tcp.ack != 0;
    return segment;
}

Result<std::vector<std::byte>> makeReset(std::span<const std::byte> packet)
{
    BOOST_OUTCOME_TRY(headers, readHeaders(packet));
    if (headers.tcp.rst != 0)
        return malformed("reset_of_reset");
    BOOST_OUTCOME_TRY(received, parsePacket(packet, PacketDirection::FromCaller));
    EmptySegment reset;
    reset.flow = received.flow;
    reset.isReset = true;
    if (received.hasAcknowledgement) {
        reset.sequence = received.acknowledgement;
    } else {
        const std::uint32_t sequenceNumbersOfFlags = (headers.tcp.syn != 0 ? 1U : 0U) + (headers.tcp.fin != 0 ? 1U : 0U);
        reset.acknowledgement = received.sequence + static_cast<std::uint32_t>(headers.payloadSize) + sequenceNumbersOfFlags;
        reset.hasAcknowledgement = true;
    }
    return buildPacketToCaller(reset);
}

std::vector<std::byte> makeProbe(const FlowKey &flow, std::uint32_t sequence)
{
    EmptySegment probe;
    probe.flow = flow;
    probe.sequence = sequence;
    probe.hasAcknowledgement = true;
    return buildPacketToCaller(probe);
}

} // namespace Papaya
