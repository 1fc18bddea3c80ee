// Ids on the command line.
#ifndef ZINNIAMUX_ZINNIAMUXCTL_ID_ARGUMENT_H_
#define ZINNIAMUX_ZINNIAMUXCTL_ID_ARGUMENT_H_

#include <string>

namespace zinniamux::ctl {

// Returns the id, which is then safe in a path. Throws TCLAP::ArgException if it is not an id.
const std::string& CheckedId(const std::string& id);

// A random id of 32 hexadecimal digits.
std::string RandomId();

}  // namespace zinniamux::ctl

#endif  // ZINNIAMUX_ZINNIAMUXCTL_ID_ARGUMENT_H_
