#include "toucan/membership/head_reader_selection.h"

#include "toucan/base/config.h"
#include "toucan/base/rendezvous.h"

#include <fmt/format.h>

#include <utility>

namespace toucan::membership {

std::vector<vm_address> head_readers(const failure_domain_name& local,
                                     std::vector<vm_address> ready)
{
    return rendezvous_order(fmt::format("head reader {}", local.text()), std::move(ready),
                            toucan::config::head_readers_per_domain);
}

} // namespace toucan::membership
