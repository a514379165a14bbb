#include "PeerFrame.h"

#include "internal/FromWire.h"
#include "internal/ToWire.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <exception>
#include <memory>
#include <utility>

namespace filbertspoke {

namespace {

using apache::thrift::transport::TMemoryBuffer;
using Protocol = apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

constexpr std::int32_t maximumStringBytes = static_cast<std::int32_t>(maxPeerFrameBytes);
constexpr std::int32_t maximumListElements = 8192;

}

std::string encodePeerFrame(const PeerFrame& frame)
{
    auto buffer = std::make_shared<TMemoryBuffer>();
    Protocol protocol(buffer);
    internal::toWire(frame).write(&protocol);
    return buffer->getBufferAsString();
}

Result<PeerFrame> decodePeerFrame(std::string_view bytes)
{
    if (bytes.size() > maxPeerFrameBytes)
        return make_error_code(ErrorCode::MalformedMessage);

    // TMemoryBuffer takes a mutable pointer, but in its default observing mode it only reads the bytes.
    auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
    auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(bytes.size()));
    Protocol protocol(buffer, maximumStringBytes, maximumListElements);
    wire::PeerFrame frame;
    try {
        frame.read(&protocol);
    } catch (const std::exception&) {
        return make_error_code(ErrorCode::MalformedMessage);
    }
    if (buffer->available_read() != 0)
        return make_error_code(ErrorCode::MalformedMessage);
    return internal::fromWire(std::move(frame));
}

}
