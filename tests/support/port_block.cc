// Search for a free range of ports.
#include "support/port_block.h"

#include <unistd.h>

#include <stdexcept>

namespace zinniamux::testing {
namespace {

using asio::ip::tcp;

// Linux hands out ephemeral ports from 32768 on.
constexpr std::uint16_t kFirstPort = 10000;
constexpr std::uint16_t kBlocks = 70;

}  // namespace

PortBlock::PortBlock() {
  const auto offset = static_cast<std::uint16_t>(getpid() % kBlocks);
  for (std::uint16_t step = 0; step < kBlocks; ++step) {
    const auto block = static_cast<std::uint16_t>((offset + step) % kBlocks);
    if (Reserve(static_cast<std::uint16_t>(kFirstPort + block * kPorts))) return;
  }
  throw std::runtime_error("no block of free ports was found");
}

std::uint16_t PortBlock::Next() { return next_++; }

bool PortBlock::Reserve(std::uint16_t first) {
  try {
    // Without reuse_address, a second bind of the guard's port fails while it is held.
    guard_ = std::make_unique<tcp::acceptor>(
        context_, tcp::endpoint(asio::ip::address_v4::loopback(), first), false);
    for (std::uint16_t offset = 1; offset < kPorts; ++offset) {
      const auto port = static_cast<std::uint16_t>(first + offset);
      const tcp::acceptor probe(context_, tcp::endpoint(asio::ip::address_v4::loopback(), port),
                                true);
    }
  } catch (const asio::system_error&) {
    return false;
  }
  next_ = static_cast<std::uint16_t>(first + 1);
  return true;
}

}  // namespace zinniamux::testing
