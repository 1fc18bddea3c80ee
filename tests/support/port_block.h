// A range of free loopback ports for one deployment under test.
#ifndef ZINNIAMUX_TESTS_SUPPORT_PORT_BLOCK_H_
#define ZINNIAMUX_TESTS_SUPPORT_PORT_BLOCK_H_

#include <asio.hpp>
#include <cstdint>
#include <memory>

namespace zinniamux::testing {

// Reserves kPorts consecutive ports below the ephemeral range. The first one is kept bound, so that
// tests in other processes choose other blocks.
class PortBlock {
 public:
  static constexpr std::uint16_t kPorts = 300;

  PortBlock();

  // The next port that was not handed out yet.
  std::uint16_t Next();

 private:
  bool Reserve(std::uint16_t first);

  asio::io_context context_;
  std::unique_ptr<asio::ip::tcp::acceptor> guard_;
  std::uint16_t next_ = 0;
};

}  // namespace zinniamux::testing

#endif  // ZINNIAMUX_TESTS_SUPPORT_PORT_BLOCK_H_
