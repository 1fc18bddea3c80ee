// Checks and makes ids.
#include "zinniamuxctl/id_argument.h"

#include <fmt/format.h>
#include <tclap/ArgException.h>

#include <random>

#include "adapters/checked_object.h"

namespace zinniamux::ctl {

const std::string& CheckedId(const std::string& id) {
  if (adapters::IsId(id)) return id;
  throw TCLAP::CmdLineParseException("saw the id \"" + id +
                                     "\"; allowed: 1 to 128 characters of A-Z a-z 0-9 . _ : -");
}

std::string RandomId() {
  std::random_device device;
  std::string id;
  for (int i = 0; i < 4; ++i) id += fmt::format("{:08x}", device());
  return id;
}

}  // namespace zinniamux::ctl
